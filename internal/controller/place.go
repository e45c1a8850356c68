package controller

import (
	"context"
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/share"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// place computes a placement plan and commits its assignments. Start orders
// follow from the committed assignments only.
func (c *Controller) place(ctx context.Context) error {
	c.mu.Lock()
	snap, first := c.snapshot()
	plan := placement.Plan{}
	if len(snap.Jobs) > 0 || c.throttled() {
		plan = placement.Compute(placement.Policy(c.opts.Policies[PolicyPlacement]), snap)
	}
	c.reserved = plan.Reservations
	c.mu.Unlock()
	c.act(plan.Preemptions)
	if len(plan.Assignments) == 0 {
		return nil
	}
	cmd := fleet.Command{Assign: &fleet.JobAssign{Assignments: plan.Assignments}}
	res, err := c.propose(ctx, "assign", cmd)
	if err != nil || res.Refusal != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range plan.Assignments {
		if _, refused := res.Rejected[i]; refused {
			continue
		}
		if team, ok := first[a.JobID]; ok {
			c.budget.First(team)
		}
	}
	return nil
}

// throttled reports whether a task is throttled, so that the throttle may be lifted.
func (c *Controller) throttled() bool {
	for _, w := range c.workers {
		for _, t := range w.state.Tasks {
			if t.State == wire.TaskThrottled {
				return true
			}
		}
	}
	return false
}

// act keeps the orders of a plan for running tasks until they take effect.
func (c *Controller) act(preemptions []placement.Preemption) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	c.log.Read(func(s *fleet.State) {
		for _, p := range preemptions {
			if j := s.Jobs[p.JobID]; j != nil && j.State == fleet.JobAssigned {
				c.order(j, p.Action, now)
			}
		}
		for id, a := range c.actions {
			j := s.Jobs[id]
			if j == nil || j.State != fleet.JobAssigned || j.Attempt != a.key.Attempt {
				delete(c.actions, id)
			}
		}
	})
}

// order notes an action for the present attempt of a job. A repeated action
// keeps its time, so that it can be overdue.
func (c *Controller) order(j *fleet.Job, kind placement.Action, now fleet.Time) {
	key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
	if a, ok := c.actions[j.ID]; ok && a.key == key && a.kind == kind {
		return
	}
	c.actions[j.ID] = action{key: key, kind: kind, since: now}
}

// snapshot builds the input of placement and the teams of the jobs that have had
// no attempt yet, and accounts for usage. The caller holds mu.
func (c *Controller) snapshot() (placement.Snapshot, map[string]string) {
	now := c.log.Now()
	snap := placement.Snapshot{Now: now, Reservations: c.reserved, Teams: map[string]placement.Team{}}
	first := map[string]string{}
	reported := c.reportedTasks()
	c.log.Read(func(s *fleet.State) {
		snap.Workers = c.placementWorkers(s, now)
		largest := largestByPool(snap.Workers)
		s.EachAssigned(func(j *fleet.Job) {
			snap.Tasks = append(snap.Tasks, c.placementTask(s, j, reported))
		})
		s.EachQueued(func(j *fleet.Job) {
			if late(j, now) || j.RetryNotBefore > now {
				return
			}
			snap.Jobs = append(snap.Jobs, c.placementJob(s, j, largest))
			if j.Attempt == 0 {
				first[j.ID] = j.Team
			}
		})
		for name, t := range s.Config.Teams {
			snap.Teams[name] = placement.Team{Limit: t.Limit, Units: s.Granted(name)}
		}
		c.account(s, &snap)
	})
	return snap, first
}

func (c *Controller) reportedTasks() map[wire.TaskKey]wire.TaskReport {
	tasks := map[wire.TaskKey]wire.TaskReport{}
	for _, w := range c.workers {
		for _, t := range w.state.Tasks {
			tasks[wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}] = t
		}
	}
	return tasks
}

