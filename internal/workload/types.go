// Package workload is the replicated state of jobs that consist of steps of tasks: the
// configuration under which they are accepted, their tasks and runs, and the maintenance
// waves of the workers' machines.
//
// The package does no I/O and reads no clock. State.Apply is deterministic. Points in
// time are cluster times in milliseconds unless a field says otherwise.
//
// Invariant: a task has at most one run that has not ended, unless its step is
// speculative. A run ends when its worker reports the end, when the worker's lease has
// expired, or when the worker's incarnation is over. Only an applied End frees the task
// for its next run. State.applyStart is the only place that starts a run.
package workload

import "strconv"

// Resources is an amount of each kind of resource. CPUMilli counts thousandths of a core.
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

// Fits reports whether r is at most available in each kind.
func (r Resources) Fits(available Resources) bool {
	return r.CPUMilli <= available.CPUMilli && r.MemoryMiB <= available.MemoryMiB && r.Accelerators <= available.Accelerators
}

// WithinLimit reports whether r is at most limit in each kind. A limit of 0 is no limit.
func (r Resources) WithinLimit(limit Resources) bool {
	within := func(amount, limit int64) bool { return limit == 0 || amount <= limit }
	return within(r.CPUMilli, limit.CPUMilli) && within(r.MemoryMiB, limit.MemoryMiB) &&
		within(r.Accelerators, limit.Accelerators)
}

// Config is one complete configuration. The highest version is in force.
type Config struct {
	Version int64 `cbor:"1,keyasint"`
	// Document is the configuration file as the operator sent it, if there is one.
	Document []byte `cbor:"2,keyasint,omitempty"`
	// Fingerprint is a hash that is equal for documents with equal content.
	Fingerprint uint64           `cbor:"6,keyasint,omitempty"`
	Queues      map[string]Queue `cbor:"3,keyasint,omitempty"`
	Pools       map[string]Pool  `cbor:"4,keyasint,omitempty"`
	Teams       map[string]Team  `cbor:"5,keyasint,omitempty"`
}

