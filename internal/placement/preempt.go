package placement

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Costs of preempting a task, relative to a checkpoint. costWatch is added for a watch
// task, so that other tasks are preempted first.
const (
	costThrottle   = 0.1
	costCheckpoint = 1.0
	costStop       = 2.0
	costWatch      = 100.0
	// costVictimSize is the cost of a victim that has all processors of its worker; a
	// smaller victim costs proportionally less.
	costVictimSize = 0.5
)

// preemptForUrgent preempts tasks for the urgent jobs that did not fit.
func (p *planner) preemptForUrgent() {
	for _, j := range p.unplacedUrgent {
		if !p.underLimit(j.Team) {
			continue
		}
		// Count the unit now, so that no more resources are freed than the team may
		// use.
		p.units[j.Team]++
		if p.renewUrgentReservation(j) || p.victimCount >= MaxVictimsPerPlan {
			continue
		}
		n, victims := p.cheapestNode(j)
		if n == nil {
			continue
		}
		p.releaseReservation(j)
		p.preempt(n, j, victims)
		p.reserve(n, j, p.Now, true)
	}
}

// renewUrgentReservation renews the reservation of an urgent job, with further
// preemptions if they are needed. It returns false if the job has no such reservation,
// or if preemptions can't free enough on its node any more.
func (p *planner) renewUrgentReservation(j Job) bool {
	r, ok := p.previousReservations[j.ID]
	if !ok || !r.Urgent {
		return false
	}
	n := p.nodes[r.Worker]
	victims, _, possible := p.victimsOn(n, j)
	if !possible {
		return false
	}
	if p.victimCount+len(victims) <= MaxVictimsPerPlan {
		p.preempt(n, j, victims)
	}
	p.plan.Reservations = append(p.plan.Reservations, r)
	return true
}

// preempt adds preemptions on a node to the plan.
func (p *planner) preempt(n *node, j Job, victims []Preemption) {
	p.victimCount += len(victims)
	p.plan.Preemptions = append(p.plan.Preemptions, victims...)
	for _, v := range victims {
		i := slices.IndexFunc(n.tasks, func(t Task) bool { return t.JobID == v.JobID })
		n.tasks[i].Action = v.Action
		n.tasks[i].ActionSince = p.Now
	}
}

// cheapestNode returns the node on which preemptions for the job cost least, with
// these preemptions, or nil if there is none.
func (p *planner) cheapestNode(j Job) (*node, []Preemption) {
	pl := p.pools[j.Pool]
	if pl == nil {
		return nil, nil
	}
	avoid := pl.canAvoidFailedWorkers(j)
	var chosen *node
	var victims []Preemption
	lowest := 0.0
	for _, n := range pl.nodes {
		if !n.Usable || !fits(j.Size, n.Capacity) {
			continue
		}
		reservedByUrgent := n.reservedUrgent && n.reservedFor != "" && n.reservedFor != j.ID
		if reservedByUrgent || (avoid && slices.Contains(j.Avoid, n.Name)) {
			continue
		}
		v, cost, ok := p.victimsOn(n, j)
		if ok && p.victimCount+len(v) <= MaxVictimsPerPlan && (chosen == nil || cost < lowest) {
			chosen, victims, lowest = n, v, cost
		}
	}
	return chosen, victims
}

// victimsOn returns the preemptions, in addition to the orders under way, after which
// the job fits on a node, their cost, and whether they suffice. They are throttles if
// those suffice, and checkpoints otherwise; idempotent tasks whose checkpoint is
// overdue are stopped.
func (p *planner) victimsOn(n *node, j Job) ([]Preemption, float64, bool) {
	free := n.free
	for _, t := range n.tasks {
		if !p.overdue(t) {
			free = add(free, freedBy(t, t.Action))
		}
	}
	if fits(j.Size, free) {
		return nil, 0, true
	}
	if v, cost, ok := p.selectVictims(n, j, free, ActionThrottle); ok {
		return v, cost, true
	}
	return p.selectVictims(n, j, free, ActionCheckpoint)
}

