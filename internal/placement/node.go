package placement

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// node is a worker with its free resources during planning.
type node struct {
	Worker
	// free is the capacity less the resources allocated to tasks.
	free  fleet.Resources
	tasks []Task
	// dataCentreIndex and rackIndex are the location indexes of the node's data centre
	// and rack in its pool. They are equal for a node without a rack.
	dataCentreIndex, rackIndex int
	// reservedFor is the job that holds a reservation of the node, or empty.
	reservedFor    string
	reservedUrgent bool
}

// teamQueue identifies the work of a team in a queue.
type teamQueue struct{ team, queue string }

// location is a rack of a data centre or, with an empty rack, the whole data centre.
type location struct{ dataCentre, rack string }

// pool holds the nodes of a pool, sorted by name.
type pool struct {
	nodes []*node
	// locationIndexes numbers the racks and data centres of the pool.
	locationIndexes map[location]int
	// taskCounts holds the number of tasks of a team and queue by location index.
	taskCounts map[teamQueue][]int
	// reservedNodes is the number of nodes with a reservation for a job that is not
	// urgent.
	reservedNodes int
	// scoreLimits holds, by resource kind, the score above which teams get no more of
	// the kind; nil means no limit.
	scoreLimits [resourceKinds]*float64
}

// buildPools returns the pools by name and the nodes by worker.
func buildPools(s Snapshot) (map[string]*pool, map[string]*node) {
	pools := map[string]*pool{}
	nodes := make(map[string]*node, len(s.Workers))
	for _, w := range s.Workers {
		p := pools[w.Pool]
		if p == nil {
			p = &pool{taskCounts: map[teamQueue][]int{}, locationIndexes: map[location]int{}}
			pools[w.Pool] = p
		}
		n := &node{Worker: w, free: w.Capacity}
		n.dataCentreIndex = p.locationIndex(location{dataCentre: w.DataCentre})
		n.rackIndex = p.locationIndex(location{dataCentre: w.DataCentre, rack: w.Rack})
		p.nodes = append(p.nodes, n)
		nodes[w.Name] = n
	}
	for _, p := range pools {
		slices.SortFunc(p.nodes, func(a, b *node) int { return compare(a.Name, b.Name) })
	}
	for _, t := range s.Tasks {
		n := nodes[t.Worker]
		if n == nil {
			continue
		}
		n.free = sub(n.free, allocated(t))
		n.tasks = append(n.tasks, t)
		pools[n.Pool].countTask(n, t.Team, t.Queue)
	}
	return pools, nodes
}

// locationIndex returns the index of a location and assigns one if it has none.
func (p *pool) locationIndex(l location) int {
	k, ok := p.locationIndexes[l]
	if !ok {
		k = len(p.locationIndexes)
		p.locationIndexes[l] = k
	}
	return k
}

