package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

// worker is what this leader knows of one worker incarnation. Times are cluster time in
// milliseconds. Guarded by Dispatcher.mu.
type worker struct {
	Report
	lastReportAt int64
	// firstReportAt is when this leader received the incarnation's first report.
	firstReportAt int64
	// leaseExpiresAt is when the worker has certainly stopped everything if it gets no
	// further response.
	leaseExpiresAt int64
	// terminated is true when a later incarnation has reported, or the machine was moved,
	// maintained or listed as gone.
	terminated bool
	// crashed is true when the incarnation was terminated without having drained, and not by
	// an order of this leadership.
	crashed bool
	// mayHaveEndedAt is the time of the latest failure of an order that ends the worker if it was
	// carried out all the same. It is 0 if there was none, or a later report shows the worker up.
	mayHaveEndedAt int64
	// predecessor is another worker that reports from the same machine, nil if there is none.
	// As long as it does, this one gets no tasks.
	predecessor *worker
	// ignoredReports counts the reports of incarnations with an earlier time of birth, which
	// were ignored.
	ignoredReports int
	// recordedEnd and queuedEnd are the numbers up to which ended runs are recorded, and
	// are taken from the reports.
	recordedEnd int64
	queuedEnd   int64
	// running holds the runs of the last report.
	running map[workload.TaskRef]RunningTask
	// progress holds the progress of these runs.
	progress map[workload.Run]runProgress
	// stopSent holds the runs that a response told the worker to stop while it did not
	// report them.
	stopSent map[workload.Run]bool
	// stopSentAt holds when a response last carried the stop of a long-running run that the worker
	// reported.
	stopSentAt map[workload.Run]int64
	// startSent holds when a response last told the worker to start a run, and revoked the runs
	// that no response may carry any more.
	startSent map[workload.Run]int64
	revoked   map[workload.Run]bool
	// withheld holds the runs that the last response did not repeat although an earlier one
	// may have started them: the worker's capacity has shrunk, or its data centre is evacuated.
	withheld map[workload.Run]bool
	delivery delivery
	// wake ends the hold of the worker's heartbeat.
	wake chan struct{}
	// pendingEnds are ended runs that wait for the next cycle.
	pendingEnds []workload.End

	// idleSince is when the worker last had a run.
	idleSince int64
	// slowUntil is the time until which a slow worker gets no new tasks.
	slowUntil int64
	health    health
	// endedAtWork holds the ended runs of the last report that were fully active before.
	endedAtWork map[workload.Run]bool
	pace        paceController
}

// runProgress is the progress of a run and when it last changed.
type runProgress struct {
	percent   int
	changedAt int64
	// first is the first report, and earlier and latest are two later ones, speedMarkMS or more
	// apart.
	first, earlier, latest mark
	// takesLong is true when the run is slow and its worker is not.
	takesLong bool
}

func newWorker(rep Report) *worker {
	return &worker{
		Report: rep, running: map[workload.TaskRef]RunningTask{},
		progress: map[workload.Run]runProgress{}, stopSent: map[workload.Run]bool{}, stopSentAt: map[workload.Run]int64{},
		startSent: map[workload.Run]int64{}, revoked: map[workload.Run]bool{}, withheld: map[workload.Run]bool{}, delivery: newDelivery(),
		wake: make(chan struct{}, 1), pace: newPaceController(),
	}
}

// isLive reports whether the incarnation is not terminated and has sent a heartbeat
// recently.
func (w *worker) isLive(now int64) bool {
	return !w.terminated && now-w.lastReportAt <= heartbeatTimeoutMS
}

// hasRuns reports whether the worker runs anything, by the state or by its last report.
func (w *worker) hasRuns(s *workload.State) bool {
	return len(s.RunsOn(w.Incarnation)) > 0 || len(w.running) > 0
}

// terminate marks the incarnation as ended: nothing runs on it any more.
func (w *worker) terminate() {
	w.terminated = true
	w.notify()
}

// terminateCrashed marks the incarnation as ended by no order of this leadership, as far as is
// known.
func (w *worker) terminateCrashed() {
	w.crashed = !w.Draining && w.mayHaveEndedAt == 0
	w.terminate()
}

// notify ends the hold of the worker's heartbeat, if there is one.
func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// update applies a report that is newer than the last one.
func (w *worker) update(rep Report, now int64) {
	w.Report = rep
	w.lastReportAt = now
	running := make(map[workload.TaskRef]RunningTask, len(rep.Running))
	progress := make(map[workload.Run]runProgress, len(rep.Running))
	for _, r := range rep.Running {
		running[r.Task] = r
		last, ok := w.progress[r.Run]
		if !ok {
			first := mark{r.Percent, now}
			last = runProgress{percent: r.Percent, changedAt: now, first: first, earlier: first, latest: first}
		}
		last.observe(r.Percent, now)
		progress[r.Run] = last
	}
	w.noteEndedAtWork(rep.Ended, w.progress)
	w.running = running
	w.progress = progress
	w.delivery.observe(w)
	w.queueEnds(rep.Ended)
}

// queueEnds adds the ended runs that are neither recorded nor queued.
func (w *worker) queueEnds(ended []EndedTask) {
	for _, e := range ended {
		if e.Number <= w.recordedEnd || e.Number <= w.queuedEnd {
			continue
		}
		w.queuedEnd = e.Number
		w.pendingEnds = append(w.pendingEnds, workload.End{
			Task: e.Task, Run: e.Run.Run, Worker: w.Incarnation, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
}

// hasReportedEnd reports whether the last report lists the run as ended.
func (w *worker) hasReportedEnd(r workload.Run) bool {
	for _, e := range w.Ended {
		if e.Run == r {
			return true
		}
	}
	return false
}
