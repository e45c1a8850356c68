package dispatch

import (
	"context"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// collectEnds returns the ended runs that workers reported, the runs that are lost, and the
// runs that are abandoned. For each worker it also returns the number up to which its
// reported ends are included. The caller holds mu.
func (d *Dispatcher) collectEnds(now int64) ([]workload.End, map[*worker]int64) {
	var ends []workload.End
	upTo := map[*worker]int64{}
	for _, w := range d.workers {
		if len(w.pendingEnds) > 0 || w.recordedEnd < w.queuedEnd {
			ends = append(ends, w.pendingEnds...)
			upTo[w] = w.queuedEnd
			w.pendingEnds = nil
		}
	}
	var abandoned []workload.End
	d.log.Read(func(s *fleet.State) {
		d.markTimed(ends, now)
		hearsMajority := d.hearsMajority(s.Workload, now)
		for incarnation, runs := range s.Workload.RunsByWorker() {
			if !d.isLost(incarnation, machineOf(runs), now) {
				if w, ok := d.workers[incarnation]; ok {
					if now-w.lastReportAt > heartbeatTimeoutMS || s.Workload.Evacuated(w.DataCentre) {
						w.revokeUnsent(s.Workload, d.leadingSince)
					}
					ends = append(ends, w.revokedEnds(s.Workload)...)
				}
				if hearsMajority {
					abandoned = append(abandoned, d.abandonedRuns(s.Workload, incarnation, now)...)
				}
				continue
			}
			for ref, p := range runs {
				ends = append(ends, d.endOfLostRun(incarnation, ref, p, now))
				d.declareLost(incarnation, workload.Run{Task: ref, Run: p.Run})
			}
		}
	})
	d.logAbandoned(abandoned)
	return append(ends, abandoned...), upTo
}

// declareLost records a run whose end is about to be committed although its worker has not reported
// it. The worker may be heard again before the commit: no response may start the run then, since its
// task starts elsewhere.
func (d *Dispatcher) declareLost(incarnation workload.WorkerIncarnation, run workload.Run) {
	if d.declaredLost[incarnation] == nil {
		d.declaredLost[incarnation] = map[workload.Run]bool{}
	}
	d.declaredLost[incarnation][run] = true
	if w, ok := d.workers[incarnation]; ok {
		w.revoked[run] = true
	}
}

// requeueEnds keeps reported ends that may not be committed for the next cycle. Applying an
// end twice has no effect. Lost, crashed and abandoned runs are derived from the state again.
func (d *Dispatcher) requeueEnds(term uint64, ends []workload.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term {
		return
	}
	for _, e := range ends {
		derived := e.Outcome == workload.OutcomeLost || e.Outcome == workload.OutcomeCrashed || e.Outcome == workload.OutcomeAbandoned
		if w, ok := d.workers[e.Worker]; ok && !derived {
			w.pendingEnds = append(w.pendingEnds, e)
		}
	}
}

// recordEnds commits the ends in commands of bounded size. It returns false, and keeps
// those that may not be committed for the next cycle, unless all are known to be committed.
func (d *Dispatcher) recordEnds(ctx context.Context, c cycleStart) bool {
	for ends := c.ends; len(ends) > 0; {
		batch := firstEnds(ends)
		if !d.propose(ctx, &workload.Progress{Ends: batch}) {
			d.requeueEnds(c.term, ends)
			return false
		}
		d.noteEnds(batch, c.now)
		ends = ends[len(batch):]
	}
	return true
}

// firstEnds returns the ends, at least one, that fit into one command.
func firstEnds(ends []workload.End) []workload.End {
	size := 0
	for i, e := range ends {
		size += len(e.Checkpoint) + len(e.Task.Job) + len(e.Worker.ID)
		if i > 0 && (i == maxEndsPerCommand || size > maxEndBytesPerCommand) {
			return ends[:i]
		}
	}
	return ends
}

// markRecorded updates up to which number the ends of each worker are recorded.
func (d *Dispatcher) markRecorded(upTo map[*worker]int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w, number := range upTo {
		w.recordedEnd = max(w.recordedEnd, number)
	}
}

// noteEnds updates metrics and the health of workers after ends were committed,
// and logs them.
func (d *Dispatcher) noteEnds(ends []workload.End, now int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range ends {
		if e.Outcome == workload.OutcomeAbandoned {
			continue
		}
		d.meters.ends.Inc(1)
		d.logEnd(e)
		if e.Outcome == workload.OutcomeFailed {
			d.recordFailure(e.Task, e.Worker.ID)
		}
		if w, ok := d.workers[e.Worker]; ok {
			d.recordEnd(w, e, now)
		}
	}
	d.log.Read(func(s *fleet.State) {
		d.logFinished(s.Workload, ends, now)
	})
}

func (d *Dispatcher) logEnd(e workload.End) {
	switch e.Outcome {
	case workload.OutcomeLost:
		d.meters.lost.Inc(1)
	case workload.OutcomeCrashed:
		d.meters.crashed.Inc(1)
	}
	event := d.logger.Debug()
	if e.Outcome != workload.OutcomeDone && e.Outcome != workload.OutcomeStopped {
		event = d.logger.Info()
	}
	event.Str("task", e.Task.String()).Int("run", e.Run).Str("worker", e.Worker.ID).
		Str("outcome", e.Outcome.String()).Int("crash_score", e.CrashScore).Msg("run ended")
}

// recordFailure makes the planner prefer other workers for a task that failed, stalled or
// was too slow on this one.
func (d *Dispatcher) recordFailure(ref workload.TaskRef, worker string) {
	if d.failedOn[ref] == nil {
		d.failedOn[ref] = map[string]bool{}
	}
	d.failedOn[ref][worker] = true
}
