package controller

import (
	"context"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/maintenance"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/poolmove"
	"github.com/samphirefork/samphirefork/internal/retry"
	"github.com/samphirefork/samphirefork/internal/share"
)

// upkeep runs maintenance, evacuations, quarantines and pool moves when they are due.
func (c *Controller) upkeep(ctx context.Context) error {
	c.mu.Lock()
	now := c.log.Now()
	due := now.Sub(c.lastUpkeepAt) >= upkeepInterval
	if due {
		c.lastUpkeepAt = now
	}
	c.mu.Unlock()
	if !due {
		return nil
	}
	for _, step := range []func(context.Context) error{c.maintain, c.evacuate, c.quarantine, c.movePools} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// expire proposes the command that ends queued jobs past their deadline and removes
// expired records, if there are any. It also discards old entries kept in memory.
func (c *Controller) expire(ctx context.Context) error {
	c.mu.Lock()
	now := c.log.Now()
	due := now.Sub(c.lastExpireAt) >= expireInterval
	if due {
		c.lastExpireAt = now
		c.failureTracker.RemoveExpired(now)
		c.sizer.RemoveExpired(now)
		for key, at := range c.refusedOutcomes {
			if now.Sub(at) >= refusedOutcomeRetention {
				delete(c.refusedOutcomes, key)
			}
		}
	}
	checkDeadlines := now.Sub(c.lastDeadlineCheckAt) >= deadlineCheckInterval
	if checkDeadlines {
		c.lastDeadlineCheckAt = now
	}
	needed := false
	if checkDeadlines || due {
		c.log.Read(func(s *fleet.State) { needed = checkDeadlines && s.HasOverdueJob(now) || due && s.ExpireDue(now) })
	}
	c.mu.Unlock()
	if !needed {
		return nil
	}
	_, err := c.propose(ctx, "expire", fleet.Command{Expire: &fleet.Expire{}})
	return err
}

// maintain computes the next steps of the maintenance plans, sets the actions that evict
// tasks and commits the steps.
func (c *Controller) maintain(ctx context.Context) error {
	c.mu.Lock()
	now := c.log.Now()
	snap := maintenance.Snapshot{Now: now, Pools: map[string]fleet.Pool{}}
	waiting := map[string]string{}
	c.log.Read(func(s *fleet.State) {
		for name, p := range s.Plans {
			waiting[name] = p.WaitingFor
			snap.Plans = append(snap.Plans, p)
		}
		if len(snap.Plans) == 0 {
			return
		}
		for name, p := range s.Config.Pools {
			snap.Pools[name] = p
		}
		snap.Instances = c.maintenanceInstances(s, now)
	})
	if len(snap.Plans) == 0 {
		c.mu.Unlock()
		return nil
	}
	decision := maintenance.Compute(c.maintenancePolicy(), snap)
	for _, name := range decision.AbandonedDrains {
		if w := c.workers[name]; w != nil {
			w.drainAbandonedAt = now
		}
	}
	c.log.Read(func(s *fleet.State) { c.evict(s, decision.Evictions, now) })
	c.mu.Unlock()
	return c.commitPhases(ctx, decision, waiting)
}

// commitPhases commits the steps of a decision and the changed reasons for waiting.
func (c *Controller) commitPhases(ctx context.Context, decision maintenance.Decision, waiting map[string]string) error {
	changed := map[string]string{}
	for name, reason := range decision.Waiting {
		if waiting[name] != reason {
			changed[name] = reason
		}
	}
	if len(decision.Steps) == 0 && len(changed) == 0 {
		return nil
	}
	cmd := fleet.Command{Maintenance: &fleet.PhaseChange{Steps: decision.Steps, Waiting: changed}}
	_, err := c.propose(ctx, "maintenance", cmd)
	return err
}

// maintenanceInstances returns the declared instances as input of maintenance.
func (c *Controller) maintenanceInstances(s *fleet.State, now fleet.Time) []maintenance.Instance {
	instances := make([]maintenance.Instance, 0, len(s.Config.Instances))
	for name, in := range s.Config.Instances {
		st := s.Status[name]
		i := maintenance.Instance{
			Name: name, Pool: in.Pool, Rack: in.Rack, DataCentre: in.DataCentre,
			Backend: in.Kind == fleet.KindBackend,
			Phase:   st.Phase, PhaseSince: st.PhaseSince, Plan: st.Plan, Lost: st.Lost,
			Down: st.QuarantinedUntil > now || (in.Kind == fleet.KindWorker && !st.Seen) ||
				s.Config.Evacuated(in.DataCentre),
		}
		if w := c.workers[name]; w != nil {
			i.Healthy = w.reportsRecently(now)
			i.HealthySince = w.healthySince
			i.DrainAbandonedAt = w.drainAbandonedAt
			i.Rebooted = i.Healthy && st.Incarnation == w.state.Incarnation && st.Incarnation != st.RebootFrom
		}
		for _, j := range assignedJobs(s, name) {
			i.Tasks++
			if s.Config.Queues[j.Queue].Class == fleet.ClassWatch {
				i.WatchTasks++
			}
			if !j.Spec.Idempotent {
				i.NonIdempotentTasks++
			}
		}
		instances = append(instances, i)
	}
	return instances
}

// evict sets the actions that checkpoint or stop the tasks of draining instances.
func (c *Controller) evict(s *fleet.State, levels map[string]maintenance.EvictionLevel, now fleet.Time) {
	if len(levels) == 0 {
		return
	}
	for name, level := range levels {
		for _, j := range assignedJobs(s, name) {
			watch := s.Config.Queues[j.Queue].Class == fleet.ClassWatch
			nonIdempotent := !j.Spec.Idempotent
			switch {
			case level == maintenance.EvictWatchTasks && !watch:
			case nonIdempotent && !c.opts.ResumesCheckpoints:
			case level == maintenance.EvictByStop && !nonIdempotent:
				c.setAction(j, placement.ActionStop, now)
			default:
				c.setAction(j, placement.ActionCheckpoint, now)
			}
		}
	}
}

// quarantine commits the start and the end of quarantines of workers.
func (c *Controller) quarantine(ctx context.Context) error {
	if !c.attributesFailures() {
		return nil
	}
	pools := c.poolWorkers()
	c.mu.Lock()
	now := c.log.Now()
	var observe []fleet.Observation
	for _, pool := range sortedKeys(pools) {
		state := retry.PoolState{Workers: pools[pool]}
		c.log.Read(func(s *fleet.State) {
			for _, name := range pools[pool] {
				if s.Status[name].QuarantinedUntil > now {
					state.Quarantined = append(state.Quarantined, name)
				}
			}
		})
		for _, q := range c.failureTracker.DecideQuarantines(state, now) {
			observe = append(observe, fleet.Observation{Instance: q.Worker, QuarantineMS: max(-1, q.Duration.Milliseconds())})
		}
	}
	c.mu.Unlock()
	if len(observe) == 0 {
		return nil
	}
	_, err := c.propose(ctx, "quarantine", fleet.Command{Observe: &fleet.Observe{Observations: observe}})
	return err
}

// movePools commits the pool moves that are planned now.
func (c *Controller) movePools(ctx context.Context) error {
	c.mu.Lock()
	snap := poolmove.Snapshot{Now: c.log.Now()}
	c.log.Read(func(s *fleet.State) { snap.Pools = c.poolMovePools(s, snap.Now) })
	moves := c.poolMoves.Plan(snap)
	c.mu.Unlock()
	for _, m := range moves {
		res, err := c.propose(ctx, "move", fleet.Command{Move: &m})
		if err != nil {
			return err
		}
		if res.Refusal == nil {
			c.recordMove(m)
		}
	}
	return nil
}

// recordMove updates the balance of moves of both pools.
func (c *Controller) recordMove(m fleet.PoolMove) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.borrowedWorkers[m.To]++
	c.borrowedWorkers[m.From] = max(0, c.borrowedWorkers[m.From]-1)
}

