package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

// worker is what this leader knows of one worker life. Times are cluster time in
// milliseconds.
type worker struct {
	Report
	lastReportAt int64
	// firstReportAt is when this leader first heard the life.
	firstReportAt int64
	// leaseExpiresAt is when the worker has certainly stopped everything, if it hears
	// nothing more.
	leaseExpiresAt int64
	// terminated is true when a later life of the worker has reported, or it left.
	terminated bool
	// recordedEnd and queued are the numbers up to which ends are recordedEnd and are
	// waiting to be recordedEnd.
	recordedEnd int64
	queuedEnd   int64
	// running holds the runs of the last report.
	running map[workload.TaskRef]RunningTask
	// progress tells when a run was last seen to advance.
	progress map[workload.Run]runProgress
	// stopSent holds the stops that an answer carried while the run was absent.
	stopSent map[workload.Run]bool
	// startSent holds the runs that an answer told the worker to start, and revoked those
	// that no answer may carry any more.
	startSent map[workload.Run]bool
	revoked   map[workload.Run]bool
	// wake ends the hold of the outstanding heartbeat.
	wake chan struct{}
	// pendingEnds are ends that wait for the next cycle.
	pendingEnds []workload.End

	// idleSince is when the worker last had a run.
	idleSince int64
	// slowUntil is when a worker that was slow may be trusted again.
	slowUntil int64
	health    health
	pace      paceController
}

// runProgress is the progress of a run: when it was first seen, and when it was last
// seen to change.
type runProgress struct {
	percent      int
	changedAt    int64
	firstPercent int
	firstAt      int64
}

func newWorker(rep Report) *worker {
	return &worker{
		Report: rep, running: map[workload.TaskRef]RunningTask{},
		progress: map[workload.Run]runProgress{}, stopSent: map[workload.Run]bool{},
		startSent: map[workload.Run]bool{}, revoked: map[workload.Run]bool{},
		wake: make(chan struct{}, 1), pace: newPaceController(),
	}
}

// isLive tells whether the life goes on and was heard a short time ago.
func (w *worker) isLive(now int64) bool {
	return !w.terminated && now-w.lastReportAt <= heartbeatTimeoutMS
}

// hasRuns tells whether the worker runs anything, by the state or by its last report.
func (w *worker) hasRuns(s *workload.State) bool {
	return len(s.Occupied(w.Incarnation)) > 0 || len(w.running) > 0
}

// terminate ends the life: nothing runs on it any more.
func (w *worker) terminate() {
	w.terminated = true
	w.notify()
}

// notify ends the hold of the worker's heartbeat.
func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// update updates the worker by a report that is newer than the last one.
func (w *worker) update(rep Report, now int64) {
	w.Report = rep
	w.lastReportAt = now
	running := make(map[workload.TaskRef]RunningTask, len(rep.Running))
	progress := make(map[workload.Run]runProgress, len(rep.Running))
	for _, r := range rep.Running {
		running[r.Task] = r
		last, ok := w.progress[r.Run]
		if !ok {
			last = runProgress{percent: r.Percent, changedAt: now, firstPercent: r.Percent, firstAt: now}
		}
		if last.percent != r.Percent {
			last.percent, last.changedAt = r.Percent, now
		}
		progress[r.Run] = last
	}
	w.running = running
	w.progress = progress
	w.queueEnds(rep.Ended)
}

// queueEnds takes the ends that are neither recorded nor waiting.
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

// reported tells whether the last report lists the end of the run.
func (w *worker) hasReportedEnd(r workload.Run) bool {
	for _, e := range w.Ended {
		if e.Run == r {
			return true
		}
	}
	return false
}
