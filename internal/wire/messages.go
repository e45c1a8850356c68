package wire

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Type is the type of a message, which determines how its body is decoded.
type Type uint8

// Message types, with their body. Zero is reserved, so that a missing type is
// detected.
const (
	TypeHello          Type = iota + 1 // first message of the handshake
	TypeProof                          // second message of the handshake
	TypeError                          // failed request; ErrorBody
	TypeRaft                           // one-way message of the consensus protocol
	TypeRenew                          // RenewRequest, answered by RenewReply
	TypePropose                        // ProposeRequest, answered by ProposeReply
	TypeWorkerReport                   // WorkerReport, answered by WorkerOrders
	TypeJobWait                        // JobWaitRequest, answered by JobWaitReply
	TypeLedgerClaim                    // LedgerClaimRequest, answered by LedgerRecord
	TypeLedgerDispatch                 // LedgerUpdate before the dispatch, empty reply
	TypeLedgerFinish                   // LedgerUpdate with the final answer, empty reply
	TypeRegistration                   // Registration, one-way
	TypeForward                        // ForwardRequest, answered by CallAnswer
	TypeStatus                         // StatusRequest, answered by StatusReply
	TypeMembership                     // MembershipChange, answered by StatusReply
	TypeJobCall                        // JobCall, answered by JobCallReply
	TypeJoin                           // JoinRequest, answered by JoinReply
	TypeLeader                         // no body, answered by LeaderInfo
	TypeStepReport                     // StepReport, answered by StepOrders
	TypeStepLeave                      // StepReport without a body, answered by empty StepOrders
	TypeStalled                        // StalledRequest, answered by StalledReply
	TypeWhere                          // WhereRequest, answered by WhereReply
)

// RenewRequest renews the configuration lease and the limit grants of an entry.
// Revision is that of the entry's configuration, or 0 if it has none.
type RenewRequest struct {
	Instance   string `cbor:"1,keyasint"`
	DataCentre string `cbor:"2,keyasint"`
	// Incarnation identifies the entry's process. Sequence increases with each
	// request, so that the leader ignores a request that was overtaken by a later one.
	Incarnation string         `cbor:"3,keyasint"`
	Sequence    uint64         `cbor:"4,keyasint"`
	PeerAddress string         `cbor:"5,keyasint"`
	Revision    fleet.Revision `cbor:"6,keyasint"`
	// Wanted is the number of units that the entry wants, by team. Until the entry has
	// the reply, it admits no more calls than this, so the leader may lower the grant
	// to this number at once.
	Wanted map[string]int `cbor:"7,keyasint,omitempty"`
	// Used is the number of running calls of each team through this entry.
	Used map[string]int `cbor:"8,keyasint,omitempty"`
	// HoldMS is how long, in milliseconds, the leader may hold the reply if there is
	// nothing new.
	HoldMS int64 `cbor:"9,keyasint,omitempty"`
	// Granted is the number of units by team in the last reply that the entry applied.
	// Until the entry has the next reply, it admits no more calls than this, so the
	// leader may release units that it has asked the entry to give up. Nil means that
	// only Wanted limits what the entry admits.
	Granted map[string]int `cbor:"10,keyasint,omitempty"`
	// Term is the term of the last reply that the entry applied. A request sent before
	// the entry had a reply from the present leader lowers no grant, since an earlier
	// leader may have replied to it already.
	Term uint64 `cbor:"11,keyasint,omitempty"`
}

