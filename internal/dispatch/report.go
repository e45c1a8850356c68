// Package dispatch assigns tasks to workers. It runs on the leading store, which takes the
// heartbeats of the workers, decides what runs where, and answers each heartbeat with
// orders.
//
// Orders are the difference between what a worker should run by the replicated state and
// what it reports to run. They are computed anew for each heartbeat, so that nothing has to
// be repaired after a lost response or a change of leader.
package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Report is one heartbeat of a worker: what it is, what it runs and which runs have ended.
type Report struct {
	Incarnation workload.WorkerIncarnation `json:"life"`
	Machine     string                     `json:"machine"`
	Pool        string                     `json:"pool"`
	Address     string                     `json:"address,omitempty"`
	DataCentre  string                     `json:"data_centre,omitempty"`
	Rack        string                     `json:"rack,omitempty"`
	Labels      []string                   `json:"labels,omitempty"`
	Capacity    workload.Resources         `json:"capacity"`
	// Sequence is above 0 and increases with each heartbeat of an incarnation.
	Sequence int64 `json:"sequence"`
	Draining bool  `json:"draining,omitempty"`
	// DrainRemaining is the least time for which a draining worker goes on running.
	DrainRemaining time.Duration `json:"drain_remaining_ns,omitempty"`
	// ColdRemaining is how much longer the worker remains slow after its start.
	ColdRemaining time.Duration `json:"cold_remaining_ns,omitempty"`
	// Running lists the runs that the worker is executing, and Ended those that have ended
	// and are not acknowledged yet.
	Running []RunningTask `json:"running,omitempty"`
	Ended   []EndedTask   `json:"ended,omitempty"`
	// MoreEnds is true when runs may have ended that Ended does not list yet.
	MoreEnds bool `json:"more_ends,omitempty"`
}

// RunningTask is a run that the worker is executing.
type RunningTask struct {
	workload.Run
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the progress of the run, 0 to 100. A long-running task that is fully
	// active is at 100.
	Percent int `json:"percent"`
	// TailMS is the tail latency of a serving task in milliseconds, and UsedMilli the
	// processor time that any other task uses in millicores. Both are rough measurements.
	TailMS    int64 `json:"tail_ms,omitempty"`
	UsedMilli int64 `json:"used_milli,omitempty"`
}

// EndedTask is a run that has ended. Number counts the ended runs of an incarnation from 1.
// A worker repeats it in its reports until the leader acknowledges the number.
type EndedTask struct {
	workload.Run
	Number     int64            `json:"number"`
	Outcome    workload.Outcome `json:"outcome"`
	Checkpoint string           `json:"checkpoint,omitempty"`
}

// Orders is the response to a Report.
type Orders struct {
	// Term is the term of the leader. Workers ignore orders of an earlier term than they
	// have seen.
	Term uint64 `json:"term"`
	// Lease is how long the worker may run tasks, counted from the sending of the
	// heartbeat. 0 does not extend its lease.
	Lease time.Duration `json:"lease_ns,omitempty"`
	// Retry is the time until the next heartbeat if nothing happens on the worker before.
	Retry time.Duration `json:"retry_ns"`
	// AckedEnds acknowledges the ended runs up to this number, which are recorded.
	AckedEnds int64          `json:"acked_ends,omitempty"`
	Starts    []StartOrder   `json:"starts,omitempty"`
	Stops     []workload.Run `json:"stops,omitempty"`
	Paces     []PaceOrder    `json:"paces,omitempty"`
}

// StartOrder tells a worker to start a run, from its checkpoint if it has one.
type StartOrder struct {
	workload.Run
	Specification string `json:"specification,omitempty"`
	Checkpoint    string `json:"checkpoint,omitempty"`
	// Ticket is the advice service's approval of the worker, empty if the step needs none.
	Ticket string `json:"ticket,omitempty"`
}

// PaceOrder tells a worker at which percentage of its full speed a run may work; 0 pauses
// it.
type PaceOrder struct {
	workload.Run
	Percent int `json:"percent"`
}

// NotLeaderError is the error of a request that only the leader can handle. Leader is the
// peer address of the leader, empty when unknown.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string { return "dispatch: not the leader" }
