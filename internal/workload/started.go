package workload

import "slices"

// A run that is placed is a decision of the leader. Whether it has started is known from its worker
// alone: the start may not arrive, may be refused, and is withdrawn from a worker that falls silent
// first. What callers and operators are shown, and what is concluded from the age of a run, rests on
// Task.StartedAt; the placement only reserves capacity and the team's share.

// Started reports whether a report has shown that the latest run of the task started.
func (t *Task) Started() bool { return t.StartedAt > 0 }

// Started returns the number of tasks on workers whose runs have started.
func (p *StepProgress) Started() int {
	n := 0
	for i := range p.Tasks {
		if t := &p.Tasks[i]; t.Started() && (t.Phase == Placed || t.Phase == Stopping) {
			n++
		}
	}
	return n
}

// applyStarted records the starts of runs that still occupy their workers.
func (s *State) applyStarted(started []StartedRun) {
	for _, c := range started {
		j, t, ok := s.Task(c.Task)
		switch {
		case !ok:
		case t.Run == c.Run.Run && (t.Phase == Placed || t.Phase == Stopping):
			s.confirmStart(j, c.Task, t, c.At)
		default:
			s.confirmAbandoned(j, t, c)
		}
	}
}

// confirmAbandoned records that an abandoned run of the task has started.
func (s *State) confirmAbandoned(j *Job, t *Task, c StartedRun) {
	i := slices.IndexFunc(t.Abandoned, func(a PlacedRun) bool { return a.Run == c.Run.Run })
	if i < 0 {
		return
	}
	t.Abandoned = slices.Clone(t.Abandoned)
	t.Abandoned[i].StartedAt = c.At
	if p := s.runs[t.Abandoned[i].Worker][c.Task]; p != nil && p.Run == c.Run.Run {
		p.StartedAt = c.At
	}
	j.markRunning()
}

// confirmStart records that the current run of the task has started, unless that is known.
func (s *State) confirmStart(j *Job, ref TaskRef, t *Task, at int64) {
	if t.Started() {
		return
	}
	t.StartedAt = max(at, t.PlacedAt, 1)
	if p := s.runs[t.Worker][ref]; p != nil && p.Run == t.Run {
		p.StartedAt = t.StartedAt
	}
	j.markRunning()
}

// markRunning records that a task of the job has started.
func (j *Job) markRunning() {
	if j.State == JobQueued {
		j.State = JobRunning
	}
}
