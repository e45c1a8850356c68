package retry

import (
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// PoolState is the input of DecideQuarantines for one pool.
type PoolState struct {
	Workers []string
	// Quarantined lists the workers of the pool whose quarantine has not ended.
	Quarantined []string
}

// Quarantine is a decision to start or end the quarantine of a worker.
type Quarantine struct {
	Worker string
	// Duration is the length of a new quarantine; a negative value ends the current
	// one.
	Duration time.Duration
}

// FailuresCorrelated reports whether failures in the pool with the given workers are
// correlated, which points to a common cause rather than to single jobs or workers.
// They are when more than CorrelationPercent of the workers, and at least two, were
// lost or had a failure within CorrelationWindow. Failures of one job only are not
// correlated, since they may be the job's fault.
func (t *FailureTracker) FailuresCorrelated(workers []string, now fleet.Time) bool {
	failing := 0
	jobs := map[string]bool{}
	for _, name := range workers {
		w := t.workers[name]
		if w == nil {
			continue
		}
		failed := false
		if w.lost && now.Sub(w.lostAt) <= CorrelationWindow {
			failed = true
			jobs["lost "+name] = true
		}
		for _, e := range w.events {
			if !e.ok && now.Sub(e.at) <= CorrelationWindow {
				failed = true
				jobs["job "+e.job] = true
			}
		}
		if failed {
			failing++
		}
	}
	return failing >= 2 && len(jobs) >= 2 && failing*100 > len(workers)*CorrelationPercent
}

// DecideQuarantines returns the quarantines of a pool's workers to start and to end,
// and records them as done. A worker at fault is quarantined unless QuarantinePercent
// is reached, for longer after each failed probe. A quarantine ends early when the
// failures behind it turn out to be the fault of jobs. Nothing is decided while the
// pool's failures are correlated.
func (t *FailureTracker) DecideQuarantines(p PoolState, now fleet.Time) []Quarantine {
	if t.FailuresCorrelated(p.Workers, now) {
		return nil
	}
	var decisions []Quarantine
	count := 0
	for _, name := range p.Quarantined {
		if t.failuresExplained(name, now) {
			decisions = append(decisions, Quarantine{Worker: name, Duration: -1})
			t.worker(name).consecutiveQuarantines = 0
			continue
		}
		count++
	}
	limit := max(1, len(p.Workers)*QuarantinePercent/100)
	for _, name := range slices.Sorted(slices.Values(p.Workers)) {
		if count >= limit {
			break
		}
		if slices.Contains(p.Quarantined, name) || !t.newlyAtFault(name, now) {
			continue
		}
		count++
		decisions = append(decisions, Quarantine{Worker: name, Duration: t.startQuarantine(name, now)})
	}
	return decisions
}

// failuresExplained reports whether the failures for which a worker is quarantined
// turned out to be the fault of jobs. The age of the events doesn't count here, since
// a worker in quarantine runs nothing that could show that it works. A new leader has
// no events and leaves quarantines as they are.
func (t *FailureTracker) failuresExplained(name string, now fleet.Time) bool {
	w := t.workers[name]
	if w == nil || w.consecutiveQuarantines == 0 {
		return false
	}
	return !t.showWorkerFault(name, w.events[max(0, len(w.events)-evaluatedEvents):], now)
}

// newlyAtFault reports whether the worker is at fault and its latest attempt failed
// after its last quarantine ended.
func (t *FailureTracker) newlyAtFault(name string, now fleet.Time) bool {
	w := t.workers[name]
	if w == nil || len(w.events) == 0 {
		return false
	}
	last := w.events[len(w.events)-1]
	return !last.ok && last.at >= w.quarantinedUntil && t.workerAtFault(name, now)
}

// startQuarantine records a new quarantine and returns its length.
func (t *FailureTracker) startQuarantine(name string, now fleet.Time) time.Duration {
	w := t.worker(name)
	duration := MaxQuarantine
	if w.consecutiveQuarantines < 6 {
		duration = min(InitialQuarantine<<w.consecutiveQuarantines, MaxQuarantine)
	}
	w.consecutiveQuarantines++
	w.quarantinedUntil = now.Add(duration)
	return duration
}
