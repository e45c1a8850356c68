//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to what plays it. A case returns what breaks the rule, or an
// empty string, and an error if it could not run.
var cases = map[string]struct {
	stores, entries int
	play            func(w *world, trouble bool) (string, error)
}{
	"unreadable-heartbeat": {3, 2, unreadableHeartbeat},
	"foreign-heartbeat":    {3, 2, foreignHeartbeat},
	"flapping-minion":      {3, 2, flappingMinion},
	"slow-moves":           {3, 2, slowMoves},
	"stale-advice":         {3, 2, staleAdvice},
	"lost-upkeeps":         {3, 2, lostUpkeeps},
	"copies-apart":         {3, 2, copiesApart},
}

func main() { os.Exit(mainCode()) }

func mainCode() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	keep := flag.Bool("keep", false, "keep the temporary folder")
	flag.Parse()
	c, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if *keep {
		fmt.Println("folder", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	file, err := os.Create(filepath.Clean(*record))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	w, err := newWorld(rec, dir, c.stores, c.entries)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	finished := make(chan result, 1)
	go func() {
		broken, err := c.play(w, *trouble)
		finished <- result{broken, err}
	}()
	const limit = 115 * time.Second
	select {
	case r := <-finished:
		switch {
		case r.err != nil:
			rec.line("NOT RUN: %s", r.err)
			fmt.Println("not run:", r.err)
			return exitNotRun
		case r.broken != "":
			rec.line("BROKEN: %s", r.broken)
			fmt.Println("broken:", r.broken)
			return exitBroken
		}
		rec.line("HELD")
		fmt.Println("held")
		return exitHeld
	case <-signals:
		return exitNotRun
	case <-time.After(limit):
		rec.line("NOT RUN: no result within %s", limit)
		fmt.Println("not run: no result within", limit)
		return exitNotRun
	}
}