func (c *Controller) placementWorkers(s *fleet.State, now fleet.Time) []placement.Worker {
	workers := make([]placement.Worker, 0, len(s.Config.Instances))
	for name, in := range s.Config.Instances {
		if in.Kind != fleet.KindWorker {
			continue
		}
		st := s.Status[name]
		w := c.workers[name]
		usable := w != nil && w.heard(now) && !w.state.Leaving && st.Seen && !st.Lost &&
			st.Phase == fleet.PhaseActive && st.QuarantinedUntil <= now &&
			st.Incarnation == w.state.Incarnation
		workers = append(workers, placement.Worker{
			Name: name, Incarnation: st.Incarnation, Pool: in.Pool, Rack: in.Rack,
			DataCentre: in.DataCentre, Capacity: st.Capacity, Usable: usable,
		})
	}
	return workers
}

func (c *Controller) placementTask(s *fleet.State, j *fleet.Job, reported map[wire.TaskKey]wire.TaskReport) placement.Task {
	t := placement.Task{
		JobID: j.ID, Worker: j.Worker, Team: j.Team, Queue: j.Queue,
		Class: s.Config.Queues[j.Queue].Class, Declared: j.Spec.Size,
		Idempotent:   j.Spec.Idempotent,
		NoCheckpoint: !j.Spec.Idempotent && !c.opts.ResumesCheckpoints,
		StartedAt:    j.AssignedAt,
	}
	key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
	t.Size = c.sizer.TaskSize(key, j.Spec.Size)
	t.Throttled = reported[key].State == wire.TaskThrottled
	a, ok := c.actions[j.ID]
	if !ok || a.key != key {
		return t
	}
	if a.kind == placement.ActionThrottle && t.Throttled {
		return t
	}
	t.Action, t.ActionSince = a.kind, a.since
	return t
}

// largestByPool returns the largest amount of each resource kind that one worker
// of a pool has.
func largestByPool(workers []placement.Worker) map[string]fleet.Resources {
	largest := map[string]fleet.Resources{}
	for _, w := range workers {
		l := largest[w.Pool]
		l.CPUMilli = max(l.CPUMilli, w.Capacity.CPUMilli)
		l.MemoryMiB = max(l.MemoryMiB, w.Capacity.MemoryMiB)
		largest[w.Pool] = l
	}
	return largest
}

// placementJob corrects the size of a job, but not beyond the largest worker,
// since it would then never start.
func (c *Controller) placementJob(s *fleet.State, j *fleet.Job, largest map[string]fleet.Resources) placement.Job {
	q := s.Config.Queues[j.Queue]
	size := c.sizer.JobSize(j.Team, j.Queue, j.Spec.Size)
	bound := largest[q.Pool]
	size.CPUMilli = min(size.CPUMilli, max(j.Spec.Size.CPUMilli, bound.CPUMilli))
	size.MemoryMiB = min(size.MemoryMiB, max(j.Spec.Size.MemoryMiB, bound.MemoryMiB))
	return placement.Job{
		ID: j.ID, Team: j.Team, Queue: j.Queue, Pool: q.Pool, Class: q.Class,
		Size: size, AcceptedAt: j.AcceptedAt, Avoid: slices.Clone(j.FailedOn),
	}
}

// account adds running jobs to the units of teams and to the usage history.
func (c *Controller) account(s *fleet.State, snap *placement.Snapshot) {
	usage := map[string]*share.Usage{}
	for name, t := range s.Config.Teams {
		usage[name] = &share.Usage{Team: name, Weight: t.Share}
	}
	for _, t := range snap.Tasks {
		team := snap.Teams[t.Team]
		team.Units++
		snap.Teams[t.Team] = team
		if u := usage[t.Team]; u != nil {
			u.Running = u.Running.Plus(t.Size)
			u.Jobs++
		}
	}
	for _, j := range snap.Jobs {
		if u := usage[j.Team]; u != nil {
			u.Waiting = snap.Teams[j.Team].Units < snap.Teams[j.Team].Limit
		}
	}
	var total fleet.Resources
	for _, w := range snap.Workers {
		if w.Usable {
			total = total.Plus(w.Capacity)
		}
	}
	all := make([]share.Usage, 0, len(usage))
	for _, name := range sortedKeys(usage) {
		all = append(all, *usage[name])
	}
	c.shares.Advance(snap.Now, total, all)
	snap.Rank = c.shares.Ranking()
}
