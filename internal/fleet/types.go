// Package fleet is the replicated state machine of samphirefork: the entity
// types, the commands that change them, and [State.Apply], which applies one
// command to the state.
//
// The package does no I/O and reads no clock. [State.Apply] is deterministic, so
// replicas that apply the same commands in the same order reach the same state.
package fleet

import "time"

// Time is cluster time in milliseconds. It advances only with the time stamps
// that the leader sets on commands, so it never runs ahead of real time across
// leader changes.
type Time int64

// Add returns the time d after t, rounded down to milliseconds.
func (t Time) Add(d time.Duration) Time {
	return t + Time(d.Milliseconds())
}

// Sub returns the duration from u to t, negative when t is before u.
func (t Time) Sub(u Time) time.Duration {
	return time.Duration(t-u) * time.Millisecond
}

// Revision is the number of accepted configuration changes. It never decreases.
type Revision uint64

// DataCentre is a failure domain with its own entry instances and backend servers.
type DataCentre struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Region string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
}

// InstanceKind says whether an instance is a worker or a backend server.
type InstanceKind string

// Instance kinds.
const (
	KindWorker  InstanceKind = "worker"
	KindBackend InstanceKind = "backend"
)

// Instance is one machine of the fleet. It belongs to exactly one pool: the pool
// is a field of the instance, and pools have no member lists.
type Instance struct {
	Name       string `cbor:"1,keyasint" json:"name"`
	Pool       string `cbor:"2,keyasint" json:"pool"`
	DataCentre string `cbor:"3,keyasint" json:"data_centre"`
	// Rack is empty when the rack is not known. Availability budgets per rack do not apply
	// then.
	Rack string       `cbor:"4,keyasint,omitempty" json:"rack,omitempty"`
	Kind InstanceKind `cbor:"5,keyasint" json:"kind"`
}

// Pool is a set of instances with an availability budget.
type Pool struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// MaxUnavailable is the availability budget: the largest number of instances of the
	// pool that the system may let be unavailable at once. While this many are lost or
	// under maintenance, no further drain may start.
	MaxUnavailable int `cbor:"2,keyasint" json:"max_unavailable"`
	// MaxUnavailablePerRack and MaxUnavailablePerDataCentre limit the same number
	// within one rack and one data centre; 0 means no separate limit.
	MaxUnavailablePerRack       int `cbor:"3,keyasint,omitempty" json:"max_unavailable_per_rack,omitempty"`
	MaxUnavailablePerDataCentre int `cbor:"4,keyasint,omitempty" json:"max_unavailable_per_data_centre,omitempty"`
	// Spare marks the spare pool, whose instances can be moved to other pools.
	Spare bool `cbor:"5,keyasint,omitempty" json:"spare,omitempty"`
}

// Team is a customer. Its share decides how capacity is divided when demand exceeds
// it, and its limit bounds what it runs at once.
type Team struct {
	Name string `cbor:"1,keyasint" json:"name"`
	// Share is the weight of the team relative to the other teams, at least 1.
	Share int `cbor:"2,keyasint" json:"share"`
	// Limit is the largest number of jobs and calls of the team that may run at
	// once across the fleet. With 0 the team can run nothing.
	Limit int `cbor:"3,keyasint" json:"limit"`
}

// Key authorizes callers to submit work for one team. The secret itself is never
// stored.
type Key struct {
	ID   string `cbor:"1,keyasint" json:"id"`
	Team string `cbor:"2,keyasint" json:"team"`
	// SecretSHA256 is the hexadecimal SHA-256 of the secret.
	SecretSHA256 string `cbor:"3,keyasint" json:"secret_sha256"`
	// Withdrawn is true once the key no longer admits work. It is never cleared.
	Withdrawn bool `cbor:"4,keyasint,omitempty" json:"withdrawn,omitempty"`
}

// JobClass is the preemption class of the jobs of a queue.
type JobClass string

// Job classes. Urgent work starts within 6 s and may preempt normal work. Watch
// tasks run for a long time and are the last to be interrupted.
const (
	ClassNormal JobClass = "normal"
	ClassUrgent JobClass = "urgent"
	ClassWatch  JobClass = "watch"
)

// PartitionPolicy says what a worker does with a task when it is partitioned from
// the leader, which then can't renew the lease of the task.
type PartitionPolicy string

// Partition policies. With PartitionStop the worker stops the task when its lease
// ends, and the leader frees its units after the lease and a safety margin. With
// PartitionKeep the entry of the partitioned data centre continues to renew the
// lease, and the units stay in use until contact is restored.
const (
	PartitionStop PartitionPolicy = "stop"
	PartitionKeep PartitionPolicy = "keep"
)

