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
	// cycleSpacing gathers ends and submissions into one synced write.
	cycleSpacing = 15 * time.Millisecond
	// cycleInterval is the longest time between cycles, for what comes due by time.
	cycleInterval = 100 * time.Millisecond
	// proposeTimeout bounds the wait for a commit; after it the outcome is read
	// from the state.
	proposeTimeout = 2 * time.Second
	pruneEveryMS   = 5000
)

// Run decides in cycles until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	if d.machines != nil {
		go d.follow(ctx)
	}
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.kick:
		case <-ticker.C:
		}
		d.cycle(ctx)
		if !wait.For(ctx, cycleSpacing) {
			return nil
		}
	}
}

// cycle records the ends that arrived, then plans on the state that follows, and
// answers the heartbeats that wait for it.
func (d *Dispatcher) cycle(ctx context.Context) {
	start := time.Now()
	d.mu.Lock()
	now, err := d.enter()
	if err != nil {
		d.mu.Unlock()
		return
	}
	term := d.term
	ends, upTo := d.takeEnds(now)
	d.mu.Unlock()
	if len(ends) > 0 && !d.propose(ctx, &workload.Progress{Ends: ends}) {
		d.requeue(term, ends)
		return
	}
	d.recorded(ends, upTo, now)
	progress := d.plan(now)
	if progress != nil && d.propose(ctx, progress) {
		d.logPlacement(progress, now)
	}
	d.answerWaiting(upTo, progress)
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

// takeEnds returns the ends that arrived and the runs that are lost, and for each
// worker the number up to which its ends are among them. The caller holds mu.
func (d *Dispatcher) takeEnds(now int64) ([]workload.End, map[*worker]int64) {
	var ends []workload.End
	upTo := map[*worker]int64{}
	for _, w := range d.workers {
		if len(w.ended) > 0 || w.recorded < w.queued {
			ends = append(ends, w.ended...)
			upTo[w] = w.queued
			w.ended = nil
		}
	}
	var abandoned []workload.End
	d.log.Read(func(s *fleet.State) {
		hearsMost := d.hearsMost(s.Workload, now)
		for life, runs := range s.Workload.OccupiedLives() {
			if !d.lost(life, now) {
				if w, ok := d.workers[life]; ok && now-w.heardAt > staleMS {
					ends = append(ends, w.revoke(s.Workload, d.since)...)
				}
				if hearsMost {
					abandoned = append(abandoned, d.abandon(s.Workload, life, now)...)
				}
				continue
			}
			for ref, p := range runs {
				ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: life, Outcome: workload.OutcomeLost})
			}
		}
	})
	d.logAbandoned(abandoned)
	return append(ends, abandoned...), upTo
}

// lost tells whether nothing runs on the life any more.
func (d *Dispatcher) lost(life workload.WorkerLife, now int64) bool {
	w, ok := d.workers[life]
	if !ok {
		if d.gone[life] {
			return true
		}
		if current, known := d.byID[life.ID]; known && current.Born > life.Born {
			return true
		}
		return now > d.since+d.leaseBoundMS()
	}
	return w.over || now > w.leaseUntil
}

// requeue keeps ends whose batch may not be committed for the next cycle.
// Applying an end twice changes nothing.
func (d *Dispatcher) requeue(term uint64, ends []workload.End) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term {
		return
	}
	for _, e := range ends {
		if w, ok := d.workers[e.Worker]; ok && e.Outcome != workload.OutcomeLost && e.Outcome != workload.OutcomeAbandoned {
			w.ended = append(w.ended, e)
		}
	}
}

// recorded takes note of committed ends.
func (d *Dispatcher) recorded(ends []workload.End, upTo map[*worker]int64, now int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for w, number := range upTo {
		w.recorded = max(w.recorded, number)
	}
	for _, e := range ends {
		if e.Outcome == workload.OutcomeAbandoned {
			continue
		}
		d.meters.ends.Inc(1)
		d.logEnd(e)
		if e.Outcome == workload.OutcomeFailed {
			d.noteFailure(e.Task, e.Worker.ID)
		}
		if w, ok := d.workers[e.Worker]; ok {
			w.health.note(e, now)
		}
	}
	d.log.Read(func(s *fleet.State) {
		d.noteRunTimes(s.Workload, ends)
		d.logFinished(s.Workload, ends, now)
	})
}

