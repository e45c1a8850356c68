package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallMS is the time without progress after which a run counts as standing
	// still: it covers two heartbeats. A task of 2 s at an eighth of its speed still
	// advances by a percent in 160 ms, and a restore takes up to 600 ms.
	stallMS = 1500
	// drainReserveMS is the time before a worker's end at which work that will not
	// be done by then is moved.
	drainReserveMS = 1500
)

// evacuate returns the runs to stop on workers that leave: long-running tasks at
// once, since they will not end by themselves.
func (d *Dispatcher) evacuate(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for life, w := range d.workers {
		if w.over || !w.Draining {
			continue
		}
		for ref, p := range s.RunsOn(life) {
			j, _, ok := s.Task(ref)
			if ok && !p.Stopping && (j.Steps[ref.Step].LongRunning || d.leavesSoon(w, j, ref, now)) {
				stops = append(stops, workload.Run{Task: ref, Run: p.Run})
			}
		}
	}
	return stops
}

// leavesSoon tells whether the worker ends before a task that saves its progress
// can be done; stopped now it goes on elsewhere from there.
func (d *Dispatcher) leavesSoon(w *worker, j *workload.Job, ref workload.TaskRef, now int64) bool {
	if !j.Steps[ref.Step].Checkpoints {
		return false
	}
	left := w.DrainRemaining.Milliseconds() - (now - w.heardAt)
	return left < drainReserveMS
}

// stalled returns the runs that reports show without progress, and holds it
// against their workers. Silence of the worker is no sign of it.
func (d *Dispatcher) stalled(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	for life, w := range d.workers {
		if !w.reports(now) {
			continue
		}
		for ref, p := range s.RunsOn(life) {
			run := workload.Run{Task: ref, Run: p.Run}
			last, ok := w.progress[run]
			j, _, known := s.Task(ref)
			if !ok || !known || p.Stopping || last.percent >= fullPace || w.heardAt-last.at < stallMS {
				continue
			}
			step := &j.Steps[ref.Step]
			if step.FillsIdle || step.Gang {
				continue
			}
			d.logger.Info().Str("task", ref.String()).Int("run", p.Run).Str("worker", life.ID).Int("percent", last.percent).
				Int64("unchanged_ms", w.heardAt-last.at).Msg("run makes no progress and is stopped")
			w.health.failed(ref.Job, now)
			d.noteFailure(ref, life.ID)
			stops = append(stops, run)
		}
	}
	return stops
}
