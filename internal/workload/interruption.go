package workload

// InterruptionBudget returns the number of tasks of a long-running step that may be away at the
// same time when the system interrupts one of them.
func (s *Step) InterruptionBudget() int { return max(s.MaxUnavailable, 1) }

// Interruptions decides which runs may be stopped. All stops pass it twice: where the leader plans
// them, and where the command is applied, since commands may have been applied in between.
//
// A run of a long-running task may be stopped while fewer other tasks of its step than the
// InterruptionBudget are away: without an active run, or with one that was admitted before.
type Interruptions struct {
	state    *State
	isActive func(TaskRef, *Task) bool
	away     map[stepRef]*awayTasks
	admitted map[Run]bool
}

// stepRef identifies a step of an occurrence.
type stepRef struct {
	job              string
	occurrence, step int
}

// awayTasks holds the indices of the tasks of a step that are away, and the placed ones among them
// that were so before any stop was admitted.
type awayTasks struct {
	indices  map[int]bool
	inactive []Run
	// budgeted is true once a stop was admitted that isn't forced.
	budgeted bool
}

// NewInterruptions returns an Interruptions for a state. isActive is called for placed tasks.
func NewInterruptions(s *State, isActive func(TaskRef, *Task) bool) *Interruptions {
	return &Interruptions{state: s, isActive: isActive, away: map[stepRef]*awayTasks{}, admitted: map[Run]bool{}}
}

// Allows reports whether Admit would admit the stop.
func (i *Interruptions) Allows(stop Stop) bool {
	j, t, ok := i.state.Task(stop.Task)
	if !ok || t.Phase != Placed || t.Run != stop.Run.Run || i.admitted[stop.Run] {
		return false
	}
	step := &j.Steps[stop.Task.Step]
	return !step.LongRunning || stop.Forced || i.OthersAway(stop.Task) < step.InterruptionBudget()
}

// Admit reports whether the stop is allowed beside the stops that were admitted before, and counts
// it if so.
func (i *Interruptions) Admit(stop Stop) bool {
	if !i.Allows(stop) {
		return false
	}
	i.admitted[stop.Run] = true
	if j, _, _ := i.state.Task(stop.Task); j.Steps[stop.Task.Step].LongRunning {
		away := i.awayTasks(stop.Task)
		away.indices[stop.Task.Index] = true
		away.budgeted = away.budgeted || !stop.Forced
	}
	return true
}

// OthersAway returns the number of tasks of a long-running step, except the given one, that are
// away.
func (i *Interruptions) OthersAway(ref TaskRef) int {
	away := i.awayTasks(ref)
	n := len(away.indices)
	if away.indices[ref.Index] {
		n--
	}
	return n
}

// Inactive returns the placed runs that counted as inactive in the steps of the admitted stops.
func (i *Interruptions) Inactive() []Run {
	var runs []Run
	for _, away := range i.away {
		if away.budgeted {
			runs = append(runs, away.inactive...)
		}
	}
	return runs
}

func (i *Interruptions) awayTasks(ref TaskRef) *awayTasks {
	key := stepRef{ref.Job, ref.Occurrence, ref.Step}
	if away, ok := i.away[key]; ok {
		return away
	}
	away := &awayTasks{indices: map[int]bool{}}
	tasks := i.state.Jobs[ref.Job].Occurrences[ref.Occurrence].Steps[ref.Step].Tasks
	for index := range tasks {
		t := &tasks[index]
		ref.Index = index
		switch {
		case t.Phase != Placed:
			away.indices[index] = true
		case !i.isActive(ref, t):
			away.indices[index] = true
			away.inactive = append(away.inactive, Run{Task: ref, Run: t.Run})
		}
	}
	i.away[key] = away
	return away
}

// applyStops stops the runs that the budgets of their steps allow in the present state.
func (s *State) applyStops(stops []Stop, inactive []Run) {
	if len(stops) == 0 {
		return
	}
	isInactive := make(map[Run]bool, len(inactive))
	for _, run := range inactive {
		isInactive[run] = true
	}
	interruptions := NewInterruptions(s, func(ref TaskRef, t *Task) bool { return !isInactive[Run{Task: ref, Run: t.Run}] })
	for _, stop := range stops {
		if interruptions.Admit(stop) {
			_, t, _ := s.Task(stop.Task)
			s.stopRun(stop.Task, t)
		}
	}
}

// applyWithdrawn lets long-running runs go on that were to stop.
func (s *State) applyWithdrawn(runs []Run) {
	for _, run := range runs {
		j, t, ok := s.Task(run.Task)
		if !ok || t.Run != run.Run || t.Phase != Stopping || j.State.Final() || !j.Steps[run.Task.Step].LongRunning {
			continue
		}
		t.Phase = Placed
		if p := s.runs[t.Worker][run.Task]; p != nil {
			p.Stopping = false
		}
	}
}

// applyOrdered records the machines whose maintenance is about to be ordered, except those on which
// a long-running task is placed.
func (s *State) applyOrdered(ordered []WaveMachine) {
	if len(ordered) == 0 {
		return
	}
	occupied := map[string]bool{}
	for _, runs := range s.runs {
		for _, p := range runs {
			if p.LongRunning {
				occupied[p.Machine] = true
			}
		}
	}
	for _, m := range ordered {
		if w, ok := s.Waves[m.Wave]; ok && !occupied[m.Machine] {
			w.Ordered[m.Machine] = true
		}
	}
}
