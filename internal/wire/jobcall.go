package wire

import "github.com/samphirefork/samphirefork/internal/workload"

// JobOp is what a caller asks of a queue.
type JobOp uint8

// Operations of callers.
const (
	JobSubmit JobOp = iota + 1
	JobStatus
	JobCancel
	JobWaiting
)

// JobCall is a caller's request, which the leader judges by its configuration.
type JobCall struct {
	Op   JobOp  `cbor:"1,keyasint"`
	Host string `cbor:"2,keyasint"`
	Path string `cbor:"3,keyasint"`
	Key  string `cbor:"4,keyasint,omitempty"`
	// Content is the submitted job without identifier, queue and team.
	Content *workload.Submit `cbor:"5,keyasint,omitempty"`
	// Invalid says why the content could not be read.
	Invalid string `cbor:"6,keyasint,omitempty"`
	// Queue, Team and Job are set instead of Host, Path and Key by an entry that has
	// checked the caller's key itself.
	Queue string `cbor:"7,keyasint,omitempty"`
	Team  string `cbor:"8,keyasint,omitempty"`
	Job   string `cbor:"9,keyasint,omitempty"`
}

// JobVerdict is the answer to a JobCall.
type JobVerdict uint8

// Verdicts. Only VerdictOK means that a submitted job is stored.
const (
	VerdictOK JobVerdict = iota + 1
	VerdictNoQueue
	VerdictNoJob
	VerdictBadKey
	VerdictInvalid
	VerdictConflict
	VerdictOverloaded
	VerdictNoConfig
)

// JobCallReply answers a JobCall.
type JobCallReply struct {
	Verdict JobVerdict        `cbor:"1,keyasint"`
	State   workload.JobState `cbor:"2,keyasint,omitempty"`
	Waiting int               `cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is when a later attempt may be taken.
	RetryAfterMS int64  `cbor:"4,keyasint,omitempty"`
	Detail       string `cbor:"5,keyasint,omitempty"`
	// Steps is the progress of the steps of a job that is under way.
	Steps []StepCount `cbor:"6,keyasint,omitempty"`
}

// StepCount counts the tasks of one step, over all occurrences that have begun.
type StepCount struct {
	Tasks   int `cbor:"1,keyasint" json:"tasks"`
	Waiting int `cbor:"2,keyasint,omitempty" json:"waiting"`
	Running int `cbor:"3,keyasint,omitempty" json:"running"`
	Done    int `cbor:"4,keyasint,omitempty" json:"done"`
}

// StepReport carries the report of a worker of step jobs, in the JSON of the
// product's own interface, which only the leader reads.
type StepReport struct {
	Worker string `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint,omitempty"`
}

// StepOrders answers a StepReport with the orders in the same JSON.
type StepOrders struct {
	Body []byte `cbor:"1,keyasint"`
}

// JoinRequest asks the leader to take a store into the log, or whether it belongs to it.
type JoinRequest struct {
	Member MemberInfo `cbor:"1,keyasint"`
	// Fresh is true when the store has an empty log and may be added as a learner.
	Fresh bool `cbor:"2,keyasint,omitempty"`
}

// JoinReply tells a store whether it belongs to the log.
type JoinReply struct {
	Member bool `cbor:"1,keyasint"`
	// Removed is true when the store's log belongs to a member that was removed.
	Removed bool         `cbor:"2,keyasint,omitempty"`
	Members []MemberInfo `cbor:"3,keyasint,omitempty"`
}

// LeaderInfo tells who leads, by the store that was asked.
type LeaderInfo struct {
	Term    uint64       `cbor:"1,keyasint"`
	Members []MemberInfo `cbor:"2,keyasint,omitempty"`
}
