package workload

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/runtimes"
)

func (s *State) applyProgress(p *Progress) {
	s.applyStarted(p.Started)
	for i := range p.Ends {
		s.applyEnd(&p.Ends[i])
	}
	s.applyStops(p.Stops, p.Inactive)
	s.applyWithdrawn(p.Withdrawn)
	for _, d := range p.Due {
		if j, ok := s.active[d.Job]; ok && d.Occurrence >= 0 && d.Occurrence < j.Repetitions {
			s.beginOccurrence(j, d.Occurrence, d.DueAt)
		}
	}
	s.applyCleared(p.Cleared)
	for i := range p.Starts {
		s.applyStart(&p.Starts[i], p.ticket(&p.Starts[i]))
	}
	s.applyOrdered(p.Ordered)
	for _, m := range p.Begun {
		if w, ok := s.Waves[m.Wave]; ok {
			w.Begun[m.Machine] = true
		}
	}
	if p.ForgetRunTimes {
		s.RunTimes = &runtimes.Table{}
	}
	if p.PruneBefore > 0 {
		s.pruneJobs(p.PruneBefore)
	}
}

// applyStart starts a run of a waiting task with a ticket. Starts are planned on an earlier state: one
// whose job has ended or whose task can't start any more is dropped.
func (s *State) applyStart(c *Start, ticket string) {
	j, t, ok := s.Task(c.Task)
	if !ok || j.State.Final() || t.Phase != Waiting || c.Run <= t.Run {
		return
	}
	o := j.Occurrences[c.Task.Occurrence]
	if _, held := s.runs[c.Worker][c.Task]; held || !o.Ready(j, c.Task.Step) {
		return
	}
	o.Steps[c.Task.Step].setPhase(t, Placed)
	t.Run = c.Run
	t.Worker = c.Worker
	t.Ticket = ticket
	t.Machine = c.Machine
	t.PlacedAt, t.StartedAt = s.now, 0
	s.addRun(j, c.Task, t, t.currentRun(), false)
}

// applyEnd ends the current run of a task, or an abandoned one. Ends of other runs change
// nothing.
func (s *State) applyEnd(c *End) {
	j, t, ok := s.Task(c.Task)
	if !ok || s.endAbandoned(j, t, c) {
		return
	}
	if t.Run != c.Run || t.Worker != c.Worker || (t.Phase != Placed && t.Phase != Stopping) {
		return
	}
	progress := &j.Occurrences[c.Task.Occurrence].Steps[c.Task.Step]
	step := &j.Steps[c.Task.Step]
	if c.Outcome == OutcomeAbandoned {
		s.abandonRun(c.Task, t, step, progress)
		return
	}
	if c.StartedAt > 0 || c.Outcome.ProvesStart() {
		s.confirmStart(j, c.Task, t, c.StartedAt)
	}
	s.removeRun(j, c.Task, t.Worker)
	s.countCrash(t, c)
	t.Ticket = ""
	if t.Started() || c.Outcome == OutcomeCrashed {
		t.EndedAt = s.now
	}
	s.recordRunTime(j, t, progress, c)
	next := Waiting
	if t.DoneByCopy || c.Outcome == OutcomeDone && !step.LongRunning {
		next = Done
	}
	progress.setPhase(t, next)
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
	}
	if c.Outcome == OutcomeFailed && !t.DoneByCopy {
		t.Failures++
	}
	if step.Gang {
		s.endGang(j, c, progress)
	}
	s.updateJob(j, c.Task, step, progress)
}

// abandonRun lets a speculative task start on another worker while its current run may
// still go on.
func (s *State) abandonRun(ref TaskRef, t *Task, step *Step, p *StepProgress) {
	if !step.Speculative || step.Gang || step.LongRunning {
		return
	}
	s.stopRun(ref, t)
	t.Abandoned = slices.Concat(t.Abandoned, []PlacedRun{t.currentRun()})
	p.setPhase(t, Waiting)
}

