package fleet

import "github.com/samphirefork/samphirefork/internal/workload"

// Command is the content of one entry of the fleet log. Exactly one of its pointer
// fields is set. The leader stamps Time and WallUnixMS when it proposes the command.
type Command struct {
	Time       Time  `cbor:"1,keyasint"`
	WallUnixMS int64 `cbor:"2,keyasint,omitempty"`

	Change      *ConfigChange `cbor:"10,keyasint,omitempty"`
	Submit      *JobSubmit    `cbor:"11,keyasint,omitempty"`
	Cancel      *JobCancel    `cbor:"12,keyasint,omitempty"`
	Assign      *JobAssign    `cbor:"13,keyasint,omitempty"`
	Outcome     *JobOutcomes  `cbor:"14,keyasint,omitempty"`
	Observe     *Observe      `cbor:"15,keyasint,omitempty"`
	Grant       *GrantChange  `cbor:"16,keyasint,omitempty"`
	InForce     *MarkInForce  `cbor:"17,keyasint,omitempty"`
	Maintenance *PhaseChange  `cbor:"18,keyasint,omitempty"`
	Expire      *Expire       `cbor:"19,keyasint,omitempty"`
	Move        *PoolMove     `cbor:"20,keyasint,omitempty"`
	// Workload changes the jobs of steps and tasks.
	Workload *workload.Command `cbor:"21,keyasint,omitempty"`
}

// ConfigChange is an operator's change of the configuration. Either all of its items are
// applied or none. It is refused with CodeRevisionConflict unless ExpectedRevision is
// the present revision. A repetition with the same request identifier and content gets
// the first answer again.
type ConfigChange struct {
	RequestID        string       `cbor:"1,keyasint"`
	Operator         string       `cbor:"2,keyasint"`
	ExpectedRevision Revision     `cbor:"3,keyasint"`
	Items            []ChangeItem `cbor:"4,keyasint"`
}

// ChangeItem is one part of a configuration change; exactly one field is set.
type ChangeItem struct {
	PutDataCentre *DataCentre `cbor:"1,keyasint,omitempty" json:"put_data_centre,omitempty"`
	PutInstance   *Instance   `cbor:"2,keyasint,omitempty" json:"put_instance,omitempty"`
	PutPool       *Pool       `cbor:"3,keyasint,omitempty" json:"put_pool,omitempty"`
	PutTeam       *Team       `cbor:"4,keyasint,omitempty" json:"put_team,omitempty"`
	PutQueue      *Queue      `cbor:"5,keyasint,omitempty" json:"put_queue,omitempty"`
	PutService    *Service    `cbor:"6,keyasint,omitempty" json:"put_service,omitempty"`
	IssueKey      *Key        `cbor:"7,keyasint,omitempty" json:"issue_key,omitempty"`
	// WithdrawKey is the identifier of a key.
	WithdrawKey  string           `cbor:"8,keyasint,omitempty" json:"withdraw_key,omitempty"`
	Delete       *EntityRef       `cbor:"9,keyasint,omitempty" json:"delete,omitempty"`
	Drain        *DrainRequest    `cbor:"10,keyasint,omitempty" json:"drain,omitempty"`
	StartPlan    *MaintenancePlan `cbor:"11,keyasint,omitempty" json:"start_plan,omitempty"`
	SetPlanState *PlanStateChange `cbor:"12,keyasint,omitempty" json:"set_plan_state,omitempty"`
	// DeclareLost is the name of an instance that runs nothing any more. The outcome of
	// its attempts becomes OutcomeLost.
	DeclareLost string             `cbor:"13,keyasint,omitempty" json:"declare_lost,omitempty"`
	Evacuate    *EvacuationRequest `cbor:"14,keyasint,omitempty" json:"evacuate,omitempty"`
}

// EntityKind is a kind of declared entity.
type EntityKind string

// Entity kinds, with the names that declarations use.
const (
	EntityDataCentre EntityKind = "data_centre"
	EntityInstance   EntityKind = "instance"
	EntityPool       EntityKind = "pool"
	EntityTeam       EntityKind = "team"
	EntityQueue      EntityKind = "queue"
	EntityService    EntityKind = "service"
)

