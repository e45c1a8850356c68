package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/workload"
)

func (d *Dispatcher) learnsRunTimes() bool {
	return d.settings.Planning.RunTimes == settings.RunTimesLearned
}

// markTimed sets when the runs of the reported ends started, where that is known, and marks those
// whose run times say how long the task takes: the worker is not slow, and this leader has sent it the
// start. A run that a worker refused has not started. The caller holds mu.
func (d *Dispatcher) markTimed(ends []workload.End, now int64) {
	for i := range ends {
		e := &ends[i]
		w, ok := d.workers[e.Worker]
		if !ok || !e.Outcome.ProvesStart() {
			continue
		}
		e.StartedAt = w.startSent[workload.Run{Task: e.Task, Run: e.Run}]
		e.Timed = d.learnsRunTimes() && e.StartedAt > 0 && now >= w.slowUntil && e.Outcome == workload.OutcomeDone
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
