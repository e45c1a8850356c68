package workload

import "github.com/samphirefork/samphirefork/internal/runtimes"

// ExpectedRun returns the expected run time of a task of the step.
func (s *State) ExpectedRun(j *Job, step int) runtimes.Estimate {
	task := runtimeTask(j, step)
	if !s.learnsRunTimes(j, &j.Steps[step]) {
		return runtimes.Declared(task)
	}
	return s.RunTimes.Estimate(task)
}

func runtimeTask(j *Job, step int) runtimes.Task {
	return runtimes.Task{Queue: j.QueueKey.String(), DeclaredMS: j.Steps[step].EstimatedMS, CPUMilli: j.Steps[step].Size.CPUMilli}
}

// learnsRunTimes reports whether run times of the step are learned: its tasks end by
// themselves on processor time of their own, and the objective of the queue depends on the
// run time.
func (s *State) learnsRunTimes(j *Job, step *Step) bool {
	q, _ := s.QueueOf(j)
	return !step.LongRunning && !step.FillsIdle && q.Stretch > 0
}

// recordRunTime records the run time of a task that is done. A resumed run is shorter than
// a whole one, and the members of a gang end together.
func (s *State) recordRunTime(j *Job, t *Task, p *StepProgress, c *End) {
	step := &j.Steps[c.Task.Step]
	if c.Outcome != OutcomeDone || !c.Timed || t.DoneByCopy || !s.learnsRunTimes(j, step) {
		return
	}
	if step.Checkpoints && t.Checkpoint != "" || step.Gang && p.done > 0 {
		return
	}
	startedAt := c.StartedAt
	if startedAt == 0 {
		startedAt = t.PlacedAt
	}
	s.RunTimes.Record(runtimeTask(j, c.Task.Step), s.now-startedAt)
}
