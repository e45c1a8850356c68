package dispatch

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// logPlacement logs one line for each step whose tasks were placed, and the stopped runs.
func (d *Dispatcher) logPlacement(p *workload.Progress, stops []stopDecision, now int64) {
	placed := map[stepKey]int{}
	for _, s := range p.Starts {
		placed[keyOf(s.Task)]++
	}
	d.log.Read(func(s *fleet.State) {
		d.logStops(s.Workload, stops)
		for key, tasks := range placed {
			j, ok := s.Workload.Jobs[key.job]
			if !ok || j.Occurrences[key.occurrence] == nil {
				continue
			}
			since := now - j.Occurrences[key.occurrence].DueAt
			d.meters.delays.Update(time.Duration(since) * time.Millisecond)
			d.logger.Info().Str("job", key.job).Int("occurrence", key.occurrence).Int("step", key.step).Int("tasks", tasks).
				Int("waiting", j.Occurrences[key.occurrence].Steps[key.step].Waiting()).Int64("since_due_ms", since).
				Int64("objective_ms", j.ObjectiveMS).Uint64("term", d.term).Msg("tasks placed")
		}
	})
	for _, run := range p.Withdrawn {
		d.logger.Info().Str("task", run.Task.String()).Int("run", run.Run).Msg("stop is withdrawn, too many tasks of its step are away")
	}
}

// logAbandoned logs each run of which a copy may now start. It must not be called within a
// read of the fleet log.
func (d *Dispatcher) logAbandoned(ends []workload.End) {
	for _, e := range ends {
		d.logger.Info().Str("task", e.Task.String()).Int("run", e.Run).Str("worker", e.Worker.ID).
			Msg("worker of a speculative run is silent, a copy may start")
	}
}

// logFinished logs one line for each job that completed or failed by these ends, at the
// cluster time since or later.
func (d *Dispatcher) logFinished(s *workload.State, ends []workload.End, since int64) {
	seen := map[string]bool{}
	for _, e := range ends {
		j, ok := s.Jobs[e.Task.Job]
		if !ok || seen[j.ID] || !j.State.Final() || j.State == workload.JobCancelled || j.EndedAt < since {
			continue
		}
		seen[j.ID] = true
		d.logger.Info().Str("job", j.ID).Str("queue", s.QueueName(j)).Str("state", string(j.State)).
			Int64("took_ms", j.EndedAt-j.AcceptedAt).Int64("objective_ms", j.ObjectiveMS).Msg("job ended")
	}
}
