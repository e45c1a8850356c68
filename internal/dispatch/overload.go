package dispatch

import (
	"maps"

	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// reportOverloads updates the metrics of overloaded pools, and logs when a pool's overload
// begins and ends. The caller holds mu.
func (d *Dispatcher) reportOverloads(overloads map[string]taskplan.Overload) {
	behind := 0
	for pool, o := range overloads {
		behind += o.Behind
		if !d.overloaded[pool] {
			d.overloaded[pool] = true
			d.logger.Info().Str("pool", pool).Int("in_time", o.InTime).Int("behind", o.Behind).Msg("pool is overloaded, jobs that can't be in time give way")
		}
	}
	maps.DeleteFunc(d.overloaded, func(pool string, _ bool) bool {
		if _, still := overloads[pool]; still {
			return false
		}
		d.logger.Info().Str("pool", pool).Msg("pool is no longer overloaded")
		return true
	})
	d.meters.overloadedPools.Update(int64(len(overloads)))
	d.meters.behind.Update(int64(behind))
}

// incomingMilli returns the processor time of the machines on their way to each pool, in
// thousandths of a core. The caller holds mu.
func (d *Dispatcher) incomingMilli(s *workload.State, now int64) map[string]int64 {
	incoming, spare := map[string]int64{}, sparePool(s)
	for name, m := range d.machinesByName {
		if t, inTransfer := d.transfers[name]; inTransfer {
			incoming[t.pool] += m.Capacity.CPUMilli
		} else if m.Pool != spare && !s.Evacuated(m.DataCentre) && d.inTransit(m, spare, now) {
			incoming[m.Pool] += m.Capacity.CPUMilli
		}
	}
	return incoming
}
