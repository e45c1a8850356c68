package capacity

import (
	"cmp"
	"slices"
)

// Emptying returns the machines that should get no new tasks while others can take them, so
// that they become idle and can leave their pool.
//
// Load pattern: after a burst a pool has several times the machines that its work needs.
// Each runs a few tasks, and the little work that still arrives spreads over all of them, so
// that none becomes idle for long.
func Emptying(in Input) []string {
	if in.Spare == "" || in.KeepSurplus {
		return nil
	}
	d := newDecider(in)
	byPool := map[string][]Machine{}
	for _, m := range in.Machines {
		if m.Pool != in.Spare && !m.Evacuated && (m.Tasks > 0 || m.IdleMS >= 0) {
			byPool[m.Pool] = append(byPool[m.Pool], m)
		}
	}
	var out []string
	for pool, machines := range byPool {
		surplus := min(d.surplus(pool), len(machines))
		if surplus <= 0 {
			continue
		}
		slices.SortFunc(machines, func(a, b Machine) int { return cmp.Or(cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Name, b.Name)) })
		for _, m := range machines[:surplus] {
			if !d.neededForLabel(m) {
				out = append(out, m.Name)
			}
		}
	}
	slices.Sort(out)
	return out
}

// surplus returns the number of machines that the pool does not need for the work that it
// has and that arrives. It is 0 while work waits.
func (d *decider) surplus(pool string) int {
	demand := d.in.Demand[pool]
	if demand.Spread > 0 || demand.Waiting.CPUMilli > 0 || len(demand.Labels) > 0 {
		return 0
	}
	kept := d.machinesForWork(demand, max(demand.UsedMilli, demand.RateMilli)*100/keptUsePercent)
	return d.poolSizes[pool] - max(kept, minPoolMachines)
}

// pauseBeforeReleaseMS returns the idle time after which a machine of the pool is released.
func (d *decider) pauseBeforeReleaseMS(pool string) int64 {
	if !d.in.KeepSurplus && d.surplus(pool) > 0 {
		return emptiedIdleMS
	}
	return releaseIdleMS
}
