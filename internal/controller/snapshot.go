package controller

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/share"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// snapshot returns the input of placement and the set of waiting jobs that have had no
// attempt yet, and adds the present usage to the shares of the teams. The input has
// only the workers and tasks of active pools, which are those with waiting jobs or
// throttled tasks. The caller holds mu.
func (c *Controller) snapshot() (placement.Snapshot, map[string]bool) {
	now := c.log.Now()
	snap := placement.Snapshot{Now: now, Reservations: c.reservations, Teams: map[string]placement.Team{}}
	firstAttempts := map[string]bool{}
	throttled := c.throttledTasks()
	c.log.Read(func(s *fleet.State) {
		workers := c.placementWorkers(s, now)
		active := c.addWaitingJobs(s, &snap, workers, firstAttempts)
		for key := range throttled {
			if j := s.Jobs[key.JobID]; j != nil {
				active[s.Config.Queues[j.Queue].Pool] = true
			}
		}
		for _, w := range workers {
			if active[w.Pool] {
				snap.Workers = append(snap.Workers, w)
			}
		}
		usage := c.addTeamsAndTasks(s, &snap, active, throttled)
		c.updateShares(&snap, usage, workers)
	})
	return snap, firstAttempts
}

// throttledTasks returns the attempts that workers report as throttled.
func (c *Controller) throttledTasks() map[wire.TaskKey]bool {
	tasks := map[wire.TaskKey]bool{}
	for _, w := range c.workers {
		for _, t := range w.state.Tasks {
			if t.State == wire.TaskThrottled {
				tasks[wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}] = true
			}
		}
	}
	return tasks
}

// addWaitingJobs adds the jobs that may start now to the snapshot, and those without
// an earlier attempt to firstAttempts. It returns the pools of the jobs.
func (c *Controller) addWaitingJobs(s *fleet.State, snap *placement.Snapshot, workers []placement.Worker, firstAttempts map[string]bool) map[string]bool {
	active := map[string]bool{}
	largest := maxCapacityByPool(workers)
	s.EachQueued(func(j *fleet.Job) {
		if deadlinePassed(j, snap.Now) || j.RetryNotBefore > snap.Now {
			return
		}
		job := c.placementJob(s, j, largest)
		snap.Jobs = append(snap.Jobs, job)
		active[job.Pool] = true
		if j.Attempt == 0 {
			firstAttempts[j.ID] = true
		}
	})
	return active
}

// addTeamsAndTasks adds all teams and the tasks of the active pools to the snapshot, and
// returns the usage of each team in all pools.
func (c *Controller) addTeamsAndTasks(s *fleet.State, snap *placement.Snapshot, active map[string]bool, throttled map[wire.TaskKey]bool) map[string]*share.Usage {
	usage := make(map[string]*share.Usage, len(s.Config.Teams))
	for name, t := range s.Config.Teams {
		running := s.Running(name)
		snap.Teams[name] = c.teamUnits(s, t, running)
		usage[name] = &share.Usage{Team: name, Weight: t.Share, Jobs: running}
	}
	s.EachAssigned(func(j *fleet.Job) {
		if u := usage[j.Team]; u != nil {
			key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
			u.Running = u.Running.Plus(c.sizer.TaskSize(key, j.Spec.Size))
		}
		if active[s.Config.Queues[j.Queue].Pool] {
			snap.Tasks = append(snap.Tasks, c.placementTask(s, j, throttled))
		}
	})
	return usage
}

// placementWorkers returns the declared workers and whether each may be given tasks.
func (c *Controller) placementWorkers(s *fleet.State, now fleet.Time) []placement.Worker {
	workers := make([]placement.Worker, 0, len(s.Config.Instances))
	for name, in := range s.Config.Instances {
		if in.Kind != fleet.KindWorker {
			continue
		}
		st := s.Status[name]
		w := c.workers[name]
		usable := w != nil && w.reportsRecently(now) && !w.state.Leaving && st.Seen && !st.Lost &&
			st.Phase == fleet.PhaseActive && st.QuarantinedUntil <= now &&
			st.Incarnation == w.state.Incarnation && !s.Config.Evacuated(in.DataCentre)
		workers = append(workers, placement.Worker{
			Name: name, Incarnation: st.Incarnation, Pool: in.Pool, Rack: in.Rack,
			DataCentre: in.DataCentre, Capacity: st.Capacity, Usable: usable,
		})
	}
	return workers
}

// placementTask returns an assigned job as a task, with its pending action. A throttle
// order that has taken effect is no longer pending.
func (c *Controller) placementTask(s *fleet.State, j *fleet.Job, throttled map[wire.TaskKey]bool) placement.Task {
	t := placement.Task{
		JobID: j.ID, Worker: j.Worker, Team: j.Team, Queue: j.Queue,
		Class: s.Config.Queues[j.Queue].Class, Declared: j.Spec.Size,
		Idempotent:   j.Spec.Idempotent,
		NoCheckpoint: !j.Spec.Idempotent && !c.opts.ResumesCheckpoints,
		StartedAt:    j.AssignedAt,
	}
	key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
	t.Size = c.sizer.TaskSize(key, j.Spec.Size)
	t.Throttled = throttled[key]
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

// maxCapacityByPool returns, for each pool, the largest CPU and the largest memory
// capacity of any of its workers.
func maxCapacityByPool(workers []placement.Worker) map[string]fleet.Resources {
	largest := map[string]fleet.Resources{}
	for _, w := range workers {
		l := largest[w.Pool]
		l.CPUMilli = max(l.CPUMilli, w.Capacity.CPUMilli)
		l.MemoryMiB = max(l.MemoryMiB, w.Capacity.MemoryMiB)
		largest[w.Pool] = l
	}
	return largest
}

// placementJob returns a waiting job with its size corrected by the observed usage. The
// correction does not exceed the largest capacity in the pool, since the job would
// then never start.
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

// updateShares adds the usage to the history of the shares and sets the ranking of the
// teams in the snapshot.
func (c *Controller) updateShares(snap *placement.Snapshot, usage map[string]*share.Usage, workers []placement.Worker) {
	for _, j := range snap.Jobs {
		if u := usage[j.Team]; u != nil {
			u.Waiting = snap.Teams[j.Team].Units < snap.Teams[j.Team].Limit
		}
	}
	var total fleet.Resources
	for _, w := range workers {
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

// teamUnits returns the units that a team uses, which are its running jobs and the units
// granted for its calls, and their limit. Options.JobUnits may lower the limit.
func (c *Controller) teamUnits(s *fleet.State, t fleet.Team, running int) placement.Team {
	granted := s.Granted(t.Name)
	limit := t.Limit
	if c.opts.JobUnits != nil {
		limit = min(limit, c.opts.JobUnits(s, t.Name)+granted)
	}
	return placement.Team{Limit: limit, Units: running + granted}
}
