package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// reportingPoolPercent is the part of a pool's machines that must have reported to a new
	// leader before it takes machines out of the pool or counts them as full, and
	// reportingTimeoutMS the time after which it does so in any case: machines may be lost.
	reportingPoolPercent = 90
	reportingTimeoutMS   = 2500
)

// reportingPools returns the pools of the configuration whose state is known: most of their
// machines that are up have reported to this leader, or the leadership has lasted for
// reportingTimeoutMS. The machines of the spare pool report nothing.
//
// Load pattern: the leader is lost during a burst. Its successor first gets the reports of a
// few workers and sees all work wait for them. It would move hundreds of machines into pools
// that need none.
func (d *Dispatcher) reportingPools(s *workload.State, now int64) map[string]bool {
	up, reported := map[string]int{}, map[string]int{}
	for name, m := range d.machinesByName {
		if !m.Up || m.movedAt != 0 {
			continue
		}
		up[m.Pool]++
		if _, ok := d.workerOn(name); ok {
			reported[m.Pool]++
		}
	}
	pools := map[string]bool{}
	for pool, p := range s.Config.Pools {
		pools[pool] = p.Spare || now-d.leadingSince >= reportingTimeoutMS || reported[pool]*percent >= up[pool]*reportingPoolPercent
	}
	return pools
}

// allPoolsReporting reports whether most machines of each pool have reported to this leader,
// so that it knows which of them cost the least to drain.
func (d *Dispatcher) allPoolsReporting(s *workload.State, now int64) bool {
	for _, reporting := range d.reportingPools(s, now) {
		if !reporting {
			return false
		}
	}
	return true
}

// knownDemand returns the demand that machines may be moved for. That of a pool that is not
// reporting is its waiting work, less what the machines that have not reported can hold: they
// count with their listed capacity, less the runs that the replicated state shows there. The
// rest of its demand is not known yet.
//
// Load pattern: all stores lose power during a burst, and full workers report to the new
// leader over a second. Its backlog needs machines that are off, whatever they report.
func (d *Dispatcher) knownDemand(s *workload.State, reporting map[string]bool) map[string]capacity.Demand {
	known := make(map[string]capacity.Demand, len(d.demand))
	var free map[string]workload.Resources
	for pool, demand := range d.demand {
		if reporting[pool] {
			known[pool] = demand
			continue
		}
		if free == nil {
			free = d.unreportedFree(s)
		}
		demand.UnmetDemand = unmetBeyond(demand.UnmetDemand, free[pool])
		demand.Labels = nil
		known[pool] = demand
	}
	return known
}

// unreportedFree returns, by pool, what is free on the machines that are up and have not
// reported to this leader.
func (d *Dispatcher) unreportedFree(s *workload.State) map[string]workload.Resources {
	occupied := map[string]workload.Resources{}
	for _, runs := range s.RunsByWorker() {
		for _, p := range runs {
			occupied[p.Machine] = occupied[p.Machine].Plus(p.Occupies)
		}
	}
	free := map[string]workload.Resources{}
	for name, m := range d.machinesByName {
		if _, reported := d.workerOn(name); reported || !m.Up || m.movedAt != 0 {
			continue
		}
		left := m.Capacity.Minus(occupied[name])
		free[m.Pool] = free[m.Pool].Plus(workload.Resources{CPUMilli: max(left.CPUMilli, 0), MemoryMiB: max(left.MemoryMiB, 0)})
	}
	return free
}

// unmetBeyond returns the part of the waiting work that does not fit into the free resources.
func unmetBeyond(unmet capacity.UnmetDemand, free workload.Resources) capacity.UnmetDemand {
	const permille = 1000
	fits := int64(permille)
	for _, pair := range [][2]int64{{free.CPUMilli, unmet.Waiting.CPUMilli}, {free.MemoryMiB, unmet.Waiting.MemoryMiB}} {
		if pair[1] > 0 {
			fits = min(fits, pair[0]*permille/pair[1])
		}
	}
	rest := permille - fits
	return capacity.UnmetDemand{
		WorkMilliMS: unmet.WorkMilliMS / permille * rest,
		Waiting: workload.Resources{
			CPUMilli: unmet.Waiting.CPUMilli * rest / permille, MemoryMiB: unmet.Waiting.MemoryMiB * rest / permille,
			Accelerators: unmet.Waiting.Accelerators * rest / permille,
		},
	}
}
