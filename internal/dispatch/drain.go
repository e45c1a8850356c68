package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallTimeoutMS is the time without progress after which a run counts as stalled. It
	// covers two heartbeats: a task of 2 s at an eighth of its speed still advances by one
	// percent in 160 ms, and restoring a checkpoint takes up to 600 ms.
	stallTimeoutMS = 1500
	// checkpointReserveMS is the time before a draining worker exits at which its
	// checkpointing tasks are stopped, so that they resume elsewhere.
	checkpointReserveMS = 1500
)

// drainStops returns the runs to stop on draining workers: long-running tasks at once,
// since they don't end by themselves, and checkpointing tasks shortly before the worker
// exits.
func (d *Dispatcher) drainStops(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for incarnation, w := range d.workers {
		if w.terminated || !w.Draining {
			continue
		}
		for ref, p := range s.RunsOn(incarnation) {
			j, _, ok := s.Task(ref)
			if ok && !p.Stopping && (j.Steps[ref.Step].LongRunning || d.needsCheckpointStop(w, j, ref, now)) {
				stops = append(stops, workload.Run{Task: ref, Run: p.Run})
			}
		}
	}
	return stops
}

// needsCheckpointStop reports whether a draining worker is about to exit while it runs a
// checkpointing task. A task that is stopped now resumes from its checkpoint on another
// worker.
func (d *Dispatcher) needsCheckpointStop(w *worker, j *workload.Job, ref workload.TaskRef, now int64) bool {
	if !j.Steps[ref.Step].Checkpoints {
		return false
	}
	return w.drainRemainingMS(now) < checkpointReserveMS
}

// drainRemainingMS returns the least time, in milliseconds, for which a draining worker goes on
// running by its last report.
func (w *worker) drainRemainingMS(now int64) int64 {
	return w.DrainRemaining.Milliseconds() - (now - w.lastReportAt)
}

// stalledRuns returns the runs whose reports show no progress, and records a failure of
// their workers. A worker that sends no reports does not count as stalled.
func (d *Dispatcher) stalledRuns(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for incarnation, w := range d.workers {
		if !w.isLive(now) {
			continue
		}
		for ref, p := range s.RunsOn(incarnation) {
			run := workload.Run{Task: ref, Run: p.Run}
			last, ok := w.progress[run]
			j, _, known := s.Task(ref)
			if !ok || !known || p.Stopping || last.percent >= fullPace || w.lastReportAt-last.changedAt < stallTimeoutMS {
				continue
			}
			step := &j.Steps[ref.Step]
			if step.FillsIdle || step.Gang {
				continue
			}
			d.logger.Info().Str("task", ref.String()).Int("run", p.Run).Str("worker", incarnation.ID).Int("percent", last.percent).
				Int64("unchanged_ms", w.lastReportAt-last.changedAt).Msg("run makes no progress and is stopped")
			w.health.recordFailure(ref.Job, now)
			d.recordFailure(ref, incarnation.ID)
			stops = append(stops, run)
		}
	}
	return stops
}
