package dispatch

import (
	"context"
	"maps"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// batchDelay lets ends and submissions that arrive close together share one synced
	// write.
	batchDelay = 15 * time.Millisecond
	// cycleInterval is the longest time between cycles, for work that becomes due by time.
	cycleInterval = 100 * time.Millisecond
	// proposeTimeout bounds the wait for a commit. After it, the replicated state tells the
	// outcome.
	proposeTimeout  = 2 * time.Second
	pruneIntervalMS = 5000
	// maxDuePerCycle bounds the occurrences of repeated jobs that begin in one cycle. A job
	// whose first occurrence is long past has all of them due at once.
	maxDuePerCycle = 500
	// maxStartsPerCycle bounds the work of a cycle. After a change of leader or the loss of a
	// data centre thousands of runs start or end at once.
	maxStartsPerCycle = 1000
	maxEndsPerCommand = 2000
	// maxBatchBytes bounds a command: a larger one would keep the log from its heartbeats.
	// maxGroupBytes bounds what belongs together in one command, which the log refuses from 3 MiB
	// on.
	maxBatchBytes = 256 << 10
	maxGroupBytes = 2 << 20
	// maxEndBytesPerCommand bounds the text of the ends in one command. One end has at most
	// maxCheckpointBytes and maxNameBytes more.
	maxEndBytesPerCommand = 1 << 20
)

// Run plans and dispatches in cycles until ctx ends, and returns nil then. Cycles do
// nothing while another store leads.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.provider != nil {
		go d.pollMachines(ctx)
	}
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wakeup:
		case <-ticker.C:
		}
		d.runCycle(ctx)
		if !wait.For(ctx, batchDelay) {
			return nil
		}
	}
}

// runCycle runs one cycle. A panic in it costs what this leadership knows of the workers,
// which they report again, and not the process: each later leader would meet the same job or
// report. Leases of workers count as extended until now, as after a change of leader.
func (d *Dispatcher) runCycle(ctx context.Context) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		d.meters.panics.Inc(1)
		d.logger.Error().Interface("panic", value).Bytes("stack", debug.Stack()).Msg("dispatch cycle panicked; workers register again")
		d.mu.Lock()
		defer d.mu.Unlock()
		d.reset(d.term, int64(d.log.Now()))
	}()
	d.cycle(ctx)
}

// cycle records the runs that have ended, plans on the resulting state, and releases the
// heartbeats that wait for the result.
func (d *Dispatcher) cycle(ctx context.Context) {
	start := time.Now()
	c, err := d.beginCycle()
	if err != nil {
		return
	}
	upTo := c.upTo
	if !d.recordEnds(ctx, c) {
		return
	}
	d.markRecorded(upTo)
	progress, stops := d.plan(int64(d.log.Now()))
	if progress != nil && d.commitPlan(ctx, progress) {
		d.logPlacement(progress, stops, c.now)
	}
	d.releaseHeldReports(upTo, progress)
	d.meters.cycles.UpdateSince(start)
}

// cycleStart is what a cycle begins with: the cluster time, the term, and the result of
// collectEnds.
type cycleStart struct {
	now  int64
	term uint64
	ends []workload.End
	upTo map[*worker]int64
}

// beginCycle returns a NotLeaderError while another store leads.
func (d *Dispatcher) beginCycle() (cycleStart, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil {
		return cycleStart{}, err
	}
	d.replaceSilent(now)
	c := cycleStart{now: now, term: d.term}
	c.ends, c.upTo = d.collectEnds(now)
	return c, nil
}

// commitPlan commits a plan in commands of bounded size, and returns false unless all of them are
// known to be committed. A command that the log refuses does not keep back the others, which
// belong to other steps.
func (d *Dispatcher) commitPlan(ctx context.Context, p *workload.Progress) bool {
	var batches []*workload.Progress
	var tooLarge []workload.TaskRef
	d.log.Read(func(s *fleet.State) { batches, tooLarge = p.Split(s.Workload, maxBatchBytes, maxGroupBytes) })
	for _, ref := range tooLarge {
		d.sampledLog.Error().Str("job", ref.Job).Int("occurrence", ref.Occurrence).Int("step", ref.Step).Int("max_bytes", maxGroupBytes).
			Msg("gang does not start, its starts exceed the largest command")
	}
	all := true
	for _, batch := range batches {
		err := d.tryPropose(ctx, batch)
		if err != nil && !errors.Is(err, fleet.ErrCommand) {
			return false
		}
		all = all && err == nil
	}
	return all
}

