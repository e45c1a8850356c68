// Package capacity decides which machines move between pools and into the spare pool,
// whose machines are switched off. It does no I/O and reads no clock.
//
// The queues have bursts in turn: for several seconds a queue submits several times
// what its pool can run, and little in between. A move takes 1.5 s and a late job has a
// fraction of the value of one on time, so machines move as soon as a pool has a
// backlog. An idle machine costs as much in about 2 s as its release and return.
package capacity

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// addBacklogMS is the backlog of a pool above which machines are added to it. The
	// latency targets allow 3.6 s in addition to the work itself.
	addBacklogMS = 300
	// giveBacklogMS is the backlog of a pool below which its idle machines may leave.
	giveBacklogMS = 100
	// clearBacklogMS is the time in which the pool should clear its backlog once machines
	// are added. A shorter time would add machines that arrive after the burst is over.
	clearBacklogMS = 2000
	// usablePercent is the part of a machine that arriving work can use. Tasks that need
	// several cores leave some idle, and a start order takes time to reach the worker.
	usablePercent = 85
	// releaseIdleMS is the idle time after which a machine moves to the spare pool. The
	// two moves of a release and a return cost as much as 2.3 s of a machine, and after a
	// burst a pool has little work for longer than that.
	releaseIdleMS = 1000
	// emptiedIdleMS is the idle time after which a machine that its pool does not need moves
	// to the spare pool.
	emptiedIdleMS = 200
	// keptUsePercent is the part of a pool's kept machines that its work should use. The rest
	// is room for work that arrives.
	keptUsePercent = 70
	// reassignIdleMS is the idle time after which a machine may move to another pool that
	// needs it.
	reassignIdleMS = 300
	// donorUsePercent is the part of a pool's remaining machines that its work may use if
	// the pool gives up a machine that still runs tasks.
	donorUsePercent = 70
	// A pool may also take machines that run tasks when its backlog exceeds
	// donorBacklogFactor times the other pool's backlog by more than
	// donorBacklogMarginMS.
	donorBacklogMarginMS = 1000
	donorBacklogFactor   = 2
	// minPoolMachines is the smallest size to which a pool shrinks, so that arriving work
	// can start without a move.
	minPoolMachines = 4
)

// Machine is one machine that a decision may move.
type Machine struct {
	Name string
	Pool string
	Rack string
	// Labels are the labels that steps may require of their workers.
	Labels []string
	// Off is true for a machine that is switched off in the spare pool and can be moved.
	Off bool
	// IdleMS is the time in milliseconds for which the machine has run nothing. It is -1
	// when the machine runs tasks, does not report, or must not move.
	IdleMS int64
	// Tasks is the number of tasks on a machine whose tasks all end by themselves, so
	// that it becomes idle when it gets no new ones. It is 0 for any other machine.
	Tasks int
	// Evacuated is true for a machine in an evacuated data centre, on which nothing new starts. It
	// is not given to a pool and does not count in its own.
	Evacuated bool
}

// Demand is the demand for machines in one pool. The dispatcher logs it as JSON under
// the names of its fields.
type Demand struct {
	// UnmetDemand is the demand of the waiting tasks that any machine can run. Labels is
	// the demand of those that require a label, by label.
	UnmetDemand
	Labels map[string]UnmetDemand
	// RateMilli is the rate at which work arrives, in thousandths of a core.
	RateMilli int64
	// UsedMilli is what the running tasks of other than long-running steps occupy, in
	// thousandths of a core.
	UsedMilli int64
	// HeldMilli is what the long-running tasks of the pool's jobs require, whether they
	// run or wait, in thousandths of a core.
	HeldMilli int64
	// UsedMemoryMiB and HeldMemoryMiB are the memory of the same tasks.
	UsedMemoryMiB, HeldMemoryMiB int64
}

