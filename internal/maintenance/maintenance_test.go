package maintenance

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// model carries out the decided steps on simulated instances.
type model struct {
	s      Snapshot
	policy Policy
	rng    *rand.Rand
	// tasksEndAt and rebootEndsAt hold the times at which the tasks and the reboot
	// of an instance end.
	tasksEndAt   map[string]fleet.Time
	rebootEndsAt map[string]fleet.Time
	// outOfService sums, for each domain, the time that instances were in
	// maintenance.
	outOfService map[domain]time.Duration
}

const tickInterval = 500 * time.Millisecond

func newModel(seed int64, policy Policy, pool fleet.Pool, n int) *model {
	m := &model{
		policy: policy, rng: rand.New(rand.NewSource(seed)),
		tasksEndAt: map[string]fleet.Time{}, rebootEndsAt: map[string]fleet.Time{}, outOfService: map[domain]time.Duration{},
	}
	m.s.Now = 1000
	m.s.Pools = map[string]fleet.Pool{pool.Name: pool}
	for i := range n {
		m.s.Instances = append(m.s.Instances, Instance{
			Name: fmt.Sprintf("i%04d", i), Pool: pool.Name, Rack: fmt.Sprint("r", i/4), DataCentre: fmt.Sprint("d", i%3),
			Phase: fleet.PhaseActive, Healthy: true, Tasks: m.rng.Intn(4),
		})
	}
	m.s.Plans = []fleet.MaintenancePlan{{Name: "plan", Pool: pool.Name, State: fleet.PlanRunning, DrainTimeoutMS: 60_000}}
	return m
}

func (m *model) tick() Decision {
	m.s.Now = m.s.Now.Add(tickInterval)
	for k := range m.s.Instances {
		i := &m.s.Instances[k]
		switch i.Phase {
		case fleet.PhaseDraining:
			if m.s.Now >= m.tasksEndAt[i.Name] {
				i.Tasks = 0
			}
		case fleet.PhaseRebooting:
			i.Healthy = m.s.Now >= m.rebootEndsAt[i.Name]
			if i.Healthy && !i.Rebooted {
				i.Rebooted, i.HealthySince = true, m.s.Now
			}
		}
	}
	plan := Compute(m.policy, m.s)
	for _, st := range plan.Steps {
		m.apply(st)
	}
	for _, i := range m.s.Instances {
		if i.Phase != fleet.PhaseActive {
			m.outOfService[domain{pool: i.Pool}] += tickInterval
			m.outOfService[domain{pool: i.Pool, dataCentre: i.DataCentre}] += tickInterval
			m.outOfService[domain{pool: i.Pool, rack: i.DataCentre + "/" + i.Rack}] += tickInterval
		}
	}
	return plan
}

func (m *model) apply(st fleet.PhaseStep) {
	i := m.find(st.Instance)
	i.Phase, i.Plan, i.PhaseSince = st.Phase, st.Plan, m.s.Now
	switch st.Phase {
	case fleet.PhaseDraining:
		m.tasksEndAt[i.Name] = m.s.Now.Add(time.Duration(m.rng.Intn(20)) * time.Second)
	case fleet.PhaseRebooting:
		m.rebootEndsAt[i.Name] = m.s.Now.Add(time.Duration(20+m.rng.Intn(20)) * time.Second)
		i.Rebooted, i.Healthy = false, false
	case fleet.PhaseActive:
		i.Plan = ""
	}
	if st.Completed {
		m.s.Plans[0].Completed = append(m.s.Plans[0].Completed, i.Name)
	}
}

func (m *model) find(name string) *Instance {
	for k := range m.s.Instances {
		if m.s.Instances[k].Name == name {
			return &m.s.Instances[k]
		}
	}
	return nil
}

// unavailableCounts returns the number of unavailable instances of each domain.
func (m *model) unavailableCounts() domainCounts {
	c := domainCounts{}
	for _, i := range m.s.Instances {
		if unavailable(i) {
			c.add(i, 1)
		}
	}
	return c
}

// rollout runs the plan until it is complete and returns the simulated time that it took.
func (m *model) rollout(t require.TestingT) time.Duration {
	begin := m.s.Now
	for len(m.s.Plans[0].Completed) < len(m.s.Instances) {
		m.tick()
		require.Less(t, m.s.Now.Sub(begin), 24*time.Hour)
	}
	return m.s.Now.Sub(begin)
}

