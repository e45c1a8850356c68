package wire

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Type tells how the body of a frame is decoded.
type Type uint8

// Message types. Zero is reserved, so that a missing type is detected.
const (
	TypeHello Type = iota + 1
	TypeProof
	TypeError
	TypeRaft
	TypeRenew
	TypePropose
	TypeWorkerReport
	TypeJobWait
	TypeLedgerClaim
	TypeLedgerDispatch
	TypeLedgerFinish
	TypeRegistration
	TypeForward
	TypeStatus
	TypeMembership
	TypeJobCall
	TypeJoin
	TypeLeader
	TypeStepReport
	TypeStepLeave
)

// RenewRequest renews the configuration lease and the limit grants of an entry.
type RenewRequest struct {
	Instance   string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Incarnation identifies the entry's process; Sequence grows with each
	// request, so that the leader ignores a request that was overtaken.
	Incarnation string         `cbor:"3,keyasint"`
	Sequence    uint64         `cbor:"4,keyasint"`
	PeerAddress string         `cbor:"5,keyasint"`
	Revision    fleet.Revision `cbor:"6,keyasint"`
	// Wanted is the number of units wanted by team. The entry admits no more
	// than this until it has the reply, so the leader may lower the grant at once.
	Wanted map[string]int `cbor:"7,keyasint,omitempty"`
	// Used is the number of calls of each team that run through this entry.
	Used map[string]int `cbor:"8,keyasint,omitempty"`
	// HoldMS is the time for which the leader may hold the reply when nothing is new.
	HoldMS int64 `cbor:"9,keyasint,omitempty"`
	// Granted is the number of units by team that the entry acts on, from the last
	// reply that it took. The entry admits no more than this until it has the next
	// reply, so the leader may take back units that it has asked for. Nil means
	// that only Wanted bounds what the entry admits.
	Granted map[string]int `cbor:"10,keyasint,omitempty"`
	// Term is the term of the last reply that the entry took. A request that was
	// sent before the entry heard the present leader lowers no grant, since the
	// entry may have had a reply to it from an earlier leader.
	Term uint64 `cbor:"11,keyasint,omitempty"`
}

// RenewReply grants a lease that the holder counts from the moment it sent the request.
type RenewReply struct {
	Term     uint64         `cbor:"1,keyasint"`
	LeaseMS  int64          `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
	// Config is the full configuration when the entry's revision is not the
	// present one and the changes since it are no longer known.
	Config *fleet.Config `cbor:"4,keyasint,omitempty"`
	// Grants is the number of units by team that the entry may use; teams that are
	// not named have none.
	Grants map[string]int `cbor:"5,keyasint,omitempty"`
	// TeamCalls is the number of running calls across the fleet of the
	// teams named in Wanted.
	TeamCalls map[string]int `cbor:"6,keyasint,omitempty"`
	// Entries lists the live entries, for the mesh between them.
	Entries []EntryInfo `cbor:"7,keyasint,omitempty"`
	// Delta holds the changes since the entry's revision, for fleet.Config.With.
	Delta *fleet.ConfigDelta `cbor:"8,keyasint,omitempty"`
	// Draining lists the backend server instances that get no new calls.
	Draining []string `cbor:"9,keyasint,omitempty"`
}

// EntryInfo is what entries know of each other.
type EntryInfo struct {
	Instance    string `cbor:"1,keyasint"`
	DataCentre  string `cbor:"2,keyasint"`
	PeerAddress string `cbor:"3,keyasint"`
}

// ProposeRequest submits a command to the leader.
type ProposeRequest struct {
	Command fleet.Command `cbor:"1,keyasint"`
	// WaitInForceMS makes the reply wait until the change is in force, at most this long.
	WaitInForceMS int64 `cbor:"2,keyasint,omitempty"`
}

// ProposeReply carries the result of a command.
type ProposeReply struct {
	Result fleet.Result `cbor:"1,keyasint"`
	// InForce is true when the change was in force everywhere before the reply.
	InForce   bool       `cbor:"2,keyasint,omitempty"`
	InForceAt fleet.Time `cbor:"3,keyasint,omitempty"`
}

// TaskReport is the state of one task on a worker.
type TaskReport struct {
	JobID   string          `cbor:"1,keyasint" json:"job_id"`
	Attempt int             `cbor:"2,keyasint" json:"attempt"`
	State   TaskState       `cbor:"3,keyasint" json:"state"`
	Usage   fleet.Resources `cbor:"4,keyasint,omitempty" json:"usage"`
	Result  []byte          `cbor:"5,keyasint,omitempty" json:"result,omitempty"`
	Reason  string          `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
}

