// Package maintenance chooses the next steps of maintenance plans: drain,
// checkpoint or wait, reboot, verify, within the availability budgets.
//
// A plan of steps is computed from a snapshot; the package does no I/O and time
// is a parameter. Nothing is remembered between calls, so a plan resumes by
// itself after a change of leader.
package maintenance

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
)

// Policy names a way of taking instances.
type Policy string

// Policies. PolicyOneAtATime holds one instance of a plan at once.
const (
	PolicyWaves      Policy = "waves"
	PolicyOneAtATime Policy = "one_at_a_time"
)

// Times of the steps.
const (
	// VerifyTime is the time for which a rebooted instance must be healthy.
	VerifyTime = 3 * time.Second
	// CheckpointTime is the time after the drain time limit after which
	// idempotent tasks that did not checkpoint are stopped.
	CheckpointTime = 5 * time.Second
	// BackendDrainTime is the time after which no call runs on a drained backend
	// server: entries learn of the drain within a lease, and a call that began
	// before has its time limit and the wait for a late answer.
	BackendDrainTime = lease.Duration + fleet.MaxCallTime + fleet.CallLinger
	// DefaultDrainTimeout applies to plans without a drain time limit.
	DefaultDrainTimeout = 30 * time.Second
)

// Instance is an instance as the planner sees it.
type Instance struct {
	Name       string
	Pool       string
	Rack       string
	DataCentre string
	// Backend instances run backend servers. The platform or an operator reboots
	// them; nothing of the system runs there.
	Backend    bool
	Phase      fleet.InstancePhase
	PhaseSince fleet.Time
	Plan       string
	// Lost instances, and Down ones, which are quarantined or were never seen,
	// count as unavailable.
	Lost bool
	Down bool
	// Healthy is true while the instance announces itself, since HealthySince.
	Healthy      bool
	HealthySince fleet.Time
	// Rebooted is true once another incarnation announced itself after the reboot began.
	Rebooted   bool
	Tasks      int
	WatchTasks int
	// NonIdempotentTasks counts the tasks that are not idempotent.
	NonIdempotentTasks int
	// DrainAbandonedAt is the time at which a drain of the instance was given up, or 0.
	DrainAbandonedAt fleet.Time
}

// Snapshot is the input of planning.
type Snapshot struct {
	Now       fleet.Time
	Pools     map[string]fleet.Pool
	Instances []Instance
	Plans     []fleet.MaintenancePlan
}

// EvictionLevel tells how far the tasks of a draining instance are cleared.
type EvictionLevel int

// Clearing levels; each includes the ones before it. Watch tasks are
// checkpointed at once, since waiting does not end them. Tasks that are not
// idempotent are never stopped.
const (
	EvictWatchTasks EvictionLevel = iota + 1
	EvictByCheckpoint
	EvictByStop
)

// Decision is the outcome of planning.
type Decision struct {
	Steps []fleet.PhaseStep
	// Waiting holds the reason of each running plan, empty when it proceeds.
	Waiting map[string]string
	// Evictions holds the draining instances whose tasks are to be cleared.
	Evictions map[string]EvictionLevel
	// AbandonedDrains lists the instances whose drain is given up in this plan.
	AbandonedDrains []string
}

