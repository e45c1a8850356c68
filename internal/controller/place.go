package controller

import (
	"context"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// place computes a placement plan and commits its assignments. Start orders
// follow from the committed assignments only.
func (c *Controller) place(ctx context.Context) error {
	c.mu.Lock()
	now, index := c.log.Now(), c.applied()
	if index == c.placedIndex && now.Sub(c.placedAt) < replanAfter {
		c.mu.Unlock()
		return nil
	}
	c.placedAt, c.placedIndex = now, index
	snap, first := c.snapshot()
	plan := placement.Plan{}
	if len(snap.Jobs) > 0 || len(snap.Tasks) > 0 {
		plan = placement.Compute(placement.Policy(c.opts.Policies[PolicyPlacement]), snap)
	}
	c.reserved = plan.Reservations
	c.mu.Unlock()
	jobs := make(map[string]placement.Job, len(snap.Jobs))
	for _, j := range snap.Jobs {
		jobs[j.ID] = j
	}
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
		if _, refused := res.Rejected[i]; !refused {
			c.noteStart(jobs[a.JobID], first[a.JobID])
		}
	}
	return nil
}

// noteStart accounts for a committed assignment. The caller holds mu.
func (c *Controller) noteStart(j placement.Job, first bool) {
	c.shares.Started(j.Team, j.Size)
	if first {
		c.budget.RecordFirstAttempt(j.Team)
	}
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
	c.acted = true
	c.actions[j.ID] = action{key: key, kind: kind, since: now}
}
