// Package placement computes which queued jobs start on which workers, and which
// running tasks are throttled, checkpointed or stopped to free resources for urgent
// jobs.
//
// A plan is computed from a snapshot of the fleet. The package does no I/O; time and
// the ranking of teams are part of the snapshot.
package placement

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Policy selects how jobs are placed. Its values are used in settings.
type Policy string

// Policies. PolicyBestFit places jobs by team in the order of the scores, each on the
// worker that it fills best, and makes preemptions and reservations. PolicyFirstFit is the
// baseline: it takes jobs in the order of submission and places each on the first worker
// on which it fits, without preemptions or reservations.
const (
	PolicyBestFit  Policy = "best_fit"
	PolicyFirstFit Policy = "first_fit"
)

// Worker is the state of a worker in a snapshot.
type Worker struct {
	Name        string
	Incarnation string
	Pool        string
	Rack        string
	DataCentre  string
	Capacity    fleet.Resources
	// Usable is true when the worker may get new tasks. It is false for workers that
	// are draining, lost, quarantined, leaving, not heard from, or in an evacuated data
	// centre.
	Usable bool
}

// Task is a job that is assigned to a worker.
type Task struct {
	JobID  string
	Worker string
	Team   string
	Queue  string
	Class  fleet.JobClass
	// Size is the amount of resources that the task is charged, and Declared the size
	// that its job declares.
	Size       fleet.Resources
	Declared   fleet.Resources
	Idempotent bool
	// NoCheckpoint is true when the task must not be checkpointed, because its job
	// could not be resumed.
	NoCheckpoint bool
	// Throttled is true when the worker reports the task as throttled.
	Throttled bool
	// Action is the order that was given to the task at ActionSince and has not taken
	// effect yet.
	Action      Action
	ActionSince fleet.Time
	StartedAt   fleet.Time
}

// Job is a queued job that is ready to start.
type Job struct {
	ID         string
	Team       string
	Queue      string
	Pool       string
	Class      fleet.JobClass
	Size       fleet.Resources
	AcceptedAt fleet.Time
	// Avoid lists the workers on which an attempt of the job failed.
	Avoid []string
}

// Team holds a team's upper limit and the units that count against it: its running
// jobs and the units granted to entries for its calls.
type Team struct {
	Limit int
	Units int
}

// Ranker ranks teams; the team with the lowest score gets resources first.
type Ranker interface {
	// Score returns the team's score, including part of its next job of the given
	// size.
	Score(team string, next fleet.Resources) float64
	// Add counts a job of the given size as running work of the team.
	Add(team string, size fleet.Resources)
}

// Snapshot is the input of Compute.
type Snapshot struct {
	Now     fleet.Time
	Workers []Worker
	Tasks   []Task
	Jobs    []Job
	// Teams holds all teams by name. Jobs of open queues have an empty team, which has
	// no limit.
	Teams map[string]Team
	// Rank is changed by Compute, which adds the work that it places or reserves
	// resources for. If it is nil, all teams have the same score.
	Rank Ranker
	// Reservations are those of the previous plan.
	Reservations []Reservation
	// MaxAssignments limits the assignments of the plan; 0 means
	// DefaultMaxAssignments.
	MaxAssignments int
}

// Action is an order to a running task.
type Action string

// Actions. Urgent jobs free resources by throttles, checkpoints or stops, preferred in
// this order. ActionUnthrottle ends a throttle, and ActionNone is no order.
const (
	ActionNone       Action = ""
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
	ActionUnthrottle Action = "unthrottle"
)

// Preemption is an order to a running task, given to free resources for an urgent job
// or, with ActionUnthrottle, to return them.
type Preemption struct {
	JobID  string
	Worker string
	Action Action
	// ForJobID is the urgent job; it is empty with ActionUnthrottle.
	ForJobID string
}

// Reservation keeps the free resources of a worker for a job that does not fit yet.
type Reservation struct {
	JobID  string
	Worker string
	Pool   string
	// Since is when the job's reservation began. A job that is not urgent keeps it
	// when its reservation moves to another worker.
	Since fleet.Time
	// Urgent is true when the job is urgent and tasks of the worker are being
	// preempted for it.
	Urgent bool
}

// Plan is the result of Compute. Its reservations must be part of the next snapshot.
type Plan struct {
	Assignments  []fleet.Assignment
	Preemptions  []Preemption
	Reservations []Reservation
}

// Limits of one plan.
const (
	// DefaultMaxAssignments is the default of Snapshot.MaxAssignments. It limits the
	// size of the log command that carries the assignments.
	DefaultMaxAssignments = 500
	// MaxVictimsPerJob is the maximum number of tasks that are preempted at once for
	// one urgent job.
	MaxVictimsPerJob = 4
	// MaxVictimsPerPlan is the maximum number of tasks that one plan preempts.
	MaxVictimsPerPlan = 32
	// MaxUnplaced is the number of jobs of one team and pool that may fail to fit
	// before the plan skips the others.
	MaxUnplaced = 8
	// ThrottledCPUPercent is the percentage of its processors that a throttled task
	// keeps.
	ThrottledCPUPercent = 50
	// ActionTimeout is the time after which an order is overdue if it has not taken
	// effect. An overdue checkpoint is followed by a stop, so that an urgent job still
	// starts within 6 s.
	ActionTimeout = 2500 * time.Millisecond
	// BackfillWindow is the time from the start of a job's reservation for which later
	// jobs of the same team and pool may start ahead of the job.
	BackfillWindow = 2 * time.Second
	// shareTolerance is the fraction of its score by which a team may get ahead of a
	// team whose jobs don't fit. Without this limit, teams with small jobs would take
	// all resources that become free in small amounts and stay far above their share.
	shareTolerance = 0.01
	// withholdTimeout is the time without a start after which resources are no longer
	// withheld for a team. It equals the period over which shares must hold.
	withholdTimeout = 10 * time.Second
	// reservedWorkersDivisor limits reservations for jobs that are not urgent to one
	// in reservedWorkersDivisor workers of a pool, and at least one.
	reservedWorkersDivisor = 4
)
