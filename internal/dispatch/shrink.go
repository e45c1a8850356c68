package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// withholdUnfitting returns the starts that fit the capacity of the last report. The
// capacity may have shrunk since the tasks were placed, and not every worker refuses what
// exceeds it. since is the start of this leadership.
//
// A start that was never sent is revoked, so that its task starts elsewhere. One that may
// have been sent is withheld: its run may be on its way, so it is stopped first.
func (w *worker) withholdUnfitting(s *workload.State, starts []StartOrder, since int64) []StartOrder {
	clear(w.withheld)
	free := w.freeCapacity(s, starts)
	fitting := starts[:0]
	for _, start := range starts {
		p := s.RunsOn(w.Incarnation)[start.Task]
		switch {
		case p.Occupies.Fits(free):
			free = free.Minus(p.Occupies)
			fitting = append(fitting, start)
		case w.mayHaveStarted(start.Run, p, since):
			w.withheld[start.Run] = true
		default:
			w.revoked[start.Run] = true
		}
	}
	return fitting
}

// freeCapacity returns the capacity that is free on the worker while none of the starts is
// carried out. Runs occupy it until the worker lists their end, also while they stop.
func (w *worker) freeCapacity(s *workload.State, starts []StartOrder) workload.Resources {
	pending := make(map[workload.Run]bool, len(starts))
	for _, start := range starts {
		pending[start.Run] = true
	}
	free := w.Capacity
	occupied := s.RunsOn(w.Incarnation)
	for ref, p := range occupied {
		run := workload.Run{Task: ref, Run: p.Run}
		if !pending[run] && !w.revoked[run] && !w.hasReportedEnd(run) {
			free = free.Minus(p.Occupies)
		}
	}
	for ref := range w.running {
		if _, counted := occupied[ref]; counted {
			continue
		}
		if j, _, ok := s.Task(ref); ok {
			free = free.Minus(j.Steps[ref.Step].Occupies())
		}
	}
	return free
}

// withheldRuns returns the stops of runs whose starts were withheld and that their workers don't
// report: they can't get to work.
//
// The first report of a worker to a new leader may be late, older than the start that an earlier
// leader sent, and doesn't show that the run isn't there. Runs of long-running tasks wait for later
// ones; other tasks start elsewhere at once, since their jobs are due.
func (d *Dispatcher) withheldRuns(s *workload.State) []workload.Stop {
	var stops []workload.Stop
	for incarnation, w := range d.workers {
		mayBeLate := w.lastReportAt-w.firstReportAt <= confirmUpMS
		for run := range w.withheld {
			p, placed := s.RunsOn(incarnation)[run.Task]
			if !placed || p.Run != run.Run || p.Stopping || w.running[run.Task].Run == run {
				continue
			}
			if !p.LongRunning || w.startSent[run] > 0 || !mayBeLate {
				stops = append(stops, workload.Stop{Run: run, Forced: true})
			}
		}
	}
	return stops
}