// noteRunTimes learns from the runs that are done.
func (d *Dispatcher) noteRunTimes(s *workload.State, ends []workload.End) {
	for _, e := range ends {
		j, t, ok := s.Task(e.Task)
		if !ok || e.Outcome != workload.OutcomeDone || t.Run != e.Run || e.Task.Step >= len(j.Steps) {
			continue
		}
		d.estimates.note(s.PoolOf(j), j.Steps[e.Task.Step].EstimatedMS, t.EndedAt-t.PlacedAt)
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

// noteFailure keeps the task from the worker on which it failed or stood still.
func (d *Dispatcher) noteFailure(ref workload.TaskRef, worker string) {
	if d.failedOn[ref] == nil {
		d.failedOn[ref] = map[string]bool{}
	}
	d.failedOn[ref][worker] = true
}

// plan returns what should start and stop, or nil.
func (d *Dispatcher) plan(now int64) *workload.Progress {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.enter(); err != nil {
		return nil
	}
	p := &workload.Progress{}
	if now-d.prunedAt > pruneEveryMS {
		d.prunedAt = now
		p.Prune = now - d.settings.JobRetention.Milliseconds()
	}
	d.log.Read(func(s *fleet.State) {
		if p.Prune != 0 {
			d.forgetEnded(s.Workload)
		}
		p.Due = d.due(s.Workload, now)
		p.Stops = d.stops(s.Workload, now)
		d.noteContact(s.Workload, now)
		d.noteIdle(s.Workload, now)
		d.rebalance(s.Workload, now)
		workers := d.usable(s.Workload, now)
		plan := taskplan.Make(taskplan.Input{
			State: s.Workload, NowMS: now, Workers: workers,
			Approvals: d.approvals.tickets(now), Avoid: d.avoids,
		})
		p.Starts = plan.Starts
		d.noteDemand(s.Workload, plan, now)
		d.seekAdvice(s.Workload, plan.NeedAdvice, workers, now)
	})
	if len(p.Due)+len(p.Stops)+len(p.Starts) == 0 && p.Prune <= 0 {
		return nil
	}
	return p
}

// forgetEnded drops what is known of tasks whose job has ended and of lives that
// occupy nothing any more.
func (d *Dispatcher) forgetEnded(s *workload.State) {
	maps.DeleteFunc(d.failedOn, func(ref workload.TaskRef, _ map[string]bool) bool { return s.Active()[ref.Job] == nil })
	unused := func(life workload.WorkerLife) bool { return len(s.Occupied(life)) == 0 }
	maps.DeleteFunc(d.gone, func(life workload.WorkerLife, _ bool) bool { return unused(life) })
	maps.DeleteFunc(d.absent, func(life workload.WorkerLife, _ int) bool { return unused(life) })
}

// due returns the occurrences of repeated jobs whose time has come by the wall clock.
func (d *Dispatcher) due(s *workload.State, now int64) []workload.Due {
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

// noteContact counts the workers that report, and forgets lives that are over.
func (d *Dispatcher) noteContact(s *workload.State, now int64) {
	d.inContact = 0
	for life, w := range d.workers {
		switch {
		case w.reports(now):
			d.inContact++
		case w.over && now-w.heardAt > forgetLifeMS && len(s.Occupied(life)) == 0 && d.byID[life.ID] != life:
			delete(d.workers, life)
		}
	}
}

// usable returns the workers that may take new tasks.
func (d *Dispatcher) usable(s *workload.State, now int64) []taskplan.Worker {
	var out []taskplan.Worker
	for life, w := range d.workers {
		_, lent := d.lending[w.Machine]
		if w.Draining || !w.reports(now) || lent || d.upkeep.reserved(w.Machine, now) {
			continue
		}
		out = append(out, taskplan.Worker{
			Life: life, Machine: w.Machine, Pool: w.Pool, Rack: w.Rack, DataCentre: w.DataCentre, Labels: w.Labels,
			Capacity: w.Capacity, Budget: w.budget(now, len(s.Occupied(life))),
		})
	}
	return out
}

func (d *Dispatcher) avoids(ref workload.TaskRef, life workload.WorkerLife) bool {
	return d.failedOn[ref][life.ID]
}

// answerWaiting ends the hold of the heartbeats whose ends are recorded or whose
// workers have new orders.
func (d *Dispatcher) answerWaiting(upTo map[*worker]int64, p *workload.Progress) {
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
