package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// retryDemand is the heartbeat interval of a worker with room in a pool where
	// work waits or jobs are under way: it bounds how late a start reaches it.
	retryDemand = 100 * time.Millisecond
	// retryPace follows the tails of serving tasks beside fillers.
	retryPace = 400 * time.Millisecond
	// retryCalm is the interval of a worker that expects no orders soon.
	retryCalm = 800 * time.Millisecond
	// retryHeld is the interval of an idle worker, whose answers are held anyway.
	retryHeld = 20 * time.Millisecond
	// retryFleet is the least interval for each worker in contact, so that the
	// leader takes at most about 1,000 heartbeats a second.
	retryFleet = time.Millisecond
	// retryLongest bounds it: with an answer that is held it stays below the time
	// after which a worker counts as silent.
	retryLongest = 900 * time.Millisecond
)

// retryAfter is the time until the worker's next heartbeat.
//
// Load pattern: a start can reach a worker only in the answer to a heartbeat, and
// a held answer delays the report of an end. Idle workers are held; workers with
// room report often while their pool has work; full ones report when a run ends.
func (d *Dispatcher) retryAfter(w *worker, s *workload.State, started bool) time.Duration {
	floor := min(retryFleet*time.Duration(d.inContact), retryLongest)
	occupied := s.Occupied(w.Incarnation)
	if len(occupied) == 0 && !started {
		return retryHeld
	}
	free := w.Capacity
	for _, p := range occupied {
		free = free.Minus(p.Occupies)
	}
	retry := retryCalm
	if len(w.pace.sent) > 0 {
		retry = retryPace
	}
	if d.busy[w.Pool] && free.CPUMilli > 0 && free.MemoryMiB > 0 && !w.Draining {
		retry = retryDemand
	}
	return max(retry, floor)
}
