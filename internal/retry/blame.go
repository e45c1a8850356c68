package retry

import (
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Rules of blame.
const (
	// Distinct is the number of distinct workers or jobs that a verdict needs.
	Distinct = 3
	// MaxFailures ends a job that no evidence clears or convicts.
	MaxFailures = 10
	// suspectAfter is the number of healthy workers on which a job failed before
	// its failures no longer speak against other workers.
	suspectAfter = 2
	// recent is the time for which an event counts.
	recent = 10 * time.Minute
	// maxEvents bounds the events that are kept for each worker.
	maxEvents = 32
	// judged is the number of latest events by which a worker is judged, so that
	// scattered failures between successes don't add up to a verdict.
	judged = 8
	// WaveWindow and WavePercent define a failure wave: more than this part of a
	// pool's workers fail something within the window.
	WaveWindow  = 30 * time.Second
	WavePercent = 20
	// QuarantinePercent bounds the workers of a pool that are quarantined at once.
	QuarantinePercent = 10
	// FirstQuarantine is the length of a first quarantine. It doubles with each
	// failed probe up to MaxQuarantine.
	FirstQuarantine = 30 * time.Second
	MaxQuarantine   = 30 * time.Minute
)

type event struct {
	job string
	ok  bool
	at  fleet.Time
}

type workerRecord struct {
	events []event
	lostAt fleet.Time
	lost   bool
	// quarantines counts quarantines since the last successful probe.
	quarantines int
	until       fleet.Time
}

// FailureTracker attributes failures to jobs or to workers. It is not safe for concurrent use.
type FailureTracker struct {
	workers   map[string]*workerRecord
	succeeded map[string]fleet.Time
	failedOn  map[string]map[string]fleet.Time
	// failures counts the failures of each job in failedOn, on any worker.
	failures map[string]int
}

// NewFailureTracker returns a record without events.
func NewFailureTracker() *FailureTracker {
	return &FailureTracker{
		workers:   map[string]*workerRecord{},
		succeeded: map[string]fleet.Time{},
		failedOn:  map[string]map[string]fleet.Time{},
		failures:  map[string]int{},
	}
}

func (b *FailureTracker) worker(name string) *workerRecord {
	w := b.workers[name]
	if w == nil {
		w = &workerRecord{}
		b.workers[name] = w
	}
	return w
}

func (b *FailureTracker) note(worker string, e event) {
	w := b.worker(worker)
	w.events = append(w.events, e)
	if len(w.events) > maxEvents {
		w.events = slices.Delete(w.events, 0, 1)
	}
}

// Succeeded records that a job ended well on a worker. A success after a
// quarantine is a passed probe.
func (b *FailureTracker) Succeeded(worker, job string, at fleet.Time) {
	b.note(worker, event{job: job, ok: true, at: at})
	b.succeeded[job] = at
	if w := b.worker(worker); at >= w.until {
		w.quarantines = 0
	}
}

// Failed records that a job failed on a worker.
func (b *FailureTracker) Failed(worker, job string, at fleet.Time) {
	b.note(worker, event{job: job, at: at})
	if b.failedOn[job] == nil {
		b.failedOn[job] = map[string]fleet.Time{}
	}
	b.failedOn[job][worker] = at
	b.failures[job]++
}

// Lost records the loss of a worker, which counts towards a failure wave.
func (b *FailureTracker) Lost(worker string, at fleet.Time) {
	w := b.worker(worker)
	w.lost, w.lostAt = true, at
}

// RemoveExpired removes events that no longer count.
func (b *FailureTracker) RemoveExpired(now fleet.Time) {
	for job, at := range b.succeeded {
		if now.Sub(at) > recent {
			delete(b.succeeded, job)
		}
	}
	for job, on := range b.failedOn {
		for worker, at := range on {
			if now.Sub(at) > recent {
				delete(on, worker)
			}
		}
		if len(on) == 0 {
			delete(b.failedOn, job)
			delete(b.failures, job)
		}
	}
}

// Healthy reports whether a worker succeeded recently with jobs other than the
// given one, and not less often than it failed.
func (b *FailureTracker) Healthy(worker, except string, now fleet.Time) bool {
	w := b.workers[worker]
	if w == nil {
		return false
	}
	good, bad := 0, 0
	for _, e := range b.latest(w, now) {
		switch {
		case e.job == except:
		case e.ok:
			good++
		case !b.suspectExcept(e.job, worker, now):
			bad++
		}
	}
	return good > 0 && good >= bad
}

// latest returns the events by which a worker is judged.
func (b *FailureTracker) latest(w *workerRecord, now fleet.Time) []event {
	var events []event
	for _, e := range w.events[max(0, len(w.events)-judged):] {
		if now.Sub(e.at) <= recent {
			events = append(events, e)
		}
	}
	return events
}

// JobAtFault reports whether a job fails for good with one more failure: it failed
// on enough distinct workers that are healthy with other jobs, or on all workers
// of a smaller pool. failedOn includes the worker of this failure, which is not
// recorded yet. Where no other jobs run, nothing proves a worker healthy; then
// MaxFailures decide.
func (b *FailureTracker) JobAtFault(job string, failedOn []string, poolSize int, now fleet.Time) bool {
	healthy := 0
	for _, worker := range failedOn {
		if b.Healthy(worker, job, now) {
			healthy++
		}
	}
	return healthy >= min(Distinct, max(poolSize, 1)) || b.failures[job]+1 >= MaxFailures
}

// suspectExcept reports whether a job's failures elsewhere explain its failure on
// the worker: it never succeeded, and failed on other workers that had successes.
func (b *FailureTracker) suspectExcept(job, worker string, now fleet.Time) bool {
	if _, ok := b.succeeded[job]; ok {
		return false
	}
	others := 0
	for other := range b.failedOn[job] {
		if other != worker && b.hadSuccess(other, now) {
			others++
		}
	}
	return others >= suspectAfter
}

func (b *FailureTracker) hadSuccess(worker string, now fleet.Time) bool {
	return slices.ContainsFunc(b.latest(b.workers[worker], now), func(e event) bool { return e.ok })
}

// workerAtFault reports whether enough distinct jobs that are not suspect failed
// on a worker, and at least half of its latest events are such failures.
func (b *FailureTracker) workerAtFault(worker string, now fleet.Time) bool {
	w := b.workers[worker]
	return w != nil && b.convicts(worker, b.latest(w, now), now)
}

func (b *FailureTracker) convicts(worker string, events []event, now fleet.Time) bool {
	jobs := map[string]bool{}
	good, bad := 0, 0
	for _, e := range events {
		if e.ok {
			good++
			continue
		}
		if !b.suspectExcept(e.job, worker, now) {
			bad++
			jobs[e.job] = true
		}
	}
	return len(jobs) >= Distinct && bad >= good
}