// UnmetDemand is the demand of waiting tasks that could not be placed.
type UnmetDemand struct {
	// WorkMilliMS is the work of the waiting tasks other than long-running ones, in
	// thousandths of a core times milliseconds.
	WorkMilliMS int64
	// Waiting is the sum of what the waiting tasks occupy.
	Waiting workload.Resources
	// Spread is the number of different machines that the waiting long-running tasks of
	// one step need, for the step that needs the most. LongRunning is the sum of what all
	// waiting long-running tasks occupy.
	Spread      int
	LongRunning workload.Resources
	// Overdue is the part of Waiting that has made no progress for a while. Such tasks may
	// be too large for what any machine has free, however little work waits in all.
	Overdue workload.Resources
}

// Input is the input of Decide, which changes none of it.
type Input struct {
	// Machines are the machines that have arrived in their pools. A machine that waits
	// until it is idle before it moves is listed in its old pool, and Incoming counts it
	// for the new one.
	Machines []Machine
	// Demand is the demand by pool.
	Demand map[string]Demand
	// Incoming is the number of machines that are moving into each pool.
	Incoming map[string]int
	// IncomingLabels is the number of these machines by pool and label.
	IncomingLabels map[string]map[string]int
	// Spare is the name of the spare pool; empty when there is none.
	Spare string
	// MachineCapacity is the average capacity of a machine.
	MachineCapacity workload.Resources
	// KeepSurplus is true if machines that a pool does not need are used like its others until
	// they are idle, and pools take machines that are off before idle ones of other pools.
	KeepSurplus bool
}

// Move moves a machine into a pool.
type Move struct {
	Machine string
	Pool    string
	// WaitUntilIdle is true when the machine still runs tasks. It must get no new ones,
	// and moves once they have ended.
	WaitUntilIdle bool
}

// Decide returns the moves to begin now, at most one for each machine.
func Decide(in Input) []Move {
	d := newDecider(in)
	d.addLabelledMachines()
	d.shareMachines()
	d.releaseIdle()
	return d.moves
}

func newDecider(in Input) *decider {
	d := &decider{in: in, poolSizes: map[string]int{}, evacuated: map[string]int{}, moved: map[string]bool{}, added: map[string]int{},
		labelled: map[poolLabel]int{}, racks: map[string]string{}, poolRacks: map[string]map[string]int{}}
	for _, m := range in.Machines {
		d.racks[m.Name] = m.Rack
		if m.Evacuated {
			d.evacuated[m.Pool]++
			continue
		}
		d.poolSizes[m.Pool]++
		for _, label := range m.Labels {
			d.labelled[poolLabel{m.Pool, label}]++
		}
	}
	return d
}

type decider struct {
	in Input
	// poolSizes is the number of machines by pool, without those that are evacuated or that
	// this decision moves out.
	poolSizes map[string]int
	// evacuated is the number of evacuated machines by pool.
	evacuated map[string]int
	// moved holds the machines that this decision moves.
	moved map[string]bool
	// added is the number of machines that this decision moves into each pool.
	added map[string]int
	// labelled is the number of machines by pool and label, and racks the rack by machine.
	// They are computed once, since a decision of hundreds of moves reads them for each
	// machine.
	labelled map[poolLabel]int
	racks    map[string]string
	// poolRacks is the number of machines by rack, for each receiving pool: those of the
	// pool and all that this decision moves, wherever to.
	poolRacks map[string]map[string]int
	moves     []Move
}

// poolsByBacklog returns the pools that need machines, the largest backlog first.
func (d *decider) poolsByBacklog() []string {
	var pools []string
	for pool := range d.in.Demand {
		if pool != d.in.Spare && d.machinesToAdd(pool) > 0 {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.backlogMS(b), d.backlogMS(a)), cmp.Compare(a, b))
	})
	return pools
}

// backlogMS returns the time in milliseconds that the pool's machines need for the
// waiting work.
func (d *decider) backlogMS(pool string) int64 {
	cpuMilli := int64(max(d.poolSizes[pool], 1)) * max(d.in.MachineCapacity.CPUMilli, 1)
	return d.in.Demand[pool].WorkMilliMS / cpuMilli
}