// TaskState is the state of a task on a worker.
type TaskState string

// Task states. The last four are final and are reported until acknowledged.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskNotStarted   TaskState = "not_started"
)

// WorkerState is the latest announcement of a worker, or of a backend server with
// instance, incarnation and address only.
type WorkerState struct {
	Instance    string          `cbor:"1,keyasint" json:"instance"`
	Incarnation string          `cbor:"2,keyasint" json:"incarnation"`
	Address     string          `cbor:"3,keyasint" json:"address"`
	DataCentre  string          `cbor:"4,keyasint" json:"data_centre"`
	Rack        string          `cbor:"5,keyasint" json:"rack"`
	Capacity    fleet.Resources `cbor:"6,keyasint" json:"capacity"`
	Tasks       []TaskReport    `cbor:"7,keyasint,omitempty" json:"tasks"`
	Leaving     bool            `cbor:"8,keyasint,omitempty" json:"leaving,omitempty"`
}

// WorkerReport is a batch of announcements that an entry has heard since its last
// report. The kind of the declared instance tells workers and backend servers apart.
type WorkerReport struct {
	Entry   string        `cbor:"1,keyasint"`
	Workers []WorkerState `cbor:"2,keyasint,omitempty"`
	// HoldMS is the time for which the leader may hold the reply when it has no orders.
	HoldMS int64 `cbor:"3,keyasint,omitempty"`
}

// TaskKey names one attempt of a job.
type TaskKey struct {
	JobID   string `cbor:"1,keyasint" json:"job_id"`
	Attempt int    `cbor:"2,keyasint" json:"attempt"`
}

// OrderKind tells what an order asks of a worker.
type OrderKind string

// Order kinds. Each may be repeated; workers carry out a repeated order once.
const (
	OrderStart      OrderKind = "start"
	OrderStop       OrderKind = "stop"
	OrderThrottle   OrderKind = "throttle"
	OrderUnthrottle OrderKind = "unthrottle"
	OrderCheckpoint OrderKind = "checkpoint"
	OrderAck        OrderKind = "ack"
	OrderDrain      OrderKind = "drain"
	OrderUndrain    OrderKind = "undrain"
	OrderReboot     OrderKind = "reboot"
)

// Order is one instruction of the leader for a worker.
type Order struct {
	Worker      string                `cbor:"1,keyasint" json:"worker"`
	Incarnation string                `cbor:"2,keyasint" json:"incarnation"`
	Kind        OrderKind             `cbor:"3,keyasint" json:"kind"`
	Task        TaskKey               `cbor:"4,keyasint,omitempty" json:"task"`
	Spec        *fleet.JobSpec        `cbor:"5,keyasint,omitempty" json:"spec,omitempty"`
	OnPartition fleet.PartitionPolicy `cbor:"6,keyasint,omitempty" json:"on_partition,omitempty"`
}

// WorkerOrders answers a WorkerReport.
type WorkerOrders struct {
	Term   uint64  `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint,omitempty"`
}

// JobWaitRequest asks for a job, at once or when it is final.
type JobWaitRequest struct {
	ID     string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint,omitempty"`
	WaitMS int64  `cbor:"3,keyasint,omitempty"`
}