// Compute returns the next steps. An unknown policy means PolicyWaves.
func Compute(policy Policy, s Snapshot) Decision {
	p := &planner{Snapshot: s, policy: policy, down: counts{}, ordered: counts{}}
	p.plan.Waiting = map[string]string{}
	p.plan.Evictions = map[string]EvictionLevel{}
	slices.SortFunc(p.Instances, func(a, b Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, i := range p.Instances {
		if unavailable(i) {
			p.down.add(i, 1)
		}
		if i.Phase != fleet.PhaseActive || i.Lost {
			p.ordered.add(i, 1)
		}
	}
	p.advance()
	for _, plan := range sortedPlans(s.Plans) {
		if plan.State == fleet.PlanRunning {
			p.extend(plan)
		}
	}
	return p.plan
}

func sortedPlans(plans []fleet.MaintenancePlan) []fleet.MaintenancePlan {
	sorted := slices.Clone(plans)
	slices.SortFunc(sorted, func(a, b fleet.MaintenancePlan) int {
		if a.StartedAt != b.StartedAt {
			return int(a.StartedAt - b.StartedAt)
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return sorted
}

func unavailable(i Instance) bool {
	return i.Lost || i.Down || i.Phase != fleet.PhaseActive
}

// domain is a pool, or the part of a pool in one rack or data centre.
type domain struct{ pool, rack, centre string }

type counts map[domain]int

func (c counts) add(i Instance, n int) {
	c[domain{pool: i.Pool}] += n
	c[domain{pool: i.Pool, rack: i.DataCentre + "/" + i.Rack}] += n
	c[domain{pool: i.Pool, centre: i.DataCentre}] += n
}

func (c counts) rack(i Instance) int {
	return c[domain{pool: i.Pool, rack: i.DataCentre + "/" + i.Rack}]
}

func (c counts) centre(i Instance) int {
	return c[domain{pool: i.Pool, centre: i.DataCentre}]
}

type planner struct {
	Snapshot
	policy Policy
	// down counts all unavailable instances, and ordered those that are lost or
	// in maintenance, which the state machine verifies the budgets with.
	down    counts
	ordered counts
	plan    Decision
}

// exhausted names the budget that forbids one more unavailable instance like i.
func (p *planner) exhausted(i Instance, c counts) string {
	pool := p.Pools[i.Pool]
	if n := c[domain{pool: i.Pool}]; n >= pool.MaxUnavailable {
		return fmt.Sprintf("budget of pool %s: %d of %d unavailable", i.Pool, n, pool.MaxUnavailable)
	}
	if b := pool.MaxUnavailablePerRack; b > 0 && i.Rack != "" && c.rack(i) >= b {
		return fmt.Sprintf("budget of rack %s: %d of %d unavailable", i.Rack, c.rack(i), b)
	}
	if b := pool.MaxUnavailablePerDataCentre; b > 0 && c.centre(i) >= b {
		return fmt.Sprintf("budget of data centre %s: %d of %d unavailable", i.DataCentre, c.centre(i), b)
	}
	return ""
}

// extend takes further instances for a plan as far as the budgets allow, and
// states what the plan waits for.
func (p *planner) extend(plan fleet.MaintenancePlan) {
	held, candidates := p.sort(plan)
	reason := ""
	taken := 0
	for len(candidates) > 0 {
		if p.policy == PolicyOneAtATime && held+taken > 0 {
			reason = "one instance at a time"
			break
		}
		k, why := p.pick(candidates)
		if k < 0 {
			reason = why
			break
		}
		p.take(candidates[k], plan.Name)
		candidates = slices.Delete(candidates, k, k+1)
		taken++
	}
	if taken > 0 {
		reason = ""
	} else if reason == "" {
		reason = p.heldReason(plan)
	}
	p.plan.Waiting[plan.Name] = reason
}

// sort returns the number of instances that the plan holds, and those it may take.
func (p *planner) sort(plan fleet.MaintenancePlan) (held int, candidates []Instance) {
	done := map[string]bool{}
	for _, name := range plan.Completed {
		done[name] = true
	}
	pause := drainTimeout(plan)
	for _, i := range p.Instances {
		if i.Pool != plan.Pool || done[i.Name] {
			continue
		}
		if i.Phase != fleet.PhaseActive {
			if i.Plan == plan.Name {
				held++
			}
			continue
		}
		resting := i.DrainAbandonedAt > 0 && p.Now.Sub(i.DrainAbandonedAt) < pause
		if i.Healthy && !resting && !p.taken(i.Name) {
			candidates = append(candidates, i)
		}
	}
	return held, candidates
}

// taken reports whether another step of this plan concerns the instance.
func (p *planner) taken(name string) bool {
	return slices.ContainsFunc(p.plan.Steps, func(s fleet.PhaseStep) bool { return s.Instance == name })
}

// pick returns the best candidate that the budgets allow, or -1 and the reason.
// A quarantined instance is counted as unavailable already.
func (p *planner) pick(candidates []Instance) (int, string) {
	best := -1
	reason := ""
	left := map[string]int{}
	for _, i := range candidates {
		left[i.DataCentre]++
	}
	for k, i := range candidates {
		c := p.down
		if i.Down {
			c = p.ordered
		}
		if why := p.exhausted(i, c); why != "" {
			reason = why
			continue
		}
		if best < 0 || p.less(i, candidates[best], left) {
			best = k
		}
	}
	return best, reason
}

// less orders candidates: no watch tasks first, then those in racks with the fewest
// unavailable instances, then those in data centres with the most candidates
// left, which would otherwise be alone at the end with only their own budget.
func (p *planner) less(a, b Instance, left map[string]int) bool {
	if a.Down != b.Down {
		return a.Down
	}
	if (a.WatchTasks > 0) != (b.WatchTasks > 0) {
		return a.WatchTasks == 0
	}
	if x, y := p.down.rack(a), p.down.rack(b); x != y {
		return x < y
	}
	if x, y := left[a.DataCentre], left[b.DataCentre]; x != y {
		return x > y
	}
	if x, y := p.down.centre(a), p.down.centre(b); x != y {
		return x < y
	}
	if a.Tasks != b.Tasks {
		return a.Tasks < b.Tasks
	}
	return a.Name < b.Name
}

func (p *planner) take(i Instance, plan string) {
	if !unavailable(i) {
		p.down.add(i, 1)
	}
	p.ordered.add(i, 1)
	p.step(i, plan, fleet.PhaseDraining, false)
}

func (p *planner) step(i Instance, plan string, phase fleet.InstancePhase, completed bool) {
	p.plan.Steps = append(p.plan.Steps, fleet.PhaseStep{
		Instance: i.Name, Plan: plan, Phase: phase, Completed: completed,
	})
}

// heldReason states what the instances of a plan that takes no further one wait for.
func (p *planner) heldReason(plan fleet.MaintenancePlan) string {
	for _, i := range p.Instances {
		if i.Pool != plan.Pool || slices.Contains(plan.Completed, i.Name) {
			continue
		}
		switch {
		case i.Plan == plan.Name && i.Phase == fleet.PhaseDraining && p.overdue(i, plan):
			return fmt.Sprintf("tasks of %s have not ended within the drain time limit", i.Name)
		case i.Plan != plan.Name && i.Phase != fleet.PhaseActive:
			return fmt.Sprintf("%s is held by another drain or plan", i.Name)
		case i.Plan == plan.Name && i.Phase == fleet.PhaseRebooting && i.Backend && i.Healthy && !i.Rebooted:
			return fmt.Sprintf("%s is drained and waits for the platform's reboot", i.Name)
		case i.Phase == fleet.PhaseActive && !i.Healthy:
			return fmt.Sprintf("%s does not announce itself", i.Name)
		case i.Phase == fleet.PhaseActive && i.DrainAbandonedAt > 0:
			return fmt.Sprintf("the drain of %s was given up and is repeated later", i.Name)
		}
	}
	return ""
}