// machinesToAdd returns the number of machines that the pool lacks. It may be negative.
func (d *decider) machinesToAdd(pool string) int {
	demand := d.in.Demand[pool]
	present := d.poolSizes[pool] + d.in.Incoming[pool] + d.added[pool]
	spread := max(demand.Spread, machinesFor(demand.LongRunning, d.in.MachineCapacity)) - d.in.Incoming[pool]
	if d.backlogMS(pool) <= addBacklogMS {
		return max(spread, machinesFor(demand.Overdue, d.in.MachineCapacity)-d.in.Incoming[pool], d.lackedByEvacuation(pool))
	}
	return max(d.requiredMachines(pool)-present, spread, d.lackedByEvacuation(pool))
}

// requiredMachines returns the number of machines that run the long-running tasks, serve
// the arriving work and clear the backlog within clearBacklogMS, in processor time and in
// memory.
func (d *decider) requiredMachines(pool string) int {
	demand := d.in.Demand[pool]
	size := max(d.in.MachineCapacity.CPUMilli, 1)
	arriving := demand.RateMilli * 100 / usablePercent
	// Machines beyond those that the waiting tasks fill would be idle.
	clearing := min(demand.WorkMilliMS/clearBacklogMS, int64(machinesFor(demand.Waiting, d.in.MachineCapacity))*size)
	return d.machinesForWork(demand, arriving+clearing)
}

// machinesForWork returns the number of machines that hold the pool's long-running tasks and
// the given amount of other work, in thousandths of a core. That work needs as much memory for
// each core as what runs and waits now.
func (d *decider) machinesForWork(demand Demand, workMilli int64) int {
	need := workload.Resources{CPUMilli: demand.HeldMilli + workMilli, MemoryMiB: demand.HeldMemoryMiB}
	if cpuMilli := demand.UsedMilli + demand.Waiting.CPUMilli; cpuMilli > 0 {
		need.MemoryMiB += int64(float64(workMilli) * float64(demand.UsedMemoryMiB+demand.Waiting.MemoryMiB) / float64(cpuMilli))
	}
	return machinesFor(need, d.in.MachineCapacity)
}

// machinesFor returns the number of machines of the given size that provide the needed
// resources.
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

// need is the number of machines that a pool lacks, and of those that it was given.
type need struct {
	pool         string
	lacks, given int
}

// shareMachines moves machines into the pools that need them, one at a time to the pool that
// has got the smallest part of what it lacks, so that several pools in a burst at once keep
// pace with each other.
func (d *decider) shareMachines() {
	var needs []need
	for _, pool := range d.poolsByBacklog() {
		needs = append(needs, need{pool: pool, lacks: d.machinesToAdd(pool)})
	}
	for len(needs) > 0 {
		next := 0
		for i := range needs {
			if needs[i].given*needs[next].lacks < needs[next].given*needs[i].lacks {
				next = i
			}
		}
		n := &needs[next]
		n.given++
		if !d.addMachine(n.pool) || n.given == n.lacks {
			needs = slices.Delete(needs, next, next+1)
		}
	}
}

// addMachine moves one machine into a pool: one that is off, or else an idle one of a pool
// without a backlog, or else one that still runs tasks. It returns false if there is none.
func (d *decider) addMachine(pool string) bool {
	if m, ok := d.idleDonor(pool); ok {
		d.addMove(m, Move{Machine: m.Name, Pool: pool})
		return true
	}
	m, ok := d.busyDonor(pool)
	if ok {
		d.addMove(m, Move{Machine: m.Name, Pool: pool, WaitUntilIdle: true})
	}
	return ok
}

// busyDonor returns the machine with the fewest tasks among the pools that have a surplus
// or a much shorter backlog.
//
// A pool with more machines than it needs may spread its tasks over all of them. None
// is idle then, and without this rule another pool's backlog would keep growing.
func (d *decider) busyDonor(pool string) (Machine, bool) {
	eligible := func(m Machine) bool {
		return m.Tasks > 0 && !m.Evacuated && m.Pool != pool && d.poolSizes[m.Pool] > minPoolMachines && !d.neededForLabel(m) && d.mayDonateBusy(m.Pool, pool)
	}
	return d.selectMachine(eligible, func(a, b Machine) bool { return a.Tasks < b.Tasks })
}

