package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallTimeoutMS is the time without progress after which a run counts as standing
	// still: it covers two heartbeats. A task of 2 s at an eighth of its speed still
	// advances by a percent in 160 ms, and a restore takes up to 600 ms.
	stallTimeoutMS = 1500
	// checkpointReserveMS is the time before a worker's end at which work that will not
	// be done by then is moved.
	checkpointReserveMS = 1500
)

// drainStops returns the runs to stop on workers that leave: long-running tasks at
// once, since they will not end by themselves.
func (d *Dispatcher) drainStops(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for incarnation, w := range d.workers {
		if w.terminated || !w.Draining {
			continue
		}
		for ref, p := range s.Occupied(incarnation) {
			j, _, ok := s.Task(ref)
			if ok && !p.Stopping && (j.Steps[ref.Step].LongRunning || d.needsCheckpointStop(w, j, ref, now)) {
				stops = append(stops, workload.Run{Task: ref, Run: p.Run})
			}
		}
	}
	return stops
}

// needsCheckpointStop tells whether the worker ends before a task that saves its progress
// can be done; stopped now it goes on elsewhere from there.
func (d *Dispatcher) needsCheckpointStop(w *worker, j *workload.Job, ref workload.TaskRef, now int64) bool {
	if !j.Steps[ref.Step].Checkpoints {
		return false
	}
	remainingMS := w.DrainRemaining.Milliseconds() - (now - w.lastReportAt)
	return remainingMS < checkpointReserveMS
}

// stalledRuns returns the runs that reports show without progress, and holds it
// against their workers. Silence of the worker is no sign of it.
func (d *Dispatcher) stalledRuns(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for incarnation, w := range d.workers {
		if !w.isLive(now) {
			continue
		}
		for ref, p := range s.Occupied(incarnation) {
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
