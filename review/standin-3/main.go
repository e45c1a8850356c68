//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Results of a case, which are the exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// trouble is false when the case is played without its disruption.
var trouble = os.Getenv("TROUBLE") != "0"

var cases = map[string]func(*fleet) int{
	"waiting": waitingCase,
	"crashes": crashesCase,
	"failing": failingCase,
	"gone":    goneCase,
	"renamed": renamedCase,
}

func main() {
	name := flag.String("case", "", "case to play")
	folder := flag.String("folder", ".", "folder for record.txt")
	flag.Parse()
	rec, err := newRecorder(*folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	f, err := newFleet(rec, 3, 2)
	if err != nil || cases[*name] == nil {
		fmt.Fprintln(os.Stderr, "the case can't run:", err)
		os.Exit(notRun)
	}
	result := make(chan int, 1)
	go func() { result <- cases[*name](f) }()
	code := notRun
	select {
	case code = <-result:
	case <-time.After(110 * time.Second):
		rec.printf("the case took too long")
	}
	f.close()
	rec.printf("result %d", code)
	fmt.Println("result", code)
	os.Exit(code)
}

// ready starts the fleet and waits until a job has run on it.
func (f *fleet) ready(services []string, routes []route) bool {
	if err := f.start(); err != nil {
		f.rec.printf("start: %v", err)
		return false
	}
	if !f.configure(1, services, routes) {
		return false
	}
	for _, m := range f.minions {
		m.start()
	}
	time.Sleep(3 * time.Second)
	j := f.jobs.add(routes[0].prefix, step{Count: 1, CPU: 1000, MemMB: 256, EstimatedMS: 300, realMS: 300})
	if !f.submit(j) {
		return false
	}
	for range 50 {
		if f.state(j) == "completed" {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