// selectMachine returns the best eligible machine that this decision has not moved yet.
func (d *decider) selectMachine(eligible func(Machine) bool, better func(a, b Machine) bool) (Machine, bool) {
	var best Machine
	found := false
	for _, m := range d.in.Machines {
		if d.moved[m.Name] || !eligible(m) || (found && !better(m, best)) {
			continue
		}
		best, found = m, true
	}
	return best, found
}

// mayDonateBusy reports whether the pool may give a machine that runs tasks to another.
func (d *decider) mayDonateBusy(pool, to string) bool {
	return d.hasSurplus(pool) || d.backlogMS(to) > donorBacklogFactor*d.backlogMS(pool)+donorBacklogMarginMS
}

// hasSurplus reports whether the pool has enough capacity without one of its machines.
func (d *decider) hasSurplus(pool string) bool {
	demand := d.in.Demand[pool]
	remaining := int64(d.poolSizes[pool]-1) * d.in.MachineCapacity.CPUMilli
	busy := demand.HeldMilli + demand.UsedMilli + demand.Waiting.CPUMilli
	return demand.Spread == 0 && busy*100 < remaining*donorUsePercent && d.requiredMachines(pool) < d.poolSizes[pool]
}

// idleDonor returns the best machine of another pool that can move at once.
func (d *decider) idleDonor(pool string) (Machine, bool) {
	racks := d.poolRacks[pool]
	if racks == nil {
		racks = map[string]int{}
		for _, m := range d.in.Machines {
			if m.Pool == pool {
				racks[m.Rack]++
			}
		}
		for _, move := range d.moves {
			racks[d.racks[move.Machine]]++
		}
		d.poolRacks[pool] = racks
	}
	eligible := func(m Machine) bool { return m.Pool != pool && d.available(m) }
	return d.selectMachine(eligible, func(a, b Machine) bool { return d.ranksHigher(a, b, racks) })
}

// available reports whether the machine can move to another pool at once.
func (d *decider) available(m Machine) bool {
	return !m.Evacuated && (m.Off || m.IdleMS >= reassignIdleMS && d.mayDonateIdle(m.Pool) && !d.neededForLabel(m))
}

// mayDonateIdle reports whether the pool can give up an idle machine.
func (d *decider) mayDonateIdle(pool string) bool {
	idle := d.in.Demand[pool].Spread == 0 && d.backlogMS(pool) < giveBacklogMS
	return idle && d.poolSizes[pool] > max(minPoolMachines, d.requiredMachines(pool))
}

// ranksHigher reports whether machine a is preferred to machine b. Idle machines of other
// pools come before those that are off, unless KeepSurplus: a direct move replaces a release
// and a return. Then come machines in racks in which the receiving pool has fewer machines,
// then the machine that has been idle for longer.
func (d *decider) ranksHigher(a, b Machine, racks map[string]int) bool {
	if a.Off != b.Off {
		return b.Off != d.in.KeepSurplus
	}
	if racks[a.Rack] != racks[b.Rack] {
		return racks[a.Rack] < racks[b.Rack]
	}
	if a.IdleMS != b.IdleMS {
		return a.IdleMS > b.IdleMS
	}
	return a.Name < b.Name
}

// releaseIdle moves idle machines into the spare pool.
func (d *decider) releaseIdle() {
	if d.in.Spare == "" {
		return
	}
	for _, m := range d.in.Machines {
		if m.Off || m.Pool == d.in.Spare || d.moved[m.Name] || m.IdleMS < d.pauseBeforeReleaseMS(m.Pool) {
			continue
		}
		if d.mayRelease(m) {
			d.addMove(m, Move{Machine: m.Name, Pool: d.in.Spare})
		}
	}
}

func (d *decider) addMove(m Machine, move Move) {
	for _, racks := range d.poolRacks {
		racks[m.Rack]++
	}
	d.moved[m.Name] = true
	if !m.Evacuated {
		d.poolSizes[m.Pool]--
		for _, label := range m.Labels {
			d.labelled[poolLabel{m.Pool, label}]--
		}
	}
	d.added[move.Pool]++
	d.moves = append(d.moves, move)
}
