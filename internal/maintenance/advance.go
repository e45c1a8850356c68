package maintenance

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// drainTimeout returns the drain time limit of a plan, or the default if it has none.
func drainTimeout(plan fleet.MaintenancePlan) time.Duration {
	if plan.DrainTimeoutMS <= 0 {
		return DefaultDrainTimeout
	}
	return time.Duration(plan.DrainTimeoutMS) * time.Millisecond
}

// drainOverdue reports whether a draining instance has reached the drain time limit.
func (p *planner) drainOverdue(i Instance, plan fleet.MaintenancePlan) bool {
	return p.Now.Sub(i.PhaseSince) >= drainTimeout(plan)
}

// advance adds the steps that move the instances held by plans to their next phase.
func (p *planner) advance() {
	plans := map[string]fleet.MaintenancePlan{}
	for _, plan := range p.Plans {
		plans[plan.Name] = plan
	}
	for _, i := range p.Instances {
		plan, ok := plans[i.Plan]
		if !ok {
			// A drain that an operator ordered lasts until an operator ends it.
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

// advanceDrain starts the reboot of a drained instance, or evicts the tasks of one
// that still runs some. A paused plan holds its draining instances as they are; an
// aborted plan returns them to service.
func (p *planner) advanceDrain(i Instance, plan fleet.MaintenancePlan) {
	switch plan.State {
	case fleet.PlanPaused:
		return
	case fleet.PlanAborted, fleet.PlanDone:
		p.returnToService(i, plan)
		return
	}
	if i.Backend && !p.callsEnded(i) {
		return
	}
	if i.Tasks == 0 {
		p.addStep(i, plan.Name, fleet.PhaseRebooting, false)
		return
	}
	overrun := p.Now.Sub(i.PhaseSince) - drainTimeout(plan)
	switch {
	case overrun < 0:
		p.evict(i, EvictWatchTasks)
	case overrun < CheckpointGracePeriod:
		p.evict(i, EvictByCheckpoint)
	case i.NonIdempotentTasks > 0 && overrun >= drainTimeout(plan)+CheckpointGracePeriod:
		// The tasks can be neither checkpointed nor stopped, so the drain is
		// abandoned to free the availability budget for another instance.
		p.decision.AbandonedDrains = append(p.decision.AbandonedDrains, i.Name)
		p.returnToService(i, plan)
	default:
		p.evict(i, EvictByStop)
	}
}

// callsEnded reports whether no call can run on a draining backend server any more.
// The time counts only while reports on the server reach the leader: entries that
// are cut off from the leader may not know of the drain and may still send calls.
func (p *planner) callsEnded(i Instance) bool {
	return i.Healthy && p.Now.Sub(max(i.PhaseSince, i.HealthySince)) >= BackendDrainTime
}

// advanceReboot starts the verification of an instance whose new incarnation has
// reported. An aborted plan returns to service a backend server instance that
// still runs, since the system does not order the reboot of these.
func (p *planner) advanceReboot(i Instance, plan fleet.MaintenancePlan) {
	switch {
	case i.Rebooted:
		p.addStep(i, plan.Name, fleet.PhaseVerifying, false)
	case i.Backend && i.Healthy && plan.State == fleet.PlanAborted:
		p.returnToService(i, plan)
	}
}

// evict requests the eviction of the tasks of a draining instance.
func (p *planner) evict(i Instance, level EvictionLevel) {
	if level == EvictWatchTasks && i.WatchTasks == 0 {
		return
	}
	p.decision.Evictions[i.Name] = level
}

// returnToService ends the maintenance of an instance that is not completed.
func (p *planner) returnToService(i Instance, plan fleet.MaintenancePlan) {
	p.addStep(i, plan.Name, fleet.PhaseActive, false)
	p.releaseBudget(i)
}

// advanceVerify completes the maintenance of an instance that has been healthy for
// VerifyTime since its reboot.
func (p *planner) advanceVerify(i Instance, plan fleet.MaintenancePlan) {
	since := max(i.PhaseSince, i.HealthySince)
	if !i.Healthy || p.Now.Sub(since) < VerifyTime {
		return
	}
	p.addStep(i, plan.Name, fleet.PhaseActive, true)
	p.releaseBudget(i)
}

// releaseBudget removes an instance that returns to service from the counts of
// unavailable instances, except from those that still include it as lost or down.
func (p *planner) releaseBudget(i Instance) {
	if i.Lost {
		return
	}
	p.enforced.add(i, -1)
	if !i.Down {
		p.unavailable.add(i, -1)
	}
}