// selectVictims selects tasks for the action until the job fits into the free
// resources. It returns false if the job does not fit after MaxVictimsPerJob tasks.
func (p *planner) selectVictims(n *node, j Job, free fleet.Resources, action Action) ([]Preemption, float64, bool) {
	var victims []Preemption
	cost := 0.0
	for _, t := range p.candidates(n, j, free, action) {
		if fits(j.Size, free) || len(victims) == MaxVictimsPerJob {
			break
		}
		act := p.actionFor(t, action)
		victims = append(victims, Preemption{JobID: t.JobID, Worker: n.Name, Action: act, ForJobID: j.ID})
		free = add(free, freedBy(t, act))
		cost += victimCost(n, t, act)
	}
	return victims, cost, fits(j.Size, free)
}

// actionFor returns the action for a task: a stop instead of a repeated checkpoint.
func (p *planner) actionFor(t Task, action Action) Action {
	if action == ActionCheckpoint && t.Action == ActionCheckpoint {
		return ActionStop
	}
	return action
}

// candidates returns the tasks that may be preempted with the action: watch tasks
// last, then by how much of the missing resources they free.
func (p *planner) candidates(n *node, j Job, free fleet.Resources, action Action) []Task {
	var tasks []Task
	for _, t := range n.tasks {
		if t.Class != fleet.ClassUrgent && p.mayPreempt(t, action) {
			tasks = append(tasks, t)
		}
	}
	missing := sub(j.Size, free)
	slices.SortFunc(tasks, func(a, b Task) int {
		if (a.Class == fleet.ClassWatch) != (b.Class == fleet.ClassWatch) {
			if a.Class == fleet.ClassWatch {
				return 1
			}
			return -1
		}
		ga, gb := coverage(freedBy(a, action), missing), coverage(freedBy(b, action), missing)
		if ga != gb {
			if ga > gb {
				return -1
			}
			return 1
		}
		return compare(a.JobID, b.JobID)
	})
	return tasks
}

// mayPreempt reports whether a task may get the action in its present state. A task
// that is not idempotent is never stopped.
func (p *planner) mayPreempt(t Task, action Action) bool {
	switch {
	case action == ActionThrottle:
		return !t.Throttled && t.Action == ActionNone
	case t.NoCheckpoint:
		return false
	case t.Action == ActionCheckpoint:
		return t.Idempotent && p.overdue(t)
	default:
		return t.Action != ActionStop
	}
}

// overdue reports whether an order that is under way should have taken effect.
func (p *planner) overdue(t Task) bool {
	return t.Action != ActionNone && p.Now.Sub(t.ActionSince) >= ActionTimeout
}

// freedBy returns the resources that an action on a task frees.
func freedBy(t Task, action Action) fleet.Resources {
	switch action {
	case ActionThrottle:
		if t.Throttled {
			return fleet.Resources{}
		}
		return fleet.Resources{CPUMilli: t.Size.CPUMilli - throttledCPU(t)}
	case ActionCheckpoint, ActionStop:
		return allocated(t)
	default:
		return fleet.Resources{}
	}
}

// coverage returns the sum, over the missing resource kinds, of the fraction that
// freed covers.
func coverage(freed, missing fleet.Resources) float64 {
	g := 0.0
	if missing.CPUMilli > 0 {
		g += min(1, ratio(freed.CPUMilli, missing.CPUMilli))
	}
	if missing.MemoryMiB > 0 {
		g += min(1, ratio(freed.MemoryMiB, missing.MemoryMiB))
	}
	if missing.Accelerators > 0 {
		g += min(1, ratio(freed.Accelerators, missing.Accelerators))
	}
	return g
}

// victimCost returns the cost of an action on a task of the node.
func victimCost(n *node, t Task, action Action) float64 {
	cost := costCheckpoint
	switch action {
	case ActionThrottle:
		cost = costThrottle
	case ActionStop:
		cost = costStop
	}
	if t.Class == fleet.ClassWatch {
		cost += costWatch
	}
	return cost + costVictimSize*ratio(t.Size.CPUMilli, n.Capacity.CPUMilli)
}

// unthrottleTasks ends the throttling of tasks on workers that have enough free
// processors again and no reservation.
func (p *planner) unthrottleTasks() {
	for _, t := range p.Tasks {
		n := p.nodes[t.Worker]
		if n == nil || !t.Throttled || t.Action == ActionUnthrottle || n.reservedFor != "" {
			continue
		}
		need := fleet.Resources{CPUMilli: t.Size.CPUMilli - allocated(t).CPUMilli}
		if !fits(need, n.free) {
			continue
		}
		n.free = sub(n.free, need)
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
			JobID: t.JobID, Worker: t.Worker, Action: ActionUnthrottle,
		})
	}
}