// Queue accepts jobs whose tasks run in one pool. On the platform, callers reach it by
// Host and PathPrefix.
type Queue struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	PathPrefix string `cbor:"3,keyasint"`
	Pool       string `cbor:"4,keyasint"`
	// Priority orders the queues; 0 is served first.
	Priority int `cbor:"5,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs of a task at which its job fails.
	MaxAttempts int `cbor:"6,keyasint,omitempty"`
	// A job should be complete within Stretch times LongestChainMS of its steps, plus
	// TargetLatencyMS, after its acceptance.
	Stretch         float64 `cbor:"7,keyasint,omitempty"`
	TargetLatencyMS int64   `cbor:"8,keyasint,omitempty"`
	// Open is true when the queue accepts jobs from callers without a key.
	Open bool `cbor:"9,keyasint,omitempty"`
	// Advice is set when only workers that the advice service has approved may run the
	// tasks of the queue.
	Advice *Advice `cbor:"10,keyasint,omitempty"`
}

// Advice describes the service that approves workers for the steps of a queue.
type Advice struct {
	// DecisionMS and PerWorkerMS are the declared time of a decision: a fixed part, and
	// a part for each worker that it covers.
	DecisionMS  int64 `cbor:"1,keyasint,omitempty"`
	PerWorkerMS int64 `cbor:"2,keyasint,omitempty"`
	// ValidityMS is the time for which an approval is valid.
	ValidityMS int64 `cbor:"3,keyasint,omitempty"`
}

// Pool is a set of workers that run the tasks of the pool's queues.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// RejectsOverload is true when the workers refuse tasks that exceed their capacity.
	RejectsOverload bool `cbor:"2,keyasint,omitempty"`
	// Spare is true for the spare pool, whose machines are switched off.
	Spare      bool   `cbor:"3,keyasint,omitempty"`
	HealthPath string `cbor:"4,keyasint,omitempty"`
}

// Team is a group of callers with common keys, a weight and a limit.
type Team struct {
	Name string   `cbor:"1,keyasint"`
	Keys []string `cbor:"2,keyasint,omitempty"`
	// Weight determines the team's share of a full pool, relative to the other teams.
	Weight int64 `cbor:"3,keyasint,omitempty"`
	// Limit bounds what the team's tasks request at the same time. An amount of 0 is no
	// limit.
	Limit Resources `cbor:"4,keyasint,omitempty"`
	// Priority orders the teams; 0 is first. Placement does not use it.
	Priority int `cbor:"5,keyasint,omitempty"`
}

// Step is a number of identical tasks of a job.
type Step struct {
	Count int `cbor:"1,keyasint" json:"count"`
	// Size is what one task requests.
	Size Resources `cbor:"2,keyasint" json:"size"`
	// EstimatedMS is the declared run time of one task.
	EstimatedMS int64 `cbor:"3,keyasint,omitempty" json:"estimated_ms,omitempty"`
	// After lists the indices of earlier steps, from 0, whose tasks must all be done
	// before the step starts.
	After []int `cbor:"4,keyasint,omitempty" json:"after,omitempty"`
	// Checkpoints is true when the tasks save their progress, so that the next run of a
	// stopped task continues from there.
	Checkpoints bool `cbor:"5,keyasint,omitempty" json:"checkpoints,omitempty"`
	// Gang is true when the tasks must all start together and stop together.
	Gang bool `cbor:"6,keyasint,omitempty" json:"gang,omitempty"`
	// SameRack is true for a gang that should run in one rack if possible.
	SameRack bool `cbor:"7,keyasint,omitempty" json:"same_rack,omitempty"`
	// Label is a label that the step's workers must have; empty when any worker will do.
	Label string `cbor:"8,keyasint,omitempty" json:"label,omitempty"`
	// DataRack is the rack with the step's data, which is preferred for its tasks.
	DataRack string `cbor:"9,keyasint,omitempty" json:"data_rack,omitempty"`
	// MaxPerWorker bounds the step's tasks on one worker; 0 is no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty" json:"max_per_worker,omitempty"`
	// Speculative is true when several runs of a task may go on at once, so that a task
	// can start on another worker while its own is silent.
	Speculative bool `cbor:"11,keyasint,omitempty" json:"speculative,omitempty"`
	// LongRunning is true when the tasks run until their job is cancelled.
	LongRunning bool   `cbor:"12,keyasint,omitempty" json:"long_running,omitempty"`
	Image       string `cbor:"13,keyasint,omitempty" json:"image,omitempty"`
	// TargetTailMS is the target for the tail of the response times of a task that
	// serves requests.
	TargetTailMS int64 `cbor:"14,keyasint,omitempty" json:"target_tail_ms,omitempty"`
	// FillsIdle is true when the tasks use only processor time that other tasks leave
	// idle. Their processor request does not count against a worker's capacity.
	FillsIdle bool `cbor:"15,keyasint,omitempty" json:"fills_idle,omitempty"`
	// MaxUnavailable bounds the tasks of a long-running step that the system may
	// interrupt at the same time; 0 counts as 1.
	MaxUnavailable int `cbor:"16,keyasint,omitempty" json:"max_unavailable,omitempty"`
}

// Occupies returns the part of a worker's capacity that one task of the step takes.
func (s *Step) Occupies() Resources {
	r := s.Size
	if s.FillsIdle {
		r.CPUMilli = 0
	}
	return r
}

// maxTaskWorkMilliMS bounds the work of one task, so that sums over all tasks do
// not overflow. It is 32 cores for eight hours.
const maxTaskWorkMilliMS = 1_000_000_000_000

// WorkMilliMS returns the work of one task that runs for runMS milliseconds, in thousandths
// of a core times milliseconds, at most 10^12.
func (s *Step) WorkMilliMS(runMS int64) int64 {
	return min(s.Size.CPUMilli*max(runMS, 0), maxTaskWorkMilliMS)
}

// TaskRef identifies one task of one occurrence of a job. Occurrence, Step and Index count
// from 0.
type TaskRef struct {
	Job        string `cbor:"1,keyasint" json:"job"`
	Occurrence int    `cbor:"2,keyasint,omitempty" json:"occurrence"`
	Step       int    `cbor:"3,keyasint,omitempty" json:"step"`
	Index      int    `cbor:"4,keyasint,omitempty" json:"index"`
}

// String returns the task as JOB.OCCURRENCE.STEP.INDEX.
func (r TaskRef) String() string {
	return r.Job + "." + strconv.Itoa(r.Occurrence) + "." + strconv.Itoa(r.Step) + "." + strconv.Itoa(r.Index)
}

// WorkerIncarnation identifies one run of a worker's process. A restarted worker may keep
// its ID, and then has a larger Born.
type WorkerIncarnation struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Born int64  `cbor:"2,keyasint,omitempty" json:"born"`
}

