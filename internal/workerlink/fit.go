package workerlink

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// maxStateBytes bounds the results of one worker in a report, and
	// maxReportBytes those of all, so that a report fits into a frame.
	maxStateBytes  = 512 << 10
	maxReportBytes = 1 << 20
	maxReasonBytes = 1 << 10
	// taskBytes and stateBytes are generous bounds of the other fields.
	taskBytes  = 512
	stateBytes = 1 << 10
)

// fit returns a copy of a worker's state of which the results take at most
// maxStateBytes, if need be all but one. The other ended tasks are reported as
// running until the leader has acknowledged the first ones. A result above the
// limit of results is cut to one byte more, which the state machine notes.
func fit(state wire.WorkerState) wire.WorkerState {
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

func sizeOf(state wire.WorkerState) int {
	size := stateBytes
	for _, t := range state.Tasks {
		size += taskBytes + len(t.Result) + len(t.Reason)
	}
	return size
}

// fill takes announcements from the front of a batch for one report, at least one.
func fill(batch []Announcement) (states []wire.WorkerState, rest []Announcement) {
	size := 0
	for i, a := range batch {
		state := fit(a.WorkerState)
		size += sizeOf(state)
		if i > 0 && size > maxReportBytes {
			return states, batch[i:]
		}
		states = append(states, state)
	}
	return states, nil
}
