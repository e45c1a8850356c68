//go:build review3

package main

import (
	"fmt"
	"time"
)

const (
	lastingJobs = 4
	// failingFor is how long one minion fails all that it starts.
	failingFor = 6500 * time.Millisecond
	// A lasting task must run again at the latest 3 s after 4 s of calm.
	calmFor, mayWait = 4 * time.Second, 3 * time.Second
	// sinceLastRun is the time after its last run from which on the rule holds for a task.
	sinceLastRun = 6 * time.Second
)

// failingCase hands in jobs whose tasks last, one for each minion, while one of 12 minions fails all that
// it starts, and looks whether all tasks run in time once that minion is sound again.
func failingCase(f *fleet) int {
	for i := range 12 {
		f.addMinion("huvo11a", fmt.Sprintf("r1-%d", 1+i/4), zones[i%len(zones)], true)
	}
	if !f.ready([]string{"huvo11a"}, oneQueue) {
		return notRun
	}
	bad := f.minions[5]
	soundAt := time.Now()
	if trouble {
		soundAt = soundAt.Add(failingFor)
		bad.mu.Lock()
		bad.failsUntil = soundAt
		bad.mu.Unlock()
		f.rec.printf("minion %s fails all that it starts for %s", bad.id, failingFor)
	}
	var jobs []*job
	for range lastingJobs {
		j := f.jobs.add(prefix, step{Count: len(f.minions), CPU: 2000, MemMB: 1024, EstimatedMS: 1000, LongRunning: true, MayMiss: 2, AntiAffinity: 1})
		if !f.submit(j) {
			return notRun
		}
		jobs = append(jobs, j)
	}
	time.Sleep(time.Until(soundAt))
	f.rec.printf("all minions are sound")
	time.Sleep(calmFor)
	// Tasks that do not run at any look from here on, although the rule holds for them.
	late := map[string]bool{}
	for _, j := range jobs {
		for i := range len(f.minions) {
			task := fmt.Sprintf("%s.0.0.%d", j.id, i)
			late[task] = time.Since(f.lastRun(task)) > sinceLastRun && !f.runs(task)
		}
	}
	for end := time.Now().Add(mayWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for task := range late {
			if f.runs(task) {
				late[task] = false
			}
		}
	}
	result := held
	for task, waits := range late {
		if waits {
			f.rec.printf("check: %s has not run for %s, the last %s of them calm; %d minions are up, and %s runs %d tasks on 32 cores", task,
				time.Since(f.lastRun(task)).Round(100*time.Millisecond), calmFor+mayWait, len(runningOn(f.minions)), bad.id, bad.count())
			result = broken
		}
	}
	for end := time.Now().Add(20 * time.Second); result == broken && time.Now().Before(end) && bad.count() < lastingJobs; time.Sleep(100 * time.Millisecond) {
	}
	f.rec.printf("%s runs %d tasks %s after it was sound again", bad.id, bad.count(), time.Since(soundAt).Round(100*time.Millisecond))
	return result
}

// runs reports whether a minion runs the task.
func (f *fleet) runs(task string) bool {
	for _, m := range f.minions {
		if m.isUp() && m.runs(task) {
			return true
		}
	}
	return false
}

// lastRun returns when the last run of the task ended, or the acceptance of its job if there was none.
func (f *fleet) lastRun(task string) time.Time {
	f.jobs.mu.Lock()
	defer f.jobs.mu.Unlock()
	j := f.jobs.jobs[task[:16]]
	if at, ok := j.lastEnd[task]; ok {
		return at
	}
	return j.acceptedAt
}

func (m *minion) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.running)
}
