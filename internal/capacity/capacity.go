// Package capacity decides which machines move between pools and into the spare
// pool, where they are off. It is pure.
//
// Load pattern: the queues take turns. Each asks for some seconds for several
// times what its pool holds, and for little in between. A move takes 1.5 s, and a
// late job is worth a fraction, so machines follow the backlog; an idle machine
// costs as much as its release and return after about 2 s.
package capacity

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// backlogMS is the time that the pool would need for its waiting work, above
	// which machines are added. Latency targets leave 3.6 s beside the work itself.
	backlogMS = 300
	// calmMS is the backlog below which idle machines may leave.
	calmMS = 100
	// clearMS is the time in which added machines should clear the waiting work. Less
	// would add machines that arrive after the burst is served.
	clearMS = 2000
	// usedShare is the part of a machine, in percent, that arriving work can use:
	// tasks of some cores leave gaps, and orders take time to arrive.
	usedShare = 85
	// releaseIdleMS is the idle time after which a machine goes to the spare pool:
	// two moves cost as much as 2.3 s of a machine, and a pool that was just served
	// is calm for longer.
	releaseIdleMS = 1000
	// borrowIdleMS is the idle time after which another pool may take a machine.
	borrowIdleMS = 300
	// lendShare is the part of a pool, in percent, that its work may use if it is to
	// lend a machine that still runs tasks.
	lendShare = 70
	// lendBacklogMS and lendFactor are by how much the backlog of a pool must be
	// above that of another for it to take machines that work there.
	lendBacklogMS = 1000
	lendFactor    = 2
	// keepMachines is the smallest pool: work that arrives needs no move to start.
	keepMachines = 4
)

// Machine is one machine that could move.
type Machine struct {
	Name string
	Pool string
	Rack string
	// Labels are what steps may require of their workers.
	Labels []string
	// Off machines are in the spare pool and run nothing.
	Off bool
	// IdleMS is the time for which the machine has run nothing; -1 while it runs
	// something, does not report, or must not move.
	IdleMS int64
	// Tasks counts what a machine runs that could be emptied: all its tasks end by
	// themselves. It is 0 for any other.
	Tasks int
}

// Demand is what a pool is asked for.
type Demand struct {
	// UnmetDemand is what waits for room on any machine, and Labels what waits for one with a
	// label.
	UnmetDemand
	Labels map[string]UnmetDemand
	// RateMilli is the work that arrives, in thousandths of a core.
	RateMilli int64
	// UsedMilli is what its other tasks use, in thousandths of a core.
	UsedMilli int64
	// HeldMilli is what long-running tasks use, in thousandths of a core.
	HeldMilli int64
}

// UnmetDemand is what waits for room.
type UnmetDemand struct {
	// WorkMilliMS is the waiting work in thousandths of a core times milliseconds.
	WorkMilliMS int64
	// Waiting is the room that the waiting tasks take together.
	Waiting workload.Resources
	// Spread is the number of machines that waiting long-running tasks need beside each
	// other, and LongRunning the room that these take together.
	Spread      int
	LongRunning workload.Resources
}

// Input is what a decision is made from.
type Input struct {
	Machines []Machine
	Demand   map[string]Demand
	// Incoming counts the machines on their way into each pool.
	Incoming map[string]int
	// IncomingLabels counts them by pool and label.
	IncomingLabels map[string]map[string]int
	// Spare is the pool whose machines are off; empty when there is none.
	Spare string
	// MachineCapacity is the capacity of one machine.
	MachineCapacity workload.Resources
}

// Move takes a machine into a pool.
type Move struct {
	Machine string
	Pool    string
	// WaitUntilIdle is true when the machine has to run out of work first.
	WaitUntilIdle bool
}

// Decide returns the moves to make now.
func Decide(in Input) []Move {
	d := decider{in: in, sizes: map[string]int{}, taken: map[string]bool{}, added: map[string]int{},
		labelled: map[poolLabel]int{}, racks: map[string]string{}}
	for _, m := range in.Machines {
		d.sizes[m.Pool]++
		d.racks[m.Name] = m.Rack
		for _, label := range m.Labels {
			d.labelled[poolLabel{m.Pool, label}]++
		}
	}
	d.supplyLabels()
	for _, pool := range d.pressed() {
		d.supply(pool, d.wanted(pool))
	}
	d.release()
	return d.moves
}

type decider struct {
	in    Input
	sizes map[string]int
	taken map[string]bool
	// added counts the machines that this decision sends to each pool.
	added map[string]int
	// labelled counts the machines of each pool by label, and racks holds their racks:
	// a decision of hundreds of moves asks for them for each machine.
	labelled map[poolLabel]int
	racks    map[string]string
	moves    []Move
}

// pressed returns the pools with demand, the largest backlog first.
func (d *decider) pressed() []string {
	var pools []string
	for pool := range d.in.Demand {
		if pool != d.in.Spare && d.wanted(pool) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.backlog(b), d.backlog(a)), cmp.Compare(a, b))
	})
	return pools
}

// backlog is the time that the pool's machines need for the waiting work.
func (d *decider) backlog(pool string) int64 {
	room := int64(max(d.sizes[pool], 1)) * max(d.in.MachineCapacity.CPUMilli, 1)
	return d.in.Demand[pool].WorkMilliMS / room
}

