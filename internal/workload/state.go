package workload

import "github.com/samphirefork/samphirefork/internal/runtimes"

// Placement is a run that occupies a worker.
type Placement struct {
	// Run is the number of the run.
	Run int
	// Occupies is the part of the worker's capacity that the run takes.
	Occupies Resources
	// Team is the team that the run belongs to, and TeamUsage the amount that counts
	// against the team's limit.
	Team      string
	TeamUsage Resources
	// Stopping is true when the run is to stop or was abandoned.
	Stopping bool
	// PlacedAt is the cluster time, in milliseconds, at which the run was placed.
	PlacedAt int64
	// StartedAt is the cluster time, in milliseconds, at which the run started; 0 until a report has
	// shown that it did.
	StartedAt int64
	// Machine is the machine that the worker runs on.
	Machine string
	// LongRunning is true for a run that ends only when it is stopped.
	LongRunning bool
	// CrashScore is that of the run's task.
	CrashScore int
}

// State is the replicated state. Only Apply changes it; after decoding it, call Rebuild.
type State struct {
	Config Config          `cbor:"1,keyasint"`
	Jobs   map[string]*Job `cbor:"2,keyasint"`
	Waves  map[int64]*Wave `cbor:"3,keyasint"`
	// Evacuations holds the data centres that are evacuated, by name.
	Evacuations map[string]Evacuation `cbor:"4,keyasint,omitempty"`
	// RunTimes holds what was learned of the run times of tasks. It is not nil.
	RunTimes *runtimes.Table `cbor:"5,keyasint,omitempty"`

	// Format is the version of the encoding; see migrate.
	Format int `cbor:"6,keyasint,omitempty"`

	// WithdrawnKeys holds the last keys of the teams that have jobs and no key any more.
	WithdrawnKeys map[string][]string `cbor:"7,keyasint,omitempty"`

	// now is the highest cluster time of a command since the state was decoded.
	now int64
	// The indices below are derived from the fields above; see Rebuild. active holds the
	// jobs that have not ended, runs the runs that occupy each worker, and teamUse the sum
	// of what each team's runs request.
	active  map[string]*Job
	runs    map[WorkerIncarnation]map[TaskRef]*Placement
	teamUse map[string]Resources
	// queues holds the queues of the configuration by key.
	queues map[QueueKey]Queue
	// activeTasks is the number of tasks of the active jobs, in all of their occurrences.
	activeTasks int
	// activeBytes is about the memory of the active jobs.
	activeBytes int64
}

// NewState returns an empty state.
func NewState() *State {
	s := &State{Format: stateFormat}
	s.Rebuild()
	return s
}

// Rebuild computes the indices of a state that was decoded or cloned.
func (s *State) Rebuild() {
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	if s.Evacuations == nil {
		s.Evacuations = map[string]Evacuation{}
	}
	if s.RunTimes == nil {
		s.RunTimes = &runtimes.Table{}
	}
	s.migrate()
	s.RunTimes.Rebuild()
	s.indexQueues()
	for _, w := range s.Waves {
		if w.Begun == nil {
			w.Begun = map[string]bool{}
		}
		if w.Ordered == nil {
			w.Ordered = map[string]bool{}
		}
	}
	s.active = map[string]*Job{}
	s.activeTasks, s.activeBytes = 0, 0
	s.runs = map[WorkerIncarnation]map[TaskRef]*Placement{}
	s.teamUse = map[string]Resources{}
	for _, j := range s.Jobs {
		// A decoded job has copies of the texts.
		if q, ok := s.queues[j.QueueKey]; ok {
			j.QueueKey = q.Key()
		}
		if !j.State.Final() {
			s.addActive(j)
		}
		for k, o := range j.Occurrences {
			for step := range o.Steps {
				s.rebuildStep(j, k, step, &o.Steps[step])
			}
		}
	}
}

func (s *State) rebuildStep(j *Job, occurrence, step int, p *StepProgress) {
	p.waiting, p.onWorkers, p.done = 0, 0, 0
	tickets := map[string]string{}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		t.Ticket = shared(tickets, t.Ticket)
		p.addToCount(t.Phase, 1)
		ref := TaskRef{Job: j.ID, Occurrence: occurrence, Step: step, Index: i}
		for _, a := range t.Abandoned {
			s.addRun(j, ref, t, a, true)
		}
		if t.Phase == Placed || t.Phase == Stopping {
			s.addRun(j, ref, t, t.currentRun(), t.Phase == Stopping)
		}
	}
}

