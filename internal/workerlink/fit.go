package workerlink

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// maxStateBytes bounds the results of one worker in a report, and maxReportBytes
	// the size of the whole report, so that it fits into a frame.
	maxStateBytes  = 512 << 10
	maxReportBytes = 1 << 20
	maxReasonBytes = 1 << 10
	// taskOverheadBytes and stateOverheadBytes are upper bounds of the encoded size of
	// the other fields of a task and of a worker.
	taskOverheadBytes  = 512
	stateOverheadBytes = 1 << 10
)

// limitResults returns a copy of a worker's state in which the results take at most
// maxStateBytes. If they take more, the remaining ended tasks are reported as running
// until the leader has acknowledged the first ones; at least one result is always
// kept. A result longer than fleet.MaxBlobBytes is cut to one byte more than this, so
// that the state machine detects that it was too long.
func limitResults(state wire.WorkerState) wire.WorkerState {
	tasks := make([]wire.TaskReport, 0, len(state.Tasks))
	size := 0
	for _, t := range state.Tasks {
		t.Result = t.Result[:min(len(t.Result), fleet.MaxBlobBytes+1)]
		t.Reason = t.Reason[:min(len(t.Reason), maxReasonBytes)]
		if size > 0 && len(t.Result) > 0 && size+len(t.Result) > maxStateBytes {
			t.State, t.Result, t.Reason = wire.TaskRunning, nil, ""
		}
		size += len(t.Result)
		tasks = append(tasks, t)
	}
	state.Tasks = tasks
	return state
}

// maxEncodedSize returns an upper bound of the encoded size of a worker's state, in
// bytes.
func maxEncodedSize(state wire.WorkerState) int {
	size := stateOverheadBytes
	for _, t := range state.Tasks {
		size += taskOverheadBytes + len(t.Result) + len(t.Reason)
	}
	return size
}

// nextReport splits a batch into the states for one report, at least one, and the
// announcements that do not fit into it.
func nextReport(batch []Announcement) (states []wire.WorkerState, rest []Announcement) {
	size := 0
	for i, a := range batch {
		state := limitResults(a.WorkerState)
		size += maxEncodedSize(state)
		if i > 0 && size > maxReportBytes {
			return states, batch[i:]
		}
		states = append(states, state)
	}
	return states, nil
}