// JobWaitReply carries the job, or nil when no such job is remembered.
type JobWaitReply struct {
	Job *fleet.Job `cbor:"1,keyasint,omitempty"`
	// Expired is true when the identifier belongs to a job whose record was removed.
	Expired bool `cbor:"2,keyasint,omitempty"`
}

// LedgerState is the state of a request in the ledger of its home data centre.
type LedgerState string

// Ledger states. LedgerNew is the answer to the one claim that may dispatch.
const (
	LedgerNew        LedgerState = "new"
	LedgerClaimed    LedgerState = "claimed"
	LedgerDispatched LedgerState = "dispatched"
	LedgerFinished   LedgerState = "finished"
	LedgerExpired    LedgerState = "expired"
	LedgerForgotten  LedgerState = "forgotten"
)

// LedgerClaimRequest claims a request identifier for one entry, or asks for its outcome.
type LedgerClaimRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
	// FirstAttempt is the caller's statement that it never sent this identifier before.
	FirstAttempt bool `cbor:"4,keyasint,omitempty"`
	// WaitMS lets the reply wait for the outcome of a request that is in progress.
	WaitMS     int64 `cbor:"5,keyasint,omitempty"`
	DeadlineMS int64 `cbor:"6,keyasint,omitempty"`
}

// LedgerRecord is the present record of a request identifier.
type LedgerRecord struct {
	State       LedgerState `cbor:"1,keyasint"`
	Owner       string      `cbor:"2,keyasint,omitempty"`
	Fingerprint uint64      `cbor:"3,keyasint,omitempty"`
	Answer      *CallAnswer `cbor:"4,keyasint,omitempty"`
}

// LedgerUpdate records that the owner dispatches or has finished a request. The
// reply comes after the record is synced.
type LedgerUpdate struct {
	RequestID string      `cbor:"1,keyasint"`
	Owner     string      `cbor:"2,keyasint"`
	Answer    *CallAnswer `cbor:"3,keyasint,omitempty"`
}

// CallAnswer is the final answer to a direct call.
type CallAnswer struct {
	Verdict      string `cbor:"1,keyasint"`
	Code         string `cbor:"2,keyasint,omitempty"`
	Status       int    `cbor:"3,keyasint"`
	ContentType  string `cbor:"4,keyasint,omitempty"`
	Body         []byte `cbor:"5,keyasint,omitempty"`
	Message      string `cbor:"6,keyasint,omitempty"`
	RetryAfterMS int64  `cbor:"7,keyasint,omitempty"`
}

// BackendInfo is the registration of one backend server.
type BackendInfo struct {
	Instance    string `cbor:"1,keyasint" json:"instance"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Service     string `cbor:"3,keyasint" json:"service"`
	Address     string `cbor:"4,keyasint" json:"address"`
	Slots       int    `cbor:"5,keyasint" json:"slots"`
	Connections int    `cbor:"6,keyasint" json:"connections"`
	Leaving     bool   `cbor:"7,keyasint,omitempty" json:"leaving,omitempty"`
	// Sequence grows with each announcement of an incarnation, so that an
	// announcement that was overtaken on the way is ignored.
	Sequence uint64 `cbor:"8,keyasint,omitempty" json:"sequence,omitempty"`
	// AgeMS is the time since the entry that passes it on heard it.
	AgeMS int64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Registration passes backend server registrations between entries of a data
// centre. A summary of free services goes to the entries of other data centres.
type Registration struct {
	Entry    EntryInfo     `cbor:"1,keyasint"`
	Backends []BackendInfo `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of free slots by service at the sending entry.
	FreeSlots map[string]int `cbor:"3,keyasint,omitempty"`
	// Draining is true when the entry is stopping and takes no forwarded calls.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// ForwardRequest hands one admitted call to an entry of another data centre.
type ForwardRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Team        string `cbor:"3,keyasint,omitempty"`
	Idempotent  bool   `cbor:"4,keyasint,omitempty"`
	RemainingMS int64  `cbor:"5,keyasint"`
	ContentType string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
	// KeyID is the key under which the call was admitted; empty for an open service.
	KeyID string `cbor:"8,keyasint,omitempty"`
}

