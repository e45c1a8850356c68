package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// activeProofMS is the time for which a worker must have reported a run to show that its
	// task does not crash workers: one that does so crashes them when it starts.
	activeProofMS = 1000
	// startedProofMS is the same time from the start of the run until this leadership began, for a
	// worker that it never heard. It is longer, since the worker may have crashed before the
	// leadership began.
	startedProofMS = 3000
	// crashNoticeMS is the time from the last report of a worker within which its crash is
	// noticed if it came right after that report. After a longer silence it may have come at
	// any time.
	crashNoticeMS = 5000
)

// minIgnoredReports is the number of ignored reports that show another incarnation at work.
// A single one may be a heartbeat of an earlier incarnation that was delayed.
const minIgnoredReports = 3

// endOfLostRun returns the end of a run whose worker can't be running it any more.
func (d *Dispatcher) endOfLostRun(incarnation workload.WorkerIncarnation, ref workload.TaskRef, p *workload.Placement, now int64) workload.End {
	end := workload.End{Task: ref, Run: p.Run, Worker: incarnation, Outcome: workload.OutcomeLost}
	if w, run := d.workers[incarnation], (workload.Run{Task: ref, Run: p.Run}); w != nil && w.hasReported(run) {
		end.StartedAt = w.startedAt(run)
	}
	if d.hasCrashed(incarnation, p.Machine) && !d.neverSent(incarnation, ref, p) {
		end.Outcome = workload.OutcomeCrashed
		end.CrashScore = d.crashScore(incarnation, ref, p, now)
	}
	return end
}

// hasCrashed reports whether the incarnation, whose lease has expired or which has ended,
// did so although it neither drained nor was moved or maintained under this leadership. A
// lease that expired proves no crash, since the worker may be cut off, unless another
// incarnation has reported meanwhile.
func (d *Dispatcher) hasCrashed(incarnation workload.WorkerIncarnation, machine string) bool {
	if w, ok := d.workers[incarnation]; ok {
		return w.crashed || !w.Draining && w.ignoredReports >= minIgnoredReports
	}
	return d.hasEnded(incarnation, machine)
}

// neverSent reports whether no response can have carried the start of a run.
func (d *Dispatcher) neverSent(incarnation workload.WorkerIncarnation, ref workload.TaskRef, p *workload.Placement) bool {
	w, ok := d.workers[incarnation]
	return ok && !w.mayHaveStarted(workload.Run{Task: ref, Run: p.Run}, p, d.leadingSince)
}

// crashScore returns the evidence from the crash of its worker against the task of a run.
//
// A leader that never heard the worker knows neither whether the start reached it nor when
// the crash came. A task that ends by itself then counts whatever its age: at most one crash
// is counted for each run, and its next run resets the score.
func (d *Dispatcher) crashScore(incarnation workload.WorkerIncarnation, ref workload.TaskRef, p *workload.Placement, now int64) int {
	w, heard := d.workers[incarnation]
	run := workload.Run{Task: ref, Run: p.Run}
	switch {
	case !heard && p.LongRunning && p.StartedAt > 0 && d.leadingSince-p.StartedAt >= startedProofMS:
		return 0
	case heard && w.activeMS(run) >= activeProofMS:
		return 0
	case heard && !w.MoreEnds && !w.hasReported(run) && now-w.lastReportAt <= crashNoticeMS:
		return workload.CrashScoreUnreported
	default:
		return workload.CrashScoreReported
	}
}

// hasReported reports whether the last report lists the run as running.
func (w *worker) hasReported(run workload.Run) bool {
	_, reported := w.progress[run]
	return reported
}

// activeMS returns the time for which the worker has reported the run, in milliseconds.
func (w *worker) activeMS(run workload.Run) int64 {
	if !w.hasReported(run) {
		return 0
	}
	return w.lastReportAt - w.progress[run].first.at
}

// separateSuspects returns the starts that may be on their way to a worker together. Suspect tasks
// are sent once the worker has reported all other runs: a crash can't tell apart runs of which
// none was reported. Those of a first crash are sent together, as the plan has placed them, and one
// that has crashed again alone.
func separateSuspects(s *workload.State, starts []StartOrder) []StartOrder {
	var crashedAgain, suspects, others []StartOrder
	for _, start := range starts {
		switch _, t, ok := s.Task(start.Task); {
		case ok && t.CrashedAgain():
			crashedAgain = append(crashedAgain, start)
		case ok && t.Suspect():
			suspects = append(suspects, start)
		default:
			others = append(others, start)
		}
	}
	switch {
	case len(others) > 0:
		return others
	case len(suspects) > 0:
		return suspects
	default:
		return crashedAgain[:min(len(crashedAgain), 1)]
	}
}

// hasSuspect reports whether the worker is kept free for the run of a suspect task.
func (w *worker) hasSuspect(s *workload.State) bool {
	for _, p := range s.RunsOn(w.Incarnation) {
		if p.Suspect() {
			return true
		}
	}
	return false
}

// clearedRuns returns the runs that have been active for long enough to show that their
// tasks do not crash their workers.
func (d *Dispatcher) clearedRuns(s *workload.State) []workload.Run {
	var cleared []workload.Run
	d.forEachRun(s, func(w *worker, run workload.Run, p *workload.Placement) {
		if p.CrashScore > 0 && !p.Stopping && w.activeMS(run) >= activeProofMS {
			cleared = append(cleared, run)
		}
	})
	return cleared
}
