// Package workload is the replicated state of jobs that consist of steps of
// tasks: the configuration that admits them, their tasks and runs, and the
// maintenance waves of the workers' machines.
//
// The package does no I/O and reads no clock. State.Apply is deterministic.
//
// Invariant: a task has at most one run that has not ended, unless its step is
// speculative. A run ends when its worker lists the end, when the worker's lease
// has run out, or when the worker's life is over; only an applied End frees the
// task for its next run. State.applyStart is the only place that begins a run.
package workload

import "strconv"

// Resources is an amount of each resource kind.
type Resources struct {
	CPUMilli     int64 `cbor:"1,keyasint,omitempty" json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// Plus returns the sum of both amounts.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.CPUMilli + o.CPUMilli, r.MemoryMiB + o.MemoryMiB, r.Accelerators + o.Accelerators}
}

// Minus returns the difference of both amounts.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.CPUMilli - o.CPUMilli, r.MemoryMiB - o.MemoryMiB, r.Accelerators - o.Accelerators}
}

// Fits tells whether r is at most room in each kind.
func (r Resources) Fits(room Resources) bool {
	return r.CPUMilli <= room.CPUMilli && r.MemoryMiB <= room.MemoryMiB && r.Accelerators <= room.Accelerators
}

// WithinLimit tells whether r is at most limit in each kind; 0 is no limit.
func (r Resources) WithinLimit(limit Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(r.CPUMilli, limit.CPUMilli) && within(r.MemoryMiB, limit.MemoryMiB) &&
		within(r.Accelerators, limit.Accelerators)
}

// Config is one complete configuration. The highest version wins.
type Config struct {
	Version int64 `cbor:"1,keyasint"`
	// Document is the configuration as the operator sent it.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Fingerprint is equal for documents with equal content.
	Fingerprint uint64           `cbor:"6,keyasint,omitempty"`
	Queues      map[string]Queue `cbor:"3,keyasint,omitempty"`
	Pools       map[string]Pool  `cbor:"4,keyasint,omitempty"`
	Teams       map[string]Team  `cbor:"5,keyasint,omitempty"`
}

// Queue takes jobs for one pool.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	Pool       string `cbor:"4,keyasint"`
	// Priority 0 comes first.
	Priority    int `cbor:"5,keyasint,omitempty"`
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// Stretch times the longest chain of work, and TargetLatencyMS more, is the
	// time after acceptance within which a job should be complete.
	Stretch         float64 `cbor:"7,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"8,keyasint,omitempty"`
	// Open queues take jobs without a key.
	Open bool `cbor:"9,keyasint,omitempty"`
	// Advice is set when only approved workers may run the queue's steps.
	Advice *Advice `cbor:"10,keyasint,omitempty"`
}

// Advice describes the service that approves workers for the steps of a queue.
type Advice struct {
	DecisionMS  int64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMS int64 `cbor:"2,keyasint,omitempty"`
	ValidityMS  int64 `cbor:"3,keyasint,omitempty"`
}

// Pool is a set of workers that run the tasks of the pool's queues.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// RejectsOverload is true when the workers refuse what exceeds their capacity.
	RejectsOverload bool `cbor:"2,keyasint,omitempty"`
	// Spare pools hold machines that are off.
	Spare      bool   `cbor:"3,keyasint,omitempty"`
	HealthPath string `cbor:"4,keyasint,omitempty"`
}

// Team owns keys, a weight for when all is full, and a limit on what it runs.
type Team struct {
	Name   string    `cbor:"1,keyasint"`
	Keys   []string  `cbor:"2,keyasint,omitempty"`
	Weight int64     `cbor:"3,keyasint,omitempty"`
	Limit  Resources `cbor:"4,keyasint,omitempty"`
	// Priority 0 comes first.
	Priority int `cbor:"5,keyasint,omitempty"`
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count       int       `cbor:"1,keyasint" json:"count"`
	Size        Resources `cbor:"2,keyasint" json:"size"`
	EstimatedMS int64     `cbor:"3,keyasint,omitempty" json:"estimated_ms,omitempty"`
	// After lists earlier steps, counted from 0, whose tasks must all be done first.
	After        []int  `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	Checkpoints  bool   `cbor:"5,keyasint,omitempty" json:"checkpoints,omitempty"`
	Gang         bool   `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`
	SameRack     bool   `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`
	Label        string `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	DataRack     string `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`
	MaxPerWorker int    `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"`
	Speculative  bool   `cbor:"11,keyasint,omitempty" json:"speculative,omitempty"`
	// LongRunning tasks run until their job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty" json:"long_running,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// TargetTailMS is the bound on the tail of a serving task's response times.
	TargetTailMS int64 `cbor:"14,keyasint,omitempty" json:"target_tail_ms,omitempty"`
	// FillsIdle tasks use what the others leave; their processor request does not
	// count against a worker's capacity.
	FillsIdle bool `cbor:"15,keyasint,omitempty" json:"fills_idle,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the system may
	// keep from work at once.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"max_unavailable,omitempty"`
}

// Occupies is what one task of the step takes of a worker's capacity.
func (s *Step) Occupies() Resources {
	r := s.Size
	if s.FillsIdle {
		r.CPUMilli = 0
	}
	return r
}

// TaskRef names one task of one occurrence of a job.
type TaskRef struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index"`
}