// StatusRequest asks a store for its view; the reply is StatusReply.
type StatusRequest struct {
	// Detail asks for instances, plans and audit records as well.
	Detail bool `cbor:"1,keyasint,omitempty"`
	// AuditLimit is the largest number of audit records, newest first.
	AuditLimit int `cbor:"2,keyasint,omitempty"`
}

// StatusReply describes the log and, on request, the fleet.
type StatusReply struct {
	Leader   string                           `cbor:"1,keyasint"`
	Term     uint64                           `cbor:"2,keyasint"`
	Applied  uint64                           `cbor:"3,keyasint"`
	Members  []MemberInfo                     `cbor:"4,keyasint,omitempty"`
	Config   *fleet.Config                    `cbor:"5,keyasint,omitempty"`
	Status   map[string]fleet.InstanceStatus  `cbor:"6,keyasint,omitempty"`
	Plans    map[string]fleet.MaintenancePlan `cbor:"7,keyasint,omitempty"`
	Audit    []fleet.AuditRecord              `cbor:"8,keyasint,omitempty"`
	Entries  []EntryInfo                      `cbor:"9,keyasint,omitempty"`
	Jobs     map[fleet.JobState]int           `cbor:"10,keyasint,omitempty"`
	Usage    map[string]int                   `cbor:"11,keyasint,omitempty"`
	Now      fleet.Time                       `cbor:"12,keyasint"`
	Revision fleet.Revision                   `cbor:"13,keyasint"`
	// Tasks is the number of assigned jobs by worker; nil means that the store
	// does not report it, and an empty map that no job is assigned.
	Tasks map[string]int `cbor:"14,keyasint"`
}

// MemberInfo is one member of the replicated log.
type MemberInfo struct {
	ID         uint64 `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Address    string `cbor:"4,keyasint"`
	Learner    bool   `cbor:"5,keyasint,omitempty"`
	Match      uint64 `cbor:"6,keyasint,omitempty"`
	// SilentMS is the time since the member last answered the leader; it is known
	// on the leader only, and -1 elsewhere.
	SilentMS int64 `cbor:"7,keyasint,omitempty"`
}

// MembershipChange asks the leader to add a learner, promote it, or remove a member.
type MembershipChange struct {
	Add     *MemberInfo `cbor:"1,keyasint,omitempty"`
	Promote uint64      `cbor:"2,keyasint,omitempty"`
	Remove  uint64      `cbor:"3,keyasint,omitempty"`
}

// ErrorBody is the reply to a request that failed as a whole.
type ErrorBody struct {
	Code    ErrorCode `cbor:"1,keyasint"`
	Message string    `cbor:"2,keyasint,omitempty"`
	// Leader is the peer address of the leader with CodeNotLeader, if known.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// ErrorCode is the machine-readable reason of an ErrorBody.
type ErrorCode string

// Error codes. After CodeUncertain the request may have been carried out; after
// every other code it was not.
const (
	CodeNotLeader       ErrorCode = "not_leader"
	CodeUncertain       ErrorCode = "uncertain"
	CodeUnsupported     ErrorCode = "unsupported"
	CodeBadMessage      ErrorCode = "bad_message"
	CodeUnauthenticated ErrorCode = "unproven"
	CodeVersion         ErrorCode = "version"
	CodeBusy            ErrorCode = "busy"
	CodeInternal        ErrorCode = "internal"
	// CodeOvertaken answers a renewal that a later one of the same process overtook.
	CodeOvertaken ErrorCode = "overtaken"
)

// Error implements error.
func (e *ErrorBody) Error() string {
	return "wire: " + string(e.Code) + ": " + e.Message
}
