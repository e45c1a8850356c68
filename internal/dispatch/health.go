package dispatch

import (
	"maps"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// failedJobsThreshold is the number of different jobs whose runs must fail on a worker,
	// with no success in between, before the worker is quarantined. One job that fails
	// everywhere then quarantines no healthy worker.
	failedJobsThreshold = 2
	// quarantineBaseMS is the first quarantine of a worker; it doubles up to
	// quarantineMaxMS. Observed outages last 5 to 8 s.
	quarantineBaseMS = 1000
	quarantineMaxMS  = 8000
	// trialMS is the time for which a trial keeps other tasks off a worker. Tasks may take hours, or
	// never end.
	trialMS = 4000
	// failureMemoryMS is the time for which a failure counts. It is several times the longest
	// quarantine, so that a worker that goes on failing its trials stays in quarantine.
	failureMemoryMS = 30_000
)

// health decides whether a worker gets new tasks after failures.
//
// A faulty worker may fail or stall everything that it starts while its heartbeats arrive
// on time. As it is idle, it would attract all new work.
//
// A quarantine ends with time alone: trials start beside whatever else runs on the worker, and
// failures are forgotten. A worker may hold tasks that never end and never be idle, and only
// workers of its kind may be able to run what waits.
type health struct {
	// failedJobs holds the jobs of which runs failed or stalled since the last success, with the
	// time of the latest failure.
	failedJobs       map[string]int64
	quarantinedUntil int64
	quarantineMS     int64
}

// recordFailure records a run that failed or stalled, and starts a quarantine when needed.
func (h *health) recordFailure(job string, now int64) {
	h.forget(now)
	if h.failedJobs == nil {
		h.failedJobs = map[string]int64{}
	}
	h.failedJobs[job] = now
	if len(h.failedJobs) < failedJobsThreshold || now < h.quarantinedUntil {
		return
	}
	h.quarantineMS = min(max(2*h.quarantineMS, quarantineBaseMS), quarantineMaxMS)
	h.quarantinedUntil = now + h.quarantineMS
}

// forget removes the failures that are too old to count.
func (h *health) forget(now int64) {
	maps.DeleteFunc(h.failedJobs, func(_ string, at int64) bool { return now-at > failureMemoryMS })
	if len(h.failedJobs) == 0 {
		h.reset()
	}
}

// reset ends the quarantine and forgets the failures, after a run was successful.
func (h *health) reset() { *h = health{} }

// newTaskLimit returns how many new tasks a worker may get: none during the quarantine, then one
// at a time as a trial, and -1 for any number. runs are those that occupy the worker.
func (h *health) newTaskLimit(now int64, runs map[workload.TaskRef]*workload.Placement) int {
	h.forget(now)
	switch {
	case len(h.failedJobs) < failedJobsThreshold:
		return -1
	case now < h.quarantinedUntil || h.hasTrial(now, runs):
		return 0
	default:
		return 1
	}
}

// hasTrial reports whether one of the runs was started as a trial a short time ago.
func (h *health) hasTrial(now int64, runs map[workload.TaskRef]*workload.Placement) bool {
	for _, p := range runs {
		if p.PlacedAt >= h.quarantinedUntil && now-p.PlacedAt < trialMS {
			return true
		}
	}
	return false
}

// newTaskLimit returns how many new tasks the worker may get, -1 for any number. A slow
// worker gets none for a while, since a task that waits for another worker completes
// earlier, and neither does one that is kept free for a suspect run.
func (w *worker) newTaskLimit(s *workload.State, now int64) int {
	if now < w.slowUntil || w.hasSuspect(s) {
		return 0
	}
	return w.health.newTaskLimit(now, s.RunsOn(w.Incarnation))
}

// recordEnd updates the health when a run has ended. The failure of a long-running task that was at
// work shows nothing about the worker.
func (w *worker) recordEnd(e workload.End, now int64) {
	switch e.Outcome {
	case workload.OutcomeFailed:
		if !w.endedAtWork[workload.Run{Task: e.Task, Run: e.Run}] {
			w.health.recordFailure(e.Task.Job, now)
		}
	case workload.OutcomeDone:
		w.health.reset()
	}
}

// noteEndedAtWork records which of the ended runs the previous report showed at full activity.
func (w *worker) noteEndedAtWork(ended []EndedTask, before map[workload.Run]runProgress) {
	atWork := map[workload.Run]bool{}
	for _, e := range ended {
		if p, ok := before[e.Run]; ok && p.percent >= fullPace || w.endedAtWork[e.Run] {
			atWork[e.Run] = true
		}
	}
	w.endedAtWork = atWork
}
