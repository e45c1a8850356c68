// Package maintenance decides the next steps of maintenance plans within the
// availability budgets. A plan drains each instance of a pool, which evicts its
// tasks or waits for them to end, then reboots it and verifies its health.
//
// Decisions are computed from a snapshot. The package does no I/O, takes the time
// as a parameter and keeps no state between calls, so a plan continues after a
// change of leader.
package maintenance

import (
	"fmt"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
)

// Policy selects how many instances a plan holds at the same time.
type Policy string

const (
	// PolicyWaves takes as many instances as the availability budgets allow. It is
	// the default.
	PolicyWaves Policy = "waves"
	// PolicyOneAtATime takes one instance of each plan at a time.
	PolicyOneAtATime Policy = "one_at_a_time"
)

const (
	// VerifyTime is the time for which a rebooted instance must be healthy before
	// it returns to service.
	VerifyTime = 3 * time.Second
	// CheckpointGracePeriod is the time that tasks have to checkpoint once the
	// drain time limit has passed. After it, idempotent tasks are stopped.
	CheckpointGracePeriod = 5 * time.Second
	// BackendDrainTime is the time after which no call runs on a draining backend
	// server. Entries learn of the drain within the length of a lease, and a call
	// sent before that ends within its time limit and the wait for a late answer.
	BackendDrainTime = lease.Duration + fleet.MaxCallTime + fleet.CallGracePeriod
	// DefaultDrainTimeout is the drain time limit of plans that set none.
	DefaultDrainTimeout = 30 * time.Second
)

// Instance is the state of an instance as far as maintenance depends on it.
type Instance struct {
	Name       string
	Pool       string
	Rack       string
	DataCentre string
	// Backend is true for an instance that runs a backend server. The platform or
	// an operator reboots it, since no process of the system runs there.
	Backend bool
	Phase   fleet.InstancePhase
	// PhaseSince is the time at which Phase began.
	PhaseSince fleet.Time
	// Plan is the name of the plan that holds the instance, if any.
	Plan string
	// Lost is true when the leader has declared the instance lost. Lost instances
	// count as unavailable.
	Lost bool
	// Down is true for an instance that is quarantined or in an evacuated data centre,
	// and for a worker that has never reported. Such instances count as unavailable.
	Down bool
	// Healthy is true while the instance reports regularly.
	Healthy bool
	// HealthySince is the time since which it has reported without a gap.
	HealthySince fleet.Time
	// Rebooted is true once an incarnation other than the one to be rebooted
	// reports.
	Rebooted bool
	// Tasks counts the tasks on the instance, including those counted in
	// WatchTasks and NonIdempotentTasks.
	Tasks              int
	WatchTasks         int
	NonIdempotentTasks int
	// DrainAbandonedAt is the time at which a drain of the instance was last
	// abandoned, or 0.
	DrainAbandonedAt fleet.Time
}

// Snapshot is the input of Compute.
type Snapshot struct {
	Now fleet.Time
	// Pools holds the pools by name.
	Pools     map[string]fleet.Pool
	Instances []Instance
	Plans     []fleet.MaintenancePlan
}

// EvictionLevel states which tasks of a draining instance are evicted, and how.
// Each level includes the ones before it. Tasks that are not idempotent are never
// stopped, and are checkpointed only if the controller can have them resumed.
type EvictionLevel int

const (
	// EvictWatchTasks checkpoints watch tasks at once, since they do not end by
	// themselves.
	EvictWatchTasks EvictionLevel = iota + 1
	// EvictByCheckpoint checkpoints all tasks.
	EvictByCheckpoint
	// EvictByStop stops idempotent tasks and checkpoints the others.
	EvictByStop
)

// Decision is the result of Compute.
type Decision struct {
	// Steps are the changes of phase to commit.
	Steps []fleet.PhaseStep
	// Waiting maps each running plan to the reason why it takes no further
	// instance. The reason is empty when the plan makes progress.
	Waiting map[string]string
	// Evictions maps draining instances to the level at which their tasks are
	// evicted.
	Evictions map[string]EvictionLevel
	// AbandonedDrains lists the instances whose drain is abandoned by this
	// decision.
	AbandonedDrains []string
}

