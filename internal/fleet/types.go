// Package fleet is the replicated state machine of samphirefork: the entity
// types, the commands that change them, and the function that applies a
// command to the state.
//
// The package does no I/O and reads no clock. Every replica applies the same
// commands in the same order and reaches the same state.
package fleet

import "time"

// Time is cluster time in milliseconds. It advances only through commands that
// the leader stamps, so it never runs ahead of real time across leader changes.
type Time int64

// Add returns the time d after t, rounded down to milliseconds.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d.Milliseconds())
}

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t-u) * time.Millisecond
}

// Revision counts accepted configuration changes. It never decreases.
type Revision uint64

// DataCentre is a failure domain with its own entry instances and backend servers.
type DataCentre struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
}

// InstanceKind tells what an instance runs.
type InstanceKind string

// Instance kinds.
const (
	KindWorker  InstanceKind = "worker"
	KindBackend InstanceKind = "backend"
)

// Instance is one machine of the fleet. It belongs to exactly one pool, since
// the pool is a field of the instance and pools hold no member lists.
type Instance struct {
	Name       string       `cbor:"1,keyasint" json:"name"`
	Pool       string       `cbor:"2,keyasint" json:"pool"`
	DataCentre string       `cbor:"3,keyasint" json:"data_centre"`
	Rack       string       `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
	Kind       InstanceKind `cbor:"5,keyasint" json:"kind"`
}

// Pool is a set of instances with an availability budget.
type Pool struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// MaxUnavailable is the largest number of instances of the pool that may be
	// down or under maintenance at once by the system's choice.
	MaxUnavailable int `cbor:"2,keyasint" json:"max_unavailable"`
	// MaxUnavailablePerRack and MaxUnavailablePerDataCentre bound the same
	// within one failure domain; 0 means no bound of its own.
	MaxUnavailablePerRack       int `cbor:"3,keyasint,omitempty" json:"max_unavailable_per_rack,omitempty"`
	MaxUnavailablePerDataCentre int `cbor:"4,keyasint,omitempty" json:"max_unavailable_per_data_centre,omitempty"`
	// Spare marks the pool that serves as a buffer for the others.
	Spare bool `cbor:"5,keyasint,omitempty" json:"spare,omitempty"`
}

// Team is a customer with a share for when everything is full and an upper limit.
type Team struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Share is the team's weight relative to the other teams; at least 1.
	Share int `cbor:"2,keyasint" json:"share"`
	// Limit is the largest number of jobs and calls of the team that may run at
	// once across the fleet; 0 lets nothing run.
	Limit int `cbor:"3,keyasint" json:"limit"`
}

// Key admits work for one team. The secret itself is never stored.
type Key struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Team string `cbor:"2,keyasint" json:"team"`
	// SecretSHA256 is the hexadecimal SHA-256 of the secret.
	SecretSHA256 string `cbor:"3,keyasint" json:"secret_sha256"`
	Withdrawn    bool   `cbor:"4,keyasint,omitempty" json:"withdrawn,omitempty"`
}

// JobClass orders work for preemption.
type JobClass string

// Job classes: urgent work starts within 6 s and may preempt normal work;
// watch tasks run long and are disturbed last.
const (
	ClassNormal JobClass = "normal"
	ClassUrgent JobClass = "urgent"
	ClassWatch  JobClass = "watch"
)

// PartitionPolicy tells what a worker that is cut off from the leader does with
// a task when its lease can't be renewed by the leader.
type PartitionPolicy string

// Partition policies. With PartitionStop the worker stops the task at lease end
// and the leader frees its units after the lease and a margin. With
// PartitionKeep the entry of the cut-off data centre goes on renewing, and the
// units stay counted until contact returns.
const (
	PartitionStop PartitionPolicy = "stop"
	PartitionKeep PartitionPolicy = "keep"
)

// Queue takes jobs for one pool of workers.
type Queue struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	// Open queues take jobs without a key; such jobs belong to no team.
	Open  bool     `cbor:"3,keyasint,omitempty" json:"open,omitempty"`
	Class JobClass `cbor:"4,keyasint" json:"class"`
	// MaxQueuedPerTeam bounds the waiting jobs of one team in this queue.
	MaxQueuedPerTeam int             `cbor:"5,keyasint" json:"max_queued_per_team"`
	OnPartition      PartitionPolicy `cbor:"6,keyasint,omitempty" json:"on_partition,omitempty"`
}

// Service takes direct calls, which backend servers of a pool answer.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	Open bool   `cbor:"3,keyasint,omitempty" json:"open,omitempty"`
	// TimeoutMS is the default time limit of a call in milliseconds, at most MaxCallTime.
	TimeoutMS int64 `cbor:"4,keyasint" json:"timeout_ms"`
}

// MaxCallTime is the longest time limit of a direct call. Units of a lapsed
// limit grant are reused only after this time, so that no admitted call still runs.
const MaxCallTime = 10 * time.Second

// CallGracePeriod is how long beyond its time limit an entry may wait for the late
// answer of a call, which holds its unit until then.
const CallGracePeriod = time.Second

// Resources is an amount of each resource kind of a worker.
type Resources struct {
	CPUMilli     int64 `cbor:"1,keyasint,omitempty" json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// JobSpec is what a caller declares about a job.
type JobSpec struct {
	Size Resources `cbor:"1,keyasint" json:"size"`
	// RunTimeMS is the declared run time in milliseconds; it may be far off.
	RunTimeMS int64 `cbor:"2,keyasint,omitempty" json:"run_time_ms,omitempty"`
	// Idempotent jobs may be run again after an attempt with unknown outcome.
	Idempotent bool `cbor:"3,keyasint,omitempty" json:"idempotent,omitempty"`
	// DeadlineMS is the time after acceptance, in milliseconds, after which the
	// job must not be started; 0 means none.
	DeadlineMS int64  `cbor:"4,keyasint,omitempty" json:"deadline_ms,omitempty"`
	Payload    []byte `cbor:"5,keyasint,omitempty" json:"payload,omitempty"`
}

// JobState is the state of an accepted job.
type JobState string

// Job states. JobAssigned covers everything from the committed assignment to
// the committed outcome; the work may be running at any time in between.
const (
	JobQueued     JobState = "queued"
	JobAssigned   JobState = "assigned"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobCancelled  JobState = "cancelled"
	JobMayHaveRun JobState = "may_have_run"
)

// Final reports whether the job is no longer run. Only JobMayHaveRun may still
// change, to JobDone, when the result of its last attempt arrives late.
func (s JobState) Final() bool {
	return s != JobQueued && s != JobAssigned
}

// Job is the record of an accepted job.
type Job struct {
	ID    string  `cbor:"1,keyasint" json:"id"`
	Team  string  `cbor:"2,keyasint,omitempty" json:"team,omitempty"`
	Queue string  `cbor:"3,keyasint" json:"queue"`
	Spec  JobSpec `cbor:"4,keyasint" json:"spec"`

	State      JobState `cbor:"5,keyasint" json:"state"`
	AcceptedAt Time     `cbor:"6,keyasint" json:"accepted_at_ms"`
	// Attempt counts assignments; the worker refuses an attempt that it has seen.
	Attempt int `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"`
	// Worker holds the instance of the latest assignment, and WorkerIncarnation
	// the incarnation of its process at that time.
	Worker            string `cbor:"8,keyasint,omitempty" json:"worker,omitempty"`
	WorkerIncarnation string `cbor:"9,keyasint,omitempty" json:"worker_incarnation,omitempty"`
	AssignedAt        Time   `cbor:"10,keyasint,omitempty" json:"assigned_at_ms,omitempty"`
	// Started is true once an attempt ran or may have run: a worker reported it, or
	// an attempt ended in any way but not_started.
	Started bool `cbor:"11,keyasint,omitempty" json:"started,omitempty"`
	// CancelRequested asks the worker to stop; the job is final when the worker confirms.
	CancelRequested bool `cbor:"12,keyasint,omitempty" json:"cancel_requested,omitempty"`
	// FailedOn lists the distinct workers on which an attempt failed.
	FailedOn   []string `cbor:"13,keyasint,omitempty" json:"failed_on,omitempty"`
	FinishedAt Time     `cbor:"14,keyasint,omitempty" json:"finished_at_ms,omitempty"`
	Result     []byte   `cbor:"15,keyasint,omitempty" json:"result,omitempty"`
	Reason     string   `cbor:"16,keyasint,omitempty" json:"reason,omitempty"`
	// RetryNotBefore holds back a job that failed or was not started; 0 means none.
	RetryNotBefore Time `cbor:"17,keyasint,omitempty" json:"retry_not_before_ms,omitempty"`
	// NotRun is set on a final record when no attempt ever ran.
	NotRun bool `cbor:"18,keyasint,omitempty" json:"not_run,omitempty"`
	// Fingerprint identifies the submitted team, queue and spec after the payload
	// is dropped, so that a repeated submission is still recognised.
	Fingerprint uint64 `cbor:"19,keyasint,omitempty" json:"-"`
	// OnPartition is the policy of the queue at the latest assignment, which the
	// worker acts on.
	OnPartition PartitionPolicy `cbor:"20,keyasint,omitempty" json:"-"`
}

// InstancePhase is the maintenance phase of an instance.
type InstancePhase string

// Instance phases. An instance in any phase but PhaseActive takes no new work
// and counts as unavailable.
const (
	PhaseActive    InstancePhase = "active"
	PhaseDraining  InstancePhase = "draining"
	PhaseRebooting InstancePhase = "rebooting"
	PhaseVerifying InstancePhase = "verifying"
)

// InstanceStatus is the observed state of an instance.
type InstanceStatus struct {
	Phase InstancePhase `cbor:"1,keyasint" json:"phase"`
	// Plan names the maintenance plan that holds the instance, if any; an
	// operator's drain has an empty plan.
	Plan       string `cbor:"2,keyasint,omitempty" json:"plan,omitempty"`
	PhaseSince Time   `cbor:"3,keyasint,omitempty" json:"phase_since_ms,omitempty"`
	// Lost is true after the leader heard nothing of the instance for its lease and a margin.
	Lost        bool      `cbor:"4,keyasint,omitempty" json:"lost,omitempty"`
	Incarnation string    `cbor:"5,keyasint,omitempty" json:"incarnation,omitempty"`
	Address     string    `cbor:"6,keyasint,omitempty" json:"address,omitempty"`
	Capacity    Resources `cbor:"7,keyasint,omitempty" json:"capacity,omitempty"`
	// Quarantined workers get no new jobs until QuarantinedUntil.
	QuarantinedUntil Time `cbor:"8,keyasint,omitempty" json:"quarantined_until_ms,omitempty"`
	// Seen is true once the instance has announced itself.
	Seen bool `cbor:"9,keyasint,omitempty" json:"seen,omitempty"`
	// RebootFrom is the incarnation at the start of PhaseRebooting, until the
	// instance is active again. Another incarnation proves the reboot.
	RebootFrom string `cbor:"10,keyasint,omitempty" json:"reboot_from,omitempty"`
}

// PlanState is the state of a maintenance plan.
type PlanState string

// Plan states.
const (
	PlanRunning PlanState = "running"
	PlanPaused  PlanState = "paused"
	PlanAborted PlanState = "aborted"
	PlanDone    PlanState = "done"
)

// MaintenancePlan reboots every instance of a pool once, in waves.
type MaintenancePlan struct {
	Name  string    `cbor:"1,keyasint" json:"name"`
	Pool  string    `cbor:"2,keyasint" json:"pool"`
	State PlanState `cbor:"3,keyasint" json:"state"`
	// DrainTimeoutMS is the time that a drain may take before tasks are
	// checkpointed or the instance is skipped.
	DrainTimeoutMS int64 `cbor:"4,keyasint" json:"drain_timeout_ms"`
	StartedAt      Time  `cbor:"5,keyasint,omitempty" json:"started_at_ms,omitempty"`
	FinishedAt     Time  `cbor:"6,keyasint,omitempty" json:"finished_at_ms,omitempty"`
	// Completed lists the instances that are rebooted and verified.
	Completed []string `cbor:"7,keyasint,omitempty" json:"completed,omitempty"`
	// WaitingFor says why no further instance is taken, for operators.
	WaitingFor string `cbor:"8,keyasint,omitempty" json:"waiting_for,omitempty"`
}

// AuditRecord tells who changed what and when the change was in force.
type AuditRecord struct {
	Revision  Revision `cbor:"1,keyasint" json:"revision"`
	From      Revision `cbor:"2,keyasint" json:"from"`
	RequestID string   `cbor:"3,keyasint" json:"request_id"`
	Operator  string   `cbor:"4,keyasint" json:"operator"`
	Summary   []string `cbor:"5,keyasint" json:"summary"`
	At        Time     `cbor:"6,keyasint" json:"at_ms"`
	// InForceAt is 0 until every entry that may act on the change has it.
	InForceAt Time `cbor:"7,keyasint,omitempty" json:"in_force_at_ms,omitempty"`
	// WallUnixMS is the leader's wall clock at acceptance, for people only.
	WallUnixMS int64 `cbor:"8,keyasint" json:"wall_unix_ms"`
}