// Phase is the state of a task.
type Phase uint8

// Phases of a task. Placed and Stopping tasks occupy a worker.
const (
	// Waiting tasks are to be started.
	Waiting Phase = iota
	// Placed tasks have a run that was assigned to a worker. Task.StartedAt tells whether it has
	// started there.
	Placed
	// Stopping tasks have a run that is to stop and has not ended yet.
	Stopping
	// Done tasks need no further run.
	Done
)

// Task is the progress of one task.
type Task struct {
	Phase Phase `cbor:"1,keyasint,omitempty"`
	// Run is the number of the latest run; 0 before the first.
	Run int `cbor:"2,keyasint,omitempty"`
	// Failures is the number of runs that ended with OutcomeFailed.
	Failures int               `cbor:"3,keyasint,omitempty"`
	Worker   WorkerIncarnation `cbor:"4,keyasint,omitempty"`
	// Checkpoint is the latest progress that the task saved; empty when there is none.
	Checkpoint string `cbor:"5,keyasint,omitempty"`
	// PlacedAt is when the latest run was placed, and EndedAt when a run last ended that had
	// started or crashed its worker.
	PlacedAt int64 `cbor:"6,keyasint,omitempty"`
	EndedAt  int64 `cbor:"7,keyasint,omitempty"`
	// Ticket is the ticket of the worker's approval; empty when none was needed.
	Ticket string `cbor:"8,keyasint,omitempty"`
	// Abandoned are earlier runs of a speculative task, on workers that fell silent. Each
	// occupies its worker until its end is known. If it is done first, so is the task.
	// The slice is never changed in place, since clones of the state share it.
	Abandoned []PlacedRun `cbor:"9,keyasint,omitempty"`
	// DoneByCopy is true when an abandoned run was done while a later run was placed. The
	// task is done once the later run has stopped.
	DoneByCopy bool `cbor:"10,keyasint,omitempty"`
	// Machine is the machine of Worker. It lets a new leader recognise that a worker is
	// gone which has never reported to it.
	Machine string `cbor:"11,keyasint,omitempty"`
	// CrashScore is the evidence that the task crashes the workers that run it; see
	// CrashScoreUnreported.
	CrashScore int `cbor:"12,keyasint,omitempty"`
	// StartedAt is when the latest run started, or 0 if no report of its worker has shown that it
	// did. Only State.confirmStart sets it.
	StartedAt int64 `cbor:"13,keyasint,omitempty"`
}

// PlacedRun is a run and the worker that it was placed on.
type PlacedRun struct {
	Run      int               `cbor:"1,keyasint"`
	Worker   WorkerIncarnation `cbor:"2,keyasint"`
	PlacedAt int64             `cbor:"3,keyasint,omitempty"`
	Machine  string            `cbor:"4,keyasint,omitempty"`
	// StartedAt is when the run started, or 0 if no report has shown that it did.
	StartedAt int64 `cbor:"5,keyasint,omitempty"`
}

// JobState is the state of a job, as callers see it.
type JobState string

// States of a job. A job is running once a worker has reported a run of one of its tasks.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// Final reports whether the job has ended and starts no further task.
func (s JobState) Final() bool { return s == JobCompleted || s == JobFailed || s == JobCancelled }

