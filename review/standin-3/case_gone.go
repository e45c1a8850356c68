//go:build review3

package main

import (
	"fmt"
	"time"
)

// goneCase takes one minion of 8 away for good that runs a task which lasts, and looks whether the task runs
// again in time. The list of machines has an entry of another writer all the while, also without the disruption.
func goneCase(f *fleet) int {
	for i := range 8 {
		f.addMinion("huvo11a", fmt.Sprintf("r1-%d", 1+i/4), zones[i%len(zones)], true)
	}
	f.cloud.foreign = map[string]any{"machine": 17, "pool": "huvo11a", "state": "resting"}
	if !f.ready([]string{"huvo11a"}, oneQueue) {
		return notRun
	}
	j := f.jobs.add(prefix, step{Count: 5, CPU: 2600, MemMB: 1024, EstimatedMS: 1000, LongRunning: true, MayMiss: 1, AntiAffinity: 1})
	if !f.submit(j) {
		return notRun
	}
	// The minions report for a while, as in any calm time of a day.
	time.Sleep(6 * time.Second)
	if f.runningTasks(j) != 5 {
		f.rec.printf("%d of 5 tasks run", f.runningTasks(j))
		return notRun
	}
	lostAt := time.Now()
	if trouble {
		for _, m := range f.minions {
			if m.count() > 0 {
				m.lose()
				break
			}
		}
	}
	// The rule holds from 6 s after the task's last run; it then has to run within 3 s.
	time.Sleep(sinceLastRun)
	late := true
	for end := time.Now().Add(mayWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		late = late && f.runningTasks(j) < 5
	}
	result := held
	if late {
		f.rec.printf("check: %d of 5 tasks run, and did for the last %s; 7 minions are up", f.runningTasks(j), mayWait)
		result = broken
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end) && f.runningTasks(j) < 5; time.Sleep(20 * time.Millisecond) {
	}
	f.rec.printf("%d of 5 tasks run %s after the loss", f.runningTasks(j), time.Since(lostAt).Round(100*time.Millisecond))
	return result
}
