package wire

import (
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// WhereRequest asks the leader where a job would go now. The job is not submitted, and its
// identifier is ignored.
type WhereRequest struct {
	Job workload.Submit `cbor:"1,keyasint"`
}

// WhereReply is the reply to a WhereRequest. It describes the first step of the job. Times
// are in milliseconds.
type WhereReply struct {
	// Leader is the name of the leader, Applied the log index and NowMS the cluster time of
	// the state that the reply rests on.
	Leader  string `cbor:"1,keyasint" json:"leader"`
	Applied uint64 `cbor:"2,keyasint" json:"applied"`
	NowMS   int64  `cbor:"3,keyasint" json:"now_ms"`
	Pool    string `cbor:"4,keyasint" json:"pool"`
	// Tasks is the number of tasks of the step, and Starting of those that would start now.
	Tasks    int          `cbor:"5,keyasint" json:"tasks"`
	Starting int          `cbor:"6,keyasint" json:"starting"`
	Places   []WherePlace `cbor:"7,keyasint,omitempty" json:"places"`
	// ExpectedMedianMS and ExpectedP90MS describe the run time of a task. ExpectedRuns is the
	// number of finished runs behind them; 0 means that they are the declared time.
	ExpectedMedianMS int64 `cbor:"8,keyasint" json:"expected_median_ms"`
	ExpectedP90MS    int64 `cbor:"9,keyasint" json:"expected_p90_ms"`
	ExpectedRuns     int   `cbor:"10,keyasint" json:"expected_runs"`
	// AheadJobs and AheadTasks wait in the same pool with an earlier place.
	AheadJobs  int `cbor:"11,keyasint" json:"ahead_jobs"`
	AheadTasks int `cbor:"12,keyasint" json:"ahead_tasks"`
	// Reason says why tasks would not start now, and Detail what it is about. Reason is empty
	// if they all would, or if only the pace of the plans holds them back.
	Reason stall.Reason `cbor:"13,keyasint,omitempty" json:"reason,omitempty"`
	Detail string       `cbor:"14,keyasint,omitempty" json:"detail,omitempty"`
	// StartsInMS estimates when the next task starts. It is -1 if there is no estimate.
	StartsInMS int64 `cbor:"15,keyasint" json:"starts_in_ms"`
	// Refusal says why intake would refuse the job, which may be retried after RetryAfterMS.
	// It is empty if intake would accept it.
	Refusal      string `cbor:"16,keyasint,omitempty" json:"refusal,omitempty"`
	RetryAfterMS int64  `cbor:"17,keyasint,omitempty" json:"retry_after_ms,omitempty"`
}

// WherePlace is a worker on which tasks would start.
type WherePlace struct {
	Worker     string `cbor:"1,keyasint" json:"worker"`
	DataCentre string `cbor:"2,keyasint,omitempty" json:"data_centre,omitempty"`
	Rack       string `cbor:"3,keyasint,omitempty" json:"rack,omitempty"`
	Tasks      int    `cbor:"4,keyasint" json:"tasks"`
}
