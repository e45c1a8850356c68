package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/workload"
)

// worker is what this leader knows of one worker life. Times are cluster time in
// milliseconds.
type worker struct {
	Report
	heardAt int64
	// joinedAt is when this leader first heard the life.
	joinedAt int64
	// leaseUntil is when the worker has certainly stopped everything, if it hears
	// nothing more.
	leaseUntil int64
	// over is true when a later life of the worker has reported, or it left.
	over bool
	// recorded and queued are the numbers up to which ends are recorded and are
	// waiting to be recorded.
	recorded int64
	queued   int64
	// running holds the runs of the last report.
	running map[workload.TaskRef]RunningTask
	// progress tells when a run was last seen to advance.
	progress map[workload.Run]advance
	// stopSent holds the stops that an answer carried while the run was absent.
	stopSent map[workload.Run]bool
	// sent holds the runs that an answer told the worker to start, and revoked those
	// that no answer may carry any more.
	sent    map[workload.Run]bool
	revoked map[workload.Run]bool
	// wake ends the hold of the outstanding heartbeat.
	wake chan struct{}
	// ended are ends that wait for the next cycle.
	ended []workload.End

	// idleSince is when the worker last had a run.
	idleSince int64
	// slowUntil is when a worker that was slow may be trusted again.
	slowUntil int64
	health    health
	pace      pacing
}

// advance is the progress of a run: when it was first seen, and when it was last
// seen to change.
type advance struct {
	percent      int
	at           int64
	firstPercent int
	firstAt      int64
}

func newWorker(rep Report) *worker {
	return &worker{
		Report: rep, running: map[workload.TaskRef]RunningTask{},
		progress: map[workload.Run]advance{}, stopSent: map[workload.Run]bool{},
		sent: map[workload.Run]bool{}, revoked: map[workload.Run]bool{},
		wake: make(chan struct{}, 1), pace: newPacing(),
	}
}

// reports tells whether the life goes on and was heard a short time ago.
func (w *worker) reports(now int64) bool { return !w.over && now-w.heardAt <= staleMS }

// busy tells whether the worker runs anything, by the state or by its last report.
func (w *worker) busy(s *workload.State) bool {
	return len(s.Occupied(w.Incarnation)) > 0 || len(w.running) > 0
}

// finish ends the life: nothing runs on it any more.
func (w *worker) finish() {
	w.over = true
	w.notify()
}

// notify ends the hold of the worker's heartbeat.
func (w *worker) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// take updates the worker by a report that is newer than the last one.
func (w *worker) take(rep Report, now int64) {
	w.Report = rep
	w.heardAt = now
	running := make(map[workload.TaskRef]RunningTask, len(rep.Running))
	progress := make(map[workload.Run]advance, len(rep.Running))
	for _, r := range rep.Running {
		running[r.Task] = r
		last, ok := w.progress[r.Run]
		if !ok {
			last = advance{percent: r.Percent, at: now, firstPercent: r.Percent, firstAt: now}
		}
		if last.percent != r.Percent {
			last.percent, last.at = r.Percent, now
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
		if e.Number <= w.recorded || e.Number <= w.queued {
			continue
		}
		w.queued = e.Number
		w.ended = append(w.ended, workload.End{
			Task: e.Task, Run: e.Run.Run, Worker: w.Incarnation, Outcome: e.Outcome, Checkpoint: e.Checkpoint,
		})
	}
}

// reported tells whether the last report lists the end of the run.
func (w *worker) reportedEnd(r workload.Run) bool {
	for _, e := range w.Ended {
		if e.Run == r {
			return true
		}
	}
	return false
}