// propose commits a batch to the fleet log. It returns false unless the batch is known to
// be committed.
func (d *Dispatcher) propose(ctx context.Context, p *workload.Progress) bool {
	return d.tryPropose(ctx, p) == nil
}

// tryPropose commits a batch to the fleet log, with the errors of fleet.ProposeWorkload.
func (d *Dispatcher) tryPropose(ctx context.Context, p *workload.Progress) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := fleet.ProposeWorkload(ctx, d.log, &workload.Command{Progress: p})
	if err != nil {
		d.logger.Warn().Err(err).Int("ends", len(p.Ends)).Int("starts", len(p.Starts)).Int("stops", len(p.Stops)).
			Msg("commit of task progress failed or has an unknown outcome")
	}
	return err
}

// isLost reports whether the incarnation can't be running anything any more: it has ended
// or its lease has expired.
func (d *Dispatcher) isLost(incarnation workload.WorkerIncarnation, machine string, now int64) bool {
	if d.hasEnded(incarnation, machine) {
		return true
	}
	if w, ok := d.workers[incarnation]; ok {
		return now > w.leaseExpiresAt
	}
	return now > d.leadingSince+d.leaseBoundMS()
}

// hasEnded reports whether the incarnation is known to have ended. One that never reported
// to this leader has ended when a later one reports with its identifier or from its machine.
func (d *Dispatcher) hasEnded(incarnation workload.WorkerIncarnation, machine string) bool {
	if w, ok := d.workers[incarnation]; ok {
		return w.terminated
	}
	if d.terminatedUnseen[incarnation] {
		return true
	}
	if current, known := d.byID[incarnation.ID]; known && current.Born > incarnation.Born {
		return true
	}
	current, known := d.byMachine[machine]
	return known && current.Born > incarnation.Born
}

// plan returns the occurrences that are due and the runs to start and stop, or nil when
// there is nothing to commit. It also returns why runs are to stop.
func (d *Dispatcher) plan(now int64) (*workload.Progress, []stopDecision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.checkLeadership(); err != nil {
		return nil, nil
	}
	p := &workload.Progress{}
	var stops []stopDecision
	var stallChanges []stallChange
	if now-d.prunedAt > pruneIntervalMS {
		d.prunedAt = now
		p.PruneBefore = now - d.settings.JobRetention.Milliseconds()
	}
	d.log.Read(func(s *fleet.State) {
		if p.PruneBefore != 0 {
			d.pruneRecords(s.Workload)
		}
		p.ForgetRunTimes = !d.learnsRunTimes() && !s.Workload.RunTimes.Empty()
		p.Due = d.dueOccurrences(s.Workload, now)
		gate := d.newInterruptions(s.Workload, now)
		stops = d.runsToStop(s.Workload, gate, now)
		p.Withdrawn = d.stopsToWithdraw(s.Workload, now)
		p.Cleared = d.clearedRuns(s.Workload)
		p.Started = d.startedRuns(s.Workload)
		d.updateLiveWorkers(s.Workload, now)
		d.updateIdleTimes(s.Workload, now)
		d.rebalance(s.Workload, now)
		d.followEvacuations(s.Workload, now)
		workers := d.availableWorkers(s.Workload, now)
		plan, room := taskplan.ComputeWithRoom(d.planInput(s.Workload, workers, now))
		p.Starts = plan.Starts
		stops = append(stops, d.evacuationStops(s.Workload, gate, room, now)...)
		p.Stops, p.Inactive = stopsOf(stops), gate.Inactive()
		if plan.Truncated {
			d.Wake()
		}
		d.updateDemand(s.Workload, plan, now)
		d.reportOverloads(plan.Overloads)
		d.meters.learnedRuns.Update(int64(s.Workload.RunTimes.Records))
		d.requestAdvice(s.Workload, plan.NeedApproval, workers, now)
		stallChanges = d.checkStalls(s.Workload, workers, plan.NeedApproval, now)
	})
	d.logStalls(stallChanges, now)
	changes := len(p.Due)+len(p.Stops)+len(p.Withdrawn)+len(p.Cleared)+len(p.Starts) > 0 || p.PruneBefore > 0 || p.ForgetRunTimes
	if !changes && (len(p.Started) == 0 || now-d.confirmedAt < confirmIntervalMS) {
		return nil, nil
	}
	d.confirmedAt = now
	return p, stops
}

// planInput returns the input of a plan. The caller holds mu.
func (d *Dispatcher) planInput(s *workload.State, workers []taskplan.Worker, now int64) taskplan.Input {
	return taskplan.Input{
		State: s, NowMS: now, Workers: workers,
		Approvals: d.approvals.validTickets(now), Avoid: d.avoidFunc(now), MaxStarts: maxStartsPerCycle,
		IncomingMilli: d.incomingMilli(s, now), ByDeadline: d.settings.Planning.OverloadOrder == settings.OrderByDeadline,
	}
}

