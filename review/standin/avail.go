//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// availWatch checks the rule AVAIL for the one step of a job that lasts: a task that is at work
// on a sound minion may be stopped only while fewer than mayMiss others of its step are away.
// Away is a task that such an order has ended, or that has not been at work for notice.
type availWatch struct {
	w       *world
	job     *job
	mayMiss int
	notice  time.Duration

	mu sync.Mutex
	// atWork is when a task was last seen at work, and ended holds the tasks that were told to
	// stop and have not been at work since.
	atWork map[string]time.Time
	ended  map[string]bool
	breaks []string
}

func newAvailWatch(w *world, j *job, mayMiss int, notice time.Duration) *availWatch {
	a := &availWatch{w: w, job: j, mayMiss: mayMiss, notice: notice, atWork: map[string]time.Time{}, ended: map[string]bool{}}
	go func() {
		for {
			a.look()
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return a
}

// look notes which tasks are at work: those that a minion that is up has run for longer than
// their startup and that were not told to stop.
func (a *availWatch) look() {
	const startup = 500 * time.Millisecond
	for _, n := range a.w.platform.everyMinion() {
		n.mu.Lock()
		var working []string
		for task, r := range n.running {
			if !n.dead && r.jobID == a.job.id && r.stopAt.IsZero() && time.Since(r.started) >= startup {
				working = append(working, task)
			}
		}
		n.mu.Unlock()
		a.mu.Lock()
		for _, task := range working {
			a.atWork[task] = time.Now()
			delete(a.ended, task)
		}
		a.mu.Unlock()
	}
}

// stopped checks an order to stop a task. The caller holds the lock of its minion.
func (a *availWatch) stopped(task string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended[task] || time.Since(a.atWork[task]) > 200*time.Millisecond {
		return // it was not at work
	}
	away := 0
	for _, other := range taskNames(a.job) {
		if other != task && (a.ended[other] || time.Since(a.atWork[other]) > a.notice) {
			away++
		}
	}
	a.ended[task] = true
	if away >= a.mayMiss {
		a.breaks = append(a.breaks, fmt.Sprintf("%s is ended while %d others of its step are away; %d may be", task, away, a.mayMiss))
	}
}

func (a *availWatch) broken() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.breaks) == 0 {
		return ""
	}
	return fmt.Sprintf("%d times; first: %s", len(a.breaks), a.breaks[0])
}
