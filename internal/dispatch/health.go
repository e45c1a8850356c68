package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// failedJobsThreshold is the number of different jobs whose runs must fail on a worker,
	// with no success between, before the worker is blamed. One job that fails on
	// many workers is then not taken for many bad workers.
	failedJobsThreshold = 2
	// quarantineBaseMS is the first pause of a suspect worker; it doubles up to
	// suspectMaxMS. Observed outages last 5 to 8 s.
	quarantineBaseMS = 1000
	quarantineMaxMS  = 8000
)

// health decides whether a worker may take tasks after failures.
//
// Load pattern: a worker fails, or stalls, everything that it starts while its
// heartbeats are good. Being idle it would attract all new work.
type health struct {
	failedJobs       map[string]bool
	quarantinedUntil int64
	quarantineMS     int64
}

// recordFailure records a run that recordFailure or stalled.
func (h *health) recordFailure(job string, now int64) {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) < failedJobsThreshold || now < h.quarantinedUntil {
		return
	}
	h.quarantineMS = min(max(2*h.quarantineMS, quarantineBaseMS), quarantineMaxMS)
	h.quarantinedUntil = now + h.quarantineMS
}

// reset clears the suspicion.
func (h *health) reset() { *h = health{} }

// newTaskLimit bounds the new tasks: none during the pause, one as a trial after it,
// and -1 for no bound.
func (h *health) newTaskLimit(now int64, occupied int) int {
	switch {
	case len(h.failedJobs) < failedJobsThreshold:
		return -1
	case now < h.quarantinedUntil || occupied > 0:
		return 0
	default:
		return 1
	}
}

// newTaskLimit bounds the new tasks of the worker; a slow one gets none for a while,
// since a task that waits for another worker is done earlier.
func (w *worker) newTaskLimit(now int64, occupied int) int {
	if now < w.slowUntil {
		return 0
	}
	return w.health.newTaskLimit(now, occupied)
}

// recordEnd updates the health by the end of a run.
func (h *health) recordEnd(e workload.End, now int64) {
	switch e.Outcome {
	case workload.OutcomeFailed:
		h.recordFailure(e.Task.Job, now)
	case workload.OutcomeDone:
		h.reset()
	}
}
