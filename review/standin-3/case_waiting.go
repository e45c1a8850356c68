//go:build review3

package main

import (
	"time"
)

const (
	prefix = "/puxa400/"
	// visible is visible_ms, and the rule on `waiting` holds 2 s later.
	visible = 3 * time.Second
)

var oneQueue = []route{{"r-iikdrbn", prefix, "huvo11a", 3}}

// waitingCase crashes all workers of one rack while those of the other are full, hands in six jobs
// right after, and asks how many jobs wait after visible_ms + 2 s.
func waitingCase(f *fleet) int {
	for i := range 8 {
		rack := "r1-1"
		if i >= 4 {
			rack = "r1-2"
		}
		f.addMinion("huvo11a", rack, zones[i%len(zones)], true)
	}
	if !f.ready([]string{"huvo11a"}, oneQueue) {
		return notRun
	}
	full := f.jobs.add(prefix, step{Count: 4, CPU: 32000, MemMB: 1024, EstimatedMS: 25000, Affinity: "r1-2", realMS: 25000})
	if !f.submit(full) {
		return notRun
	}
	time.Sleep(1500 * time.Millisecond)
	for _, n := range runningOn(f.minions[4:]) {
		if n != 1 {
			f.rec.printf("the second rack isn't full")
			return notRun
		}
	}
	if trouble {
		for _, m := range f.minions[:4] {
			m.crash("crash of its rack")
			go m.restartAfter(7 * time.Second)
		}
	}
	var jobs []*job
	for range 6 {
		j := f.jobs.add(prefix, step{Count: 1, CPU: 2000, MemMB: 512, EstimatedMS: 1000, realMS: 1000})
		if !f.submit(j) {
			return notRun
		}
		jobs = append(jobs, j)
	}
	result := held
	time.Sleep(visible + 2*time.Second + 100*time.Millisecond)
	for range 4 {
		for _, entry := range f.entries {
			// Jobs may begin meanwhile, so they are counted after the answer.
			waiting := f.waiting(entry, prefix)
			rest := f.jobs.notBegun(jobs, visible+2*time.Second)
			f.rec.printf("check: %d jobs accepted over 5 s before haven't begun, waiting is %d", rest, waiting)
			if waiting >= 0 && 2*waiting < rest {
				result = broken
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		done := 0
		for _, j := range jobs {
			if f.state(j) == "completed" {
				done++
			}
		}
		if done == len(jobs) {
			return result
		}
	}
	return result
}
