// Package dispatch is the leader's side of the workers: it takes their
// heartbeats, decides what runs where, and answers each heartbeat with orders.
//
// Orders are the difference between what the replicated state says of a worker
// and what the worker reports. They are computed anew for each heartbeat, so a
// lost answer or a change of leader needs no repair.
package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Report is one heartbeat of a worker.
type Report struct {
	Incarnation workload.WorkerLife `json:"life"`
	Machine     string              `json:"machine"`
	Pool        string              `json:"pool"`
	Address     string              `json:"address,omitempty"`
	DataCentre  string              `json:"data_centre,omitempty"`
	Rack        string              `json:"rack,omitempty"`
	Labels      []string            `json:"labels,omitempty"`
	Capacity    workload.Resources  `json:"capacity"`
	// Sequence grows with each heartbeat of a life.
	Sequence int64 `json:"sequence"`
	Draining bool  `json:"draining,omitempty"`
	// DrainRemaining is the least time that a draining worker goes on.
	DrainRemaining time.Duration `json:"drain_remaining_ns,omitempty"`
	Running        []RunningTask `json:"running,omitempty"`
	Ended          []EndedTask   `json:"ended,omitempty"`
}

// RunningTask is a run that the worker carries out.
type RunningTask struct {
	workload.Run
	Checkpoint string `json:"checkpoint,omitempty"`
	// Percent is the progress of the work; 100 on a long-running task at work.
	Percent int `json:"percent"`
	// TailMS is the tail of a serving task's response times, and UsedMilli the
	// processor time in use by any other task; both are rough.
	TailMS    int64 `json:"tail_ms,omitempty"`
	UsedMilli int64 `json:"used_milli,omitempty"`
}

// EndedTask is a run that ended. Number counts the ends of a life from 1.
type EndedTask struct {
	workload.Run
	Number     int64            `json:"number"`
	Outcome    workload.Outcome `json:"outcome"`
	Checkpoint string           `json:"checkpoint,omitempty"`
}

// Orders answers a Report.
type Orders struct {
	// Term fences the orders of earlier leaders.
	Term uint64 `json:"term"`
	// Lease is the time from the sending of the heartbeat for which the worker may
	// run tasks; 0 extends nothing.
	Lease time.Duration `json:"lease_ns,omitempty"`
	// Retry is the time until the next heartbeat without news.
	Retry time.Duration `json:"retry_ns"`
	// AckedEnds is the number up to which ends are recorded.
	AckedEnds int64          `json:"acked_ends,omitempty"`
	Starts    []StartOrder   `json:"starts,omitempty"`
	Stops     []workload.Run `json:"stops,omitempty"`
	Paces     []PaceOrder    `json:"paces,omitempty"`
}

// StartOrder tells a worker to begin a run.
type StartOrder struct {
	workload.Run
	Specification string `json:"specification,omitempty"`
	Checkpoint    string `json:"checkpoint,omitempty"`
	Ticket        string `json:"ticket,omitempty"`
}

// PaceOrder tells a worker how fast a run may work.
type PaceOrder struct {
	workload.Run
	Percent int `json:"percent"`
}

// NotLeaderError refuses what only the leader may do. Leader is the peer address of
// the leader, empty when unknown.
type NotLeaderError struct{ Leader string }

// Error implements error.
func (e *NotLeaderError) Error() string { return "dispatch: not the leader" }