// Queue holds jobs that wait for the workers of one pool.
type Queue struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	// Open allows jobs without a key. Such jobs belong to no team.
	Open  bool     `cbor:"3,keyasint,omitempty" json:"open,omitempty"`
	Class JobClass `cbor:"4,keyasint" json:"class"`
	// MaxQueuedPerTeam is the largest number of waiting jobs of one team in this
	// queue, at least 1. The jobs without a key share one such limit.
	MaxQueuedPerTeam int `cbor:"5,keyasint" json:"max_queued_per_team"`
	// OnPartition is PartitionStop when it is declared empty.
	OnPartition PartitionPolicy `cbor:"6,keyasint,omitempty" json:"on_partition,omitempty"`
}

// Service is the target of direct calls, which the backend servers of a pool answer.
type Service struct {
	Name string `cbor:"1,keyasint" json:"name"`
	Pool string `cbor:"2,keyasint" json:"pool"`
	// Open allows calls without a key.
	Open bool `cbor:"3,keyasint,omitempty" json:"open,omitempty"`
	// TimeoutMS is the default time limit of a call in milliseconds, from 1 to
	// MaxCallTime.
	TimeoutMS int64 `cbor:"4,keyasint" json:"timeout_ms"`
}

// MaxCallTime is the longest time limit of a direct call. The units of an expired
// grant are reused only after this time, when no call admitted under it still runs.
const MaxCallTime = 10 * time.Second

// CallGracePeriod is the longest time beyond the time limit of a call for which an
// entry waits for a late answer. The call holds its unit until then.
const CallGracePeriod = time.Second

// Resources is an amount of each kind of resource: thousandths of a processor, MiB of
// memory, and whole accelerators.
type Resources struct {
	CPUMilli     int64 `cbor:"1,keyasint,omitempty" json:"cpu_milli,omitempty"`
	MemoryMiB    int64 `cbor:"2,keyasint,omitempty" json:"memory_mib,omitempty"`
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators,omitempty"`
}

// JobSpec is what the caller declares about a job.
type JobSpec struct {
	Size Resources `cbor:"1,keyasint" json:"size"`
	// RunTimeMS is the run time that the caller expects, in milliseconds. It may be
	// far from the real one.
	RunTimeMS int64 `cbor:"2,keyasint,omitempty" json:"run_time_ms,omitempty"`
	// Idempotent allows a further attempt after one that ran or may have run.
	Idempotent bool `cbor:"3,keyasint,omitempty" json:"idempotent,omitempty"`
	// DeadlineMS is the number of milliseconds after acceptance after which the job
	// must not be started; 0 means no deadline.
	DeadlineMS int64 `cbor:"4,keyasint,omitempty" json:"deadline_ms,omitempty"`
	// Payload has at most MaxBlobBytes. It is dropped when the job is final.
	Payload []byte `cbor:"5,keyasint,omitempty" json:"payload,omitempty"`
}

// JobState is the state of an accepted job.
type JobState string

// Job states. A job is JobAssigned from the commit of its assignment to the commit
// of the outcome, and may run at any time in between.
const (
	JobQueued     JobState = "queued"
	JobAssigned   JobState = "assigned"
	JobDone       JobState = "done"
	JobFailed     JobState = "failed"
	JobCancelled  JobState = "cancelled"
	JobMayHaveRun JobState = "may_have_run"
)

// Final reports whether the job gets no further attempt. Among final states only
// JobMayHaveRun can still change, to JobDone when the result of the last attempt
// arrives late.
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
	// Attempt is the number of assignments so far. A worker refuses an attempt number
	// that it has received before.
	Attempt int `cbor:"7,keyasint,omitempty" json:"attempt,omitempty"`
	// Worker is the instance of the latest assignment, and WorkerIncarnation the
	// incarnation of its process at that time.
	Worker            string `cbor:"8,keyasint,omitempty" json:"worker,omitempty"`
	WorkerIncarnation string `cbor:"9,keyasint,omitempty" json:"worker_incarnation,omitempty"`
	AssignedAt        Time   `cbor:"10,keyasint,omitempty" json:"assigned_at_ms,omitempty"`
	// Started is true once an attempt ran or may have run: a worker reported it as
	// running, or it ended with another outcome than OutcomeNotStarted.
	Started bool `cbor:"11,keyasint,omitempty" json:"started,omitempty"`
	// CancelRequested asks the worker to stop the job, which is final once the worker
	// confirms.
	CancelRequested bool `cbor:"12,keyasint,omitempty" json:"cancel_requested,omitempty"`
	// FailedOn lists the distinct workers on which an attempt failed.
	FailedOn   []string `cbor:"13,keyasint,omitempty" json:"failed_on,omitempty"`
	FinishedAt Time     `cbor:"14,keyasint,omitempty" json:"finished_at_ms,omitempty"`
	// Result has at most MaxBlobBytes; a larger one is not kept.
	Result []byte `cbor:"15,keyasint,omitempty" json:"result,omitempty"`
	// Reason says why the job failed, was cancelled, or returned to its queue.
	Reason string `cbor:"16,keyasint,omitempty" json:"reason,omitempty"`
	// RetryNotBefore is the time before which a queued job is not assigned again; 0
	// means no delay.
	RetryNotBefore Time `cbor:"17,keyasint,omitempty" json:"retry_not_before_ms,omitempty"`
	// NotRun is true on a final record of a job that never ran.
	NotRun bool `cbor:"18,keyasint,omitempty" json:"not_run,omitempty"`
	// Fingerprint is a hash of the submitted team, queue and spec. It recognizes a
	// repeated submission after the payload was dropped.
	Fingerprint uint64 `cbor:"19,keyasint,omitempty" json:"-"`
	// OnPartition is the policy of the queue at the latest assignment. The worker acts
	// on this one, also when the queue changes later.
	OnPartition PartitionPolicy `cbor:"20,keyasint,omitempty" json:"-"`
	// CrashScore is the evidence that the job crashes its workers. The job is given up at
	// crashScoreLimit.
	CrashScore int `cbor:"21,keyasint,omitempty" json:"crash_score,omitempty"`
	// CrashedOn lists the distinct workers whose crashes count in CrashScore.
	CrashedOn []string `cbor:"22,keyasint,omitempty" json:"crashed_on,omitempty"`
	// Reported is true once a worker reported an attempt as running or failed, so the job
	// is known to have run.
	Reported bool `cbor:"23,keyasint,omitempty" json:"-"`
}