// RenewReply grants a lease, which the entry counts from the moment when it sent the
// request.
type RenewReply struct {
	Term uint64 `cbor:"1,keyasint"`
	// LeaseMS is the length of the lease in milliseconds.
	LeaseMS  int64          `cbor:"2,keyasint"`
	Revision fleet.Revision `cbor:"3,keyasint"`
	// Config is the full configuration. It is set instead of Delta if the entry has no
	// configuration yet, or if the changes since its revision are no longer kept.
	Config *fleet.Config `cbor:"4,keyasint,omitempty"`
	// Grants is the number of units by team that the entry may use for calls. A team
	// that is not listed has none.
	Grants map[string]int `cbor:"5,keyasint,omitempty"`
	// TeamCalls is the number of running calls across the fleet, for the teams listed
	// in Wanted.
	TeamCalls map[string]int `cbor:"6,keyasint,omitempty"`
	// Entries lists the entries that may hold a lease. Entries use it to connect to
	// each other.
	Entries []EntryInfo `cbor:"7,keyasint,omitempty"`
	// Delta holds the changes since the entry's revision, for fleet.Config.WithDelta.
	// It is nil if there are none or Config is set.
	Delta *fleet.ConfigDelta `cbor:"8,keyasint,omitempty"`
	// Draining lists the backend server instances that are being drained and get no
	// new calls.
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
	// WaitInForceMS is how long, in milliseconds, the reply to a configuration change
	// may be held until the change is in force.
	WaitInForceMS int64 `cbor:"2,keyasint,omitempty"`
}

// ProposeReply is the result of a command.
type ProposeReply struct {
	Result fleet.Result `cbor:"1,keyasint"`
	// InForce is true if the change was in force everywhere when the reply was sent,
	// and InForceAt is the time from which it was.
	InForce   bool       `cbor:"2,keyasint,omitempty"`
	InForceAt fleet.Time `cbor:"3,keyasint,omitempty"`
}

// TaskReport is the state of one task on a worker: one attempt of a job.
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

// Task states. All but TaskRunning and TaskThrottled are final and are reported until
// the leader acknowledges them.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskDone         TaskState = "done"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskNotStarted   TaskState = "not_started"
)

// WorkerState is the latest announcement of a worker. That of a backend server has
// only the instance, incarnation and address.
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

// WorkerReport is a batch of announcements that an entry received since its last
// report. The kind of the declared instance distinguishes workers from backend
// servers.
type WorkerReport struct {
	Entry   string        `cbor:"1,keyasint"`
	Workers []WorkerState `cbor:"2,keyasint,omitempty"`
	// HoldMS is how long, in milliseconds, the leader may hold the reply if it has no
	// orders.
	HoldMS int64 `cbor:"3,keyasint,omitempty"`
}

// TaskKey identifies one attempt of a job.
type TaskKey struct {
	JobID   string `cbor:"1,keyasint" json:"job_id"`
	Attempt int    `cbor:"2,keyasint" json:"attempt"`
}

// OrderKind is what an order asks a worker to do.
type OrderKind string

// Order kinds. The leader may repeat an order of any kind; workers carry out a
// repeated order once.
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

// Order is an instruction of the leader to one incarnation of a worker. Spec and
// OnPartition are set for OrderStart only.
type Order struct {
	Worker      string                `cbor:"1,keyasint" json:"worker"`
	Incarnation string                `cbor:"2,keyasint" json:"incarnation"`
	Kind        OrderKind             `cbor:"3,keyasint" json:"kind"`
	Task        TaskKey               `cbor:"4,keyasint,omitempty" json:"task"`
	Spec        *fleet.JobSpec        `cbor:"5,keyasint,omitempty" json:"spec,omitempty"`
	OnPartition fleet.PartitionPolicy `cbor:"6,keyasint,omitempty" json:"on_partition,omitempty"`
}

// WorkerOrders is the reply to a WorkerReport.
type WorkerOrders struct {
	Term   uint64  `cbor:"1,keyasint"`
	Orders []Order `cbor:"2,keyasint,omitempty"`
}

// JobWaitRequest asks for a job once it is in a final state, or after WaitMS
// milliseconds.
type JobWaitRequest struct {
	ID     string `cbor:"1,keyasint"`
	Team   string `cbor:"2,keyasint,omitempty"`
	WaitMS int64  `cbor:"3,keyasint,omitempty"`
}

// JobWaitReply carries the job, or nil if the leader has no record of it or it belongs
// to another team.
type JobWaitReply struct {
	Job *fleet.Job `cbor:"1,keyasint,omitempty"`
	// Expired is true if the identifier belongs to a job whose record was removed.
	Expired bool `cbor:"2,keyasint,omitempty"`
}

