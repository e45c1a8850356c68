package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// stopConfirmMS is the time from a response with a stop until a report that still lists the run as
// active shows that the stop has not arrived. It covers late reports, and the time that a stop takes.
const stopConfirmMS = confirmUpMS + 500

// stopsToSend returns the stops that the response to a worker may carry within the budget, and records
// when they are sent. A committed stop of a long-running task may reach its worker much later than it
// was decided.
// It is held back while too many other tasks of the step are away by now.
func (d *Dispatcher) stopsToSend(s *workload.State, w *worker, stops []workload.Run, budget *orderBudget, now int64) []workload.Run {
	sent := stops[:0]
	for _, run := range stops {
		if !budget.fits(len(sent), runBytes(run)) {
			break
		}
		if !d.maySend(s, w, run, now) {
			d.logger.Debug().Str("task", run.Task.String()).Int("run", run.Run).Str("worker", w.Incarnation.ID).Msg("stop is held back")
			continue
		}
		budget.take(runBytes(run))
		d.recordStopSent(s, w, run, now)
		sent = append(sent, run)
	}
	return sent
}

// maySend reports whether a stop may be sent to a worker now. Stops of runs that the state doesn't
// place there, of ended jobs and on workers that exit soon always may.
func (d *Dispatcher) maySend(s *workload.State, w *worker, run workload.Run, now int64) bool {
	j, t, ok := s.Task(run.Task)
	if !ok || j.State.Final() || !j.Steps[run.Task.Step].LongRunning || t.Run != run.Run || t.Worker != w.Incarnation {
		return true
	}
	reported, listed := w.running[run.Task]
	if !listed || reported.Run != run || w.leavesSoon(now) || w.makesNoProgress(reported) {
		return true
	}
	return d.othersAway(s, run.Task, now) < j.Steps[run.Task.Step].InterruptionBudget()
}

// makesNoProgress reports whether a run is not active and its progress hasn't changed for long.
func (w *worker) makesNoProgress(r RunningTask) bool {
	return r.Percent < fullPace && w.lastReportAt-w.progress[r.Run].changedAt >= stallTimeoutMS
}

// othersAway returns the number of other tasks of a long-running step that are not active or may
// have received a stop. Unlike in a plan, those whose committed stop was not sent yet don't count.
func (d *Dispatcher) othersAway(s *workload.State, ref workload.TaskRef, now int64) int {
	away := 0
	otherTasks(s, ref, func(other workload.TaskRef, t *workload.Task) {
		onWorker := t.Phase == workload.Placed || t.Phase == workload.Stopping
		if !onWorker || !d.isFullyActive(other, t, now) || d.mayHaveStopped(other, t) {
			away++
		}
	})
	return away
}

// mayHaveStopped reports whether a stop of the task's run may have reached its worker, which must
// be known. An earlier leader may have sent the stop of a run that was to stop already, and the
// worker's first report to this one may be older than that.
func (d *Dispatcher) mayHaveStopped(ref workload.TaskRef, t *workload.Task) bool {
	w := d.workers[t.Worker]
	sentAt, sent := w.stopSentAt[workload.Run{Task: ref, Run: t.Run}]
	if !sent {
		if t.Phase != workload.Stopping {
			return false
		}
		sentAt = w.firstReportAt
	}
	return w.lastReportAt-sentAt <= stopConfirmMS
}

// recordStopSent records that a response carries the stop of a run, and logs the first one of a
// long-running run that the worker reports.
func (d *Dispatcher) recordStopSent(s *workload.State, w *worker, run workload.Run, now int64) {
	reported, listed := w.running[run.Task]
	if !listed || reported.Run != run {
		w.stopSent[run] = true
		return
	}
	j, t, ok := s.Task(run.Task)
	if !ok || run.Task.Step >= len(j.Steps) || !j.Steps[run.Task.Step].LongRunning {
		return
	}
	if _, repeated := w.stopSentAt[run]; !repeated {
		d.logger.Info().Str("task", run.Task.String()).Int("run", run.Run).Str("worker", w.Incarnation.ID).Int("percent", reported.Percent).
			Bool("draining", w.Draining).Bool("cancelled", j.State.Final()).Bool("placed", t.Run == run.Run && t.Worker == w.Incarnation).
			Int("budget", j.Steps[run.Task.Step].InterruptionBudget()).Int("away", d.othersAway(s, run.Task, now)).
			Str("others", d.describeInactive(s, run.Task, now)).Msg("stop is sent")
	}
	w.stopSentAt[run] = now
}

// stopsToWithdraw returns the long-running runs whose committed stops can't be sent and have not
// reached their workers. They go on, and stop once the budget allows it again. Otherwise tasks that
// wait for their place, and the maintenance of other machines, would wait for them.
func (d *Dispatcher) stopsToWithdraw(s *workload.State, now int64) []workload.Run {
	var runs []workload.Run
	for incarnation, w := range d.workers {
		if !w.isLive(now) {
			continue
		}
		for ref, p := range s.RunsOn(incarnation) {
			run := workload.Run{Task: ref, Run: p.Run}
			if !p.LongRunning || !p.Stopping {
				continue
			}
			_, t, ok := s.Task(ref)
			if ok && d.isFullyActive(ref, t, now) && !d.mayHaveStopped(ref, t) && !d.maySend(s, w, run, now) {
				runs = append(runs, run)
			}
		}
	}
	return runs
}
