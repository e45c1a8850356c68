package dispatch

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// judgeSpanMS is the time between two reports of a run from which its speed is
	// taken. Declared run times are too far off to judge by.
	judgeSpanMS = 400
	// restartMS is what a run loses by moving: the stop, two commits and the start.
	restartMS = 500
	// minSiblings is the number of tasks of a step that are done from which their
	// median length is used.
	minSiblings = 3
	// siblingFactor times that median is what a run must still need to be moved.
	siblingFactor = 2
	// slowSpeed is the speed, in percent of the median of its pool, below which a
	// worker is slow. Tasks differ by a half; slow workers take 4 times and longer.
	slowSpeed = 45
	// slowRuns and slowPeers are the least runs and workers for such a judgement.
	slowRuns  = 3
	slowPeers = 3
	// slowPauseMS is how long a worker stays marked after it was last seen slow.
	slowPauseMS = 3000
	// maxRuns bounds the runs of a task that are moved for slowness.
	maxRuns = 4
)

// pacedRun is a run whose speed is known.
type pacedRun struct {
	run workload.Run
	// perSecond is the progress in percent a second.
	perSecond int64
	leftMS    int64
}

// stragglers returns the slow runs that would be done earlier elsewhere, and marks
// slow workers.
//
// Load pattern: some workers take several times as long for all that they run,
// while their heartbeats are good; the last task of a step holds up the next one.
func (d *Dispatcher) stragglers(s *workload.State, now int64) []workload.Run {
	runs := map[*worker][]pacedRun{}
	speeds := map[string][]int64{}
	for life, w := range d.workers {
		if w.Draining || !w.reports(now) {
			continue
		}
		runs[w] = pacedRuns(s, life, w)
		if len(runs[w]) >= slowRuns {
			speeds[w.Pool] = append(speeds[w.Pool], meanSpeed(runs[w]))
		}
	}
	var stops []workload.Run
	for w, paced := range runs {
		usual := median(speeds[w.Pool])
		slow := len(paced) >= slowRuns && len(speeds[w.Pool]) >= slowPeers && meanSpeed(paced)*percent < slowSpeed*usual
		if slow {
			w.slowUntil = now + slowPauseMS
		}
		for _, r := range paced {
			if (slow && r.leftMS > percent*1000/max(usual, 1)+restartMS) || d.behindSiblings(s, r) {
				stops = append(stops, d.moveRun(s, w, r)...)
			}
		}
	}
	return stops
}

// pacedRuns returns the worker's runs that end by themselves and have been seen to
// advance for a while.
func pacedRuns(s *workload.State, life workload.WorkerLife, w *worker) []pacedRun {
	var out []pacedRun
	occupied := s.Occupied(life)
	for ref, r := range w.running {
		p, ok := occupied[ref]
		seen := w.progress[r.Run]
		span := w.heardAt - seen.firstAt
		if !ok || p.Run != r.Run.Run || p.Stopping || p.LongRunning || span < judgeSpanMS || r.Percent <= seen.firstPercent {
			continue
		}
		j, _, known := s.Task(ref)
		if !known || j.Steps[ref.Step].FillsIdle || j.Steps[ref.Step].Gang {
			continue
		}
		perSecond := max(int64(r.Percent-seen.firstPercent)*1000/span, 1)
		out = append(out, pacedRun{run: r.Run, perSecond: perSecond, leftMS: int64(percent-r.Percent) * 1000 / perSecond})
	}
	return out
}

func meanSpeed(runs []pacedRun) int64 {
	sum := int64(0)
	for _, r := range runs {
		sum += r.perSecond
	}
	return sum / int64(max(len(runs), 1))
}

func median(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// behindSiblings tells whether the run still needs much longer than the tasks of
// its step took that are done.
func (d *Dispatcher) behindSiblings(s *workload.State, r pacedRun) bool {
	j := s.Jobs[r.run.Task.Job]
	var lengths []int64
	for _, t := range j.Occurrences[r.run.Task.Occurrence].Steps[r.run.Task.Step].Tasks {
		if t.Phase == workload.Done {
			lengths = append(lengths, t.EndedAt-t.PlacedAt)
		}
	}
	return len(lengths) >= minSiblings && r.leftMS > siblingFactor*median(lengths)+restartMS
}

// moveRun stops a run, so that its task starts on another worker.
func (d *Dispatcher) moveRun(s *workload.State, w *worker, r pacedRun) []workload.Run {
	if _, t, _ := s.Task(r.run.Task); t.Run >= maxRuns {
		return nil
	}
	d.logger.Info().Str("task", r.run.Task.String()).Int("run", r.run.Run).Str("worker", w.Incarnation.ID).
		Int64("percent_a_second", r.perSecond).Int64("left_ms", r.leftMS).Bool("worker_slow", w.slowUntil > 0).Msg("slow run is moved")
	d.noteFailure(r.run.Task, w.Incarnation.ID)
	return []workload.Run{r.run}
}