// shared returns the text in the memory of an equal one that came before. A decoded state has a
// copy for each task.
func shared(known map[string]string, text string) string {
	if text == "" {
		return ""
	}
	if same, ok := known[text]; ok {
		return same
	}
	known[text] = text
	return text
}

// addToCount adds to the number of tasks in a phase.
func (p *StepProgress) addToCount(phase Phase, by int) {
	switch phase {
	case Waiting:
		p.waiting += by
	case Done:
		p.done += by
	default:
		p.onWorkers += by
	}
}

// setPhase moves a task of the step to another phase and updates the numbers of tasks.
func (p *StepProgress) setPhase(t *Task, phase Phase) {
	p.addToCount(t.Phase, -1)
	t.Phase = phase
	p.addToCount(phase, 1)
}

// currentRun returns the latest run of the task.
func (t *Task) currentRun() PlacedRun {
	return PlacedRun{Run: t.Run, Worker: t.Worker, PlacedAt: t.PlacedAt, StartedAt: t.StartedAt, Machine: t.Machine}
}

// addRun adds a run of the task to the indices of its worker and team.
func (s *State) addRun(j *Job, ref TaskRef, t *Task, run PlacedRun, stopping bool) {
	step := &j.Steps[ref.Step]
	runs := s.runs[run.Worker]
	if runs == nil {
		runs = map[TaskRef]*Placement{}
		s.runs[run.Worker] = runs
	}
	runs[ref] = &Placement{
		Run: run.Run, Occupies: step.Occupies(), Team: j.Team, TeamUsage: step.Size,
		Stopping: stopping, PlacedAt: run.PlacedAt, StartedAt: run.StartedAt, LongRunning: step.LongRunning, Machine: run.Machine,
		CrashScore: t.CrashScore,
	}
	s.teamUse[j.Team] = s.teamUse[j.Team].Plus(step.Size)
}

// removeRun removes a task's run on the worker from the indices, if there is one.
func (s *State) removeRun(j *Job, ref TaskRef, worker WorkerIncarnation) {
	runs := s.runs[worker]
	p, ok := runs[ref]
	if !ok {
		return
	}
	delete(runs, ref)
	if len(runs) == 0 {
		delete(s.runs, worker)
	}
	s.teamUse[j.Team] = s.teamUse[j.Team].Minus(p.TeamUsage)
}

func (s *State) addActive(j *Job) {
	s.active[j.ID] = j
	s.activeTasks += j.TotalTasks()
	s.activeBytes += j.Bytes()
}

func (s *State) removeActive(j *Job) {
	delete(s.active, j.ID)
	s.activeTasks -= j.TotalTasks()
	s.activeBytes -= j.Bytes()
}

// TotalTasks returns the number of tasks of the job in all of its occurrences.
func (j *Job) TotalTasks() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks * max(j.Repetitions, 1)
}

// ActiveTasks returns the number of tasks of the active jobs, in all of their occurrences,
// whatever their phase.
func (s *State) ActiveTasks() int { return s.activeTasks }

// ActiveBytes returns about the memory that the active jobs take; see Job.Bytes.
func (s *State) ActiveBytes() int64 { return s.activeBytes }

// Active returns the jobs that have not ended, by identifier. The map must not be changed.
func (s *State) Active() map[string]*Job { return s.active }

// RunsOn returns the runs that occupy a worker, by task. A run occupies its worker until
// its end is applied. The map must not be changed.
func (s *State) RunsOn(w WorkerIncarnation) map[TaskRef]*Placement { return s.runs[w] }

// RunsByWorker returns the runs that occupy each worker, as RunsOn does. It has no entry
// for workers without runs. The map must not be changed.
func (s *State) RunsByWorker() map[WorkerIncarnation]map[TaskRef]*Placement { return s.runs }

// TeamUse returns the sum of what the team's runs request, including those that are to
// stop.
func (s *State) TeamUse(team string) Resources { return s.teamUse[team] }

// Task returns a task and its job, or false if there is no such task.
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

// Ready reports whether all steps that the given step depends on are finished.
func (o *Occurrence) Ready(j *Job, step int) bool {
	for _, dependency := range j.Steps[step].After {
		if dependency < 0 || dependency >= len(o.Steps) || !o.Steps[dependency].Finished() {
			return false
		}
	}
	return true
}

// WaitingJobs returns the number of jobs of a queue that have not started any task.
func (s *State) WaitingJobs(queue QueueKey) int {
	n := 0
	for _, j := range s.active {
		if j.QueueKey == queue && j.State == JobQueued {
			n++
		}
	}
	return n
}