// pruneRecords removes the records of tasks and steps whose job has ended and of incarnations that
// occupy nothing.
func (d *Dispatcher) pruneRecords(s *workload.State) {
	maps.DeleteFunc(d.failedOn, func(ref workload.TaskRef, _ map[string]bool) bool { return s.Active()[ref.Job] == nil })
	maps.DeleteFunc(d.approvals.steps, func(ref taskplan.StepRef, _ *stepApprovals) bool { return s.Active()[ref.Job] == nil })
	unused := func(incarnation workload.WorkerIncarnation) bool { return len(s.RunsOn(incarnation)) == 0 }
	maps.DeleteFunc(d.terminatedUnseen, func(incarnation workload.WorkerIncarnation, _ bool) bool { return unused(incarnation) })
	maps.DeleteFunc(d.declaredLost, func(incarnation workload.WorkerIncarnation, _ map[workload.Run]bool) bool { return unused(incarnation) })
	maps.DeleteFunc(d.missingLists, func(incarnation workload.WorkerIncarnation, _ int) bool { return unused(incarnation) })
}

// dueOccurrences returns the occurrences of repeated jobs that are due by the wall clock
// and have not begun, at most maxDuePerCycle of them. Those of one job begin in order.
// DueAt is cluster time.
func (d *Dispatcher) dueOccurrences(s *workload.State, now int64) []workload.DueOccurrence {
	var due []workload.DueOccurrence
	wall := time.Now().UnixMilli()
	for id, j := range s.Active() {
		for k := j.Finished; k < j.Repetitions; k++ {
			at := j.FirstRunMS + int64(k)*j.IntervalMS
			if at > wall {
				break
			}
			if _, begun := j.Occurrences[k]; begun {
				continue
			}
			if len(due) == maxDuePerCycle {
				return due
			}
			due = append(due, workload.DueOccurrence{Job: id, Occurrence: k, DueAt: now + at - wall})
		}
	}
	return due
}

// updateLiveWorkers counts the live workers and removes the records of terminated
// incarnations that are no longer needed.
func (d *Dispatcher) updateLiveWorkers(s *workload.State, now int64) {
	d.liveWorkers = 0
	for incarnation, w := range d.workers {
		switch {
		case w.isLive(now):
			d.liveWorkers++
		case w.terminated && now-w.lastReportAt > incarnationRetentionMS && len(s.RunsOn(incarnation)) == 0 && d.byID[incarnation.ID] != incarnation:
			delete(d.workers, incarnation)
		}
	}
}

// availableWorkers returns the workers that may get new tasks.
func (d *Dispatcher) availableWorkers(s *workload.State, now int64) []taskplan.Worker {
	var out []taskplan.Worker
	for incarnation, w := range d.workers {
		_, inTransfer := d.transfers[w.Machine]
		if w.Draining || !w.isLive(now) || w.predecessor != nil || w.mayHaveEndedAt != 0 || inTransfer || d.maintenance.isReserved(w.Machine, now) || s.Evacuated(w.DataCentre) {
			continue
		}
		out = append(out, taskplan.Worker{
			Incarnation: incarnation, Machine: w.Machine, Pool: w.Pool, Rack: w.Rack, DataCentre: w.DataCentre, Labels: w.Labels,
			Capacity: w.Capacity, MaxStarts: w.newTaskLimit(s, now), Emptying: d.emptying[w.Machine],
		})
	}
	return out
}

// avoidFunc returns the function that reports whether the planner should prefer other workers
// for a task: it failed there, or the worker is cold.
func (d *Dispatcher) avoidFunc(now int64) func(workload.TaskRef, workload.WorkerIncarnation) bool {
	cold := map[workload.WorkerIncarnation]bool{}
	for incarnation, w := range d.workers {
		if w.isCold(now) {
			cold[incarnation] = true
		}
	}
	return func(ref workload.TaskRef, incarnation workload.WorkerIncarnation) bool {
		return cold[incarnation] || d.failedOn[ref][incarnation.ID]
	}
}

// releaseHeldReports ends the hold of heartbeats whose ended runs are recorded or whose
// workers have new start orders.
func (d *Dispatcher) releaseHeldReports(upTo map[*worker]int64, p *workload.Progress) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w := range upTo {
		w.notify()
	}
	if p == nil {
		return
	}
	for _, s := range p.Starts {
		if w, ok := d.workers[s.Worker]; ok {
			w.notify()
		}
	}
}