// lowerBound returns the shortest time in which the budgets allow the maintenance
// times of the run.
func (m *model) lowerBound(pool fleet.Pool) time.Duration {
	bound := time.Duration(0)
	for d, sum := range m.outOfService {
		budget := pool.MaxUnavailable
		if d.rack != "" {
			budget = pool.MaxUnavailablePerRack
		}
		if d.dataCentre != "" {
			budget = pool.MaxUnavailablePerDataCentre
		}
		if budget > 0 {
			bound = max(bound, sum/time.Duration(budget))
		}
	}
	return bound
}

// Checks that a roll-out in waves takes at most 10 % longer than the budgets
// require, and that one instance at a time, the baseline, takes over four times as long.
func TestRolloutTime(t *testing.T) {
	pool := fleet.Pool{Name: "p", MaxUnavailable: 8, MaxUnavailablePerRack: 1, MaxUnavailablePerDataCentre: 3}
	for seed := range int64(5) {
		m := newModel(seed, PolicyWaves, pool, 95)
		took, bound := m.rollout(t), time.Duration(0)
		bound = m.lowerBound(pool)
		single := newModel(seed, PolicyOneAtATime, pool, 95).rollout(t)
		t.Logf("seed %d: %v, bound %v, ratio %.3f, one at a time %v", seed, took, bound, float64(took)/float64(bound), single)
		require.LessOrEqual(t, float64(took), 1.1*float64(bound))
		require.Greater(t, single, 4*took)
	}
}

// Checks that no decision exceeds a budget while instances are lost, quarantined
// and return, and that no instance that runs tasks is rebooted.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := fleet.Pool{
			Name: "p", MaxUnavailable: rapid.IntRange(0, 5).Draw(t, "pool"),
			MaxUnavailablePerRack:       rapid.IntRange(0, 2).Draw(t, "rack"),
			MaxUnavailablePerDataCentre: rapid.IntRange(0, 3).Draw(t, "centre"),
		}
		m := newModel(rapid.Int64().Draw(t, "seed"), PolicyWaves, pool, 16)
		for range 60 {
			i := &m.s.Instances[m.rng.Intn(16)]
			switch m.rng.Intn(6) {
			case 0:
				i.Lost = !i.Lost
			case 1:
				i.Down = !i.Down
			}
			before := m.unavailableCounts()
			plan := m.tick()
			checkBudgets(t, m, pool, before)
			for _, st := range plan.Steps {
				require.False(t, st.Phase == fleet.PhaseRebooting && m.find(st.Instance).Tasks > 0)
			}
		}
	})
}

// checkBudgets accepts a domain above its budget only if the decision did not add to it.
func checkBudgets(t *rapid.T, m *model, pool fleet.Pool, before domainCounts) {
	for d, n := range m.unavailableCounts() {
		budget := pool.MaxUnavailable
		if d.rack != "" {
			budget = pool.MaxUnavailablePerRack
		}
		if d.dataCentre != "" {
			budget = pool.MaxUnavailablePerDataCentre
		}
		if budget > 0 || (d.rack == "" && d.dataCentre == "") {
			require.LessOrEqual(t, n, max(budget, before[d]), "%+v", d)
		}
	}
}

// Checks that a paused plan makes no progress, that it resumes, and that an aborted
// plan returns its instances to service.
func TestPauseResumeAbort(t *testing.T) {
	pool := fleet.Pool{Name: "p", MaxUnavailable: 2}
	m := newModel(1, PolicyWaves, pool, 6)
	m.tick()
	held := m.unavailableCounts()[domain{pool: "p"}]
	require.Equal(t, 2, held)
	m.s.Plans[0].State = fleet.PlanPaused
	for range 200 {
		m.tick()
	}
	require.Equal(t, 2, m.unavailableCounts()[domain{pool: "p"}])
	require.Empty(t, m.s.Plans[0].Completed)
	m.s.Plans[0].State = fleet.PlanRunning
	for range 20 {
		m.tick()
	}
	m.s.Plans[0].State = fleet.PlanAborted
	for range 200 {
		m.tick()
	}
	require.Zero(t, m.unavailableCounts()[domain{pool: "p"}])
	require.Less(t, len(m.s.Plans[0].Completed), 6)
}

