package capacity

// lackedByEvacuation returns the number of machines that a pool lacks although it has no
// backlog, because some of its machines are in an evacuated data centre. It may be negative.
//
// Load pattern: a third of the machines of each pool is lost to new work at once. Their tasks
// end over the next seconds, and the work that arrives meanwhile finds the others full. Machines
// that are added once there is a backlog arrive too late for it. A pool gets what its load needs,
// not all that it lost.
func (d *decider) lackedByEvacuation(pool string) int {
	if d.evacuated[pool] == 0 {
		return 0
	}
	demand := d.in.Demand[pool]
	required := max(d.machinesForWork(demand, max(demand.RateMilli, demand.UsedMilli)*100/usablePercent), minPoolMachines)
	return required - d.poolSizes[pool] - d.in.Incoming[pool] - d.added[pool]
}

// mayRelease reports whether an idle machine may go to the spare pool. One in an evacuated data
// centre runs nothing there for as long as that lasts, whatever its pool needs.
func (d *decider) mayRelease(m Machine) bool {
	return m.Evacuated || d.mayDonateIdle(m.Pool) && !d.neededForLabel(m)
}
