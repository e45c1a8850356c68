package controller

import (
	"context"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// place computes a placement plan and commits its assignments. Start orders are sent
// for committed assignments only.
func (c *Controller) place(ctx context.Context) error {
	c.mu.Lock()
	now, index := c.log.Now(), c.appliedIndex()
	if index == c.lastPlacementIndex && now.Sub(c.lastPlacementAt) < replanInterval {
		c.mu.Unlock()
		return nil
	}
	c.lastPlacementAt, c.lastPlacementIndex = now, index
	snap, firstAttempts := c.snapshot()
	plan := placement.Plan{}
	if len(snap.Jobs) > 0 || len(snap.Tasks) > 0 {
		plan = placement.Compute(placement.Policy(c.opts.Policies[PolicyPlacement]), snap)
	}
	c.reservations = plan.Reservations
	c.mu.Unlock()
	jobs := make(map[string]placement.Job, len(snap.Jobs))
	for _, j := range snap.Jobs {
		jobs[j.ID] = j
	}
	c.applyPreemptions(plan.Preemptions)
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
		if _, refused := res.Rejected[i]; !refused {
			c.recordStart(jobs[a.JobID], firstAttempts[a.JobID])
		}
	}
	return nil
}

// recordStart accounts for a committed assignment in the team's share, and in its
// retry budget if it is the first attempt. The caller holds mu.
func (c *Controller) recordStart(j placement.Job, first bool) {
	c.shares.Started(j.Team, j.Size)
	if first {
		c.retryBudget.RecordFirstAttempt(j.Team)
	}
}

// applyPreemptions sets the actions that a placement plan requires of running tasks,
// and removes the actions of attempts that are over.
func (c *Controller) applyPreemptions(preemptions []placement.Preemption) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	c.log.Read(func(s *fleet.State) {
		for _, p := range preemptions {
			if j := s.Jobs[p.JobID]; j != nil && j.State == fleet.JobAssigned {
				c.setAction(j, p.Action, now)
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

// setAction sets the action for the present attempt of a job. An action that is set
// already keeps its time, so that placement can tell when it is overdue.
func (c *Controller) setAction(j *fleet.Job, kind placement.Action, now fleet.Time) {
	key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
	if a, ok := c.actions[j.ID]; ok && a.key == key && a.kind == kind {
		return
	}
	c.actionsChanged = true
	c.actions[j.ID] = action{key: key, kind: kind, since: now}
}
