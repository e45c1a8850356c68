package retry

import (
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Limits for the attribution of failures and for quarantines.
const (
	// MinDistinct is the number of distinct jobs that must fail on a worker before the
	// worker is at fault, and of distinct healthy workers on which a job must fail
	// before the job is.
	MinDistinct = 3
	// MaxFailures is the number of failures after which a job fails for good in any
	// case. It decides where no other jobs run that could show that a worker is
	// healthy.
	MaxFailures = 10
	// suspectThreshold is the number of other working workers on which a job must have
	// failed before its failures no longer count against a worker.
	suspectThreshold = 2
	// eventMaxAge is the age up to which an event counts.
	eventMaxAge = 10 * time.Minute
	// maxEvents is the number of events that are kept for each worker.
	maxEvents = 32
	// evaluatedEvents is the number of latest events by which a worker is judged. It
	// is small, so that failures scattered among successes don't add up to a fault of
	// the worker.
	evaluatedEvents = 8
	// Failures in a pool are correlated when they concern more than CorrelationPercent
	// of its workers within CorrelationWindow.
	CorrelationWindow  = 30 * time.Second
	CorrelationPercent = 20
	// QuarantinePercent is the maximum part of a pool's workers in quarantine, in
	// percent. One worker may always be quarantined.
	QuarantinePercent = 10
	// InitialQuarantine is the length of a first quarantine. It doubles with each
	// failed probe, up to MaxQuarantine. The probe is the first job after a
	// quarantine.
	InitialQuarantine = 30 * time.Second
	MaxQuarantine     = 30 * time.Minute
)

// event is the outcome of an attempt of a job on a worker.
type event struct {
	job string
	ok  bool
	at  fleet.Time
}

// workerRecord holds the latest events of a worker, oldest first.
type workerRecord struct {
	events []event
	lostAt fleet.Time
	lost   bool
	// consecutiveQuarantines is the number of quarantines since the last successful
	// probe.
	consecutiveQuarantines int
	quarantinedUntil       fleet.Time
}

// FailureTracker records the outcomes of attempts and attributes failures to jobs or
// to workers. It is not safe for concurrent use.
type FailureTracker struct {
	workers map[string]*workerRecord
	// succeeded holds the time of the last success by job.
	succeeded map[string]fleet.Time
	// failedOn holds the time of the last failure by job and worker.
	failedOn map[string]map[string]fleet.Time
	// failures holds the number of failures, on any worker, of each job in failedOn.
	failures map[string]int
}

// NewFailureTracker returns a tracker without events.
func NewFailureTracker() *FailureTracker {
	return &FailureTracker{
		workers:   map[string]*workerRecord{},
		succeeded: map[string]fleet.Time{},
		failedOn:  map[string]map[string]fleet.Time{},
		failures:  map[string]int{},
	}
}

func (t *FailureTracker) worker(name string) *workerRecord {
	w := t.workers[name]
	if w == nil {
		w = &workerRecord{}
		t.workers[name] = w
	}
	return w
}

func (t *FailureTracker) record(worker string, e event) {
	w := t.worker(worker)
	w.events = append(w.events, e)
	if len(w.events) > maxEvents {
		w.events = slices.Delete(w.events, 0, 1)
	}
}

// Succeeded records that an attempt of a job succeeded on a worker. A success after
// the end of a quarantine is a passed probe: the worker's next quarantine is a first
// one again.
func (t *FailureTracker) Succeeded(worker, job string, at fleet.Time) {
	t.record(worker, event{job: job, ok: true, at: at})
	t.succeeded[job] = at
	if w := t.worker(worker); at >= w.quarantinedUntil {
		w.consecutiveQuarantines = 0
	}
}

// Failed records that an attempt of a job failed on a worker.
func (t *FailureTracker) Failed(worker, job string, at fleet.Time) {
	t.record(worker, event{job: job, at: at})
	if t.failedOn[job] == nil {
		t.failedOn[job] = map[string]fleet.Time{}
	}
	t.failedOn[job][worker] = at
	t.failures[job]++
}

// Lost records the loss of a worker. It counts for FailuresCorrelated only.
func (t *FailureTracker) Lost(worker string, at fleet.Time) {
	w := t.worker(worker)
	w.lost, w.lostAt = true, at
}

// RemoveExpired removes the outcomes of jobs that are older than 10 minutes.
func (t *FailureTracker) RemoveExpired(now fleet.Time) {
	for job, at := range t.succeeded {
		if now.Sub(at) > eventMaxAge {
			delete(t.succeeded, job)
		}
	}
	for job, on := range t.failedOn {
		for worker, at := range on {
			if now.Sub(at) > eventMaxAge {
				delete(on, worker)
			}
		}
		if len(on) == 0 {
			delete(t.failedOn, job)
			delete(t.failures, job)
		}
	}
}

// Healthy reports whether a worker recently ran jobs other than the one named except,
// with at least one success and no fewer successes than failures. Failures that are
// explained by their job don't count.
func (t *FailureTracker) Healthy(worker, except string, now fleet.Time) bool {
	w := t.workers[worker]
	if w == nil {
		return false
	}
	good, bad := 0, 0
	for _, e := range t.recentEvents(w, now) {
		switch {
		case e.job == except:
		case e.ok:
			good++
		case !t.explainedByJob(e.job, worker, now):
			bad++
		}
	}
	return good > 0 && good >= bad
}

// recentEvents returns the events by which a worker is judged.
func (t *FailureTracker) recentEvents(w *workerRecord, now fleet.Time) []event {
	var events []event
	for _, e := range w.events[max(0, len(w.events)-evaluatedEvents):] {
		if now.Sub(e.at) <= eventMaxAge {
			events = append(events, e)
		}
	}
	return events
}

// JobAtFault reports whether a job should fail for good with one more failure. It
// should when it failed on MinDistinct distinct workers that are healthy with other
// jobs, or on all workers of a smaller pool. It should in any case after MaxFailures
// failures, since no worker is known to be healthy where no other jobs run. failedOn
// lists the distinct workers on which the job failed. It includes the worker of the
// present failure, which must not be recorded with Failed yet.
func (t *FailureTracker) JobAtFault(job string, failedOn []string, poolSize int, now fleet.Time) bool {
	healthy := 0
	for _, worker := range failedOn {
		if t.Healthy(worker, job, now) {
			healthy++
		}
	}
	return healthy >= min(MinDistinct, max(poolSize, 1)) || t.failures[job]+1 >= MaxFailures
}

// explainedByJob reports whether a job's failure on a worker is explained by the job:
// it never succeeded, and failed on enough other workers that ran other jobs
// successfully.
func (t *FailureTracker) explainedByJob(job, worker string, now fleet.Time) bool {
	if _, ok := t.succeeded[job]; ok {
		return false
	}
	others := 0
	for other := range t.failedOn[job] {
		if other != worker && t.hasRecentSuccess(other, now) {
			others++
		}
	}
	return others >= suspectThreshold
}

// hasRecentSuccess reports whether any job succeeded on the worker recently.
func (t *FailureTracker) hasRecentSuccess(worker string, now fleet.Time) bool {
	return slices.ContainsFunc(t.recentEvents(t.workers[worker], now), func(e event) bool { return e.ok })
}

// workerAtFault reports whether the worker's recent events show that it is at fault.
func (t *FailureTracker) workerAtFault(worker string, now fleet.Time) bool {
	w := t.workers[worker]
	return w != nil && t.showWorkerFault(worker, t.recentEvents(w, now), now)
}

// showWorkerFault reports whether the events show a fault of the worker: at least
// MinDistinct distinct jobs failed, and the failures are at least as many as the
// successes. Failures that are explained by their job don't count.
func (t *FailureTracker) showWorkerFault(worker string, events []event, now fleet.Time) bool {
	jobs := map[string]bool{}
	good, bad := 0, 0
	for _, e := range events {
		if e.ok {
			good++
			continue
		}
		if !t.explainedByJob(e.job, worker, now) {
			bad++
			jobs[e.job] = true
		}
	}
	return len(jobs) >= MinDistinct && bad >= good
}
