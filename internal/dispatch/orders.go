package dispatch

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// reconcile returns the starts and stops that bring the worker from what it last
// reported to what the state says. A start is repeated until the worker lists
// the run; a repeated start or stop changes nothing on the worker.
func (w *worker) reconcile(s *workload.State) ([]StartOrder, []workload.Run) {
	var starts []StartOrder
	var stops []workload.Run
	for ref, p := range s.Occupied(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		reported, listed := w.running[ref]
		listed = listed && reported.Run.Run == p.Run
		switch {
		case w.hasReportedEnd(run), w.revoked[run]:
		case p.Stopping:
			stops = append(stops, run)
			if !listed {
				w.stopSent[run] = true
			}
		case !listed:
			starts = append(starts, startOrder(s, run))
		}
	}
	for ref, r := range w.running {
		p, wanted := s.Occupied(w.Incarnation)[ref]
		if !wanted || p.Run != r.Run.Run {
			stops = append(stops, r.Run)
		}
	}
	slices.SortFunc(starts, func(a, b StartOrder) int { return compareRuns(a.Run, b.Run) })
	slices.SortFunc(stops, compareRuns)
	return starts, stops
}

func startOrder(s *workload.State, run workload.Run) StartOrder {
	j, t, _ := s.Task(run.Task)
	return StartOrder{Run: run, Specification: j.Specification, Checkpoint: t.Checkpoint, Ticket: t.Ticket}
}

func compareRuns(a, b workload.Run) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Run, b.Run),
	)
}

// recordStartsSent records the starts of an answer and forgets runs that have ended.
func (w *worker) recordStartsSent(s *workload.State, starts []StartOrder) {
	occupied := s.Occupied(w.Incarnation)
	for _, runs := range []map[workload.Run]bool{w.startSent, w.revoked} {
		for run := range runs {
			if p, ok := occupied[run.Task]; !ok || p.Run != run.Run {
				delete(runs, run)
			}
		}
	}
	for _, start := range starts {
		w.startSent[start.Run] = true
	}
}

// revokeUnsent ends the runs on a silent worker that it was never told of: they were
// placed under this leadership, which began at since, and no answer carried them.
//
// Load pattern: a data centre is cut off in a burst; what was placed there since
// its last heartbeats would wait for the end of the leases.
func (w *worker) revokeUnsent(s *workload.State, since int64) []workload.End {
	var ends []workload.End
	for ref, p := range s.Occupied(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		if _, listed := w.running[ref]; listed || w.startSent[run] || p.PlacedAt <= since || w.hasReportedEnd(run) {
			continue
		}
		w.revoked[run] = true
		ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: w.Incarnation, Outcome: workload.OutcomeLost})
	}
	return ends
}

// neverStarted returns the ends of stopping runs that the worker does not list
// although an earlier answer told it to stop them. The worker refuses a later
// start of a run that it was told to stop. Called before a report is answered.
func (w *worker) neverStarted(s *workload.State) []workload.End {
	var ends []workload.End
	for ref, p := range s.Occupied(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		if _, listed := w.running[ref]; listed || !p.Stopping || !w.stopSent[run] || w.hasReportedEnd(run) {
			continue
		}
		delete(w.stopSent, run)
		ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: w.Incarnation, Outcome: workload.OutcomeStopped})
	}
	return ends
}
