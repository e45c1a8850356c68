package placement

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Costs of disturbing a task, in units of one checkpoint.
const (
	costThrottle   = 0.1
	costCheckpoint = 1.0
	costStop       = 2.0
	costWatch      = 100.0
	// costPerRoom charges the size of a victim, as a part of its worker.
	costPerRoom = 0.5
)

// preemptForUrgent frees room for the urgent jobs that found none.
func (p *planner) preemptForUrgent() {
	for _, j := range p.misfits {
		if !p.allowed(j.Team) {
			continue
		}
		// A unit is set aside, so that no more room is cleared than may be used.
		p.units[j.Team]++
		if p.renewUrgent(j) || p.victims >= MaxVictimsPerPlan {
			continue
		}
		n, victims := p.cheapest(j)
		if n == nil {
			continue
		}
		p.release(j)
		p.disturb(n, j, victims)
		p.reserve(n, j, p.Now, true)
	}
}

// renewUrgent keeps the reservation of a job whose worker is being cleared, and
// reports whether that is enough.
func (p *planner) renewUrgent(j Job) bool {
	r, ok := p.previous[j.ID]
	if !ok || !r.Urgent {
		return false
	}
	n := p.nodes[r.Worker]
	victims, _, possible := p.victimsOn(n, j)
	if !possible {
		return false
	}
	if p.victims+len(victims) <= MaxVictimsPerPlan {
		p.disturb(n, j, victims)
	}
	p.plan.Reservations = append(p.plan.Reservations, r)
	return true
}

func (p *planner) disturb(n *node, j Job, victims []Preemption) {
	p.victims += len(victims)
	p.plan.Preemptions = append(p.plan.Preemptions, victims...)
	for _, v := range victims {
		i := slices.IndexFunc(n.tasks, func(t Task) bool { return t.JobID == v.JobID })
		n.tasks[i].Action = v.Action
		n.tasks[i].ActionSince = p.Now
	}
}

// cheapest returns the node on which the job starts with the least disturbance.
func (p *planner) cheapest(j Job) (*node, []Preemption) {
	pl := p.pools[j.Pool]
	if pl == nil {
		return nil, nil
	}
	avoid := pl.avoidable(j)
	var chosen *node
	var victims []Preemption
	lowest := 0.0
	for _, n := range pl.nodes {
		if !n.Usable || !fits(j.Size, n.Capacity) {
			continue
		}
		taken := n.reservedUrgent && n.reservedFor != "" && n.reservedFor != j.ID
		if taken || (avoid && slices.Contains(j.Avoid, n.Name)) {
			continue
		}
		v, cost, ok := p.victimsOn(n, j)
		if ok && p.victims+len(v) <= MaxVictimsPerPlan && (chosen == nil || cost < lowest) {
			chosen, victims, lowest = n, v, cost
		}
	}
	return chosen, victims
}

// victimsOn returns the orders that clear a node for the job beyond those under
// way: throttles when they are enough, else checkpoints, with a stop for each
// idempotent task whose checkpoint is overdue.
func (p *planner) victimsOn(n *node, j Job) ([]Preemption, float64, bool) {
	room := n.free
	for _, t := range n.tasks {
		if !p.overdue(t) {
			room = add(room, frees(t, t.Action))
		}
	}
	if fits(j.Size, room) {
		return nil, 0, true
	}
	if v, cost, ok := p.pick(n, j, room, ActionThrottle); ok {
		return v, cost, true
	}
	return p.pick(n, j, room, ActionCheckpoint)
}

// pick selects tasks for one kind of action until the job fits into the room.
func (p *planner) pick(n *node, j Job, room fleet.Resources, action Action) ([]Preemption, float64, bool) {
	var victims []Preemption
	cost := 0.0
	for _, t := range p.candidates(n, j, room, action) {
		if fits(j.Size, room) || len(victims) == MaxVictimsPerJob {
			break
		}
		act := p.actionFor(t, action)
		victims = append(victims, Preemption{JobID: t.JobID, Worker: n.Name, Action: act, For: j.ID})
		room = add(room, frees(t, act))
		cost += victimCost(n, t, act)
	}
	return victims, cost, fits(j.Size, room)
}

// actionFor replaces an overdue checkpoint by a stop.
func (p *planner) actionFor(t Task, action Action) Action {
	if action == ActionCheckpoint && t.Action == ActionCheckpoint {
		return ActionStop
	}
	return action
}

// candidates returns the tasks that the action may disturb: watch tasks last,
// then those that free the most of what is lacking.
func (p *planner) candidates(n *node, j Job, room fleet.Resources, action Action) []Task {
	var tasks []Task
	for _, t := range n.tasks {
		if t.Class != fleet.ClassUrgent && p.mayDisturb(t, action) {
			tasks = append(tasks, t)
		}
	}
	short := sub(j.Size, room)
	slices.SortFunc(tasks, func(a, b Task) int {
		if (a.Class == fleet.ClassWatch) != (b.Class == fleet.ClassWatch) {
			if a.Class == fleet.ClassWatch {
				return 1
			}
			return -1
		}
		ga, gb := gain(frees(a, action), short), gain(frees(b, action), short)
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

// mayDisturb reports whether a further order for the task makes sense. A task
// that is not idempotent is never stopped.
func (p *planner) mayDisturb(t Task, action Action) bool {
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

// overdue reports whether an order should have taken effect by now.
func (p *planner) overdue(t Task) bool {
	return t.Action != ActionNone && p.Now.Sub(t.ActionSince) >= CheckpointPatience
}

// frees returns the room that an action gives back.
func frees(t Task, action Action) fleet.Resources {
	switch action {
	case ActionThrottle:
		if t.Throttled {
			return fleet.Resources{}
		}
		return fleet.Resources{CPUMilli: t.Size.CPUMilli - throttledCPU(t)}
	case ActionCheckpoint, ActionStop:
		return held(t)
	default:
		return fleet.Resources{}
	}
}

// gain returns the part of the shortage that the freed room covers.
func gain(freed, short fleet.Resources) float64 {
	g := 0.0
	if short.CPUMilli > 0 {
		g += min(1, ratio(freed.CPUMilli, short.CPUMilli))
	}
	if short.MemoryMiB > 0 {
		g += min(1, ratio(freed.MemoryMiB, short.MemoryMiB))
	}
	if short.Accelerators > 0 {
		g += min(1, ratio(freed.Accelerators, short.Accelerators))
	}
	return g
}

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
	return cost + costPerRoom*ratio(t.Size.CPUMilli, n.Capacity.CPUMilli)
}

// liftThrottles returns the processors to throttled tasks on workers that have
// room for it again and are not being cleared for an urgent job.
func (p *planner) liftThrottles() {
	for _, t := range p.Tasks {
		n := p.nodes[t.Worker]
		if n == nil || !t.Throttled || t.Action == ActionUnthrottle || n.reservedFor != "" {
			continue
		}
		need := fleet.Resources{CPUMilli: t.Size.CPUMilli - held(t).CPUMilli}
		if !fits(need, n.free) {
			continue
		}
		n.free = sub(n.free, need)
		p.plan.Preemptions = append(p.plan.Preemptions, Preemption{
			JobID: t.JobID, Worker: t.Worker, Action: ActionUnthrottle,
		})
	}
}