// wanted is the number of machines to add.
func (d *decider) wanted(pool string) int {
	demand := d.in.Demand[pool]
	have := d.sizes[pool] + d.in.Incoming[pool] + d.added[pool]
	spread := max(demand.Spread, machinesFor(demand.LongRunning, d.in.MachineCapacity)) - d.in.Incoming[pool]
	if d.backlog(pool) <= backlogMS {
		return spread
	}
	return max(d.needed(pool)-have, spread)
}

// needed is the number of machines that serve what arrives and clear what waits.
func (d *decider) needed(pool string) int {
	demand := d.in.Demand[pool]
	size := max(d.in.MachineCapacity.CPUMilli, 1)
	arriving := demand.RateMilli * 100 / usedShare
	// More machines than the waiting tasks fill would stand idle.
	clearing := min(demand.WorkMilliMS/clearMS, int64(machinesFor(demand.Waiting, d.in.MachineCapacity))*size)
	return int((demand.HeldMilli + arriving + clearing + size - 1) / size)
}

func machinesFor(need, size workload.Resources) int {
	n := 0
	for _, pair := range [][2]int64{
		{need.CPUMilli, size.CPUMilli}, {need.MemoryMiB, size.MemoryMiB}, {need.Accelerators, size.Accelerators},
	} {
		if pair[1] > 0 {
			n = max(n, int((pair[0]+pair[1]-1)/pair[1]))
		}
	}
	return n
}

// supply moves machines into a pool: first those that are off, then idle ones of
// pools without demand.
func (d *decider) supply(pool string, want int) {
	for ; want > 0; want-- {
		if m, ok := d.source(pool); ok {
			d.take(m, Move{Machine: m.Name, Pool: pool})
			continue
		}
		m, ok := d.lender(pool)
		if !ok {
			return
		}
		d.take(m, Move{Machine: m.Name, Pool: pool, WaitUntilIdle: true})
	}
}

// lender returns the machine with the fewest tasks in a pool that can do without
// it, or whose backlog is much shorter.
//
// Load pattern: a pool is served well and its work spreads over all its machines,
// so that none is idle, while another pool falls behind.
func (d *decider) lender(pool string) (Machine, bool) {
	may := func(m Machine) bool {
		return m.Tasks > 0 && m.Pool != pool && d.sizes[m.Pool] > keepMachines && !d.bound(m) && d.lends(m.Pool, pool)
	}
	return d.best(may, func(a, b Machine) bool { return a.Tasks < b.Tasks })
}

// best returns the best of the machines that are not taken and may be.
func (d *decider) best(may func(Machine) bool, better func(a, b Machine) bool) (Machine, bool) {
	var best Machine
	found := false
	for _, m := range d.in.Machines {
		if d.taken[m.Name] || !may(m) || (found && !better(m, best)) {
			continue
		}
		best, found = m, true
	}
	return best, found
}

func (d *decider) lends(pool, to string) bool {
	return d.surplus(pool) || d.backlog(to) > lendFactor*d.backlog(pool)+lendBacklogMS
}

// surplus tells whether the pool does without one of its machines.
func (d *decider) surplus(pool string) bool {
	demand := d.in.Demand[pool]
	rest := int64(d.sizes[pool]-1) * d.in.MachineCapacity.CPUMilli
	busy := demand.HeldMilli + demand.UsedMilli + demand.Waiting.CPUMilli
	return demand.Spread == 0 && busy*100 < rest*lendShare && d.needed(pool) < d.sizes[pool]
}

func (d *decider) source(pool string) (Machine, bool) {
	racks := map[string]int{}
	for _, m := range d.in.Machines {
		if m.Pool == pool {
			racks[m.Rack]++
		}
	}
	for _, move := range d.moves {
		racks[d.racks[move.Machine]]++
	}
	may := func(m Machine) bool { return m.Pool != pool && d.available(m) }
	return d.best(may, func(a, b Machine) bool { return preferred(a, b, racks) })
}

// available tells whether another pool may have the machine at once.
func (d *decider) available(m Machine) bool {
	return m.Off || (m.IdleMS >= borrowIdleMS && d.gives(m.Pool) && !d.bound(m))
}

// gives tells whether the pool can give an idle machine away.
func (d *decider) gives(pool string) bool {
	calm := d.in.Demand[pool].Spread == 0 && d.backlog(pool) < calmMS
	return calm && d.sizes[pool] > max(keepMachines, d.needed(pool))
}

// preferred takes machines that are off first, then racks that the pool has few
// machines in, then the longest idle.
func preferred(a, b Machine, racks map[string]int) bool {
	if a.Off != b.Off {
		return a.Off
	}
	if racks[a.Rack] != racks[b.Rack] {
		return racks[a.Rack] < racks[b.Rack]
	}
	if a.IdleMS != b.IdleMS {
		return a.IdleMS > b.IdleMS
	}
	return a.Name < b.Name
}

// release sends idle machines to the spare pool.
func (d *decider) release() {
	if d.in.Spare == "" {
		return
	}
	for _, m := range d.in.Machines {
		if m.Off || m.Pool == d.in.Spare || d.taken[m.Name] || m.IdleMS < releaseIdleMS {
			continue
		}
		if d.gives(m.Pool) && !d.bound(m) {
			d.take(m, Move{Machine: m.Name, Pool: d.in.Spare})
		}
	}
}

func (d *decider) take(m Machine, move Move) {
	d.taken[m.Name] = true
	d.sizes[m.Pool]--
	d.added[move.Pool]++
	d.moves = append(d.moves, move)
}
