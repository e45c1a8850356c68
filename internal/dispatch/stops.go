package dispatch

import (
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// stopCause is why the leader stops a run.
type stopCause string

// Causes of stops.
const (
	stopForMaintenance stopCause = "maintenance"
	stopForDrain       stopCause = "worker drains"
	stopWithheld       stopCause = "start withheld"
	stopStalled        stopCause = "no progress"
	stopSlow           stopCause = "slow"
	stopForEvacuation  stopCause = "evacuation"
)

// stopDecision is a stop to commit. away, budget and others describe the other tasks of a
// long-running step when the decision is taken.
type stopDecision struct {
	workload.Stop
	cause       stopCause
	worker      string
	longRunning bool
	budget      int
	away        int
	others      string
	reportAgeMS int64
}

// newInterruptions returns the gate that all stops of one cycle pass.
func (d *Dispatcher) newInterruptions(s *workload.State, now int64) *workload.Interruptions {
	return workload.NewInterruptions(s, func(ref workload.TaskRef, t *workload.Task) bool { return d.isFullyActive(ref, t, now) })
}

// admitStops returns the decisions for those of the stops that the gate admits.
func (d *Dispatcher) admitStops(s *workload.State, gate *workload.Interruptions, cause stopCause, stops []workload.Stop, now int64) []stopDecision {
	var decisions []stopDecision
	for _, stop := range stops {
		j, t, ok := s.Task(stop.Task)
		if !ok || !gate.Admit(stop) {
			continue
		}
		step := &j.Steps[stop.Task.Step]
		decision := stopDecision{
			Stop: stop, cause: cause, worker: t.Worker.ID, longRunning: step.LongRunning, budget: step.InterruptionBudget(),
			reportAgeMS: d.reportAgeMS(t.Worker, now),
		}
		if step.LongRunning {
			decision.away, decision.others = gate.OthersAway(stop.Task), d.describeInactive(s, stop.Task, now)
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

func stopsOf(decisions []stopDecision) []workload.Stop {
	stops := make([]workload.Stop, 0, len(decisions))
	for i := range decisions {
		stops = append(stops, decisions[i].Stop)
	}
	return stops
}

// unforced returns stops that the budgets of their steps may refuse.
func unforced(runs []workload.Run) []workload.Stop {
	stops := make([]workload.Stop, 0, len(runs))
	for _, run := range runs {
		stops = append(stops, workload.Stop{Run: run})
	}
	return stops
}

// logStops logs a line for each committed stop, also of those that the state has refused.
func (d *Dispatcher) logStops(s *workload.State, decisions []stopDecision) {
	for i := range decisions {
		decision := &decisions[i]
		event := d.logger.Info().Str("task", decision.Task.String()).Int("run", decision.Run.Run).Str("worker", decision.worker).
			Str("cause", string(decision.cause)).Int64("report_age_ms", decision.reportAgeMS)
		if decision.longRunning {
			event = event.Bool("forced", decision.Forced).Int("budget", decision.budget).Int("away", decision.away).Str("others", decision.others)
		}
		if _, t, ok := s.Task(decision.Task); ok && t.Run == decision.Run.Run && t.Phase == workload.Placed {
			event.Msg("stop of a run is refused, the budget of its step was spent in between")
			continue
		}
		event.Msg("run is stopped")
	}
}

// logMachineRuns begins a log line about an order that ends everything on a machine, with what its
// worker ran by the last report.
func (d *Dispatcher) logMachineRuns(machine string) *zerolog.Event {
	event := d.logger.Info().Str("machine", machine)
	if w, ok := d.workerOn(machine); ok {
		event = event.Str("worker", w.Incarnation.ID).Bool("terminated", w.terminated).Int("reported_runs", len(w.running)).Int64("reported_at", w.lastReportAt)
	}
	return event
}