// LedgerState is the state of a request in the request ledger of its home data centre.
type LedgerState string

// Ledger states, with what they tell the sender of a LedgerClaimRequest.
const (
	// LedgerNew: the claim succeeded, and its owner may dispatch the request.
	LedgerNew LedgerState = "new"
	// LedgerClaimed: the request is claimed, but has not been dispatched.
	LedgerClaimed LedgerState = "claimed"
	// LedgerDispatched: the request was dispatched and may have run.
	LedgerDispatched LedgerState = "dispatched"
	// LedgerFinished: the request has a final answer.
	LedgerFinished LedgerState = "finished"
	// LedgerExpired: the record was removed at the end of its retention time.
	LedgerExpired LedgerState = "expired"
	// LedgerForgotten: there is no record, but the ledger may have lost one with its
	// disk, so the request may have run.
	LedgerForgotten LedgerState = "forgotten"
)

// LedgerClaimRequest claims a request identifier for one entry, or asks for its outcome.
type LedgerClaimRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Owner       string `cbor:"2,keyasint"`
	Fingerprint uint64 `cbor:"3,keyasint"`
	// FirstAttempt is true if the caller states that it has not sent this identifier
	// before.
	FirstAttempt bool `cbor:"4,keyasint,omitempty"`
	// WaitMS is how long, in milliseconds, the reply may be held for the outcome of a
	// request that is in progress.
	WaitMS int64 `cbor:"5,keyasint,omitempty"`
	// DeadlineMS is the time, in milliseconds, that is left until the call's deadline.
	DeadlineMS int64 `cbor:"6,keyasint,omitempty"`
}

// LedgerRecord is the present record of a request identifier.
type LedgerRecord struct {
	State       LedgerState `cbor:"1,keyasint"`
	Owner       string      `cbor:"2,keyasint,omitempty"`
	Fingerprint uint64      `cbor:"3,keyasint,omitempty"`
	Answer      *CallAnswer `cbor:"4,keyasint,omitempty"`
}

// LedgerUpdate records that the owner is about to dispatch a request, or has finished
// it with Answer. The reply is sent after the record is synced to disk.
type LedgerUpdate struct {
	RequestID string      `cbor:"1,keyasint"`
	Owner     string      `cbor:"2,keyasint"`
	Answer    *CallAnswer `cbor:"3,keyasint,omitempty"`
}

// CallAnswer is the final answer to a direct call. Status is its HTTP status.
type CallAnswer struct {
	Verdict     string `cbor:"1,keyasint"`
	Code        string `cbor:"2,keyasint,omitempty"`
	Status      int    `cbor:"3,keyasint"`
	ContentType string `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
	Message     string `cbor:"6,keyasint,omitempty"`
	// RetryAfterMS is the time, in milliseconds, after which the caller may try again.
	RetryAfterMS int64 `cbor:"7,keyasint,omitempty"`
}

// BackendInfo is the announcement of one backend server.
type BackendInfo struct {
	Instance    string `cbor:"1,keyasint" json:"instance"`
	Incarnation string `cbor:"2,keyasint" json:"incarnation"`
	Service     string `cbor:"3,keyasint" json:"service"`
	Address     string `cbor:"4,keyasint" json:"address"`
	Slots       int    `cbor:"5,keyasint" json:"slots"`
	Connections int    `cbor:"6,keyasint" json:"connections"`
	Leaving     bool   `cbor:"7,keyasint,omitempty" json:"leaving,omitempty"`
	// Sequence increases with each announcement of an incarnation, so that an
	// announcement that was overtaken by a later one is ignored.
	Sequence uint64 `cbor:"8,keyasint,omitempty" json:"sequence,omitempty"`
	// AgeMS is the time, in milliseconds, since the sending entry received the
	// announcement.
	AgeMS int64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Registration passes the announcements of backend servers between the entries of a
// data centre. Entries of other data centres receive only the number of free slots by
// service.
type Registration struct {
	Entry    EntryInfo     `cbor:"1,keyasint"`
	Backends []BackendInfo `cbor:"2,keyasint,omitempty"`
	// FreeSlots is the number of free slots by service at the sending entry.
	FreeSlots map[string]int `cbor:"3,keyasint,omitempty"`
	// Draining is true if the entry is stopping and accepts no forwarded calls.
	Draining bool `cbor:"4,keyasint,omitempty"`
}

// ForwardRequest forwards one admitted call to an entry of another data centre.
// RemainingMS is what is left of the call's time limit, in milliseconds.
type ForwardRequest struct {
	RequestID   string `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Team        string `cbor:"3,keyasint,omitempty"`
	Idempotent  bool   `cbor:"4,keyasint,omitempty"`
	RemainingMS int64  `cbor:"5,keyasint"`
	ContentType string `cbor:"6,keyasint,omitempty"`
	Body        []byte `cbor:"7,keyasint,omitempty"`
	// KeyID is the key with which the call was admitted, or "" for an open service.
	KeyID string `cbor:"8,keyasint,omitempty"`
}