// EntityRef identifies one declared entity.
type EntityRef struct {
	Kind EntityKind `cbor:"1,keyasint" json:"kind"`
	Name string     `cbor:"2,keyasint" json:"name"`
}

// DrainRequest starts the drain of an instance by an operator or, with Undo, ends it.
type DrainRequest struct {
	Instance string `cbor:"1,keyasint" json:"instance"`
	Undo     bool   `cbor:"2,keyasint,omitempty" json:"undo,omitempty"`
}

// PlanStateChange pauses, resumes or aborts a maintenance plan.
type PlanStateChange struct {
	Plan  string    `cbor:"1,keyasint" json:"plan"`
	State PlanState `cbor:"2,keyasint" json:"state"`
}

// JobSubmit submits a job. A repetition with the same identifier, team, queue and spec
// returns the present record. The same identifier with other content is refused with
// CodeRequestIDReused, and that of a removed record with CodeExpired.
type JobSubmit struct {
	ID    string  `cbor:"1,keyasint"`
	Team  string  `cbor:"2,keyasint,omitempty"`
	KeyID string  `cbor:"3,keyasint,omitempty"`
	Queue string  `cbor:"4,keyasint"`
	Spec  JobSpec `cbor:"5,keyasint"`
}

// JobCancel cancels a job. Team is the team of the caller's key.
type JobCancel struct {
	ID   string `cbor:"1,keyasint"`
	Team string `cbor:"2,keyasint,omitempty"`
}

// Assignment assigns the next attempt of a job to one incarnation of a worker.
type Assignment struct {
	JobID       string `cbor:"1,keyasint"`
	Worker      string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
}

// JobAssign is a placement plan. Each assignment is verified separately against the
// newest state: the job is queued, the worker takes new jobs and has room, and the team
// is below its limit. Result.Rejected lists the refused ones.
type JobAssign struct {
	Assignments []Assignment `cbor:"1,keyasint"`
}

// OutcomeKind says how an attempt ended.
type OutcomeKind string

// Outcome kinds. OutcomeNotStarted is the report of a worker that the attempt never
// ran. OutcomeLost is the decision of the leader that the outcome can no longer be
// determined. After every outcome but OutcomeDone and OutcomeNotStarted, a job is attempted
// again only when it is idempotent.
const (
	OutcomeDone         OutcomeKind = "done"
	OutcomeFailed       OutcomeKind = "failed"
	OutcomeNotStarted   OutcomeKind = "not_started"
	OutcomeStopped      OutcomeKind = "stopped"
	OutcomeCheckpointed OutcomeKind = "checkpointed"
	OutcomeLost         OutcomeKind = "lost"
)

// JobOutcome is the outcome of one attempt.
type JobOutcome struct {
	JobID   string      `cbor:"1,keyasint"`
	Attempt int         `cbor:"2,keyasint"`
	Kind    OutcomeKind `cbor:"3,keyasint"`
	Result  []byte      `cbor:"4,keyasint,omitempty"`
	Reason  string      `cbor:"5,keyasint,omitempty"`
	// Permanent marks a failure that a further attempt would only repeat.
	Permanent bool `cbor:"6,keyasint,omitempty"`
	// RetryDelayMS is the delay before the next attempt in milliseconds. More than a day
	// counts as a day.
	RetryDelayMS int64 `cbor:"7,keyasint,omitempty"`
}

// JobOutcomes is a batch of outcomes, each of which is applied or refused separately.
type JobOutcomes struct {
	Outcomes []JobOutcome `cbor:"1,keyasint"`
}

// Observation is a change in the observed state of an instance. With an Incarnation and
// without Lost it is an announcement of the instance itself.
type Observation struct {
	Instance    string    `cbor:"1,keyasint"`
	Incarnation string    `cbor:"2,keyasint,omitempty"`
	Address     string    `cbor:"3,keyasint,omitempty"`
	Capacity    Resources `cbor:"4,keyasint,omitempty"`
	// Lost is set by the leader when the instance has been silent for its lease and a
	// safety margin.
	Lost bool `cbor:"5,keyasint,omitempty"`
	// QuarantineMS quarantines the instance for this many milliseconds; more than a
	// day counts as a day. A negative value ends the quarantine, 0 leaves it as it is.
	QuarantineMS int64 `cbor:"6,keyasint,omitempty"`
	// Started lists the jobs that the worker reports as running.
	Started []string `cbor:"7,keyasint,omitempty"`
}