// poolMovePools returns the pools as input of poolmove, sorted by name.
func (c *Controller) poolMovePools(s *fleet.State, now fleet.Time) []poolmove.Pool {
	pools := map[string]*poolmove.Pool{}
	capacity := map[string]fleet.Resources{}
	for name, p := range s.Config.Pools {
		pools[name] = &poolmove.Pool{
			Name: name, Spare: p.Spare, MaxUnavailable: p.MaxUnavailable, Borrowed: c.borrowedWorkers[name],
		}
	}
	members := map[string][]string{}
	for _, w := range c.placementWorkers(s, now) {
		// Workers of an evacuated data centre are missing capacity, for which other pools
		// make up, and no sign that their pool is in trouble.
		if s.Config.Evacuated(w.DataCentre) {
			continue
		}
		p := pools[w.Pool]
		members[w.Pool] = append(members[w.Pool], w.Name)
		if !w.Usable {
			p.Unavailable++
			continue
		}
		p.Usable++
		capacity[w.Pool] = capacity[w.Pool].Plus(w.Capacity)
		p.Workers = append(p.Workers, poolmove.Worker{
			Name: w.Name, Rack: w.Rack, DataCentre: w.DataCentre, Idle: len(s.AssignedTo(w.Name)) == 0,
		})
	}
	demand := demandByPool(s, now)
	out := make([]poolmove.Pool, 0, len(pools))
	for _, name := range sortedKeys(pools) {
		p := pools[name]
		p.FailureWave = c.failureTracker.FailuresCorrelated(members[name], now)
		p.Demand = share.Dominant(demand[name], capacity[name]) * float64(p.Usable)
		sortWorkers(p.Workers)
		out = append(out, *p)
	}
	return out
}

// demandByPool returns, for each pool, the total size of its running jobs and of the
// jobs that may start now.
func demandByPool(s *fleet.State, now fleet.Time) map[string]fleet.Resources {
	demand := map[string]fleet.Resources{}
	add := func(j *fleet.Job) {
		pool := s.Config.Queues[j.Queue].Pool
		demand[pool] = demand[pool].Plus(j.Spec.Size)
	}
	s.EachAssigned(add)
	s.EachQueued(func(j *fleet.Job) {
		if !deadlinePassed(j, now) && j.RetryNotBefore <= now {
			add(j)
		}
	})
	return demand
}
