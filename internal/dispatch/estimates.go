package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

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
