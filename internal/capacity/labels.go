package capacity

import (
	"cmp"
	"slices"
)

// poolLabel names the need of a pool for machines with a label.
type poolLabel struct{ pool, label string }

// AddIncoming counts a machine with the labels that is on its way into a pool.
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

// supplyLabels moves machines with a label into the pools whose tasks require it.
//
// Load pattern: machines are of several kinds, and a pool in its turn holds none of
// the kind that a step requires: however many idle machines it has, the step waits.
func (d *decider) supplyLabels() {
	for _, need := range d.labelNeeds() {
		for want := d.wantedLabel(need); want > 0; want-- {
			if !d.supplyLabel(need) {
				break
			}
		}
	}
}

func (d *decider) labelNeeds() []poolLabel {
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

// wantedLabel is the number of machines with the label to add.
func (d *decider) wantedLabel(n poolLabel) int {
	need := d.in.Demand[n.pool].Labels[n.label]
	coming := d.in.IncomingLabels[n.pool][n.label]
	want := max(need.Spread, machinesFor(need.LongRunning, d.in.MachineCapacity))
	if !d.labelCalm(n, backlogMS) {
		size := max(d.in.MachineCapacity.CPUMilli, 1)
		clearing := (need.WorkMilliMS/clearMS + size - 1) / size
		want = max(want, min(int(clearing), machinesFor(need.Waiting, d.in.MachineCapacity)), 1)
	}
	return want - coming
}

// labelCalm tells whether the pool's machines with the label, and those on their way,
// need at most the time for the waiting work that requires it.
func (d *decider) labelCalm(n poolLabel, limitMS int64) bool {
	need, ok := d.in.Demand[n.pool].Labels[n.label]
	if !ok {
		return true
	}
	machines := int64(d.in.IncomingLabels[n.pool][n.label] + d.labelled[n])
	return need.Spread == 0 && need.WorkMilliMS <= limitMS*machines*d.in.MachineCapacity.CPUMilli
}

// bound tells whether the machine has a label for which its pool has waiting work.
func (d *decider) bound(m Machine) bool {
	return slices.ContainsFunc(m.Labels, func(label string) bool { return !d.labelCalm(poolLabel{m.Pool, label}, calmMS) })
}

// supplyLabel takes one machine with the label: off or idle, or one that another pool
// can do without.
func (d *decider) supplyLabel(n poolLabel) bool {
	fits := func(m Machine) bool { return m.Pool != n.pool && slices.Contains(m.Labels, n.label) }
	idle := func(m Machine) bool { return fits(m) && d.available(m) }
	m, ok := d.best(idle, func(a, b Machine) bool { return preferred(a, b, nil) })
	if ok {
		d.take(m, Move{Machine: m.Name, Pool: n.pool})
		return true
	}
	lent := func(m Machine) bool {
		return fits(m) && m.Tasks > 0 && d.sizes[m.Pool] > keepMachines && !d.bound(m) && d.surplus(m.Pool)
	}
	if m, ok = d.best(lent, func(a, b Machine) bool { return a.Tasks < b.Tasks }); ok {
		d.take(m, Move{Machine: m.Name, Pool: n.pool, WaitUntilIdle: true})
	}
	return ok
}
