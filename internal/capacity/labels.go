package capacity

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// poolLabel identifies the machines of a pool that have a label.
type poolLabel struct{ pool, label string }

// AddIncoming counts a machine with the given labels that is moving into the pool, in
// Incoming and IncomingLabels.
func (in *Input) AddIncoming(pool string, labels []string) {
	if in.Incoming == nil {
		in.Incoming, in.IncomingLabels = map[string]int{}, map[string]map[string]int{}
	}
	in.Incoming[pool]++
	if in.IncomingLabels[pool] == nil {
		in.IncomingLabels[pool] = map[string]int{}
	}
	for _, label := range labels {
		in.IncomingLabels[pool][label]++
	}
}

// addLabelledMachines moves machines with a label into the pools whose tasks require it.
//
// Machines are of several kinds, which their labels tell apart. A pool in a burst may
// have no machine of the kind that a step requires, and the step then waits however many
// machines of other kinds are idle.
func (d *decider) addLabelledMachines() {
	for _, need := range d.demandedLabels() {
		for count := d.labelledMachinesToAdd(need); count > 0; count-- {
			if !d.addLabelledMachine(need) {
				break
			}
		}
	}
}

// demandedLabels returns the pools and labels with waiting tasks, in a fixed order.
func (d *decider) demandedLabels() []poolLabel {
	var out []poolLabel
	for pool, demand := range d.in.Demand {
		for label := range demand.Labels {
			out = append(out, poolLabel{pool, label})
		}
	}
	slices.SortFunc(out, func(a, b poolLabel) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.label, b.label))
	})
	return out
}

// labelledMachinesToAdd returns the number of machines with the label that the pool
// lacks. It may be negative.
func (d *decider) labelledMachinesToAdd(n poolLabel) int {
	need := d.in.Demand[n.pool].Labels[n.label]
	incoming := d.in.IncomingLabels[n.pool][n.label]
	want := max(need.Spread, machinesFor(need.LongRunning, d.in.MachineCapacity), machinesFor(need.Overdue, d.in.MachineCapacity))
	if !d.labelBacklogWithin(n, addBacklogMS) {
		size := max(d.in.MachineCapacity.CPUMilli, 1)
		clearing := (need.WorkMilliMS/clearBacklogMS + size - 1) / size
		want = max(want, min(int(clearing), machinesFor(need.Waiting, d.in.MachineCapacity)), 1)
	}
	return want - incoming
}

// labelBacklogWithin reports whether the pool's machines with the label, together with
// the incoming ones, can do the waiting work that requires it within the limit. It is
// false while long-running tasks wait for machines with the label.
func (d *decider) labelBacklogWithin(n poolLabel, limitMS int64) bool {
	need, ok := d.in.Demand[n.pool].Labels[n.label]
	if !ok {
		return true
	}
	machines := int64(d.in.IncomingLabels[n.pool][n.label] + d.labelled[n])
	return need.Spread == 0 && need.WorkMilliMS <= limitMS*machines*d.in.MachineCapacity.CPUMilli
}

// neededForLabel reports whether the machine has a label for which its pool has a backlog.
func (d *decider) neededForLabel(m Machine) bool {
	return slices.ContainsFunc(m.Labels, func(label string) bool { return !d.labelBacklogWithin(poolLabel{m.Pool, label}, giveBacklogMS) })
}

// addLabelledMachine moves one machine with the label into the pool: one that is off or
// idle, or else one that still runs tasks in a pool with a surplus, or else one of several
// that another pool uses. It reports whether there was one.
func (d *decider) addLabelledMachine(n poolLabel) bool {
	labelled := func(m Machine) bool { return m.Pool != n.pool && slices.Contains(m.Labels, n.label) }
	idle := func(m Machine) bool { return labelled(m) && d.available(m) }
	m, ok := d.selectMachine(idle, func(a, b Machine) bool { return d.ranksHigher(a, b, nil) })
	if ok {
		d.addMove(m, Move{Machine: m.Name, Pool: n.pool})
		return true
	}
	busy := func(m Machine) bool {
		return labelled(m) && m.Tasks > 0 && !m.Evacuated && d.poolSizes[m.Pool] > minPoolMachines && !d.neededForLabel(m) && d.hasSurplus(m.Pool)
	}
	fewestTasks := func(a, b Machine) bool { return a.Tasks < b.Tasks }
	if m, ok = d.selectMachine(busy, fewestTasks); !ok && d.cannotServe(n) {
		oneOfSeveral := func(m Machine) bool { return labelled(m) && d.sharesLabel(m, n.label) }
		m, ok = d.selectMachine(oneOfSeveral, fewestTasks)
	}
	if ok {
		d.addMove(m, Move{Machine: m.Name, Pool: n.pool, WaitUntilIdle: m.Tasks > 0})
	}
	return ok
}

// cannotServe reports whether the pool's own machines with the label can't run some of the
// work that requires it, however long it waits: a long-running task that has no machine, or
// overdue tasks in a pool without any.
func (d *decider) cannotServe(n poolLabel) bool {
	need := d.in.Demand[n.pool].Labels[n.label]
	none := d.labelled[n]+d.in.IncomingLabels[n.pool][n.label] == 0
	return need.Spread > 0 || (none && need.Overdue != workload.Resources{})
}

// sharesLabel reports whether the machine can leave a pool whose work requires the label: the
// pool keeps another one, and none of its long-running tasks waits for the label.
//
// Load pattern: few machines have a label that the work of several pools requires, and more
// work waits in each pool than they can run. The pool that had them kept them all.
func (d *decider) sharesLabel(m Machine, label string) bool {
	runsOut := m.Tasks > 0 || m.IdleMS >= 0
	return runsOut && m.Pool != d.in.Spare && d.labelled[poolLabel{m.Pool, label}] > 1 && d.in.Demand[m.Pool].Labels[label].Spread == 0
}