// Job is an accepted job. Once it has ended and none of its runs occupies a worker, its
// Specification, Steps and Occurrences are dropped.
type Job struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue at acceptance; see State.QueueName.
	Queue string `cbor:"2,keyasint"`
	// Pool is the queue's pool at acceptance. It is used when the queue is not known any more.
	Pool string `cbor:"3,keyasint"`
	// Team is the present name of the job's team.
	Team string `cbor:"4,keyasint,omitempty"`
	// Specification is passed to each task unread.
	Specification string `cbor:"5,keyasint,omitempty"`
	// Fingerprint is a hash of the submission, which tells a repetition from another job.
	Fingerprint uint64 `cbor:"6,keyasint,omitempty"`
	Steps       []Step `cbor:"7,keyasint,omitempty"`
	// Repetitions is the number of occurrences of a repeated job; 0 for any other.
	Repetitions int `cbor:"8,keyasint,omitempty"`
	// FirstRunMS is when the first occurrence is due, in milliseconds of Unix time.
	FirstRunMS int64 `cbor:"9,keyasint,omitempty"`
	// IntervalMS is the time between two occurrences.
	IntervalMS int64    `cbor:"10,keyasint,omitempty"`
	State      JobState `cbor:"11,keyasint"`
	AcceptedAt int64    `cbor:"12,keyasint,omitempty"`
	EndedAt    int64    `cbor:"13,keyasint,omitempty"`
	// ObjectiveMS is the time within which the job should be complete after its
	// acceptance, and an occurrence of a repeated job after it was due.
	ObjectiveMS int64 `cbor:"14,keyasint,omitempty"`
	// MaxAttempts is that of the queue at acceptance. It is used when the queue is not known any more.
	MaxAttempts int `cbor:"15,keyasint,omitempty"`
	// Priority is that of the queue at acceptance.
	Priority int `cbor:"16,keyasint,omitempty"`
	// Occurrences holds the occurrences that have begun, by number from 0. A job that is
	// not repeated has one.
	Occurrences map[int]*Occurrence `cbor:"17,keyasint,omitempty"`
	// Finished is the number of complete occurrences.
	Finished int `cbor:"18,keyasint,omitempty"`
	// QueueKey identifies the queue.
	QueueKey QueueKey `cbor:"19,keyasint"`
	// AcceptedTeam is the name of the team at acceptance, if the team has another one now.
	AcceptedTeam string `cbor:"20,keyasint,omitempty"`
	// RemovedQueue is the last definition of the queue, if it was removed while the job was active.
	RemovedQueue *Queue `cbor:"21,keyasint,omitempty"`
}

// Occurrence is one execution of a job's steps.
type Occurrence struct {
	DueAt int64          `cbor:"1,keyasint,omitempty"`
	Steps []StepProgress `cbor:"2,keyasint"`
}

// LastProgressMS returns the cluster time at which a task of the step last started or
// ended, or the step's turn came. A placement is no progress. The step must be ready.
func (o *Occurrence) LastProgressMS(j *Job, step int) int64 {
	last := o.DueAt
	for i := range o.Steps[step].Tasks {
		t := &o.Steps[step].Tasks[i]
		last = max(last, t.StartedAt, t.EndedAt)
	}
	for _, dependency := range j.Steps[step].After {
		for i := range o.Steps[dependency].Tasks {
			last = max(last, o.Steps[dependency].Tasks[i].EndedAt)
		}
	}
	return last
}

// StepProgress is the progress of one step of an occurrence.
type StepProgress struct {
	Tasks []Task `cbor:"1,keyasint"`
	// GangRun is the latest run of a gang that failed, and GangFailures the number of its
	// failed runs: the members share a run, and their failures count once.
	GangRun      int `cbor:"2,keyasint,omitempty"`
	GangFailures int `cbor:"3,keyasint,omitempty"`

	// The numbers of tasks by phase; onWorkers counts Placed and Stopping.
	waiting, onWorkers, done int
}

// Waiting returns the number of waiting tasks.
func (p *StepProgress) Waiting() int { return p.waiting }

// OnWorkers returns the number of tasks that are placed or stopping.
func (p *StepProgress) OnWorkers() int { return p.onWorkers }

// Finished reports whether all tasks are done.
func (p *StepProgress) Finished() bool { return p.done == len(p.Tasks) }

// Wave is an operator's request to maintain machines, a bounded number at a time.
type Wave struct {
	Number   int64    `cbor:"1,keyasint"`
	Machines []string `cbor:"2,keyasint"`
	// DurationMS is the time within which the wave should be complete.
	DurationMS int64 `cbor:"3,keyasint,omitempty"`
	// MaxDown bounds the machines that are down for maintenance at the same time; 0
	// counts as 1.
	MaxDown   int   `cbor:"4,keyasint,omitempty"`
	StartedAt int64 `cbor:"5,keyasint,omitempty"`
	// Begun holds the machines whose maintenance has begun, and those that are gone.
	Begun map[string]bool `cbor:"6,keyasint,omitempty"`
	// Ordered holds the machines whose maintenance may have been ordered. A machine is
	// recorded before the order is sent, so that a later leader counts it as down.
	Ordered map[string]bool `cbor:"7,keyasint,omitempty"`
}

// Complete reports whether the maintenance of every machine has begun.
func (w *Wave) Complete() bool {
	for _, m := range w.Machines {
		if !w.Begun[m] {
			return false
		}
	}
	return true
}
