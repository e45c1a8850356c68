package wire

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// JobOp is an operation on a queue that a caller requests.
type JobOp uint8

// Operations of callers: submit a job, get the state of a job, cancel a job, and get
// the number of waiting jobs of a queue.
const (
	JobSubmit JobOp = iota + 1
	JobStatus
	JobCancel
	JobWaiting
)

// JobCall forwards a caller's request to the leader, which checks it against its
// configuration.
type JobCall struct {
	Op   JobOp  `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Key  string `cbor:"4,keyasint,omitempty"`
	// Content is the submitted job without its identifier, queue and team.
	Content *workload.Submit `cbor:"5,keyasint,omitempty"`
	// Invalid is the reason why the content could not be decoded, or "".
	Invalid string `cbor:"6,keyasint,omitempty"`
	// Queue, Team and Job are set instead of Host, Path and Key by an entry that has
	// already checked the caller's key.
	Queue string `cbor:"7,keyasint,omitempty"`
	Team  string `cbor:"8,keyasint,omitempty"`
	Job   string `cbor:"9,keyasint,omitempty"`
	// RepeatedAfterMS is positive when an earlier attempt at the same call may have been carried out. It
	// is the time since the first one, in milliseconds.
	RepeatedAfterMS int64 `cbor:"10,keyasint,omitempty"`
}

// AsRepetition implements leader.Repeatable.
func (c JobCall) AsRepetition(after time.Duration) any {
	c.RepeatedAfterMS = max(c.RepeatedAfterMS, after.Milliseconds(), 1)
	return c
}

// JobVerdict is the answer to a JobCall.
type JobVerdict uint8

// Verdicts. VerdictOK means that a submitted job is stored, and VerdictUnresolved that an earlier
// attempt at the call may have been or may yet be carried out. After any other the call has changed
// nothing, in any of its attempts.
const (
	VerdictOK JobVerdict = iota + 1
	VerdictNoQueue
	VerdictNoJob
	VerdictBadKey
	VerdictInvalid
	VerdictConflict
	VerdictOverloaded
	VerdictNoConfig
	VerdictUnresolved
)

// JobCallReply answers a JobCall.
type JobCallReply struct {
	Verdict JobVerdict        `cbor:"1,keyasint"`
	State   workload.JobState `cbor:"2,keyasint,omitempty"`
	Waiting int               `cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the time, in milliseconds, after which a further attempt may be
	// accepted.
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
	Detail       string `cbor:"5,keyasint,omitempty"`
	// Steps is the progress of each step of a job that is in progress.
	Steps []StepCount `cbor:"6,keyasint,omitempty"`
}

// StepCount is the number of tasks of one step by state, summed over all occurrences
// that have begun.
type StepCount struct {
	Tasks   int `cbor:"1,keyasint" json:"tasks"`
	Waiting int `cbor:"2,keyasint,omitempty" json:"waiting"`
	Running int `cbor:"3,keyasint,omitempty" json:"running"`
	Done    int `cbor:"4,keyasint,omitempty" json:"done"`
}

// StepReport forwards the report of a worker of step jobs, or with TypeStepLeave the
// news that the worker is stopping. Body is the JSON of the worker API, which only the
// leader decodes.
type StepReport struct {
	Worker string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// StepOrders is the reply to a StepReport, with the orders in the JSON of the worker
// API.
type StepOrders struct {
	Body []byte `cbor:"1,keyasint"`
}

// StalledRequest asks the leader for the work that makes no progress.
type StalledRequest struct {
	// AllTeams selects the work of all teams; otherwise only that of Team.
	AllTeams bool   `cbor:"1,keyasint,omitempty"`
	Team     string `cbor:"2,keyasint,omitempty"`
	// Queue and Reason select one queue and one reason; empty values select all.
	Queue  string       `cbor:"3,keyasint,omitempty"`
	Reason stall.Reason `cbor:"4,keyasint,omitempty"`
}

// StalledReply is the reply to a StalledRequest. NowMS is the leader's cluster time.
type StalledReply struct {
	NowMS  int64         `cbor:"1,keyasint"`
	Stalls []stall.Stall `cbor:"2,keyasint,omitempty"`
	// Omitted is the number of further entries, which did not fit into the reply.
	Omitted int `cbor:"3,keyasint,omitempty"`
}

// JoinRequest asks the leader whether a store is a member of the log, and to add it as
// a learner if it is not and Fresh is set.
type JoinRequest struct {
	Member MemberInfo `cbor:"1,keyasint"`
	// Fresh is true if the store's log is empty, so that it may be added as a learner.
	Fresh bool `cbor:"2,keyasint,omitempty"`
}

// JoinReply is the reply to a JoinRequest.
type JoinReply struct {
	// Member is true if the store is a member of the log.
	Member bool `cbor:"1,keyasint"`
	// Removed is true if the store's log belongs to a member that was removed.
	Removed bool         `cbor:"2,keyasint,omitempty"`
	Members []MemberInfo `cbor:"3,keyasint,omitempty"`
}

// LeaderInfo is the leader's term and the members of the log. It is the reply to
// TypeLeader.
type LeaderInfo struct {
	Term    uint64       `cbor:"1,keyasint"`
	Members []MemberInfo `cbor:"2,keyasint,omitempty"`
}
