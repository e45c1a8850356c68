package maintenance

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

func drainTimeout(plan fleet.MaintenancePlan) time.Duration {
	if plan.DrainTimeoutMS <= 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(plan.DrainTimeoutMS) * time.Millisecond
}

// overdue reports whether the drain of an instance exceeds its time limit.
func (p *planner) overdue(i Instance, plan fleet.MaintenancePlan) bool {
	return p.Now.Sub(i.PhaseSince) >= drainTimeout(plan)
}

// advance moves the instances that plans hold.
func (p *planner) advance() {
	plans := map[string]fleet.MaintenancePlan{}
	for _, plan := range p.Plans {
		plans[plan.Name] = plan
	}
	for _, i := range p.Instances {
		plan, ok := plans[i.Plan]
		if !ok {
			// An operator's drain stays until the operator ends it.
			continue
		}
		switch i.Phase {
		case fleet.PhaseDraining:
			p.advanceDrain(i, plan)
		case fleet.PhaseRebooting:
			p.advanceReboot(i, plan)
		case fleet.PhaseVerifying:
			p.advanceVerify(i, plan)
		}
	}
}

// advanceDrain reboots an empty instance, and clears the tasks of others. A
// paused plan keeps its drained instances; an aborted one gives them back.
func (p *planner) advanceDrain(i Instance, plan fleet.MaintenancePlan) {
	switch plan.State {
	case fleet.PlanPaused:
		return
	case fleet.PlanAborted, fleet.PlanDone:
		p.giveBack(i, plan)
		return
	}
	if i.Backend && !p.quiet(i) {
		return
	}
	if i.Tasks == 0 {
		p.step(i, plan.Name, fleet.PhaseRebooting, false)
		return
	}
	late := p.Now.Sub(i.PhaseSince) - drainTimeout(plan)
	switch {
	case late < 0:
		p.clear(i, EvictWatchTasks)
	case late < CheckpointTime:
		p.clear(i, EvictByCheckpoint)
	case i.NonIdempotentTasks > 0 && late >= drainTimeout(plan)+CheckpointTime:
		// The budget is of more use to another instance than to one whose
		// tasks can be neither checkpointed nor stopped.
		p.plan.AbandonedDrains = append(p.plan.AbandonedDrains, i.Name)
		p.giveBack(i, plan)
	default:
		p.clear(i, EvictByStop)
	}
}

// quiet reports whether no call can run on a draining backend server any more. While
// the leader does not hear of it, the entries that do may not know of the drain.
func (p *planner) quiet(i Instance) bool {
	return i.Healthy && p.Now.Sub(max(i.PhaseSince, i.HealthySince)) >= BackendDrainTime
}

// advanceReboot waits for another incarnation. An aborted plan gives back a
// backend server instance that still runs, since nothing was ordered to reboot it.
func (p *planner) advanceReboot(i Instance, plan fleet.MaintenancePlan) {
	switch {
	case i.Rebooted:
		p.step(i, plan.Name, fleet.PhaseVerifying, false)
	case i.Backend && i.Healthy && plan.State == fleet.PlanAborted:
		p.giveBack(i, plan)
	}
}

func (p *planner) clear(i Instance, level EvictionLevel) {
	if level == EvictWatchTasks && i.WatchTasks == 0 {
		return
	}
	p.plan.Evictions[i.Name] = level
}

func (p *planner) giveBack(i Instance, plan fleet.MaintenancePlan) {
	p.step(i, plan.Name, fleet.PhaseActive, false)
	p.back(i)
}

// advanceVerify completes an instance that has been healthy for VerifyTime.
func (p *planner) advanceVerify(i Instance, plan fleet.MaintenancePlan) {
	since := max(i.PhaseSince, i.HealthySince)
	if !i.Healthy || p.Now.Sub(since) < VerifyTime {
		return
	}
	p.step(i, plan.Name, fleet.PhaseActive, true)
	p.back(i)
}

// back counts an instance as in service again, unless it is lost or down.
func (p *planner) back(i Instance) {
	if i.Lost {
		return
	}
	p.ordered.add(i, -1)
	if !i.Down {
		p.down.add(i, -1)
	}
}
