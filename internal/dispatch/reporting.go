package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// reportingPoolPercent is the part of a pool's machines that must have reported to a new
	// leader before it moves machines into or out of the pool, and reportingTimeoutMS the
	// time after which it does so in any case: machines may be lost.
	reportingPoolPercent = 90
	reportingTimeoutMS   = 2500
)

// reportingPools returns the pools of the configuration whose demand is known: most of their
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

// onlyPools returns the demand of the given pools.
func onlyPools(demand map[string]capacity.Demand, pools map[string]bool) map[string]capacity.Demand {
	known := make(map[string]capacity.Demand, len(demand))
	for pool, d := range demand {
		if pools[pool] {
			known[pool] = d
		}
	}
	return known
}
