package dispatch

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// minSpeedSpanMS is the shortest time between the first and the last report of a run
	// from which its speed is computed. Declared run times are too inaccurate to compare
	// with.
	minSpeedSpanMS = 400
	// moveCostMS is what a run loses by moving: the stop, two commits and the start.
	moveCostMS = 500
	// minDoneSiblings is the number of completed tasks of a step from which their median
	// run time is used.
	minDoneSiblings = 3
	// A run that still needs more than siblingFactor times that median is moved.
	siblingFactor = 2
	// slowSpeedPercent is the speed, in percent of the median of its pool, below which a
	// worker is slow. Tasks vary by half; slow workers take at least 4 times as long.
	slowSpeedPercent = 45
	// minRunsForSpeed is the least number of measured runs for the speed of a worker, and
	// minWorkersForMedian the least number of such workers for the median of a pool.
	minRunsForSpeed     = 3
	minWorkersForMedian = 3
	// slowPauseMS is how long a worker gets no new tasks after it was last found slow.
	slowPauseMS = 3000
	// A task whose run number has reached moveRunLimit is no longer moved for slowness.
	moveRunLimit = 4

	percent = 100
)

// measuredRun is a run whose speed is known.
type measuredRun struct {
	run workload.Run
	// percentPerSecond is the progress in percent a second.
	percentPerSecond int64
	remainingMS      int64
}

// stragglers returns the slow runs that would complete earlier on another worker, and marks
// slow workers.
//
// Some workers take several times as long for everything while their heartbeats arrive on
// time. The last task of a step delays the next step.
func (d *Dispatcher) stragglers(s *workload.State, now int64) []workload.Run {
	runs := map[*worker][]measuredRun{}
	speeds := map[string][]int64{}
	for incarnation, w := range d.workers {
		if w.Draining || !w.isLive(now) {
			continue
		}
		runs[w] = measuredRuns(s, incarnation, w)
		if len(runs[w]) >= minRunsForSpeed {
			speeds[w.Pool] = append(speeds[w.Pool], meanSpeed(runs[w]))
		}
	}
	var stops []workload.Run
	for w, measured := range runs {
		medianSpeed := median(speeds[w.Pool])
		slow := len(measured) >= minRunsForSpeed && len(speeds[w.Pool]) >= minWorkersForMedian && meanSpeed(measured)*percent < slowSpeedPercent*medianSpeed
		if slow {
			w.slowUntil = now + slowPauseMS
		}
		for _, r := range measured {
			takesLong := w.takesLongItself(r, measured, medianSpeed)
			if (slow && r.remainingMS > percent*1000/max(medianSpeed, 1)+moveCostMS) || (d.behindSiblings(s, r) && !takesLong) {
				stops = append(stops, d.moveRun(s, w, r)...)
			}
		}
	}
	return stops
}

// measuredRuns returns the worker's runs that end by themselves and have made progress for
// long enough to measure it.
func measuredRuns(s *workload.State, incarnation workload.WorkerIncarnation, w *worker) []measuredRun {
	var out []measuredRun
	occupied := s.RunsOn(incarnation)
	for ref, r := range w.running {
		p, ok := occupied[ref]
		seen := w.progress[r.Run]
		span := w.lastReportAt - seen.firstAt
		if !ok || p.Run != r.Run.Run || p.Stopping || p.LongRunning || span < minSpeedSpanMS || r.Percent <= seen.firstPercent {
			continue
		}
		j, _, known := s.Task(ref)
		if !known || j.Steps[ref.Step].FillsIdle || j.Steps[ref.Step].Gang {
			continue
		}
		percentPerSecond := max(int64(r.Percent-seen.firstPercent)*1000/span, 1)
		out = append(out, measuredRun{run: r.Run, percentPerSecond: percentPerSecond, remainingMS: int64(percent-r.Percent) * 1000 / percentPerSecond})
	}
	return out
}

func meanSpeed(runs []measuredRun) int64 {
	sum := int64(0)
	for _, r := range runs {
		sum += r.percentPerSecond
	}
	return sum / int64(max(len(runs), 1))
}

// takesLongItself reports whether the run was seen to be slow while the other runs on its
// worker went at the speed of the pool. Then its task takes long on any worker.
func (w *worker) takesLongItself(r measuredRun, onWorker []measuredRun, medianSpeed int64) bool {
	seen := w.progress[r.run]
	others := int64(len(onWorker) - 1)
	if seen.takesLong || others < minRunsForSpeed-1 || r.percentPerSecond*percent >= slowSpeedPercent*medianSpeed {
		return seen.takesLong
	}
	speed := (meanSpeed(onWorker)*(others+1) - r.percentPerSecond) / others
	seen.takesLong = speed*percent >= slowSpeedPercent*medianSpeed
	w.progress[r.run] = seen
	return seen.takesLong
}

func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// behindSiblings reports whether the run still needs much longer than the completed tasks
// of its step took.
func (d *Dispatcher) behindSiblings(s *workload.State, r measuredRun) bool {
	j := s.Jobs[r.run.Task.Job]
	var runTimes []int64
	for _, t := range j.Occurrences[r.run.Task.Occurrence].Steps[r.run.Task.Step].Tasks {
		if t.Phase == workload.Done {
			runTimes = append(runTimes, t.EndedAt-t.PlacedAt)
		}
	}
	return len(runTimes) >= minDoneSiblings && r.remainingMS > siblingFactor*median(runTimes)+moveCostMS
}

// moveRun returns the run as one to stop, so that its task starts on another worker, or nil
// if the task was started too often.
func (d *Dispatcher) moveRun(s *workload.State, w *worker, r measuredRun) []workload.Run {
	if _, t, _ := s.Task(r.run.Task); t.Run >= moveRunLimit {
		return nil
	}
	d.logger.Info().Str("task", r.run.Task.String()).Int("run", r.run.Run).Str("worker", w.Incarnation.ID).
		Int64("percent_a_second", r.percentPerSecond).Int64("left_ms", r.remainingMS).Bool("worker_slow", w.slowUntil > 0).Msg("slow run is moved")
	d.recordFailure(r.run.Task, w.Incarnation.ID)
	return []workload.Run{r.run}
}
