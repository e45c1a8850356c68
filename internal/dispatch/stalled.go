package dispatch

import (
	"slices"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallCheckIntervalMS is the time between two searches for stalled work.
	stallCheckIntervalMS = 500
	// maxStallLines bounds the log lines about stalled work of one search.
	maxStallLines = 20
	// stalledMetricPrefix is followed by the queue and the reason.
	stalledMetricPrefix = "dispatch_stalled_tasks_"
)

// stallTracker keeps the stalled work that the last search found. Guarded by Dispatcher.mu.
type stallTracker struct {
	registry  metrics.Registry
	checkedAt int64
	stalls    []stall.Stall
	byKey     map[stall.Key]stall.Stall
	// gauges holds the names of the registered metrics.
	gauges map[string]bool
}

func newStallTracker(registry metrics.Registry) *stallTracker {
	return &stallTracker{registry: registry, byKey: map[stall.Key]stall.Stall{}, gauges: map[string]bool{}}
}

// clear forgets all stalled work, for example because this store no longer leads.
func (t *stallTracker) clear() {
	t.checkedAt, t.stalls, t.byKey = 0, nil, map[stall.Key]stall.Stall{}
	t.updateGauges()
}

// stallChange is stalled work that was found for the first time, or with another reason, or
// that was found before and goes on.
type stallChange struct {
	stall.Stall
	ended bool
}

// update replaces the stalled work and returns what has changed.
func (t *stallTracker) update(found []stall.Stall) []stallChange {
	var changes []stallChange
	byKey := make(map[stall.Key]stall.Stall, len(found))
	for i := range found {
		s := &found[i]
		before, known := t.byKey[s.Key]
		if known && before.Reason == s.Reason {
			s.SinceMS = min(s.SinceMS, before.SinceMS)
		} else {
			changes = append(changes, stallChange{Stall: *s})
		}
		byKey[s.Key] = *s
	}
	for _, before := range t.stalls {
		if _, still := byKey[before.Key]; !still {
			changes = append(changes, stallChange{Stall: before, ended: true})
		}
	}
	t.stalls, t.byKey = found, byKey
	t.updateGauges()
	return changes
}

// updateGauges sets one metric for each queue and reason to the number of stalled tasks, and
// removes those of queues and reasons without any.
func (t *stallTracker) updateGauges() {
	tasks := map[string]int64{}
	for _, s := range t.stalls {
		tasks[stalledMetricPrefix+s.Queue+"_"+string(s.Reason)] += int64(s.Tasks)
	}
	for name := range t.gauges {
		if _, used := tasks[name]; !used {
			t.registry.Unregister(name)
			delete(t.gauges, name)
		}
	}
	for name, count := range tasks {
		metrics.GetOrRegisterGauge(name, t.registry).Update(count)
		t.gauges[name] = true
	}
}

// checkStalls searches for stalled work if the last search is long enough ago, and returns
// what has changed since. The caller holds mu.
func (d *Dispatcher) checkStalls(s *workload.State, available []taskplan.Worker, unapproved []taskplan.StepRef, now int64) []stallChange {
	if now-d.stalls.checkedAt < stallCheckIntervalMS {
		return nil
	}
	d.stalls.checkedAt = now
	in := stall.Input{State: s, NowMS: now, Workers: d.stallWorkers(s, available, now), FailedOn: d.failedOn, Unapproved: map[stall.Key]bool{}}
	for _, ref := range unapproved {
		in.Unapproved[stall.Key(ref)] = true
	}
	return d.stalls.update(stall.Find(in))
}

// stallWorkers describes all workers that may hold tasks. Those that this leader has not
// heard yet are included once it has led for long enough to hear them.
func (d *Dispatcher) stallWorkers(s *workload.State, available []taskplan.Worker, now int64) []stall.Worker {
	maxStarts := make(map[workload.WorkerIncarnation]int, len(available))
	for _, w := range available {
		maxStarts[w.Incarnation] = w.MaxStarts
	}
	workers := make([]stall.Worker, 0, len(d.workers))
	for incarnation, w := range d.workers {
		if w.terminated {
			continue
		}
		starts, isAvailable := maxStarts[incarnation]
		described := stall.Worker{
			Incarnation: incarnation, Pool: w.Pool, Rack: w.Rack, DataCentre: w.DataCentre, Labels: w.Labels, Free: w.Capacity,
			Live: w.isLive(now), SilentSinceMS: w.lastReportAt, Held: !isAvailable, Accepts: isAvailable && starts != 0,
			Evacuated: s.Evacuated(w.DataCentre) && !w.Draining,
		}
		for _, p := range s.RunsOn(incarnation) {
			described.Free = described.Free.Minus(p.Occupies)
		}
		workers = append(workers, described)
	}
	if now-d.leadingSince < newLeaderGraceMS {
		return workers
	}
	for incarnation := range s.RunsByWorker() {
		if _, heard := d.workers[incarnation]; !heard && !d.terminatedUnseen[incarnation] {
			workers = append(workers, stall.Worker{Incarnation: incarnation, SilentSinceMS: d.leadingSince})
		}
	}
	return workers
}

// logStalls logs the begin and the end of stalled work. What exceeds maxStallLines is
// counted in one line.
func (d *Dispatcher) logStalls(changes []stallChange, now int64) {
	for i, c := range changes {
		if i == maxStallLines {
			d.logger.Info().Int("more", len(changes)-i).Msg("further changes of stalled work are not logged")
			return
		}
		message := "work is stalled"
		if c.ended {
			message = "work is no longer stalled"
		}
		d.logger.Info().Str("job", c.Job).Int("occurrence", c.Occurrence).Int("step", c.Step).Str("queue", c.Queue).Str("team", c.Team).
			Int("tasks", c.Tasks).Str("reason", string(c.Reason)).Str("detail", c.Detail).Int64("stalled_ms", now-c.SinceMS).Msg(message)
	}
}

// Stalled returns the work that makes no progress, as of at most a second ago and ordered by
// job, and the cluster time in milliseconds. It returns a NotLeaderError when this store does not lead.
func (d *Dispatcher) Stalled() ([]stall.Stall, int64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil {
		return nil, 0, err
	}
	stalls := slices.Clone(d.stalls.stalls)
	stall.Sort(stalls)
	return stalls, now, nil
}
