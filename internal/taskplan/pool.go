package taskplan

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// poolWorkers holds the workers of one pool in the order in which best fit prefers them.
//
// Load pattern: at the start of a burst, or after a change of leader, thousands of tasks
// wait for hundreds of workers. Comparing every worker for every task takes longer than an
// election timeout then; a sorted group finds the tightest fit by binary search.
type poolWorkers struct {
	// suspectWorkers is the number of workers that have a suspect task, and suspectsTogether the number
	// of suspects that may share one; 0 until it is computed.
	suspectWorkers, suspectsTogether int
	all                              []*workerState
	// groups holds the workers by data centre and tier. Each group is sorted by compareFit.
	groups map[groupKey][]*workerState
	// dataCentres are the data centres of the workers, sorted.
	dataCentres []string
	byRack      map[string][]*workerState
	// freeMilli is the free processor time by data centre, in thousandths of a core, without
	// that of emptying workers.
	freeMilli map[string]int64
}

type groupKey struct {
	dataCentre string
	tier       tier
}

// tier orders workers by how long they stay in the pool; the lowest is filled first.
type tier int

const (
	// holdsLongRunning workers stay in the pool anyway.
	holdsLongRunning tier = iota
	// becomesIdle workers can be released once they run nothing.
	becomesIdle
	// emptying workers are to run nothing soon.
	emptying
)

func newPoolWorkers(workers []*workerState) *poolWorkers {
	p := &poolWorkers{all: workers, byRack: map[string][]*workerState{}}
	for _, w := range workers {
		p.byRack[w.Rack] = append(p.byRack[w.Rack], w)
	}
	p.sort()
	return p
}

// sort computes the groups from the present state of the workers.
func (p *poolWorkers) sort() {
	p.groups, p.freeMilli, p.dataCentres = map[groupKey][]*workerState{}, map[string]int64{}, nil
	p.suspectWorkers = 0
	for _, w := range p.all {
		if w.hasSuspects {
			p.suspectWorkers++
		}
		if _, known := p.freeMilli[w.DataCentre]; !known {
			p.dataCentres = append(p.dataCentres, w.DataCentre)
		}
		p.freeMilli[w.DataCentre] += w.countedFreeMilli()
		key := w.group()
		p.groups[key] = append(p.groups[key], w)
	}
	slices.Sort(p.dataCentres)
	for _, group := range p.groups {
		slices.SortFunc(group, compareFit)
	}
}

// compareFit orders workers by their free processor time: the least first, which keeps the
// others idle.
func compareFit(a, b *workerState) int {
	return cmp.Or(cmp.Compare(a.free.CPUMilli, b.free.CPUMilli), cmp.Compare(a.Incarnation.ID, b.Incarnation.ID), cmp.Compare(a.Incarnation.Born, b.Incarnation.Born))
}

func (w *workerState) group() groupKey { return groupKey{w.DataCentre, w.tier()} }

func (w *workerState) tier() tier {
	switch {
	case w.Emptying:
		return emptying
	case w.longRunning > 0:
		return holdsLongRunning
	}
	return becomesIdle
}

// countedFreeMilli is the free processor time that counts for the worker's data centre.
func (w *workerState) countedFreeMilli() int64 {
	if w.Emptying {
		return 0
	}
	return w.free.CPUMilli
}

// occupy takes the resources of one more task of the step from the worker.
func (p *poolWorkers) occupy(w *workerState, step *workload.Step) {
	p.remove(w)
	before := w.countedFreeMilli()
	w.free = w.free.Minus(step.Occupies())
	p.freeMilli[w.DataCentre] += w.countedFreeMilli() - before
	w.tasks++
	w.starts++
	if step.LongRunning {
		w.longRunning++
	}
	if w.startsLeft > 0 {
		w.startsLeft--
	}
	p.insert(w)
}

func (p *poolWorkers) remove(w *workerState) {
	group := p.groups[w.group()]
	if i, found := slices.BinarySearchFunc(group, w, compareFit); found {
		p.groups[w.group()] = slices.Delete(group, i, i+1)
	}
}

func (p *poolWorkers) insert(w *workerState) {
	group := p.groups[w.group()]
	i, _ := slices.BinarySearchFunc(group, w, compareFit)
	p.groups[w.group()] = slices.Insert(group, i, w)
}

// fitting returns the workers of a group with at least the given free processor time, in
// thousandths of a core, the tightest fit first.
func (p *poolWorkers) fitting(key groupKey, cpuMilli int64) []*workerState {
	group := p.groups[key]
	i, _ := slices.BinarySearchFunc(group, cpuMilli, func(w *workerState, want int64) int {
		return cmp.Or(cmp.Compare(w.free.CPUMilli, want), 1)
	})
	return group[i:]
}
