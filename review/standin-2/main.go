// Command standin-2 runs one case of the second review: it starts the project's programs as
// processes on loopback addresses, plays clients, minions and the platform around them, and checks
// one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// runLimit ends a case that hangs.
	runLimit = 105 * time.Second
)

// scenario plays a case and returns the ways in which the rule was broken.
type scenario func(w *world, trouble bool) ([]string, error)

var scenarios = map[string]scenario{
	"grey-minion":   greyMinion,
	"advice-in-cut": adviceInCut,
	"advice-grown":  adviceScaleOut,
	"crash-wide":    crashUnderWideSteps,
	"many-ends":     manyEnds,
	"wide-advice":   wideAdvice,
	"cut-answers":   cutAnswers,
	"revoke-kill":   revokeAtKill,
	"long-tasks":    longTasks,
}

func main() {
	name := flag.String("case", "", "name of the case")
	bin := flag.String("bin", "target", "folder of the project's programs")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.Bool("keep", false, "keep the settings, data and logs of the programs")
	flag.Parse()
	os.Exit(runCase(*name, *bin, *recordPath, *keep, os.Getenv("TROUBLE") != "0"))
}

func runCase(name, bin, recordPath string, keep, trouble bool) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.say("case %s, disruption %t", name, trouble)
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		rec.say("not run: %s", err)
		return exitNotRun
	}
	if keep {
		fmt.Println("files are in", dir)
	} else {
		defer os.RemoveAll(dir)
	}
	broken, err := playCase(play, bin, dir, rec, trouble)
	switch {
	case err != nil:
		rec.say("not run: %s", err)
		return exitNotRun
	case len(broken) > 0:
		for _, line := range broken {
			rec.say("broken: %s", line)
		}
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}

func playCase(play scenario, bin, dir string, rec *record, trouble bool) ([]string, error) {
	d, err := newDeployment(bin, dir, rec)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	w := newWorld(ctx, d, rec)
	defer w.wg.Wait()
	defer cancel()
	defer d.stopAll()
	ended := make(chan struct{})
	defer close(ended)
	go d.stopOnSignal(ctx, ended)
	if err := d.startAll(); err != nil {
		return nil, err
	}
	if err := w.cloud.serve(); err != nil {
		return nil, err
	}
	return play(w, trouble)
}
