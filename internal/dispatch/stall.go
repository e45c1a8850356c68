package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// stallTimeoutMS is the least time without progress after which a run counts as stalled. It
	// covers two heartbeats: a task of 2 s at an eighth of its speed still advances by one
	// percent in 160 ms, and restoring a checkpoint takes up to 600 ms.
	stallTimeoutMS = 1500
	// stallPercents is the progress, in percent, for which a stalled run has had the time at its usual
	// speed. Reports give whole percents, and workers may be several times slower than usual.
	stallPercents = 4
	// maxPatienceDoublings bounds the doublings of the timeout of a run that never made progress.
	maxPatienceDoublings = 8
)

// stalledRuns returns the stops of runs whose reports show no progress, and records a failure of
// their workers. A worker that sends no reports does not count as stalled.
func (d *Dispatcher) stalledRuns(s *workload.State, now int64) []workload.Stop {
	var stops []workload.Stop
	for incarnation, w := range d.workers {
		if !w.isLive(now) {
			continue
		}
		stalled := w.stalledRuns(s)
		for _, run := range stalled {
			last := w.progress[run]
			blamed := d.blamesWorker(w, run, len(stalled))
			d.logger.Info().Str("task", run.Task.String()).Int("run", run.Run).Str("worker", incarnation.ID).Int("percent", last.percent).
				Int64("unchanged_ms", w.lastReportAt-last.changedAt).Bool("worker_blamed", blamed).Msg("run makes no progress and is stopped")
			if blamed {
				d.blame(w, run.Task.Job, now)
			}
			d.recordFailure(run.Task, incarnation.ID)
			stops = append(stops, workload.Stop{Run: run, Forced: true})
		}
	}
	return stops
}

// stalledRuns returns the runs of the worker that have made no progress for longer than their timeout.
func (w *worker) stalledRuns(s *workload.State) []workload.Run {
	var stalled []workload.Run
	for ref, p := range s.RunsOn(w.Incarnation) {
		run := workload.Run{Task: ref, Run: p.Run}
		last, ok := w.progress[run]
		j, _, known := s.Task(ref)
		if !ok || !known || p.Stopping || last.percent >= fullPace {
			continue
		}
		step := &j.Steps[ref.Step]
		if step.FillsIdle || step.Gang {
			continue
		}
		if w.lastReportAt-last.changedAt >= last.stallTimeoutMS(p, s.ExpectedRun(j, ref.Step).MedianMS) {
			stalled = append(stalled, run)
		}
	}
	return stalled
}

// stallTimeoutMS returns the time without progress after which the run counts as stalled, given the
// expected run time of its task: the time of some percents, by what is expected and by what the run
// itself has shown.
//
// A run that has shown nothing yet may be that of a task that takes far longer than declared. It gets
// twice the time of the run before it.
func (p *runProgress) stallTimeoutMS(placed *workload.Placement, expectedMS int64) int64 {
	if placed.LongRunning {
		return stallTimeoutMS
	}
	perPercentMS := expectedMS / percent
	if p.percent > 0 && placed.StartedAt > 0 {
		perPercentMS = max(perPercentMS, (p.changedAt-placed.StartedAt)/int64(p.percent))
	}
	timeout := max(stallTimeoutMS, stallPercents*perPercentMS)
	if p.percent <= p.first.percent {
		timeout <<= min(max(placed.Run-1, 0), maxPatienceDoublings)
	}
	return timeout
}

// blamesWorker reports whether a stalled run shows a fault of its worker. It does not while another run
// makes progress there, or if the task has failed or stalled on another worker before. stalled is
// the number of stalled runs of the worker.
func (d *Dispatcher) blamesWorker(w *worker, run workload.Run, stalled int) bool {
	for other := range d.failedOn[run.Task] {
		if other != w.Incarnation.ID {
			return false
		}
	}
	moving := 0
	for _, p := range w.progress {
		if p.percent > p.first.percent && p.percent < fullPace && w.lastReportAt-p.changedAt < stallTimeoutMS {
			moving++
		}
	}
	return moving == 0 || stalled > moving
}