// Compute returns the next steps of all plans. It sorts s.Instances by name in
// place. An unknown policy means PolicyWaves.
func Compute(policy Policy, s Snapshot) Decision {
	p := &planner{Snapshot: s, policy: policy, unavailable: domainCounts{}, enforced: domainCounts{}}
	p.decision.Waiting = map[string]string{}
	p.decision.Evictions = map[string]EvictionLevel{}
	slices.SortFunc(p.Instances, func(a, b Instance) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	for _, i := range p.Instances {
		if unavailable(i) {
			p.unavailable.add(i, 1)
		}
		if i.Phase != fleet.PhaseActive || i.Lost {
			p.enforced.add(i, 1)
		}
	}
	p.advance()
	for _, plan := range sortedPlans(s.Plans) {
		if plan.State == fleet.PlanRunning {
			p.startDrains(plan)
		}
	}
	return p.decision
}

// sortedPlans returns the plans in the order of their start.
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

// unavailable reports whether an instance counts against the availability budgets.
func unavailable(i Instance) bool {
	return i.Lost || i.Down || i.Phase != fleet.PhaseActive
}

// domain identifies what a budget applies to: a pool, or the part of a pool in one
// rack or data centre.
type domain struct{ pool, rack, dataCentre string }

// domainCounts holds the number of instances of each domain.
type domainCounts map[domain]int

func (c domainCounts) add(i Instance, n int) {
	c[domain{pool: i.Pool}] += n
	c[domain{pool: i.Pool, rack: i.DataCentre + "/" + i.Rack}] += n
	c[domain{pool: i.Pool, dataCentre: i.DataCentre}] += n
}

func (c domainCounts) rack(i Instance) int {
	return c[domain{pool: i.Pool, rack: i.DataCentre + "/" + i.Rack}]
}

func (c domainCounts) dataCentre(i Instance) int {
	return c[domain{pool: i.Pool, dataCentre: i.DataCentre}]
}

// planner holds the state of one call of Compute.
type planner struct {
	Snapshot
	policy Policy
	// unavailable counts all unavailable instances.
	unavailable domainCounts
	// enforced counts the instances that are lost or in maintenance. The state
	// machine enforces the budgets on these counts.
	enforced domainCounts
	decision Decision
}

// exhaustedBudget returns a description of the budget that does not allow i to
// become unavailable, given the counts, or "" if all budgets allow it.
func (p *planner) exhaustedBudget(i Instance, c domainCounts) string {
	pool := p.Pools[i.Pool]
	if n := c[domain{pool: i.Pool}]; n >= pool.MaxUnavailable {
		return fmt.Sprintf("budget of pool %s: %d of %d unavailable", i.Pool, n, pool.MaxUnavailable)
	}
	if b := pool.MaxUnavailablePerRack; b > 0 && i.Rack != "" && c.rack(i) >= b {
		return fmt.Sprintf("budget of rack %s: %d of %d unavailable", i.Rack, c.rack(i), b)
	}
	if b := pool.MaxUnavailablePerDataCentre; b > 0 && c.dataCentre(i) >= b {
		return fmt.Sprintf("budget of data centre %s: %d of %d unavailable", i.DataCentre, c.dataCentre(i), b)
	}
	return ""
}

// startDrains starts the drain of further instances of a plan as far as the budgets
// and the policy allow, and records what the plan waits for.
func (p *planner) startDrains(plan fleet.MaintenancePlan) {
	held, candidates := p.candidates(plan)
	reason := ""
	started := 0
	for len(candidates) > 0 {
		if p.policy == PolicyOneAtATime && held+started > 0 {
			reason = "one instance at a time"
			break
		}
		k, why := p.pickCandidate(candidates)
		if k < 0 {
			reason = why
			break
		}
		p.startDrain(candidates[k], plan.Name)
		candidates = slices.Delete(candidates, k, k+1)
		started++
	}
	if started > 0 {
		reason = ""
	} else if reason == "" {
		reason = p.waitReason(plan)
	}
	p.decision.Waiting[plan.Name] = reason
}

// candidates returns the number of instances that the plan holds, and the instances
// that it may drain next. An instance whose drain was abandoned is left out for
// the duration of the drain time limit.
func (p *planner) candidates(plan fleet.MaintenancePlan) (held int, candidates []Instance) {
	completed := map[string]bool{}
	for _, name := range plan.Completed {
		completed[name] = true
	}
	retryDelay := drainTimeout(plan)
	for _, i := range p.Instances {
		if i.Pool != plan.Pool || completed[i.Name] {
			continue
		}
		if i.Phase != fleet.PhaseActive {
			if i.Plan == plan.Name {
				held++
			}
			continue
		}
		recentlyAbandoned := i.DrainAbandonedAt > 0 && p.Now.Sub(i.DrainAbandonedAt) < retryDelay
		if i.Healthy && !recentlyAbandoned && !p.hasStep(i.Name) {
			candidates = append(candidates, i)
		}
	}
	return held, candidates
}

// hasStep reports whether the decision has a step for the instance.
func (p *planner) hasStep(name string) bool {
	return slices.ContainsFunc(p.decision.Steps, func(s fleet.PhaseStep) bool { return s.Instance == name })
}

// pickCandidate returns the index of the preferred candidate that the budgets allow,
// or -1 and the exhausted budget. A candidate that is down already counts as
// unavailable, so only the enforced counts decide on it.
func (p *planner) pickCandidate(candidates []Instance) (int, string) {
	best := -1
	reason := ""
	remaining := map[string]int{}
	for _, i := range candidates {
		remaining[i.DataCentre]++
	}
	for k, i := range candidates {
		c := p.unavailable
		if i.Down {
			c = p.enforced
		}
		if why := p.exhaustedBudget(i, c); why != "" {
			reason = why
			continue
		}
		if best < 0 || p.preferred(i, candidates[best], remaining) {
			best = k
		}
	}
	return best, reason
}

// preferred reports whether a is drained before b. The order is: instances that are
// down, then those without watch tasks, then those in racks with the fewest
// unavailable instances, then those in data centres with the most remaining
// candidates. Without the last rule, a data centre with many candidates would be
// left over at the end, where only its own budget can be used.
func (p *planner) preferred(a, b Instance, remaining map[string]int) bool {
	if a.Down != b.Down {
		return a.Down
	}
	if (a.WatchTasks > 0) != (b.WatchTasks > 0) {
		return a.WatchTasks == 0
	}
	if x, y := p.unavailable.rack(a), p.unavailable.rack(b); x != y {
		return x < y
	}
	if x, y := remaining[a.DataCentre], remaining[b.DataCentre]; x != y {
		return x > y
	}
	if x, y := p.unavailable.dataCentre(a), p.unavailable.dataCentre(b); x != y {
		return x < y
	}
	if a.Tasks != b.Tasks {
		return a.Tasks < b.Tasks
	}
	return a.Name < b.Name
}

// startDrain adds the step that drains an instance and counts it as unavailable.
func (p *planner) startDrain(i Instance, plan string) {
	if !unavailable(i) {
		p.unavailable.add(i, 1)
	}
	p.enforced.add(i, 1)
	p.addStep(i, plan, fleet.PhaseDraining, false)
}

func (p *planner) addStep(i Instance, plan string, phase fleet.InstancePhase, completed bool) {
	p.decision.Steps = append(p.decision.Steps, fleet.PhaseStep{
		Instance: i.Name, Plan: plan, Phase: phase, Completed: completed,
	})
}

// waitReason returns what a plan that starts no further drain waits for, or "".
func (p *planner) waitReason(plan fleet.MaintenancePlan) string {
	for _, i := range p.Instances {
		if i.Pool != plan.Pool || slices.Contains(plan.Completed, i.Name) {
			continue
		}
		switch {
		case i.Plan == plan.Name && i.Phase == fleet.PhaseDraining && p.drainOverdue(i, plan):
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
