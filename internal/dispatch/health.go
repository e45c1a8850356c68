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
	// quarantineBaseMS is the first quarantine of a worker; it doubles up to quarantineMaxMS. A
	// long-running task that only this worker can run must be at work 7 s after the worker is sound, and
	// may have failed there just before.
	quarantineBaseMS = 1000
	quarantineMaxMS  = 3000
	// trialMS is the time for which a trial that shows nothing keeps other tasks off a worker.
	trialMS = 4000
	// trialProofMS is the time for which a trial must have been reported, and be at work, to show that the
	// worker does not fail what it starts.
	trialProofMS = 1000
	// failureMemoryMS is the time for which a failure counts. It is several times the longest
	// quarantine, so that a worker that goes on failing its trials stays in quarantine.
	failureMemoryMS = 30_000
)

// health decides whether a worker gets new tasks after failures.
//
// A faulty worker may fail or stall everything that it starts while its heartbeats arrive
// on time. As it is idle, it would attract all new work.
//
// No success is needed to leave a quarantine: tasks may take hours or never end, and only workers of this
// kind may be able to run what waits. Time ends the quarantine, and failures are forgotten. A trial that
// is at work is evidence as well: as many may be open as are at work, and one more, so that their number
// doubles with each trialProofMS. A long-running one that is fully active has shown all that it ever can.
type health struct {
	// failedJobs holds the jobs of which runs failed or stalled since the last success, with the
	// time of the latest failure.
	failedJobs       map[string]int64
	quarantinedUntil int64
	quarantineMS     int64
}

// recordFailure records a run that failed or stalled, and reports whether that starts a quarantine.
func (h *health) recordFailure(job string, now int64) bool {
	h.forget(now)
	if h.failedJobs == nil {
		h.failedJobs = map[string]int64{}
	}
	h.failedJobs[job] = now
	if !h.isSuspect() || now < h.quarantinedUntil {
		return false
	}
	h.quarantineMS = min(max(2*h.quarantineMS, quarantineBaseMS), quarantineMaxMS)
	h.quarantinedUntil = now + h.quarantineMS
	return true
}

// isSuspect reports whether enough jobs have failed that the worker may be the cause.
func (h *health) isSuspect() bool { return len(h.failedJobs) >= failedJobsThreshold }

// forget removes the failures that are too old to count.
func (h *health) forget(now int64) {
	maps.DeleteFunc(h.failedJobs, func(_ string, at int64) bool { return now-at > failureMemoryMS })
	if len(h.failedJobs) == 0 {
		h.reset()
	}
}

// reset ends the quarantine and forgets the failures, after a run was successful.
func (h *health) reset() { *h = health{} }

// trials counts the runs that were placed since the end of a quarantine.
type trials struct {
	// atWork have shown that the worker runs them, and open ones may still do so.
	atWork, open int
	// lasting is true if a long-running one is among those at work.
	lasting bool
}

// newTaskLimit returns how many new tasks a worker may get, -1 for any number: none during the
// quarantine, then one as a trial, and as many more as trials are at work, less those that are open.
func (h *health) newTaskLimit(now int64, t trials) int {
	h.forget(now)
	if t.lasting {
		h.reset()
	}
	switch {
	case !h.isSuspect():
		return -1
	case now < h.quarantinedUntil:
		return 0
	default:
		return max(1+t.atWork-t.open, 0)
	}
}

// trials returns the trials on the worker since its latest quarantine.
func (w *worker) trials(s *workload.State, now int64) trials {
	var t trials
	if !w.health.isSuspect() {
		return t
	}
	for ref, p := range s.RunsOn(w.Incarnation) {
		switch {
		case p.Stopping || p.PlacedAt < w.health.quarantinedUntil:
		case w.isAtWork(workload.Run{Task: ref, Run: p.Run}, p.LongRunning):
			t.atWork++
			t.lasting = t.lasting || p.LongRunning
		case now-p.PlacedAt < trialMS:
			t.open++
		}
	}
	return t
}

// isAtWork reports whether the worker has reported the run for trialProofMS, and shows it fully active if
// it is long-running, or else advancing.
func (w *worker) isAtWork(run workload.Run, longRunning bool) bool {
	p, ok := w.progress[run]
	if !ok || w.activeMS(run) < trialProofMS {
		return false
	}
	if longRunning {
		return p.percent >= fullPace
	}
	return p.percent > p.first.percent && w.lastReportAt-p.changedAt < stallTimeoutMS
}

// newTaskLimit returns how many new tasks the worker may get, -1 for any number. A slow
// worker gets none for a while, since a task that waits for another worker completes
// earlier, and neither does one that is kept free for a suspect run.
func (w *worker) newTaskLimit(s *workload.State, now int64) int {
	if now < w.slowUntil || w.hasSuspect(s) {
		return 0
	}
	return w.health.newTaskLimit(now, w.trials(s, now))
}

// recordEnd updates the health when a run has ended. The failure of a long-running task that was at
// work shows nothing about the worker.
func (d *Dispatcher) recordEnd(w *worker, e workload.End, now int64) {
	switch e.Outcome {
	case workload.OutcomeFailed:
		if !w.endedAtWork[workload.Run{Task: e.Task, Run: e.Run}] {
			d.blame(w, e.Task.Job, now)
		}
	case workload.OutcomeDone:
		w.health.reset()
	}
}

// blame records a failure that may be the worker's.
func (d *Dispatcher) blame(w *worker, job string, now int64) {
	if w.health.recordFailure(job, now) {
		d.logger.Info().Str("worker", w.Incarnation.ID).Str("pool", w.Pool).Int("failed_jobs", len(w.health.failedJobs)).
			Int64("quarantine_ms", w.health.quarantineMS).Msg("worker is quarantined, then tried")
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
