package dispatch

import (
	"context"
	"maps"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// batchDelay gathers ends and submissions into one synced write.
	batchDelay = 15 * time.Millisecond
	// cycleInterval is the longest time between cycles, for what comes due by time.
	cycleInterval = 100 * time.Millisecond
	// proposeTimeout bounds the wait for a commit; after it the outcome is read
	// from the state.
	proposeTimeout  = 2 * time.Second
	pruneIntervalMS = 5000
)

// Run decides in cycles until ctx ends.
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
		d.cycle(ctx)
		if !wait.For(ctx, batchDelay) {
			return nil
		}
	}
}

// cycle records the ends that arrived, then plans on the state that follows, and
// answers the heartbeats that wait for it.
func (d *Dispatcher) cycle(ctx context.Context) {
	start := time.Now()
	d.mu.Lock()
	now, err := d.checkLeadership()
	if err != nil {
		d.mu.Unlock()
		return
	}
	term := d.term
	ends, upTo := d.collectEnds(now)
	d.mu.Unlock()
	if len(ends) > 0 && !d.propose(ctx, &workload.Progress{Ends: ends}) {
		d.requeueEnds(term, ends)
		return
	}
	d.markRecorded(ends, upTo, now)
	progress := d.plan(now)
	if progress != nil && d.propose(ctx, progress) {
		d.logPlacement(progress, now)
	}
	d.releaseHeldReports(upTo, progress)
	d.meters.cycles.UpdateSince(start)
}

// propose commits a batch. It reports false when the batch may not be committed.
func (d *Dispatcher) propose(ctx context.Context, p *workload.Progress) bool {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, err := fleet.ProposeWorkload(ctx, d.log, &workload.Command{Progress: p})
	if err != nil {
		d.logger.Warn().Err(err).Int("ends", len(p.Ends)).Int("starts", len(p.Starts)).Int("stops", len(p.Stops)).
			Msg("progress of tasks is not known to be committed")
	}
	return err == nil
}

// collectEnds returns the ends that arrived and the runs that are lost, and for each
// worker the number up to which its ends are among them. The caller holds mu.
func (d *Dispatcher) collectEnds(now int64) ([]workload.End, map[*worker]int64) {
	var ends []workload.End
	upTo := map[*worker]int64{}
	for _, w := range d.workers {
		if len(w.pendingEnds) > 0 || w.recordedEnd < w.queuedEnd {
			ends = append(ends, w.pendingEnds...)
			upTo[w] = w.queuedEnd
			w.pendingEnds = nil
		}
	}
	var abandoned []workload.End
	d.log.Read(func(s *fleet.State) {
		hearsMajority := d.hearsMajority(s.Workload, now)
		for incarnation, runs := range s.Workload.OccupiedLives() {
			if !d.isLost(incarnation, now) {
				if w, ok := d.workers[incarnation]; ok && now-w.lastReportAt > heartbeatTimeoutMS {
					ends = append(ends, w.revokeUnsent(s.Workload, d.leadingSince)...)
				}
				if hearsMajority {
					abandoned = append(abandoned, d.abandonedRuns(s.Workload, incarnation, now)...)
				}
				continue
			}
			for ref, p := range runs {
				ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: incarnation, Outcome: workload.OutcomeLost})
			}
		}
	})
	d.logAbandoned(abandoned)
	return append(ends, abandoned...), upTo
}

// isLost tells whether nothing runs on the life any more.
func (d *Dispatcher) isLost(incarnation workload.WorkerLife, now int64) bool {
	w, ok := d.workers[incarnation]
	if !ok {
		if d.terminatedUnseen[incarnation] {
			return true
		}
		if current, known := d.byID[incarnation.ID]; known && current.Born > incarnation.Born {
			return true
		}
		return now > d.leadingSince+d.leaseBoundMS()
	}
	return w.terminated || now > w.leaseExpiresAt
}

// requeueEnds keeps ends whose batch may not be committed for the next cycle.
// Applying an end twice changes nothing.
func (d *Dispatcher) requeueEnds(term uint64, ends []workload.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term {
		return
	}
	for _, e := range ends {
		if w, ok := d.workers[e.Worker]; ok && e.Outcome != workload.OutcomeLost && e.Outcome != workload.OutcomeAbandoned {
			w.pendingEnds = append(w.pendingEnds, e)
		}
	}
}

// markRecorded takes note of committed ends.
func (d *Dispatcher) markRecorded(ends []workload.End, upTo map[*worker]int64, now int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w, number := range upTo {
		w.recordedEnd = max(w.recordedEnd, number)
	}
	for _, e := range ends {
		if e.Outcome == workload.OutcomeAbandoned {
			continue
		}
		d.meters.ends.Inc(1)
		d.logEnd(e)
		if e.Outcome == workload.OutcomeFailed {
			d.recordFailure(e.Task, e.Worker.ID)
		}
		if w, ok := d.workers[e.Worker]; ok {
			w.health.recordEnd(e, now)
		}
	}
	d.log.Read(func(s *fleet.State) {
		d.recordRunTimes(s.Workload, ends)
		d.logFinished(s.Workload, ends, now)
	})
}

