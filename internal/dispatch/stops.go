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

// stopDecision is a run to stop. inactive and others describe the other tasks of a long-running
// step that are not fully active when the decision is taken.
type stopDecision struct {
	workload.Run
	cause       stopCause
	worker      string
	longRunning bool
	budget      int
	inactive    int
	others      string
	reportAgeMS int64
}

// decideStops returns the decisions to stop runs for one cause.
func (d *Dispatcher) decideStops(s *workload.State, cause stopCause, runs []workload.Run, now int64) []stopDecision {
	decisions := make([]stopDecision, 0, len(runs))
	for _, run := range runs {
		decision := stopDecision{Run: run, cause: cause}
		if j, t, ok := s.Task(run.Task); ok {
			step := &j.Steps[run.Task.Step]
			decision.worker, decision.longRunning, decision.budget = t.Worker.ID, step.LongRunning, budgetOf(step)
			decision.reportAgeMS = d.reportAgeMS(t.Worker, now)
			if step.LongRunning {
				decision.inactive, decision.others = d.describeInactive(s, run.Task, now)
			}
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// budgetOf returns the number of tasks of a long-running step that may be interrupted at once.
func budgetOf(step *workload.Step) int { return max(step.MaxUnavailable, 1) }

func runsOf(decisions []stopDecision) []workload.Run {
	runs := make([]workload.Run, 0, len(decisions))
	for _, decision := range decisions {
		runs = append(runs, decision.Run)
	}
	return runs
}

// logStops logs a line for each run that is stopped.
func (d *Dispatcher) logStops(decisions []stopDecision) {
	for _, decision := range decisions {
		event := d.logger.Info().Str("task", decision.Task.String()).Int("run", decision.Run.Run).Str("worker", decision.worker).
			Str("cause", string(decision.cause)).Int64("report_age_ms", decision.reportAgeMS)
		if decision.longRunning {
			event = event.Int("budget", decision.budget).Int("inactive", decision.inactive).Str("others", decision.others)
		}
		event.Msg("run is stopped")
	}
}

// logStopOrder logs that a response tells a worker to stop a long-running task that it reports.
// It logs only the first response with the stop.
func (d *Dispatcher) logStopOrder(s *workload.State, w *worker, run workload.Run, now int64) {
	j, t, ok := s.Task(run.Task)
	if !ok || run.Task.Step >= len(j.Steps) || !j.Steps[run.Task.Step].LongRunning || w.stopLogged[run] {
		return
	}
	w.stopLogged[run] = true
	inactive, others := d.describeInactive(s, run.Task, now)
	d.logger.Info().Str("task", run.Task.String()).Int("run", run.Run).Str("worker", w.Incarnation.ID).Int("percent", w.running[run.Task].Percent).
		Bool("draining", w.Draining).Bool("cancelled", j.State.Final()).Bool("placed", t.Run == run.Run && t.Worker == w.Incarnation).Int("budget", budgetOf(&j.Steps[run.Task.Step])).Int("inactive", inactive).Str("others", others).Msg("stop is sent")
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