// Observe is a batch of observations, each of which is applied or refused separately.
type Observe struct {
	Observations []Observation `cbor:"1,keyasint"`
}

// GrantChange sets the number of units that one entry may use for the calls of each
// team. Teams that are not listed keep theirs.
type GrantChange struct {
	Entry string         `cbor:"1,keyasint"`
	Units map[string]int `cbor:"2,keyasint"`
}

// MarkInForce records that a revision and all earlier ones are in force everywhere.
type MarkInForce struct {
	Revision Revision `cbor:"1,keyasint"`
}

// PhaseChange changes the maintenance phases of instances. The availability budgets are
// verified again when it is applied. Result.Rejected lists the refused steps.
type PhaseChange struct {
	Steps []PhaseStep `cbor:"1,keyasint"`
	// Waiting sets MaintenancePlan.WaitingFor by plan; an empty reason clears it.
	Waiting map[string]string `cbor:"2,keyasint,omitempty"`
}

// PhaseStep sets the phase of one instance under a maintenance plan or, with an empty Plan,
// of one that no plan holds.
type PhaseStep struct {
	Instance string        `cbor:"1,keyasint"`
	Plan     string        `cbor:"2,keyasint,omitempty"`
	Phase    InstancePhase `cbor:"3,keyasint"`
	// Completed adds the instance to MaintenancePlan.Completed. It is allowed only in
	// the step from PhaseVerifying to PhaseActive.
	Completed bool `cbor:"4,keyasint,omitempty"`
}

// Expire cancels the queued jobs whose deadline has passed and removes the records whose
// retention time is over at the time of the command.
type Expire struct{}

// PoolMove moves an idle instance from one pool to another. It is a configuration change
// made by the system and increases the revision.
type PoolMove struct {
	Instance string `cbor:"1,keyasint"`
	From     string `cbor:"2,keyasint"`
	To       string `cbor:"3,keyasint"`
	Reason   string `cbor:"4,keyasint,omitempty"`
}

// Result is the result of applying one command.
type Result struct {
	// Refusal is nil when the command was accepted.
	Refusal  *Refusal `cbor:"1,keyasint,omitempty"`
	Revision Revision `cbor:"2,keyasint,omitempty"`
	Job      *Job     `cbor:"3,keyasint,omitempty"`
	// Rejected maps the index of each refused element of a batch to its refusal. It is nil
	// when none was refused.
	Rejected map[int]Refusal `cbor:"4,keyasint,omitempty"`
	// Resent is true when the command repeats an earlier one and changed nothing.
	Resent bool `cbor:"5,keyasint,omitempty"`
	// Workload is the result of a Workload command.
	Workload *workload.Result `cbor:"6,keyasint,omitempty"`
}

// Code is the machine-readable reason for a refusal.
type Code string

// Refusal codes of the state machine.
const (
	CodeRevisionConflict Code = "revision_conflict"
	CodeRequestIDReused  Code = "request_id_reused"
	CodeInvalid          Code = "invalid"
	CodeNotFound         Code = "not_found"
	// CodeInUse means that jobs, maintenance or other entities use the entity.
	CodeInUse        Code = "in_use"
	CodeKeyWithdrawn Code = "key_withdrawn"
	CodeUnauthorized Code = "unauthorized"
	CodeQueueFull    Code = "queue_full"
	// CodeLimit means that the team is at its limit.
	CodeLimit  Code = "limit"
	CodeBudget Code = "availability_budget"
	// CodeStale means that the command does not fit the present state of the job, instance
	// or plan.
	CodeStale Code = "stale"
	// CodeExpired means that the record of the job was removed.
	CodeExpired Code = "expired"
)

// Refusal is the rejection of a command or of one element of a batch, which changed
// nothing in the state.
type Refusal struct {
	Code    Code   `cbor:"1,keyasint"`
	Message string `cbor:"2,keyasint,omitempty"`
	// PresentRevision is the revision of the configuration, set with CodeRevisionConflict
	// only.
	PresentRevision Revision `cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the time in milliseconds after which a repetition may succeed, 0
	// when none is suggested.
	RetryAfterMS int64 `cbor:"4,keyasint,omitempty"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}