// String returns the name of the task in logs.
func (r TaskRef) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// WorkerIncarnation is one run of a worker's process. A restarted worker may keep its
// identifier; Born tells its lives apart.
type WorkerIncarnation struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Born int64  `cbor:"2,keyasint,omitempty" json:"born"`
}

// Phase is the state of a task.
type Phase uint8

// Phases of a task. A task that is stopping still occupies its worker.
const (
	Waiting Phase = iota
	Placed
	Stopping
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Run is the number of the latest start; 0 before the first.
	Run      int               `cbor:"2,keyasint,omitempty"`
	Failures int               `cbor:"3,keyasint,omitempty"`
	Worker   WorkerIncarnation `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the newest saved state, empty when there is none.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// PlacedAt and EndedAt are cluster times of the latest run.
	PlacedAt int64  `cbor:"6,keyasint,omitempty"`
	EndedAt  int64  `cbor:"7,keyasint,omitempty"`
	Ticket   string `cbor:"8,keyasint,omitempty"`
	// Abandoned are earlier runs of a speculative step whose workers are silent. Each
	// occupies its worker until its end is known, and ends the task if it is done first.
	// The slice is replaced as a whole, since copies of the state share it.
	Abandoned []PlacedRun `cbor:"9,keyasint,omitempty"`
	// DoneByCopy is set when an abandoned run was done while a later one was placed:
	// the task is done when the later one has stopped.
	DoneByCopy bool `cbor:"10,keyasint,omitempty"`
	// Machine is the machine of Worker, by which a new leader recognises workers that
	// are gone before it has heard them.
	Machine string `cbor:"11,keyasint,omitempty"`
}

// PlacedRun is a run and where it was placed.
type PlacedRun struct {
	Run      int               `cbor:"1,keyasint"`
	Worker   WorkerIncarnation `cbor:"2,keyasint"`
	PlacedAt int64             `cbor:"3,keyasint,omitempty"`
	Machine  string            `cbor:"4,keyasint,omitempty"`
}

// JobState is what callers see of a job.
type JobState string

// States of a job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final tells whether the job starts no further task.
func (s JobState) Final() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }

// Job is an accepted job.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	// Pool is the queue's pool at acceptance, for queues that no longer exist.
	Pool          string   `cbor:"3,keyasint"`
	Team          string   `cbor:"4,keyasint,omitempty"`
	Specification string   `cbor:"5,keyasint,omitempty"`
	Fingerprint   uint64   `cbor:"6,keyasint,omitempty"`
	Steps         []Step   `cbor:"7,keyasint,omitempty"`
	Repetitions   int      `cbor:"8,keyasint,omitempty"`
	FirstRunMS    int64    `cbor:"9,keyasint,omitempty"`
	IntervalMS    int64    `cbor:"10,keyasint,omitempty"`
	State         JobState `cbor:"11,keyasint"`
	AcceptedAt    int64    `cbor:"12,keyasint,omitempty"`
	EndedAt       int64    `cbor:"13,keyasint,omitempty"`
	// ObjectiveMS is the time after acceptance within which the job should be
	// complete.
	ObjectiveMS int64 `cbor:"14,keyasint,omitempty"`
	MaxAttempts int   `cbor:"15,keyasint,omitempty"`
	Priority    int   `cbor:"16,keyasint,omitempty"`
	// Occurrences holds those that have begun; a job that is not repeated has one.
	Occurrences map[int]*Occurrence `cbor:"17,keyasint,omitempty"`
	// Finished counts the occurrences that are complete.
	Finished int `cbor:"18,keyasint,omitempty"`
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	DueAt int64          `cbor:"1,keyasint,omitempty"`
	Steps []StepProgress `cbor:"2,keyasint"`
}

// StepProgress is the progress of one step of an occurrence.
type StepProgress struct {
	Tasks []Task `cbor:"1,keyasint"`
	// GangRun and GangFailures count the failures of a gang: its members share
	// a run, which fails once.
	GangRun      int `cbor:"2,keyasint,omitempty"`
	GangFailures int `cbor:"3,keyasint,omitempty"`

	waiting, placed, done int
}

// Waiting, Occupying and Finished count the tasks of the step.
func (p *StepProgress) Waiting() int { return p.waiting }

// OnWorkers counts the tasks that are placed or stopping.
func (p *StepProgress) OnWorkers() int { return p.placed }

// Finished tells whether all tasks are done.
func (p *StepProgress) Finished() bool { return p.done == len(p.Tasks) }

// Wave is a request to maintain machines, a bounded number at once.
type Wave struct {
	Number     int64    `cbor:"1,keyasint"`
	Machines   []string `cbor:"2,keyasint"`
	DurationMS int64    `cbor:"3,keyasint,omitempty"`
	MaxDown    int      `cbor:"4,keyasint,omitempty"`
	StartedAt  int64    `cbor:"5,keyasint,omitempty"`
	// Begun holds the machines whose maintenance has begun, or that are gone.
	Begun map[string]bool `cbor:"6,keyasint,omitempty"`
	// Ordered holds the machines whose maintenance may have been ordered. It is
	// recorded before the order leaves, so that a later leader counts the machine.
	Ordered map[string]bool `cbor:"7,keyasint,omitempty"`
}

// Complete tells whether the maintenance of every machine has begun.
func (w *Wave) Complete() bool {
	for _, m := range w.Machines {
		if !w.Begun[m] {
			return false
		}
	}
	return true
}