// recordRunTimes learns from the runs that are done.
func (d *Dispatcher) recordRunTimes(s *workload.State, ends []workload.End) {
	for _, e := range ends {
		j, t, ok := s.Task(e.Task)
		if !ok || e.Outcome != workload.OutcomeDone || t.Run != e.Run || e.Task.Step >= len(j.Steps) {
			continue
		}
		d.estimates.record(s.PoolOf(j), j.Steps[e.Task.Step].EstimatedMS, t.EndedAt-t.PlacedAt)
	}
}

func (d *Dispatcher) logEnd(e workload.End) {
	if e.Outcome == workload.OutcomeLost {
		d.meters.lost.Inc(1)
	}
	event := d.logger.Debug()
	if e.Outcome != workload.OutcomeDone && e.Outcome != workload.OutcomeStopped {
		event = d.logger.Info()
	}
	event.Str("task", e.Task.String()).Int("run", e.Run).Str("worker", e.Worker.ID).
		Str("outcome", e.Outcome.String()).Msg("run ended")
}

// recordFailure keeps the task from the worker on which it failed or stood still.
func (d *Dispatcher) recordFailure(ref workload.TaskRef, worker string) {
	if d.failedOn[ref] == nil {
		d.failedOn[ref] = map[string]bool{}
	}
	d.failedOn[ref][worker] = true
}

// plan returns what should start and stop, or nil.
func (d *Dispatcher) plan(now int64) *workload.Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.checkLeadership(); err != nil {
		return nil
	}
	p := &workload.Progress{}
	if now-d.prunedAt > pruneIntervalMS {
		d.prunedAt = now
		p.Prune = now - d.settings.JobRetention.Milliseconds()
	}
	d.log.Read(func(s *fleet.State) {
		if p.Prune != 0 {
			d.pruneRecords(s.Workload)
		}
		p.Due = d.dueOccurrences(s.Workload, now)
		p.Stops = d.runsToStop(s.Workload, now)
		d.updateLiveWorkers(s.Workload, now)
		d.updateIdleTimes(s.Workload, now)
		d.rebalance(s.Workload, now)
		workers := d.availableWorkers(s.Workload, now)
		plan := taskplan.Make(taskplan.Input{
			State: s.Workload, NowMS: now, Workers: workers,
			Approvals: d.approvals.validTickets(now), Avoid: d.avoids,
		})
		p.Starts = plan.Starts
		d.updateDemand(s.Workload, plan, now)
		d.requestAdvice(s.Workload, plan.NeedAdvice, workers, now)
	})
	if len(p.Due)+len(p.Stops)+len(p.Starts) == 0 && p.Prune <= 0 {
		return nil
	}
	return p
}

// pruneRecords drops what is known of tasks whose job has ended and of lives that
// occupy nothing any more.
func (d *Dispatcher) pruneRecords(s *workload.State) {
	maps.DeleteFunc(d.failedOn, func(ref workload.TaskRef, _ map[string]bool) bool { return s.Active()[ref.Job] == nil })
	unused := func(incarnation workload.WorkerLife) bool { return len(s.Occupied(incarnation)) == 0 }
	maps.DeleteFunc(d.terminatedUnseen, func(incarnation workload.WorkerLife, _ bool) bool { return unused(incarnation) })
	maps.DeleteFunc(d.missingLists, func(incarnation workload.WorkerLife, _ int) bool { return unused(incarnation) })
}

// dueOccurrences returns the occurrences of repeated jobs whose time has come by the wall clock.
func (d *Dispatcher) dueOccurrences(s *workload.State, now int64) []workload.Due {
	var due []workload.Due
	wall := time.Now().UnixMilli()
	for id, j := range s.Active() {
		for k := j.Finished; k < j.Repetitions; k++ {
			at := j.FirstRunMS + int64(k)*j.IntervalMS
			if at > wall {
				break
			}
			if _, begun := j.Occurrences[k]; !begun {
				due = append(due, workload.Due{Job: id, Occurrence: k, DueAt: now + at - wall})
			}
		}
	}
	return due
}

// updateLiveWorkers counts the workers that report, and forgets lives that are over.
func (d *Dispatcher) updateLiveWorkers(s *workload.State, now int64) {
	d.liveWorkers = 0
	for incarnation, w := range d.workers {
		switch {
		case w.isLive(now):
			d.liveWorkers++
		case w.terminated && now-w.lastReportAt > incarnationRetentionMS && len(s.Occupied(incarnation)) == 0 && d.byID[incarnation.ID] != incarnation:
			delete(d.workers, incarnation)
		}
	}
}

// availableWorkers returns the workers that may take new tasks.
func (d *Dispatcher) availableWorkers(s *workload.State, now int64) []taskplan.Worker {
	var out []taskplan.Worker
	for incarnation, w := range d.workers {
		_, inTransfer := d.transfers[w.Machine]
		if w.Draining || !w.isLive(now) || inTransfer || d.maintenance.isReserved(w.Machine, now) {
			continue
		}
		out = append(out, taskplan.Worker{
			Life: incarnation, Machine: w.Machine, Pool: w.Pool, Rack: w.Rack, DataCentre: w.DataCentre, Labels: w.Labels,
			Capacity: w.Capacity, Budget: w.newTaskLimit(now, len(s.Occupied(incarnation))),
		})
	}
	return out
}

func (d *Dispatcher) avoids(ref workload.TaskRef, incarnation workload.WorkerLife) bool {
	return d.failedOn[ref][incarnation.ID]
}

// releaseHeldReports ends the hold of the heartbeats whose ends are recorded or whose
// workers have new orders.
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
