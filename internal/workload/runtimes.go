package workload

import "github.com/samphirefork/samphirefork/internal/runtimes"

// ExpectedRun returns the expected run time of a task of the step.
func (s *State) ExpectedRun(j *Job, step int) runtimes.Estimate {
	return runtimes.Declared(runtimes.Task{Queue: j.Queue, DeclaredMS: j.Steps[step].EstimatedMS, CPUMilli: j.Steps[step].Size.CPUMilli})
}