// endAbandoned ends an abandoned run, and returns false when c is the end of another run.
// If the run was done, so is the task, once a later run that is still placed has stopped.
func (s *State) endAbandoned(j *Job, t *Task, c *End) bool {
	i := slices.IndexFunc(t.Abandoned, func(a PlacedRun) bool { return a.Run == c.Run && a.Worker == c.Worker })
	if i < 0 {
		return false
	}
	if c.Outcome == OutcomeAbandoned {
		return true
	}
	t.Abandoned = slices.Concat(t.Abandoned[:i], t.Abandoned[i+1:])
	if c.StartedAt > 0 || c.Outcome.ProvesStart() {
		j.markRunning()
	}
	s.removeRun(j, c.Task, c.Worker)
	progress := &j.Occurrences[c.Task.Occurrence].Steps[c.Task.Step]
	switch {
	case t.Phase == Done:
		if j.State.Final() {
			s.dropDetails(j)
		}
		return true
	case c.Outcome == OutcomeDone && t.Phase == Waiting:
		progress.setPhase(t, Done)
		t.EndedAt = s.now
	case c.Outcome == OutcomeDone:
		s.stopRun(c.Task, t)
		t.DoneByCopy = true
	case c.Outcome == OutcomeFailed && !t.DoneByCopy:
		t.Failures++
	}
	s.countCrash(t, c)
	s.updateJob(j, c.Task, &j.Steps[c.Task.Step], progress)
	return true
}

// endGang applies the end of one member to its gang. When one member is done, all are; any
// other outcome stops the others.
func (s *State) endGang(j *Job, c *End, p *StepProgress) {
	if c.Outcome == OutcomeFailed && p.GangRun != c.Run {
		p.GangRun = c.Run
		p.GangFailures++
	}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		ref := c.Task
		ref.Index = i
		if c.Checkpoint != "" {
			t.Checkpoint = c.Checkpoint
		}
		if c.Outcome != OutcomeDone {
			s.stopRun(ref, t)
			continue
		}
		if t.Run != c.Run || t.Phase == Done {
			continue
		}
		if t.Phase == Placed || t.Phase == Stopping {
			s.removeRun(j, ref, t.Worker)
		}
		p.setPhase(t, Done)
		t.EndedAt = s.now
	}
}

// updateJob ends the job when its last task is done or a task has reached its limit of
// failures or of crashes, after the end of a run of the task.
func (s *State) updateJob(j *Job, ref TaskRef, step *Step, p *StepProgress) {
	if j.State.Final() {
		s.dropDetails(j)
		return
	}
	failures := p.Tasks[ref.Index].Failures
	if step.Gang {
		failures = p.GangFailures
	}
	if !step.LongRunning && failures > 0 && failures >= s.MaxAttempts(j) {
		s.endJob(j, JobFailed)
		return
	}
	if !step.LongRunning && p.Tasks[ref.Index].CrashScore >= crashScoreLimit {
		s.endJob(j, JobFailed)
		return
	}
	if !j.Occurrences[ref.Occurrence].finished() {
		return
	}
	j.Finished++
	if j.Finished >= max(j.Repetitions, 1) {
		s.endJob(j, JobCompleted)
	}
}

func (o *Occurrence) finished() bool {
	for i := range o.Steps {
		if !o.Steps[i].Finished() {
			return false
		}
	}
	return true
}

// dropDetails drops the steps and tasks of a job that has ended, once none of its runs
// occupies a worker.
func (s *State) dropDetails(j *Job) {
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].onWorkers > 0 || o.Steps[i].hasAbandonedRuns() {
				return
			}
		}
	}
	j.Specification = ""
	j.Steps = nil
	j.Occurrences = nil
}

// hasAbandonedRuns reports whether abandoned runs of the step may still go on.
func (p *StepProgress) hasAbandonedRuns() bool {
	return slices.ContainsFunc(p.Tasks, func(t Task) bool { return len(t.Abandoned) > 0 })
}

// pruneJobs removes the jobs that ended before the given cluster time and whose runs have
// all ended.
func (s *State) pruneJobs(before int64) {
	for id, j := range s.Jobs {
		if j.State.Final() && j.EndedAt < before && j.Occurrences == nil {
			delete(s.Jobs, id)
		}
	}
}
