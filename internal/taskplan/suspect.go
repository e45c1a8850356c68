package taskplan

import (
	"math"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// otherWorkersDivisor is the inverse of the share of a pool's workers that are not kept free for
	// suspect tasks, one at least of several.
	otherWorkersDivisor = 3
	// maxSuspectsTogether bounds the suspects that share a worker: each of them runs alone if that
	// worker crashes.
	maxSuspectsTogether = 32
)

// separates reports whether the worker keeps a suspect task apart from others. A crash can't
// tell two tasks apart that started together.
//
// A crash may make suspects of all tasks of a wide step, a thousand or more. Tested one by one on
// each worker they would close the pool for minutes, so that suspects of a first crash share
// workers while they are more than the pool has workers: of N suspects, about the root of N each.
func (s *selector) separates(w *workerState, task *workload.Task) bool {
	if s.sharesWorkers {
		return true
	}
	if !task.Suspect() {
		return w.suspects == 0
	}
	if w.starts == 0 {
		return w.hasSuspects || s.workers.suspectWorkers < s.workers.maxSuspectWorkers()
	}
	return w.suspects > 0 && w.suspects < s.suspectsTogether() && !task.CrashedAgain()
}

// maxSuspectWorkers returns how many workers of the pool may have suspect tasks at the same time.
func (p *poolWorkers) maxSuspectWorkers() int {
	n := len(p.all)
	return max(n-max(n/otherWorkersDivisor, 1), 1)
}

// reserve keeps further tasks off a worker that this plan gives to a suspect one, but for other
// suspects that may share it.
func (s *selector) reserve(w *workerState, task *workload.Task) {
	if !task.Suspect() || s.sharesWorkers {
		return
	}
	if !w.hasSuspects {
		w.hasSuspects = true
		s.workers.suspectWorkers++
	}
	w.suspects++
	if task.CrashedAgain() {
		w.startsLeft = 0
	}
}

// suspectsTogether returns how many suspects of a first crash may share a worker of the pool.
func (s *selector) suspectsTogether() int {
	p := s.workers
	if p.suspectsTogether == 0 {
		p.suspectsTogether = 1
		if waiting := s.p.waitingSuspects(s.c.pool); waiting > len(p.all) {
			p.suspectsTogether = min(int(math.Ceil(math.Sqrt(float64(waiting)))), maxSuspectsTogether)
		}
	}
	return p.suspectsTogether
}

// waitingSuspects returns the number of suspects of a first crash that wait for the pool.
func (p *planner) waitingSuspects(pool string) int {
	waiting := 0
	for _, j := range p.in.State.Active() {
		if p.in.State.PoolOf(j) != pool {
			continue
		}
		for _, o := range j.Occurrences {
			for i := range o.Steps {
				waiting += waitingSuspects(&o.Steps[i])
			}
		}
	}
	return waiting
}

// waitingSuspects returns the number of those in one step.
func waitingSuspects(step *workload.StepProgress) int {
	waiting := 0
	if step.Waiting() == 0 {
		return 0
	}
	for i := range step.Tasks {
		if t := &step.Tasks[i]; t.Phase == workload.Waiting && t.Suspect() && !t.CrashedAgain() {
			waiting++
		}
	}
	return waiting
}

// ranksHigher reports whether worker a is preferred to worker b for the task: for a suspect
// one, the worker whose crash ends the fewest tasks, long-running ones first.
func (c *choice) ranksHigher(a, b *workerState) bool {
	switch {
	case !c.task.Suspect():
		return c.s.ranksHigher(a, b)
	case a.longRunning != b.longRunning:
		return a.longRunning < b.longRunning
	case a.tasks != b.tasks:
		return a.tasks < b.tasks
	default:
		return c.s.ranksHigher(a, b)
	}
}
