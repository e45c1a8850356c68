package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// confirmIntervalMS bounds the delay of a commit that records nothing but starts. Callers may be shown
// a number of waiting jobs that is 2 s old.
const confirmIntervalMS = 300

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
	return w.startSent[run] > 0 || p.PlacedAt <= since
}

// startedRuns returns the runs that the last reports of their workers show to have started and that
// are not recorded as such.
func (d *Dispatcher) startedRuns(s *workload.State) []workload.StartedRun {
	var started []workload.StartedRun
	d.forEachRun(s, func(w *worker, run workload.Run, p *workload.Placement) {
		if p.StartedAt == 0 && w.reported(run) == runActive {
			started = append(started, workload.StartedRun{Run: run, At: w.startedAt(run)})
		}
	})
	return started
}

// forEachRun calls f for each run that occupies a worker that this leader knows and that has not ended.
func (d *Dispatcher) forEachRun(s *workload.State, f func(*worker, workload.Run, *workload.Placement)) {
	for incarnation, runs := range s.RunsByWorker() {
		w, ok := d.workers[incarnation]
		if !ok || w.terminated {
			continue
		}
		for ref, p := range runs {
			f(w, workload.Run{Task: ref, Run: p.Run}, p)
		}
	}
}

// startedAt returns when a run that the worker reports has started: it was in the latest response with
// the start, since the worker would have reported it after an earlier one. Of a run that an earlier
// leader started, only the first report to this one is known.
func (w *worker) startedAt(run workload.Run) int64 {
	if sent := w.startSent[run]; sent > 0 {
		return sent
	}
	return w.progress[run].first.at
}
