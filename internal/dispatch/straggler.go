package dispatch

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// moveCostMS is what a run loses by moving: the stop, two commits and the start.
	moveCostMS = 500
	// minDoneSiblings is the number of completed tasks of a step from which their median
	// run time is used.
	minDoneSiblings = 3
	// A run that still needs more than siblingFactor times that median is moved.
	siblingFactor = 2
	// slowSpeedPercent is the speed, in percent of the median of its pool, below which a
	// run is slow. Tasks vary by half; slow workers take at least 4 times as long. A step is
	// slow on a worker if slowRunsPercent of its runs are, and a worker if as many of its steps
	// are.
	slowSpeedPercent = 45
	slowRunsPercent  = 75
	// minRunsForSpeed is the least number of measured runs for the speed of a worker,
	// minStepsForSpeed that of slow steps of which no runs are measured elsewhere, and
	// minWorkersForMedian the least number of such workers for the median of a pool.
	minRunsForSpeed     = 3
	minStepsForSpeed    = 3
	minWorkersForMedian = 3
	// slowPauseMS is how long a worker gets no new tasks after it was last found slow.
	slowPauseMS = 3000
	// A task whose run number has reached moveRunLimit is no longer moved for slowness.
	moveRunLimit = 4

	percent = 100
)

// stragglers returns the slow runs that would complete earlier on another worker, and marks
// slow workers.
//
// Some workers take several times as long for everything while their heartbeats arrive on
// time. The last task of a step delays the next step.
func (d *Dispatcher) stragglers(s *workload.State, now int64) []workload.Run {
	runs := map[string]map[*worker][]measuredRun{}
	for incarnation, w := range d.workers {
		if w.Draining || !w.isLive(now) {
			continue
		}
		if runs[w.Pool] == nil {
			runs[w.Pool] = map[*worker][]measuredRun{}
		}
		runs[w.Pool][w] = measuredRuns(s, incarnation, w)
	}
	var stops []workload.Run
	siblings := doneSiblings{}
	for _, onWorkers := range runs {
		speeds := newPoolSpeeds(onWorkers)
		for w, measured := range onWorkers {
			evidence := speeds.evidence(w)
			slow := evidence.isSlow()
			if slow {
				w.slowUntil = now + slowPauseMS
			}
			if evidence.isSound() {
				speeds.markLongTasks(w)
			}
			for _, r := range measured {
				elsewhereMS := r.expectedMS*percent/max(speeds.median, 1) + moveCostMS
				if slow && r.remainingMS > elsewhereMS || siblings.isBehind(s, r) && !w.progress[r.run].takesLong {
					stops = append(stops, d.moveRun(s, w, r)...)
				}
			}
		}
	}
	return stops
}

func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// doneSiblings holds, by step, the median run time of the completed tasks in milliseconds, or -1 if
// they are too few. It is computed once for each step: a step may have thousands of tasks.
type doneSiblings map[stepKey]int64

// isBehind reports whether the run still needs much longer than the completed tasks of its step
// took.
func (m doneSiblings) isBehind(s *workload.State, r measuredRun) bool {
	key := keyOf(r.run.Task)
	medianMS, known := m[key]
	if !known {
		var runTimes []int64
		for _, t := range s.Jobs[key.job].Occurrences[key.occurrence].Steps[key.step].Tasks {
			if t.Phase == workload.Done && t.Started() {
				runTimes = append(runTimes, t.EndedAt-t.StartedAt)
			}
		}
		medianMS = -1
		if len(runTimes) >= minDoneSiblings {
			medianMS = median(runTimes)
		}
		m[key] = medianMS
	}
	return medianMS >= 0 && r.remainingMS > siblingFactor*medianMS+moveCostMS
}

// moveRun returns the run as one to stop, so that its task starts on another worker, or nil
// if the task was started too often, or is a suspect that keeps its worker free.
func (d *Dispatcher) moveRun(s *workload.State, w *worker, r measuredRun) []workload.Run {
	if _, t, _ := s.Task(r.run.Task); t.Run >= moveRunLimit || t.Suspect() {
		return nil
	}
	d.logger.Info().Str("task", r.run.Task.String()).Int("run", r.run.Run).Str("worker", w.Incarnation.ID).
		Int64("speed_percent", r.speedPercent).Int64("left_ms", r.remainingMS).Bool("worker_slow", w.slowUntil > w.lastReportAt).Msg("slow run is moved")
	d.recordFailure(r.run.Task, w.Incarnation.ID)
	return []workload.Run{r.run}
}
