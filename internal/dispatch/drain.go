package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// drainReserveMS is the time before a draining worker exits at which its checkpointing and
// long-running tasks are stopped in any case, so that they go on elsewhere.
const drainReserveMS = 1500

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