// Checks that tasks are checkpointed before they are stopped, so that no results are
// lost, that watch tasks are evicted at once, and that the drain of an instance
// whose tasks can't be evicted is abandoned.
func TestDrainEvictsTasksInOrder(t *testing.T) {
	cases := []struct {
		name          string
		after         time.Duration
		watch         int
		nonIdempotent int
		want          EvictionLevel
		abandoned     bool
	}{
		{"waits", 10 * time.Second, 0, 0, 0, false},
		{"evicts watch tasks", 10 * time.Second, 1, 0, EvictWatchTasks, false},
		{"checkpoints after the limit", 61 * time.Second, 0, 1, EvictByCheckpoint, false},
		{"stops what did not checkpoint", 66 * time.Second, 0, 1, EvictByStop, false},
		{"abandons the drain", 126 * time.Second, 0, 1, 0, true},
		{"does not abandon the drain of idempotent tasks", 126 * time.Second, 0, 0, EvictByStop, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := newModel(1, PolicyWaves, fleet.Pool{Name: "p", MaxUnavailable: 1}, 1)
			i := &m.s.Instances[0]
			i.Phase, i.Plan, i.PhaseSince = fleet.PhaseDraining, "plan", m.s.Now
			i.Tasks, i.WatchTasks, i.NonIdempotentTasks = 2, c.watch, c.nonIdempotent
			m.s.Now = m.s.Now.Add(c.after)
			plan := Compute(PolicyWaves, m.s)
			require.Equal(t, c.want, plan.Evictions[i.Name])
			require.Equal(t, c.abandoned, len(plan.AbandonedDrains) == 1)
		})
	}
}

// Checks that a plan that waits states its reason, and that instances with watch
// tasks are drained last.
func TestWaitReasonAndDrainOrder(t *testing.T) {
	m := newModel(1, PolicyWaves, fleet.Pool{Name: "p", MaxUnavailable: 1}, 3)
	m.s.Instances[0].WatchTasks = 1
	m.s.Instances[1].Lost = true
	require.Contains(t, Compute(PolicyWaves, m.s).Waiting["plan"], "budget of pool p: 1 of 1")
	m.s.Instances[1].Lost = false
	plan := Compute(PolicyWaves, m.s)
	require.NotEqual(t, "i0000", plan.Steps[0].Instance)
	require.Empty(t, plan.Waiting["plan"])
}

// BenchmarkCompute measures a decision at the design size: about 2,000 instances in
// 21 pools, each with a plan.
func BenchmarkCompute(b *testing.B) {
	s := Snapshot{Now: 1000, Pools: map[string]fleet.Pool{}}
	for k := range 21 {
		name := fmt.Sprint("p", k)
		m := newModel(int64(k), PolicyWaves, fleet.Pool{Name: name, MaxUnavailable: 8, MaxUnavailablePerRack: 1}, 95)
		s.Pools[name] = m.s.Pools[name]
		for _, i := range m.s.Instances {
			i.Name = name + i.Name
			s.Instances = append(s.Instances, i)
		}
		s.Plans = append(s.Plans, fleet.MaintenancePlan{Name: name, Pool: name, State: fleet.PlanRunning})
	}
	for b.Loop() {
		Compute(PolicyWaves, s)
	}
}

// Checks that a backend server is handed over for its reboot only once no entry can
// still call it, and that an aborted plan returns one that was not rebooted to service.
func TestBackendServerRebootsAfterItsCallsEnd(t *testing.T) {
	drained := Instance{Name: "b", Pool: "p", Backend: true, Plan: "m", Phase: fleet.PhaseDraining, Healthy: true, PhaseSince: 1000}
	now := drained.PhaseSince.Add(BackendDrainTime)
	tests := map[string]struct {
		change func(*Instance)
		state  fleet.PlanState
		want   fleet.InstancePhase
	}{
		"calls ended":          {func(*Instance) {}, fleet.PlanRunning, fleet.PhaseRebooting},
		"too early":            {func(i *Instance) { i.PhaseSince++ }, fleet.PlanRunning, ""},
		"silent":               {func(i *Instance) { i.Healthy = false }, fleet.PlanRunning, ""},
		"back in contact":      {func(i *Instance) { i.HealthySince = now - 1 }, fleet.PlanRunning, ""},
		"aborted":              {func(i *Instance) { i.Phase = fleet.PhaseRebooting }, fleet.PlanAborted, fleet.PhaseActive},
		"aborted while away":   {func(i *Instance) { i.Phase, i.Healthy = fleet.PhaseRebooting, false }, fleet.PlanAborted, ""},
		"aborted and rebooted": {func(i *Instance) { i.Phase, i.Rebooted = fleet.PhaseRebooting, true }, fleet.PlanAborted, fleet.PhaseVerifying},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			i := drained
			test.change(&i)
			plan := Compute(PolicyWaves, Snapshot{
				Now: now, Pools: map[string]fleet.Pool{"p": {Name: "p", MaxUnavailable: 1}}, Instances: []Instance{i},
				Plans: []fleet.MaintenancePlan{{Name: "m", Pool: "p", State: test.state}},
			})
			var got fleet.InstancePhase
			for _, step := range plan.Steps {
				got = step.Phase
			}
			require.Equal(t, test.want, got)
		})
	}
}
