package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// reconcile returns the runs to start and to stop so that the worker runs what the state
// says, given its last report. A start is repeated until the worker reports the run, unless the
// run may have ended without being listed. Repeating a start or stop has no effect on the worker.
// since is the start of this leadership.
func (w *worker) reconcile(s *workload.State, since int64) ([]StartOrder, []workload.Run) {
	var starts []StartOrder
	var stops []workload.Run
	for ref, p := range s.RunsOn(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		state := w.reported(run)
		switch {
		case state == runEnded, w.revoked[run]:
		case p.Stopping:
			stops = append(stops, run)
		case state == runAbsent, state == runUnknown && !w.mayHaveStarted(run, p, since):
			starts = append(starts, startOrder(s, run))
		}
	}
	for ref, r := range w.running {
		p, wanted := s.RunsOn(w.Incarnation)[ref]
		if !wanted || p.Run != r.Run.Run {
			stops = append(stops, r.Run)
		}
	}
	slices.SortFunc(starts, func(a, b StartOrder) int { return compareRuns(a.Run, b.Run) })
	slices.SortFunc(stops, w.compareCarried)
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

// recordSent records the starts and stops of a response that leaves at now, and removes the records of runs that
// have ended.
func (w *worker) recordSent(s *workload.State, starts []StartOrder, stops []workload.Run, now int64) {
	w.recordCarried(s, starts, stops)
	occupied := s.RunsOn(w.Incarnation)
	gone := func(run workload.Run) bool {
		p, ok := occupied[run.Task]
		return !ok || p.Run != run.Run
	}
	for _, runs := range []map[workload.Run]bool{w.revoked, w.stopSent} {
		maps.DeleteFunc(runs, func(run workload.Run, _ bool) bool { return gone(run) })
	}
	maps.DeleteFunc(w.startSent, func(run workload.Run, _ int64) bool { return gone(run) })
	for run := range w.stopSentAt {
		if reported, ok := w.running[run.Task]; !ok || reported.Run != run {
			delete(w.stopSentAt, run)
		}
	}
	for _, start := range starts {
		w.startSent[start.Run] = now
	}
}

// revokeUnsent revokes the runs on a silent worker whose start order was never sent: they
// were placed after this leadership began, at since, and no response carried them.
//
// When a data centre is cut off during a burst, the tasks that were placed there since its
// last heartbeats would otherwise wait for the leases to expire.
func (w *worker) revokeUnsent(s *workload.State, since int64) {
	for ref, p := range s.RunsOn(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		if _, listed := w.running[ref]; !listed && !w.mayHaveStarted(run, p, since) && !w.hasReportedEnd(run) {
			w.revoked[run] = true
		}
	}
}

// revokedEnds returns the ends of the revoked runs that still occupy the worker. A run that
// no response may carry must end, also when the worker is heard again before its end is
// committed.
func (w *worker) revokedEnds(s *workload.State) []workload.End {
	var ends []workload.End
	for ref, p := range s.RunsOn(w.Incarnation) {
		if w.revoked[workload.Run{Task: ref, Run: p.Run}] {
			ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: w.Incarnation, Outcome: workload.OutcomeLost})
		}
	}
	return ends
}

// neverStarted returns the ends of stopping runs that are absent by the worker's report although
// an earlier response told it to stop them: a worker refuses to start a run that it was
// told to stop. It is called before a report is answered.
func (w *worker) neverStarted(s *workload.State) []workload.End {
	var ends []workload.End
	for ref, p := range s.RunsOn(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		if _, listed := w.running[ref]; listed || !p.Stopping || !w.stopSent[run] || w.reported(run) != runAbsent {
			continue
		}
		delete(w.stopSent, run)
		ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: w.Incarnation, Outcome: workload.OutcomeRefused})
	}
	return ends
}
