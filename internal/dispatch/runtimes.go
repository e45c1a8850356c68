package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/workload"
)

func (d *Dispatcher) learnsRunTimes() bool {
	return d.settings.Planning.RunTimes == settings.RunTimesLearned
}

// markTimed marks the reported ends whose run times say how long the task takes: the worker
// is not slow, and the time since the placement does not include the search for a new
// leader. The caller holds mu.
func (d *Dispatcher) markTimed(s *workload.State, ends []workload.End, now int64) {
	if !d.learnsRunTimes() {
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

// jobWork returns the expected work of those tasks of a job that end by themselves and
// don't only fill idle capacity, in millicores times milliseconds.
func jobWork(s *workload.State, j *workload.Job) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if step := &j.Steps[i]; !step.LongRunning && !step.FillsIdle {
			sum += int64(step.Count) * step.WorkMilliMS(s.ExpectedRun(j, i).MeanMS)
		}
	}
	return sum
}