func compare(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// countTask adds a task of the team and queue to the counts of the node's locations.
func (p *pool) countTask(n *node, team, queue string) {
	counts := p.countsFor(team, queue)
	counts[n.dataCentreIndex]++
	if n.rackIndex != n.dataCentreIndex {
		counts[n.rackIndex]++
	}
}

// countsFor returns the numbers of tasks of a team and queue by location index.
func (p *pool) countsFor(team, queue string) []int {
	k := teamQueue{team, queue}
	c := p.taskCounts[k]
	if c == nil {
		c = make([]int, len(p.locationIndexes))
		p.taskCounts[k] = c
	}
	return c
}

// allocate places a job on a node.
func (p *pool) allocate(n *node, j Job) {
	n.free = sub(n.free, j.Size)
	p.countTask(n, j.Team, j.Queue)
}

// Weights of the cost of placing a job on a worker. Its basis is the fraction of the job's
// dominant resource that would stay free, from 0 to 1. Idle accelerators next to a job that
// needs none count more than a bad fit. Spreading over racks and data centres decides
// between similar fits; costSameRack and costSameDataCentre apply per task of the same team
// and queue.
const (
	costAccelerator    = 2.0
	costSameRack       = 0.04
	costSameDataCentre = 0.02
)

// bestNode returns the usable node on which the job fits at the lowest cost, or nil.
func (p *pool) bestNode(j Job) *node {
	avoid := p.canAvoidFailedWorkers(j)
	counts := p.countsFor(j.Team, j.Queue)
	var chosen *node
	lowestCost := 0.0
	for _, n := range p.nodes {
		if !n.Usable || !fits(j.Size, n.free) || !n.openTo(j) {
			continue
		}
		if avoid && slices.Contains(j.Avoid, n.Name) {
			continue
		}
		cost := fitCost(n, j.Size)
		cost += costSameDataCentre * float64(counts[n.dataCentreIndex])
		cost += costSameRack * float64(counts[n.rackIndex])
		if chosen == nil || cost < lowestCost {
			chosen, lowestCost = n, cost
		}
	}
	return chosen
}

// canAvoidFailedWorkers reports whether the job would fit on a usable worker on which
// it has not failed. If there is none, as can happen in a small pool, the job may run
// again on a worker on which it failed.
func (p *pool) canAvoidFailedWorkers(j Job) bool {
	if len(j.Avoid) == 0 {
		return false
	}
	for _, n := range p.nodes {
		if n.Usable && fits(j.Size, n.Capacity) && !slices.Contains(j.Avoid, n.Name) {
			return true
		}
	}
	return false
}

// openTo reports whether reservations allow the job to use the node. Urgent jobs
// ignore reservations of jobs that are not urgent.
func (n *node) openTo(j Job) bool {
	if n.reservedFor == "" || n.reservedFor == j.ID {
		return true
	}
	return j.Class == fleet.ClassUrgent && !n.reservedUrgent
}

// leastShortNode returns the node without a reservation that is least short of free
// resources for the job, or nil. Resources of watch tasks can't become free for the
// job, since watch tasks run long.
func (p *pool) leastShortNode(j Job) *node {
	avoid := p.canAvoidFailedWorkers(j)
	var chosen *node
	leastMissing := 0.0
	for _, n := range p.nodes {
		if !n.Usable || n.reservedFor != "" || (avoid && slices.Contains(j.Avoid, n.Name)) {
			continue
		}
		capacity := n.Capacity
		for _, t := range n.tasks {
			if t.Class == fleet.ClassWatch {
				capacity = sub(capacity, allocated(t))
			}
		}
		if !fits(j.Size, capacity) {
			continue
		}
		missing := shortage(j.Size, n.free, n.Capacity)
		if chosen == nil || missing < leastMissing {
			chosen, leastMissing = n, missing
		}
	}
	return chosen
}

// shortage returns the largest amount by which size exceeds free, over all resource
// kinds, as a fraction of the capacity.
func shortage(size, free, capacity fleet.Resources) float64 {
	d := sub(size, free)
	missing := max(0, ratio(d.CPUMilli, capacity.CPUMilli))
	missing = max(missing, ratio(d.MemoryMiB, capacity.MemoryMiB))
	return max(missing, ratio(d.Accelerators, capacity.Accelerators))
}

// fitCost returns the fraction of the capacity that the job would leave free of its
// dominant resource, plus a charge if it would leave accelerators on the node idle.
func fitCost(n *node, size fleet.Resources) float64 {
	left := sub(n.free, size)
	cpu := ratio(size.CPUMilli, n.Capacity.CPUMilli)
	memory := ratio(size.MemoryMiB, n.Capacity.MemoryMiB)
	accelerators := ratio(size.Accelerators, n.Capacity.Accelerators)
	cost := ratio(left.CPUMilli, n.Capacity.CPUMilli)
	if memory > cpu {
		cost = ratio(left.MemoryMiB, n.Capacity.MemoryMiB)
	}
	if accelerators > max(cpu, memory) {
		cost = ratio(left.Accelerators, n.Capacity.Accelerators)
	}
	if size.Accelerators == 0 && n.free.Accelerators > 0 {
		cost += costAccelerator
	}
	return cost
}

const resourceKinds = 3

// amounts returns the resources as an array indexed by resource kind.
func amounts(r fleet.Resources) [resourceKinds]int64 {
	return [resourceKinds]int64{r.CPUMilli, r.MemoryMiB, r.Accelerators}
}

// withhold keeps the resource kinds that the job is short of from teams above the
// given score. The kinds are those missing on the node that is least short.
func (p *pool) withhold(j Job, score float64) {
	var closest *node
	leastMissing := 0.0
	for _, n := range p.nodes {
		if !n.Usable || !fits(j.Size, n.Capacity) {
			continue
		}
		missing := shortage(j.Size, n.free, n.Capacity)
		if closest == nil || missing < leastMissing {
			closest, leastMissing = n, missing
		}
	}
	if closest == nil {
		return
	}
	free := amounts(closest.free)
	for k, want := range amounts(j.Size) {
		if want > free[k] && (p.scoreLimits[k] == nil || score < *p.scoreLimits[k]) {
			p.scoreLimits[k] = &score
		}
	}
}

// withheld reports whether the job needs a resource kind that is withheld for a team
// with a lower score.
func (p *pool) withheld(j Job, score float64) bool {
	for k, want := range amounts(j.Size) {
		if limit := p.scoreLimits[k]; want > 0 && limit != nil && score-*limit > shareTolerance*max(score, 0) {
			return true
		}
	}
	return false
}
