package workload

// Placement is what a run occupies on a worker.
type Placement struct {
	Run      int
	Occupies Resources
	// Team and Quota are what the run counts against.
	Team      string
	TeamUsage Resources
	Stopping  bool
	PlacedAt  int64
	// Machine is the worker's machine.
	Machine string
	// LongRunning runs end only when they are stopped.
	LongRunning bool
}

// State is the replicated state. Only Apply changes it.
type State struct {
	Config Config          `cbor:"1,keyasint"`
	Jobs   map[string]*Job `cbor:"2,keyasint"`
	Waves  map[int64]*Wave `cbor:"3,keyasint"`

	// The indices below are rebuilt from the fields above.
	now      int64
	active   map[string]*Job
	occupied map[WorkerIncarnation]map[TaskRef]*Placement
	teamUse  map[string]Resources
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{}
	s.Rebuild()
	return s
}

// Rebuild computes the indices, after a snapshot was decoded.
func (s *State) Rebuild() {
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	for _, w := range s.Waves {
		if w.Begun == nil {
			w.Begun = map[string]bool{}
		}
		if w.Ordered == nil {
			w.Ordered = map[string]bool{}
		}
	}
	s.active = map[string]*Job{}
	s.occupied = map[WorkerIncarnation]map[TaskRef]*Placement{}
	s.teamUse = map[string]Resources{}
	for id, j := range s.Jobs {
		if !j.State.Final() {
			s.active[id] = j
		}
		for k, o := range j.Occurrences {
			for step := range o.Steps {
				s.rebuildStep(j, k, step, &o.Steps[step])
			}
		}
	}
}

func (s *State) rebuildStep(j *Job, occurrence, step int, p *StepProgress) {
	p.waiting, p.placed, p.done = 0, 0, 0
	for i := range p.Tasks {
		t := &p.Tasks[i]
		p.count(t.Phase, 1)
		ref := TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
		for _, a := range t.Abandoned {
			s.occupy(j, ref, a, true)
		}
		if t.Phase == Placed || t.Phase == Stopping {
			s.occupy(j, ref, t.present(), t.Phase == Stopping)
		}
	}
}

func (p *StepProgress) count(phase Phase, by int) {
	switch phase {
	case Waiting:
		p.waiting += by
	case Done:
		p.done += by
	default:
		p.placed += by
	}
}

// set moves a task of the step to another phase.
func (p *StepProgress) set(t *Task, phase Phase) {
	p.count(t.Phase, -1)
	t.Phase = phase
	p.count(phase, 1)
}

// present returns the task's present run.
func (t *Task) present() PlacedRun {
	return PlacedRun{Run: t.Run, Worker: t.Worker, PlacedAt: t.PlacedAt, Machine: t.Machine}
}

func (s *State) occupy(j *Job, ref TaskRef, run PlacedRun, stopping bool) {
	step := &j.Steps[ref.Step]
	runs := s.occupied[run.Worker]
	if runs == nil {
		runs = map[TaskRef]*Placement{}
		s.occupied[run.Worker] = runs
	}
	runs[ref] = &Placement{
		Run: run.Run, Occupies: step.Occupies(), Team: j.Team, TeamUsage: step.Size,
		Stopping: stopping, PlacedAt: run.PlacedAt, LongRunning: step.LongRunning, Machine: run.Machine,
	}
	s.teamUse[j.Team] = s.teamUse[j.Team].Plus(step.Size)
}

func (s *State) release(j *Job, ref TaskRef, worker WorkerIncarnation) {
	runs := s.occupied[worker]
	p, ok := runs[ref]
	if !ok {
		return
	}
	delete(runs, ref)
	if len(runs) == 0 {
		delete(s.occupied, worker)
	}
	s.teamUse[j.Team] = s.teamUse[j.Team].Minus(p.TeamUsage)
}

// Active returns the jobs that may still start tasks. The map must not be changed.
func (s *State) Active() map[string]*Job { return s.active }

// RunsOn returns the runs that occupy a worker. The map must not be changed.
func (s *State) RunsOn(w WorkerIncarnation) map[TaskRef]*Placement { return s.occupied[w] }

// RunsByWorker returns the worker lives with runs that have not ended.
func (s *State) RunsByWorker() map[WorkerIncarnation]map[TaskRef]*Placement { return s.occupied }

// TeamUse returns what the team has running or stopping.
func (s *State) TeamUse(team string) Resources { return s.teamUse[team] }

// Task returns a task and its job, or false.
func (s *State) Task(ref TaskRef) (*Job, *Task, bool) {
	j, ok := s.Jobs[ref.Job]
	if !ok {
		return nil, nil, false
	}
	o, ok := j.Occurrences[ref.Occurrence]
	if !ok || ref.Step < 0 || ref.Step >= len(o.Steps) {
		return nil, nil, false
	}
	tasks := o.Steps[ref.Step].Tasks
	if ref.Index < 0 || ref.Index >= len(tasks) {
		return nil, nil, false
	}
	return j, &tasks[ref.Index], true
}

// PoolOf returns the pool that runs the job: that of its queue in the present
// configuration, or the one at acceptance when the queue is gone.
func (s *State) PoolOf(j *Job) string {
	if q, ok := s.Config.Queues[j.Queue]; ok {
		return q.Pool
	}
	return j.Pool
}

// MaxAttempts returns how many runs of a task of the job may fail.
func (s *State) MaxAttempts(j *Job) int {
	if q, ok := s.Config.Queues[j.Queue]; ok {
		return q.MaxAttempts
	}
	return j.MaxAttempts
}

// Ready tells whether the steps that the step waits for are finished.
func (o *Occurrence) Ready(j *Job, step int) bool {
	for _, before := range j.Steps[step].After {
		if before < 0 || before >= len(o.Steps) || !o.Steps[before].Finished() {
			return false
		}
	}
	return true
}

// WaitingJobs counts the jobs of a queue that have not begun any task.
func (s *State) WaitingJobs(queue string) int {
	n := 0
	for _, j := range s.active {
		if j.Queue == queue && j.State == JobQueued {
			n++
		}
	}
	return n
}
