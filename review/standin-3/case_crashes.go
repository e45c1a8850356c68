//go:build review3

package main

import (
	"sync"
	"time"
)

// crashesCase hands in a job of one sound task, and crashes the minion on which it runs shortly after
// its start, three times; each minion is back after 3 s. No run of the task ends `failed`.
func crashesCase(f *fleet) int {
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
	j := f.jobs.add(prefix, step{Count: 1, CPU: 2000, MemMB: 512, EstimatedMS: 1500, realMS: 1500})
	var mu sync.Mutex
	crashes := 0
	for _, m := range f.minions {
		m.onStart = func(m *minion, task string, _ int) {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || crashes == crashCount || task != j.id+".0.0.0" {
				return
			}
			crashes++
			go func() {
				time.Sleep(crashAfter)
				m.crash("crash")
				m.restartAfter(time.Second)
			}()
		}
	}
	if !f.submit(j) {
		return notRun
	}
	for deadline := time.Now().Add(60 * time.Second); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		switch f.state(j) {
		case "completed":
			return held
		case "failed":
			f.jobs.mu.Lock()
			failed := j.ends["failed"]
			f.jobs.mu.Unlock()
			f.rec.printf("check: the job is shown as failed, %d runs of its task ended failed", failed)
			if failed < oneQueue[0].maxAttempts {
				return broken
			}
			return held
		}
	}
	f.rec.printf("check: the job has not ended within 60 s")
	return notRun
}

const (
	crashCount = 5
	crashAfter = 300 * time.Millisecond
)
