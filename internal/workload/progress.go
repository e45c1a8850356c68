package workload

import "slices"

func (s *State) applyProgress(p *Progress) {
	for i := range p.Ends {
		s.applyEnd(&p.Ends[i])
	}
	for _, r := range p.Stops {
		if _, t, ok := s.Task(r.Task); ok && t.Run == r.Run {
			s.stop(r.Task, t)
		}
	}
	for _, d := range p.Due {
		if j, ok := s.active[d.Job]; ok && d.Occurrence >= 0 && d.Occurrence < j.Repetitions {
			s.begin(j, d.Occurrence, d.DueAt)
		}
	}
	for i := range p.Starts {
		s.applyStart(&p.Starts[i])
	}
	for _, m := range p.Ordered {
		if w, ok := s.Waves[m.Wave]; ok {
			w.Ordered[m.Machine] = true
		}
	}
	for _, m := range p.Begun {
		if w, ok := s.Waves[m.Wave]; ok {
			w.Begun[m.Machine] = true
		}
	}
	if p.PruneBefore > 0 {
		s.prune(p.PruneBefore)
	}
}

// applyStart begins a run of a task that waits. A start that was planned on an
// older state, of a job that ended or of a task that is not free, is dropped.
func (s *State) applyStart(c *Start) {
	j, t, ok := s.Task(c.Task)
	if !ok || j.State.Final() || t.Phase != Waiting || c.Run <= t.Run {
		return
	}
	o := j.Occurrences[c.Task.Occurrence]
	if _, held := s.occupied[c.Worker][c.Task]; held || !o.Ready(j, c.Task.Step) {
		return
	}
	o.Steps[c.Task.Step].set(t, Placed)
	t.Run = c.Run
	t.Worker = c.Worker
	t.Ticket = c.Ticket
	t.Machine = c.Machine
	t.PlacedAt = s.now
	if j.State == JobQueued {
		j.State = JobRunning
	}
	s.occupy(j, c.Task, t.present(), false)
}

// applyEnd ends the present run of a task or one that was abandoned. Ends of other
// runs change nothing.
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
		s.abandon(c.Task, t, step, progress)
		return
	}
	s.release(j, c.Task, t.Worker)
	t.EndedAt = s.now
	next := Waiting
	if t.DoneByCopy || c.Outcome == OutcomeDone && !step.LongRunning {
		next = Done
	}
	progress.set(t, next)
	if c.Checkpoint != "" {
		t.Checkpoint = c.Checkpoint
	}
	if c.Outcome == OutcomeFailed && !t.DoneByCopy {
		t.Failures++
	}
	if step.Gang {
		s.endGang(j, c, progress)
	}
	s.settle(j, c.Task, step, progress)
}

// abandon lets the task start elsewhere beside its present run.
func (s *State) abandon(ref TaskRef, t *Task, step *Step, p *StepProgress) {
	if !step.Speculative || step.Gang || step.LongRunning {
		return
	}
	s.stop(ref, t)
	t.Abandoned = slices.Concat(t.Abandoned, []PlacedRun{t.present()})
	p.set(t, Waiting)
}

// endAbandoned ends an abandoned run, and reports false when the end is of another
// one. A run that is done ends its task; a later run stops first.
func (s *State) endAbandoned(j *Job, t *Task, c *End) bool {
	i := slices.IndexFunc(t.Abandoned, func(a PlacedRun) bool { return a.Run == c.Run && a.Worker == c.Worker })
	if i < 0 {
		return false
	}
	if c.Outcome == OutcomeAbandoned {
		return true
	}
	t.Abandoned = slices.Concat(t.Abandoned[:i], t.Abandoned[i+1:])
	s.release(j, c.Task, c.Worker)
	progress := &j.Occurrences[c.Task.Occurrence].Steps[c.Task.Step]
	switch {
	case t.Phase == Done:
		if j.State.Final() {
			s.slim(j)
		}
		return true
	case c.Outcome == OutcomeDone && t.Phase == Waiting:
		progress.set(t, Done)
		t.EndedAt = s.now
	case c.Outcome == OutcomeDone:
		s.stop(c.Task, t)
		t.DoneByCopy = true
	case c.Outcome == OutcomeFailed && !t.DoneByCopy:
		t.Failures++
	}
	s.settle(j, c.Task, &j.Steps[c.Task.Step], progress)
	return true
}

// endGang extends the end of one member to its gang: a member that is done stands
// for all, and any other end stops the rest.
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
			s.stop(ref, t)
			continue
		}
		if t.Run != c.Run || t.Phase == Done {
			continue
		}
		if t.Phase == Placed || t.Phase == Stopping {
			s.release(j, ref, t.Worker)
		}
		p.set(t, Done)
		t.EndedAt = s.now
	}
}

// settle ends the job when its last task is done or a task has failed too often.
func (s *State) settle(j *Job, ref TaskRef, step *Step, p *StepProgress) {
	if j.State.Final() {
		s.slim(j)
		return
	}
	failures := p.Tasks[ref.Index].Failures
	if step.Gang {
		failures = p.GangFailures
	}
	if !step.LongRunning && failures > 0 && failures >= s.MaxAttempts(j) {
		s.finish(j, JobFailed)
		return
	}
	if !j.Occurrences[ref.Occurrence].finished() {
		return
	}
	j.Finished++
	if j.Finished >= max(j.Repetitions, 1) {
		s.finish(j, JobCompleted)
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

// slim drops what a job that ended and occupies no worker no longer needs.
func (s *State) slim(j *Job) {
	for _, o := range j.Occurrences {
		for i := range o.Steps {
			if o.Steps[i].placed > 0 || o.Steps[i].abandoned() {
				return
			}
		}
	}
	j.Specification = ""
	j.Steps = nil
	j.Occurrences = nil
}

// abandoned tells whether abandoned runs of the step may still go on.
func (p *StepProgress) abandoned() bool {
	return slices.ContainsFunc(p.Tasks, func(t Task) bool { return len(t.Abandoned) > 0 })
}

// prune removes the records of jobs that ended before the given cluster time.
func (s *State) prune(before int64) {
	for id, j := range s.Jobs {
		if j.State.Final() && j.EndedAt < before && j.Occurrences == nil {
			delete(s.Jobs, id)
		}
	}
}
