package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// crashSuspicionMS is the time after its placement within which a run may have caused the
// crash of its worker. A task that crashes its workers does so when it starts.
const crashSuspicionMS = 3000

// suspectAloneMS is the time after the first report of a suspect run for which nothing else
// starts on its worker.
const suspectAloneMS = 1000

// minIgnoredReports is the number of ignored reports that show another incarnation at work.
// A single one may be a heartbeat of an earlier incarnation that was delayed.
const minIgnoredReports = 3

// endOfLostRun returns the end of a run whose worker can't be running it any more.
func (d *Dispatcher) endOfLostRun(incarnation workload.WorkerIncarnation, ref workload.TaskRef, p *workload.Placement) workload.End {
	end := workload.End{Task: ref, Run: p.Run, Worker: incarnation, Outcome: workload.OutcomeLost}
	if d.hasCrashed(incarnation, p.Machine) && !d.neverSent(incarnation, ref, p) {
		end.Outcome = workload.OutcomeCrashed
		end.CrashScore = d.crashScore(incarnation, ref, p)
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
	return ok && p.PlacedAt >= d.leadingSince && !w.startSent[workload.Run{Task: ref, Run: p.Run}]
}

// crashScore returns the evidence from the crash of its worker against the task of a run.
//
// A leader that never heard the worker knows neither whether the start reached it nor when
// the crash came. A task that ends by itself then counts whatever its age: at most one crash
// is counted for each run, and its next run resets the score.
func (d *Dispatcher) crashScore(incarnation workload.WorkerIncarnation, ref workload.TaskRef, p *workload.Placement) int {
	w, heard := d.workers[incarnation]
	if heard && w.running[ref].Run.Run != p.Run {
		return workload.CrashScoreUnreported
	}
	activeForLong := d.silentSince(incarnation)-p.PlacedAt >= crashSuspicionMS
	if activeForLong && (heard || p.LongRunning) {
		return 0
	}
	return workload.CrashScoreReported
}

// separateSuspects returns the starts that may be on their way to a worker together. The
// start of a suspect task is sent alone, once the worker has reported all other runs: a
// crash can't tell apart runs of which none was reported.
func separateSuspects(s *workload.State, starts []StartOrder) []StartOrder {
	var suspects, others []StartOrder
	for _, start := range starts {
		if _, t, ok := s.Task(start.Task); ok && t.Suspect() {
			suspects = append(suspects, start)
		} else {
			others = append(others, start)
		}
	}
	if len(suspects) == 0 || len(others) > 0 {
		return others
	}
	return suspects[:1]
}

// hasFreshSuspect reports whether the worker is kept free for a suspect run that it has not
// reported for long enough.
func (w *worker) hasFreshSuspect(s *workload.State) bool {
	for ref, p := range s.RunsOn(w.Incarnation) {
		seen, reported := w.progress[workload.Run{Task: ref, Run: p.Run}]
		if p.Suspect() && (!reported || w.lastReportAt-seen.firstAt < suspectAloneMS) {
			return true
		}
	}
	return false
}

// clearedRuns returns the runs that have been active for long enough to show that their
// tasks do not crash their workers.
func (d *Dispatcher) clearedRuns(s *workload.State) []workload.Run {
	var cleared []workload.Run
	for incarnation, runs := range s.RunsByWorker() {
		w, ok := d.workers[incarnation]
		if !ok || w.terminated {
			continue
		}
		for ref, p := range runs {
			if p.CrashScore > 0 && !p.Stopping && w.running[ref].Run.Run == p.Run && w.lastReportAt-p.PlacedAt >= crashSuspicionMS {
				cleared = append(cleared, workload.Run{Task: ref, Run: p.Run})
			}
		}
	}
	return cleared
}
