package retry

import (
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// PoolState is a pool as the verdicts see it.
type PoolState struct {
	Workers []string
	// Quarantined lists the workers whose quarantine has not ended.
	Quarantined []string
}

// Quarantine is a verdict on a worker. A negative For ends a quarantine.
type Quarantine struct {
	Worker   string
	Duration time.Duration
}

// FailuresCorrelated reports whether failures in the pool are correlated: more than
// WavePercent of its workers, and at least two, failed within WaveWindow.
// Failures of a single job speak of that job only and are no wave.
func (b *FailureTracker) FailuresCorrelated(workers []string, now fleet.Time) bool {
	failing := 0
	jobs := map[string]bool{}
	for _, name := range workers {
		w := b.workers[name]
		if w == nil {
			continue
		}
		failed := false
		if w.lost && now.Sub(w.lostAt) <= WaveWindow {
			failed = true
			jobs["lost "+name] = true
		}
		for _, e := range w.events {
			if !e.ok && now.Sub(e.at) <= WaveWindow {
				failed = true
				jobs["job "+e.job] = true
			}
		}
		if failed {
			failing++
		}
	}
	return failing >= 2 && len(jobs) >= 2 && failing*100 > len(workers)*WavePercent
}

// DecideQuarantines returns the verdicts on the workers of a pool: new quarantines
// within the bound, longer ones for failed probes, and the end of those whose
// evidence turned out to be the fault of jobs. There are none during a wave.
func (b *FailureTracker) DecideQuarantines(p PoolState, now fleet.Time) []Quarantine {
	if b.FailuresCorrelated(p.Workers, now) {
		return nil
	}
	var verdicts []Quarantine
	count := 0
	for _, name := range p.Quarantined {
		if b.cleared(name, now) {
			verdicts = append(verdicts, Quarantine{Worker: name, Duration: -1})
			b.worker(name).quarantines = 0
			continue
		}
		count++
	}
	bound := max(1, len(p.Workers)*QuarantinePercent/100)
	for _, name := range slices.Sorted(slices.Values(p.Workers)) {
		if count >= bound {
			break
		}
		if slices.Contains(p.Quarantined, name) || !b.newlyAtFault(name, now) {
			continue
		}
		count++
		verdicts = append(verdicts, Quarantine{Worker: name, Duration: b.sentence(name, now)})
	}
	return verdicts
}

// cleared reports whether the failures for which a worker is quarantined turned
// out to be the fault of jobs. Age alone clears no worker, since it runs nothing
// in quarantine. A new leader has no evidence and leaves quarantines as they are.
func (b *FailureTracker) cleared(name string, now fleet.Time) bool {
	w := b.workers[name]
	if w == nil || w.quarantines == 0 {
		return false
	}
	return !b.convicts(name, w.events[max(0, len(w.events)-judged):], now)
}

// newlyAtFault reports whether the worker is at fault and failed something since
// its last quarantine ended. The first job after a quarantine is the probe.
func (b *FailureTracker) newlyAtFault(name string, now fleet.Time) bool {
	w := b.workers[name]
	if w == nil || len(w.events) == 0 {
		return false
	}
	last := w.events[len(w.events)-1]
	return !last.ok && last.at >= w.until && b.workerAtFault(name, now)
}

// sentence returns the length of the next quarantine and records it.
func (b *FailureTracker) sentence(name string, now fleet.Time) time.Duration {
	w := b.worker(name)
	length := MaxQuarantine
	if w.quarantines < 6 {
		length = min(FirstQuarantine<<w.quarantines, MaxQuarantine)
	}
	w.quarantines++
	w.until = now.Add(length)
	return length
}
