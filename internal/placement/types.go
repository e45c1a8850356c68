// Package placement assigns queued jobs to workers and chooses the work that
// makes way for urgent jobs.
//
// A plan is computed from a snapshot; the package does no I/O, and time and the
// ranking of teams are parameters.
package placement

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Policy names a way of placing jobs.
type Policy string

// Policies. PolicyFirstFit takes jobs in submission order and the first worker
// with room; it neither preempts nor reserves.
const (
	PolicyBestFit  Policy = "best_fit"
	PolicyFirstFit Policy = "first_fit"
)

// Worker is a worker as the planner sees it.
type Worker struct {
	Name        string
	Incarnation string
	Pool        string
	Rack        string
	DataCentre  string
	Capacity    fleet.Resources
	// Usable is false for draining, lost, quarantined, leaving and unheard workers.
	Usable bool
}

// Task is a job that holds room on a worker.
type Task struct {
	JobID  string
	Worker string
	Team   string
	Queue  string
	Class  fleet.JobClass
	// Size is the room that the task takes, and Declared the size that its job declares.
	Size       fleet.Resources
	Declared   fleet.Resources
	Idempotent bool
	// NoCheckpoint is true when a checkpoint would end the task for good.
	NoCheckpoint bool
	// Throttled is true once the worker reports the task as throttled.
	Throttled bool
	// Action is the order that is under way for the task, given at ActionSince.
	Action      Action
	ActionSince fleet.Time
	StartedAt   fleet.Time
}

// Job is a queued job that may start now.
type Job struct {
	ID         string
	Team       string
	Queue      string
	Pool       string
	Class      fleet.JobClass
	Size       fleet.Resources
	AcceptedAt fleet.Time
	// Avoid lists the workers on which an attempt failed.
	Avoid []string
}

// Team is a team's upper limit and the units that count against it: running
// jobs and the limit grants of the entries.
type Team struct {
	Limit int
	Units int
}

// Ranker ranks teams; the lowest score comes first. A score looks ahead to the
// size of the team's next job.
type Ranker interface {
	Score(team string, next fleet.Resources) float64
	Add(team string, size fleet.Resources)
}

// Snapshot is the input of a plan.
type Snapshot struct {
	Now     fleet.Time
	Workers []Worker
	Tasks   []Task
	Jobs    []Job
	// Teams has an entry for each team; jobs of open queues have no team and no limit.
	Teams map[string]Team
	Rank  Ranker
	// Reservations are those of the previous plan.
	Reservations []Reservation
	// MaxAssignments bounds the plan; 0 means DefaultMaxAssignments.
	MaxAssignments int
}

// Action is an order for a running task.
type Action string

// Actions, in the order in which they are preferred.
const (
	ActionNone       Action = ""
	ActionThrottle   Action = "throttle"
	ActionCheckpoint Action = "checkpoint"
	ActionStop       Action = "stop"
	ActionUnthrottle Action = "unthrottle"
)

// Preemption makes a running task give way to an urgent job.
type Preemption struct {
	JobID  string
	Worker string
	Action Action
	// For is the urgent job.
	For string
}

// Reservation keeps a worker's room for a job that does not fit yet.
type Reservation struct {
	JobID  string
	Worker string
	Pool   string
	Since  fleet.Time
	Urgent bool
}

// Plan is the outcome of planning.
type Plan struct {
	Assignments  []fleet.Assignment
	Preemptions  []Preemption
	Reservations []Reservation
}

// Limits of one plan.
const (
	// DefaultMaxAssignments bounds the size of one command of the log.
	DefaultMaxAssignments = 500
	// MaxVictimsPerJob bounds the tasks that one urgent job disturbs.
	MaxVictimsPerJob = 4
	// MaxVictimsPerPlan bounds the tasks that one plan disturbs.
	MaxVictimsPerPlan = 32
	// MaxMisfits is the number of jobs of one team and pool that are tried
	// without success before the plan turns to other work.
	MaxMisfits = 8
	// ThrottledCPUPercent is the part of its processors that a throttled task keeps.
	ThrottledCPUPercent = 50
	// CheckpointPatience is the time after which a checkpoint that has not
	// freed its room is followed by a stop, so that urgent work still starts
	// within its 6 s.
	CheckpointPatience = 2500 * time.Millisecond
	// HeadPatience is the time after which a job that holds a reservation is no
	// longer passed by later jobs of its own team and pool.
	HeadPatience = 2 * time.Second
	// shareTolerance is the part of its score by which a team may pass a team
	// whose jobs don't fit. Without the bound, teams with small jobs take all
	// room that is freed in small pieces and stay far above their share.
	shareTolerance = 0.01
	// withholdTime is the time without a start after which room is no longer
	// withheld for a team; it is the window in which shares are to hold.
	withholdTime = 10 * time.Second
	// reservedWorkersDivisor limits reservations to this part of a pool's workers.
	reservedWorkersDivisor = 4
)
