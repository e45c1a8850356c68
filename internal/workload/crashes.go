package workload

import "slices"

// A task may crash each worker that runs it. Nothing reports the end of such a run, so it
// must be told from the runs that were lost with it: a worker runs dozens of tasks at once,
// and all of them are lost in the same crash. The crash score of a task is the evidence
// against it. From suspectScore on, the task runs apart from other tasks, where a further
// crash takes none of them with it, but for other suspects of a first crash if there are many. At crashScoreLimit its job fails, unless the task is
// long-running: such a task has no limit, and the crashes may be those of its worker. It starts
// again after a pause.
const (
	// CrashScoreUnreported is the score of a crash before the worker reported the run: the
	// start may have caused it.
	CrashScoreUnreported = 2
	// CrashScoreReported is the score of a crash soon after the start, if the worker had
	// reported the run or it is not known whether it had.
	CrashScoreReported = 1
	suspectScore       = 2
	// crashScoreLimit takes at least three crashes, and at most five.
	crashScoreLimit = 5
	// crashPauseMS is the pause of such a long-running task between two runs. It bounds how many
	// workers the task can crash.
	crashPauseMS = 4000
)

// Suspect reports whether the task may be one that crashes its workers.
func (t *Task) Suspect() bool { return t.CrashScore >= suspectScore }

// CrashedAgain reports whether a suspect task was at work in a further crash. It then runs alone.
func (t *Task) CrashedAgain() bool { return t.CrashScore > suspectScore }

// Pausing reports whether the task waits, after crashes of its workers, for its next start.
func (t *Task) Pausing(now int64) bool {
	return t.Phase == Waiting && t.CrashScore >= crashScoreLimit && now-t.EndedAt < crashPauseMS
}

// Suspect reports whether the task of the run may be one that crashes its workers.
func (p *Placement) Suspect() bool { return p.CrashScore >= suspectScore }

// HasSuspect reports whether a task of the step may be one that crashes its workers.
func (p *StepProgress) HasSuspect() bool {
	return slices.ContainsFunc(p.Tasks, func(t Task) bool { return t.Suspect() })
}

// setCrashScore sets the score of a task and of its current run.
func (s *State) setCrashScore(ref TaskRef, t *Task, score int) {
	score = min(score, crashScoreLimit)
	t.CrashScore = score
	if p := s.runs[t.Worker][ref]; p != nil && p.Run == t.Run {
		p.CrashScore = score
	}
}

// countCrash adds the end of a run to the crash score of its task. A run that ended by
// itself shows that the task does not crash its workers.
func (s *State) countCrash(t *Task, c *End) {
	switch c.Outcome {
	case OutcomeCrashed:
		s.setCrashScore(c.Task, t, t.CrashScore+c.CrashScore)
	case OutcomeDone, OutcomeFailed:
		s.setCrashScore(c.Task, t, 0)
	}
}

// applyCleared resets the crash score of the tasks whose current runs are given.
func (s *State) applyCleared(runs []Run) {
	for _, r := range runs {
		if _, t, ok := s.Task(r.Task); ok && t.Run == r.Run && t.Phase == Placed {
			s.setCrashScore(r.Task, t, 0)
		}
	}
}
