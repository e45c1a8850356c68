//go:build review3

package main

import (
	"net/http"
	"time"
)

// renamedCase puts another route in the place of the one at which a job was accepted: a configuration
// removes the route and adds one with another name, and the same host, path prefix and service. Then it
// asks for the job at the place where it was handed in, and cancels it.
func renamedCase(f *fleet) int {
	for i := range 8 {
		f.addMinion("huvo11a", "r1-1", zones[i%len(zones)], true)
	}
	if !f.ready([]string{"huvo11a"}, oneQueue) {
		return notRun
	}
	j := f.jobs.add(prefix, step{Count: 4, CPU: 4000, MemMB: 512, EstimatedMS: 20000, realMS: 20000})
	if !f.submit(j) {
		return notRun
	}
	time.Sleep(2 * time.Second)
	name := oneQueue[0].name
	if trouble {
		name = "r-35ieisp"
	}
	if !f.configure(2, []string{"huvo11a"}, []route{{name, prefix, "huvo11a", 3}}) {
		return notRun
	}
	// configApplyMs is 2 s, and visible_ms 3 s.
	time.Sleep(visible + 100*time.Millisecond)
	if f.runningTasks(j) == 0 {
		f.rec.printf("the job does not run")
		return notRun
	}
	result := held
	for _, entry := range f.entries {
		if status, _ := f.call(entry, http.MethodGet, prefix+j.id, nil); status == http.StatusGone {
			f.rec.printf("check: the job is unknown at %s, and %d tasks of it run", entry.name, f.runningTasks(j))
			result = broken
		}
	}
	f.call(f.entries[0], http.MethodDelete, prefix+j.id, nil)
	// cancel_ms is 3 s, and stopGraceMs 0.2 s.
	time.Sleep(3500 * time.Millisecond)
	f.rec.printf("3.5 s after the cancel %d tasks of the job run", f.runningTasks(j))
	return result
}

// runningTasks returns how many tasks of the job run on minions.
func (f *fleet) runningTasks(j *job) int {
	n := 0
	for _, m := range f.minions {
		m.mu.Lock()
		for task := range m.running {
			if m.up && task[:len(j.id)] == j.id {
				n++
			}
		}
		m.mu.Unlock()
	}
	return n
}