// InstancePhase is the maintenance phase of an instance.
type InstancePhase string

// Instance phases. In every phase other than PhaseActive an instance takes no new
// work and counts as unavailable.
const (
	PhaseActive    InstancePhase = "active"
	PhaseDraining  InstancePhase = "draining"
	PhaseRebooting InstancePhase = "rebooting"
	PhaseVerifying InstancePhase = "verifying"
)

// InstanceStatus is the observed state of an instance.
type InstanceStatus struct {
	Phase InstancePhase `cbor:"1,keyasint" json:"phase"`
	// Plan is the maintenance plan that has taken the instance out of service. It is
	// empty for a drain by an operator.
	Plan       string `cbor:"2,keyasint,omitempty" json:"plan,omitempty"`
	PhaseSince Time   `cbor:"3,keyasint,omitempty" json:"phase_since_ms,omitempty"`
	// Lost is true when the instance has been silent for its lease and a safety margin,
	// or an operator has declared it lost, until it announces itself again.
	Lost bool `cbor:"4,keyasint,omitempty" json:"lost,omitempty"`
	// Incarnation identifies the process that announced the instance last.
	Incarnation string    `cbor:"5,keyasint,omitempty" json:"incarnation,omitempty"`
	Address     string    `cbor:"6,keyasint,omitempty" json:"address,omitempty"`
	Capacity    Resources `cbor:"7,keyasint,omitempty" json:"capacity,omitempty"`
	// QuarantinedUntil is the end of the quarantine, in which the worker gets no new
	// jobs.
	QuarantinedUntil Time `cbor:"8,keyasint,omitempty" json:"quarantined_until_ms,omitempty"`
	// Seen is true once the instance has announced itself to the leader.
	Seen bool `cbor:"9,keyasint,omitempty" json:"seen,omitempty"`
	// RebootFrom is the incarnation at the start of PhaseRebooting. Another
	// incarnation proves that the instance was rebooted. It is cleared when the
	// instance is active again.
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
	// DrainTimeoutMS is the time in milliseconds that a drain may take before the
	// tasks are checkpointed or the instance is skipped.
	DrainTimeoutMS int64 `cbor:"4,keyasint" json:"drain_timeout_ms"`
	StartedAt      Time  `cbor:"5,keyasint,omitempty" json:"started_at_ms,omitempty"`
	FinishedAt     Time  `cbor:"6,keyasint,omitempty" json:"finished_at_ms,omitempty"`
	// Completed lists the instances that were rebooted and verified, sorted.
	Completed []string `cbor:"7,keyasint,omitempty" json:"completed,omitempty"`
	// WaitingFor tells operators why the plan drains no further instance.
	WaitingFor string `cbor:"8,keyasint,omitempty" json:"waiting_for,omitempty"`
}

// AuditRecord is an entry of the audit trail: who changed what, and when the change
// was in force.
type AuditRecord struct {
	Revision Revision `cbor:"1,keyasint" json:"revision"`
	// From is the revision before the change.
	From      Revision `cbor:"2,keyasint" json:"from"`
	RequestID string   `cbor:"3,keyasint" json:"request_id"`
	Operator  string   `cbor:"4,keyasint" json:"operator"`
	// Summary has a line for each item of the change, up to a fixed number of lines.
	Summary []string `cbor:"5,keyasint" json:"summary"`
	// At is the time at which the change was accepted.
	At Time `cbor:"6,keyasint" json:"at_ms"`
	// InForceAt is the time at which the change was known to be in force everywhere,
	// or 0 until then.
	InForceAt Time `cbor:"7,keyasint,omitempty" json:"in_force_at_ms,omitempty"`
	// WallUnixMS is the wall clock of the leader at acceptance, in milliseconds since
	// the Unix epoch. It is shown to people only and decides nothing.
	WallUnixMS int64 `cbor:"8,keyasint" json:"wall_unix_ms"`
}