// StatusRequest asks the leader for a StatusReply.
type StatusRequest struct {
	// Detail asks for the configuration, the status of the instances and the
	// maintenance plans as well.
	Detail bool `cbor:"1,keyasint,omitempty"`
	// AuditLimit is the largest number of audit records to return, newest first.
	AuditLimit int `cbor:"2,keyasint,omitempty"`
}

// StatusReply describes the log and, on request, the fleet. Usage is the number of
// running jobs and calls by team; teams without any are left out.
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
	// Tasks is the number of assigned jobs by worker. Nil means that the store does
	// not report it; an empty map means that no job is assigned.
	Tasks map[string]int `cbor:"14,keyasint"`
}

// MemberInfo is one member of the replicated log.
type MemberInfo struct {
	ID         uint64 `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Address    string `cbor:"4,keyasint"`
	Learner    bool   `cbor:"5,keyasint,omitempty"`
	// Match is the highest log index that the member is known to hold.
	Match uint64 `cbor:"6,keyasint,omitempty"`
	// SilentMS is the time, in milliseconds, since the member last answered the
	// leader. Stores that do not lead report -1.
	SilentMS int64 `cbor:"7,keyasint,omitempty"`
}

// MembershipChange asks the leader to add a learner, to promote one to a voter, or to
// remove a member.
type MembershipChange struct {
	Add     *MemberInfo `cbor:"1,keyasint,omitempty"`
	Promote uint64      `cbor:"2,keyasint,omitempty"`
	Remove  uint64      `cbor:"3,keyasint,omitempty"`
}

// ErrorBody is the reply to a request that failed as a whole. It is also the error
// that Conn.Call returns for such a reply.
type ErrorBody struct {
	Code    ErrorCode `cbor:"1,keyasint"`
	Message string    `cbor:"2,keyasint,omitempty"`
	// Leader is the peer address of the leader, if it is known. It is set with
	// CodeNotLeader and CodeUncertain.
	Leader string `cbor:"3,keyasint,omitempty"`
}

// ErrorCode is the machine-readable reason in an ErrorBody.
type ErrorCode string

// Error codes. After CodeUncertain and CodeInternal the request may have been carried
// out; after every other code it was not.
const (
	CodeNotLeader       ErrorCode = "not_leader"
	CodeUncertain       ErrorCode = "uncertain"
	CodeUnsupported     ErrorCode = "unsupported"
	CodeBadMessage      ErrorCode = "bad_message"
	CodeUnauthenticated ErrorCode = "unproven"
	CodeVersion         ErrorCode = "version"
	CodeBusy            ErrorCode = "busy"
	CodeInternal        ErrorCode = "internal"
	// CodeOvertaken is the reply to a renewal after a later one of the same process
	// has arrived.
	CodeOvertaken ErrorCode = "overtaken"
)

// Error implements error.
func (e *ErrorBody) Error() string {
	return "wire: " + string(e.Code) + ": " + e.Message
}
