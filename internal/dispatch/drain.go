package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallTimeoutMS is the time without progress after which a run counts as stalled. It
	// covers two heartbeats: a task of 2 s at an eighth of its speed still advances by one
	// percent in 160 ms, and restoring a checkpoint takes up to 600 ms.
	stallTimeoutMS = 1500
	// drainReserveMS is the time before a draining worker exits at which its checkpointing and
	// long-running tasks are stopped in any case, so that they go on elsewhere.
	drainReserveMS = 1500
)

// drainStops returns the stops on draining workers: of long-running tasks from the first report on,
// since they don't end by themselves, and of checkpointing tasks shortly before the worker exits.
func (d *Dispatcher) drainStops(s *workload.State, now int64) []workload.Stop {
	var stops []workload.Stop
	for incarnation, w := range d.workers {
		if w.terminated || !w.Draining {
			continue
		}
		leaves := w.leavesSoon(now)
		for ref, p := range s.RunsOn(incarnation) {
			j, _, ok := s.Task(ref)
			if ok && !p.Stopping && (p.LongRunning || leaves && j.Steps[ref.Step].Checkpoints) {
				stops = append(stops, workload.Stop{Run: workload.Run{Task: ref, Run: p.Run}, Forced: leaves})
			}
		}
	}
	return stops
}

// leavesSoon reports whether the worker drains and is about to exit: what runs on it can't wait.
func (w *worker) leavesSoon(now int64) bool {
	return w.Draining && w.drainRemainingMS(now) < drainReserveMS
}

// drainRemainingMS returns the least time, in milliseconds, for which a draining worker goes on
// running by its last report.
func (w *worker) drainRemainingMS(now int64) int64 {
	return w.DrainRemaining.Milliseconds() - (now - w.lastReportAt)
}

// stalledRuns returns the stops of runs whose reports show no progress, and records a failure of
// their workers. A worker that sends no reports does not count as stalled.
func (d *Dispatcher) stalledRuns(s *workload.State, now int64) []workload.Stop {
	var stops []workload.Stop
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
			stops = append(stops, workload.Stop{Run: run, Forced: true})
		}
	}
	return stops
}
