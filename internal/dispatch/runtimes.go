package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// markTimed marks the reported ends whose run times say how long the task takes: the worker
// is not slow, and the time since the placement does not include the search for a new
// leader. The caller holds mu.
func (d *Dispatcher) markTimed(s *workload.State, ends []workload.End, now int64) {
	if !d.settings.LearnRunTimes {
		return
	}
	for i := range ends {
		e := &ends[i]
		w, ok := d.workers[e.Worker]
		if !ok || now < w.slowUntil || e.Outcome != workload.OutcomeDone {
			continue
		}
		if _, t, ok := s.Task(e.Task); ok && t.Run == e.Run && t.PlacedAt >= d.leadingSince {
			e.Timed = true
		}
	}
}
