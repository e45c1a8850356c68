package dispatch

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// evacuations follows the evacuations in force under one leadership, for the log and the
// metrics: decisions are taken from the replicated state. Guarded by Dispatcher.mu.
type evacuations struct {
	inForce metrics.Gauge
	// emptied measures the time from an order until the last task has left.
	emptied metrics.Timer
	// progress holds the data centres whose evacuation was seen in force.
	progress map[string]evacuationProgress
}

type evacuationProgress struct {
	since int64
	// tasks is the number of tasks that were left at the last look, and -1 before the first.
	tasks int
}

func newEvacuations(r metrics.Registry) *evacuations {
	return &evacuations{
		inForce:  metrics.GetOrRegisterGauge("dispatch_evacuations", r),
		emptied:  metrics.GetOrRegisterTimer("dispatch_evacuation_emptied_seconds", r),
		progress: map[string]evacuationProgress{},
	}
}

// clear forgets everything, for example because this store no longer leads.
func (e *evacuations) clear() {
	clear(e.progress)
	e.inForce.Update(0)
}

// followEvacuations logs the evacuations that begin and end, and those whose last task has left.
// The caller holds mu.
func (d *Dispatcher) followEvacuations(s *workload.State, now int64) {
	e := d.evacuations
	e.inForce.Update(int64(len(s.Evacuations)))
	for name, p := range e.progress {
		if current, ok := s.Evacuations[name]; !ok || current.Since != p.since {
			delete(e.progress, name)
			d.logger.Info().Str("evacuated_data_centre", name).Int64("after_ms", now-p.since).Int("tasks", p.tasks).Msg("data centre is taken back")
		}
	}
	if len(s.Evacuations) == 0 {
		return
	}
	tasks, unknown := d.tasksByDataCentre(s)
	for name, evacuation := range s.Evacuations {
		left := tasks[name] + unknown
		p, seen := e.progress[name]
		if !seen {
			p = evacuationProgress{since: evacuation.Since, tasks: -1}
			d.logger.Info().Str("evacuated_data_centre", name).Int64("for_ms", now-p.since).Int("tasks", left).Msg("data centre is evacuated")
		}
		// A leader that came later and finds no task does not know when the last one left.
		observed := p.tasks > 0 || p.tasks < 0 && p.since > d.leadingSince
		if left == 0 && observed {
			e.emptied.Update(time.Duration(now-p.since) * time.Millisecond)
			d.logger.Info().Str("evacuated_data_centre", name).Int64("after_ms", now-p.since).Msg("last task has left the evacuated data centre")
		}
		p.tasks = left
		e.progress[name] = p
	}
}

// tasksByDataCentre returns the number of placed tasks by data centre, and of those on workers
// whose data centre isn't known yet.
func (d *Dispatcher) tasksByDataCentre(s *workload.State) (map[string]int, int) {
	tasks, unknown := map[string]int{}, 0
	for incarnation, runs := range s.RunsByWorker() {
		if name, ok := d.dataCentreOf(incarnation, machineOf(runs)); ok {
			tasks[name] += len(runs)
		} else {
			unknown += len(runs)
		}
	}
	return tasks, unknown
}

// dataCentreOf returns the data centre of an incarnation that runs on the machine, if it is known.
func (d *Dispatcher) dataCentreOf(incarnation workload.WorkerIncarnation, machine string) (string, bool) {
	if w, ok := d.workers[incarnation]; ok {
		return w.DataCentre, true
	}
	if m, ok := d.machinesByName[machine]; ok {
		return m.DataCentre, true
	}
	return "", false
}

// withholdEvacuated returns the starts that a worker may get: none while its data centre is
// evacuated. since is the start of this leadership.
//
// Load pattern: tasks are placed all the time, and a start is repeated until the worker reports
// the run. After an evacuation, those placed before would start there for as long as answers get
// lost. A start that was never sent is revoked; one that may be on its way is stopped first.
func (w *worker) withholdEvacuated(s *workload.State, starts []StartOrder, since int64) []StartOrder {
	if !s.Evacuated(w.DataCentre) {
		return starts
	}
	for _, start := range starts {
		if w.mayHaveStarted(start.Run, s.RunsOn(w.Incarnation)[start.Task], since) {
			w.withheld[start.Run] = true
		} else {
			w.revoked[start.Run] = true
		}
	}
	return nil
}

// evacuationStops returns the long-running tasks to stop in evacuated data centres, so that they
// start elsewhere: as many as the MaxUnavailable of their steps allows beside the other stops of
// this cycle, and as the plan leaves room for.
//
// Load pattern: a third of the workers is evacuated while the others are nearly full. Stopped at
// once, most long-running tasks would wait until machines are added, and not run meanwhile.
func (d *Dispatcher) evacuationStops(s *workload.State, gate *workload.Interruptions, room *taskplan.Room, now int64) []stopDecision {
	var stops []stopDecision
	for _, stop := range unforced(d.longRunningToMove(s, now)) {
		j, _, _ := s.Task(stop.Task)
		if gate.Allows(stop) && room.IsAmple(s.PoolOf(j)) && room.Take(stop.Task) {
			stops = append(stops, d.admitStops(s, gate, stopForEvacuation, []workload.Stop{stop}, now)...)
		}
	}
	return stops
}

// longRunningToMove returns the long-running tasks on live workers of evacuated data centres, in a
// fixed order. Workers that drain or whose machine is due for maintenance are emptied for that.
func (d *Dispatcher) longRunningToMove(s *workload.State, now int64) []workload.Run {
	if len(s.Evacuations) == 0 {
		return nil
	}
	var runs []workload.Run
	for incarnation, w := range d.workers {
		if !s.Evacuated(w.DataCentre) || w.Draining || !w.isLive(now) || d.maintenance.isReserved(w.Machine, now) {
			continue
		}
		for ref, p := range s.RunsOn(incarnation) {
			if p.LongRunning && !p.Stopping {
				runs = append(runs, workload.Run{Task: ref, Run: p.Run})
			}
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// isCold reports whether the worker said that it still is slow after its start.
func (w *worker) isCold(now int64) bool {
	return w.ColdRemaining.Milliseconds() > now-w.lastReportAt
}
