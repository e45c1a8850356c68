package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// busyPoolInterval is the heartbeat interval of a worker with room in a pool where
	// work waits or jobs are under way: it bounds how late a start reaches it.
	busyPoolInterval = 100 * time.Millisecond
	// pacedInterval follows the tails of serving tasks beside fillers.
	pacedInterval = 400 * time.Millisecond
	// defaultInterval is the interval of a worker that expects no orders soon.
	defaultInterval = 800 * time.Millisecond
	// idleInterval is the interval of an idle worker, whose answers are held anyway.
	idleInterval = 20 * time.Millisecond
	// intervalPerWorker is the least interval for each worker in contact, so that the
	// leader takes at most about 1,000 heartbeats a second.
	intervalPerWorker = time.Millisecond
	// maxInterval bounds it: with an answer that is held it stays below the time
	// after which a worker counts as silent.
	maxInterval = 900 * time.Millisecond
)

// heartbeatInterval is the time until the worker's next heartbeat.
//
// Load pattern: a start can reach a worker only in the answer to a heartbeat, and
// a held answer delays the report of an end. Idle workers are held; workers with
// room report often while their pool has work; full ones report when a run ends.
func (d *Dispatcher) heartbeatInterval(w *worker, s *workload.State, started bool) time.Duration {
	floor := min(intervalPerWorker*time.Duration(d.liveWorkers), maxInterval)
	occupied := s.Occupied(w.Incarnation)
	if len(occupied) == 0 && !started {
		return idleInterval
	}
	free := w.Capacity
	for _, p := range occupied {
		free = free.Minus(p.Occupies)
	}
	interval := defaultInterval
	if len(w.pace.sent) > 0 {
		interval = pacedInterval
	}
	if d.busyPools[w.Pool] && free.CPUMilli > 0 && free.MemoryMiB > 0 && !w.Draining {
		interval = busyPoolInterval
	}
	return max(interval, floor)
}
