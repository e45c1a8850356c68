package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// busyPoolInterval applies to a worker with free capacity in a busy pool. It bounds the
	// delay of a start order.
	busyPoolInterval = 100 * time.Millisecond
	// pacedInterval applies to a worker with fillers, whose pace follows the tail latency
	// of the serving tasks beside them.
	pacedInterval = 400 * time.Millisecond
	// defaultInterval applies to a worker that expects no orders soon.
	defaultInterval = 800 * time.Millisecond
	// idleInterval applies to an idle worker, whose responses are held anyway, and to one for
	// which there are more orders than its response could carry.
	idleInterval = 20 * time.Millisecond
	// intervalPerWorker times the number of live workers is the shortest interval, so that
	// the leader gets at most about 1,000 heartbeats a second.
	intervalPerWorker = time.Millisecond
	// maxInterval bounds that product. It leaves 400 ms for the response before the worker
	// counts as silent.
	maxInterval = 900 * time.Millisecond
)

// heartbeatInterval returns the time until the worker's next heartbeat. held is the time
// for which the response to the present one was held, and truncated is true if orders had to wait
// for the next one. The held time counts towards the interval: the
// worker would count as silent if it waited for both.
//
// A start order can reach a worker only in the response to a heartbeat, and a held response
// delays the report of an ended run. So responses to idle workers are held, workers with
// free capacity report often while their pool is busy, and full ones report when a run
// ends.
func (d *Dispatcher) heartbeatInterval(w *worker, s *workload.State, started, truncated bool, held time.Duration) time.Duration {
	floor := min(intervalPerWorker*time.Duration(d.liveWorkers), maxInterval)
	occupied := s.RunsOn(w.Incarnation)
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
	if truncated {
		interval = idleInterval
	}
	return max(max(interval, floor)-held, idleInterval)
}
