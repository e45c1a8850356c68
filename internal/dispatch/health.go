package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// failedJobsThreshold is the number of different jobs whose runs must fail on a worker,
	// with no success in between, before the worker is quarantined. One job that fails
	// everywhere then quarantines no healthy worker.
	failedJobsThreshold = 2
	// quarantineBaseMS is the first quarantine of a worker; it doubles up to
	// quarantineMaxMS. Observed outages last 5 to 8 s.
	quarantineBaseMS = 1000
	quarantineMaxMS  = 8000
)

// health decides whether a worker gets new tasks after failures.
//
// A faulty worker may fail or stall everything that it starts while its heartbeats arrive
// on time. As it is idle, it would attract all new work.
type health struct {
	// failedJobs holds the jobs of which runs failed or stalled since the last success.
	failedJobs       map[string]bool
	quarantinedUntil int64
	quarantineMS     int64
}

// recordFailure records a run that failed or stalled, and starts a quarantine when needed.
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

// reset ends the quarantine and forgets the failures, after a run was successful.
func (h *health) reset() { *h = health{} }

// newTaskLimit returns how many new tasks a worker may get that has occupied tasks now:
// none during the quarantine, then one at a time as a trial, and -1 for any number.
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

// newTaskLimit returns how many new tasks the worker may get, -1 for any number. A slow
// worker gets none for a while, since a task that waits for another worker completes
// earlier, and neither does one that is kept free for a suspect run.
func (w *worker) newTaskLimit(s *workload.State, now int64) int {
	if now < w.slowUntil || w.hasSuspect(s) {
		return 0
	}
	return w.health.newTaskLimit(now, len(s.RunsOn(w.Incarnation)))
}

// recordEnd updates the health when a run has ended.
func (h *health) recordEnd(e workload.End, now int64) {
	switch e.Outcome {
	case workload.OutcomeFailed:
		h.recordFailure(e.Task.Job, now)
	case workload.OutcomeDone:
		h.reset()
	}
}
