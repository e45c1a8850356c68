package taskplan

import "github.com/samphirefork/samphirefork/internal/workload"

// separates reports whether the worker keeps a suspect task apart from others. A crash can't
// tell two tasks apart that started together.
func (s *selector) separates(w *workerState, task *workload.Task) bool {
	return !task.Suspect() || w.starts == 0 || s.sharesWorkers
}

// reserve keeps further tasks off a worker that this plan gives to a suspect one.
func (s *selector) reserve(w *workerState, task *workload.Task) {
	if task.Suspect() && !s.sharesWorkers {
		w.startsLeft = 0
	}
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
