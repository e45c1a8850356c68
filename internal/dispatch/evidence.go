package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// runState is what the last report of a worker proves about a run that is placed there.
type runState int

// States of a run by a report.
const (
	// runUnknown is a run that the report does not list, which proves nothing: its end may not be
	// listed yet.
	runUnknown runState = iota
	// runActive is a run that is listed as running, and runEnded one that is listed as ended.
	runActive
	runEnded
	// runAbsent is a run that the worker had not started, or whose start it has not received, when it
	// sent the report.
	runAbsent
)

// reported returns what the worker's last report proves about a run. All conclusions from what a
// report does not list are drawn here.
func (w *worker) reported(run workload.Run) runState {
	switch {
	case w.hasReportedEnd(run):
		return runEnded
	case w.running[run.Task].Run == run:
		return runActive
	case w.MoreEnds:
		return runUnknown
	default:
		return runAbsent
	}
}

// mayHaveStarted reports whether a response may have carried the start of a run: one of this
// leadership, or of an earlier one under which the run was placed.
func (w *worker) mayHaveStarted(run workload.Run, p *workload.Placement, since int64) bool {
	return w.startSent[run] || p.PlacedAt <= since
}
