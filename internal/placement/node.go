package placement

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// node is a worker with its free room during planning.
type node struct {
	Worker
	free  fleet.Resources
	tasks []Task
	// reservedFor names the only job that may use the room, unless it is empty.
	reservedFor    string
	reservedUrgent bool
}

type groupKey struct{ team, queue, domain string }

type pool struct {
	nodes []*node
	// spread counts the tasks of a team and queue by rack and by data centre.
	spread map[groupKey]int
	// reserved is the number of nodes with a reservation.
	reserved int
}

func buildPools(s Snapshot) (map[string]*pool, map[string]*node) {
	pools := map[string]*pool{}
	nodes := make(map[string]*node, len(s.Workers))
	for _, w := range s.Workers {
		p := pools[w.Pool]
		if p == nil {
			p = &pool{spread: map[groupKey]int{}}
			pools[w.Pool] = p
		}
		n := &node{Worker: w, free: w.Capacity}
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
		n.free = sub(n.free, held(t))
		n.tasks = append(n.tasks, t)
		pools[n.Pool].note(n, t.Team, t.Queue)
	}
	return pools, nodes
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

func (p *pool) note(n *node, team, queue string) {
	p.spread[groupKey{team, queue, "rack " + n.Rack}]++
	p.spread[groupKey{team, queue, "dc " + n.DataCentre}]++
}

// take puts a job on a node.
func (p *pool) take(n *node, j Job) {
	n.free = sub(n.free, j.Size)
	p.note(n, j.Team, j.Queue)
}

// Weights of the cost of placing a job on a worker. Room left on the dominant
// resource comes first; idle accelerators next to a job that needs none count
// more than a bad fit, and spreading decides between similar fits.
const (
	costAccelerator = 2.0
	costSameRack    = 0.04
	costSameCentre  = 0.02
)

// best returns the usable node with room for the job and the lowest cost, or nil.
func (p *pool) best(j Job) *node {
	avoid := p.avoidable(j)
	racks := map[string]int{}
	centres := map[string]int{}
	var chosen *node
	lowest := 0.0
	for _, n := range p.nodes {
		if !n.Usable || !fits(j.Size, n.free) || !n.open(j) {
			continue
		}
		if avoid && slices.Contains(j.Avoid, n.Name) {
			continue
		}
		cost := fitCost(n, j.Size)
		cost += costSameRack * float64(p.count(racks, j, n.Rack, "rack "))
		cost += costSameCentre * float64(p.count(centres, j, n.DataCentre, "dc "))
		if chosen == nil || cost < lowest {
			chosen, lowest = n, cost
		}
	}
	return chosen
}

// count returns the tasks of the job's team and queue in a domain, remembered in seen.
func (p *pool) count(seen map[string]int, j Job, domain, prefix string) int {
	c, ok := seen[domain]
	if !ok {
		c = p.spread[groupKey{j.Team, j.Queue, prefix + domain}]
		seen[domain] = c
	}
	return c
}

// avoidable reports whether a worker that the job has not failed on could run it.
// Without one, a job of a small pool may go back to a worker it failed on.
func (p *pool) avoidable(j Job) bool {
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

// open reports whether the job may use the node's room. Urgent jobs pass over
// the reservations of others that are not urgent.
func (n *node) open(j Job) bool {
	if n.reservedFor == "" || n.reservedFor == j.ID {
		return true
	}
	return j.Class == fleet.ClassUrgent && !n.reservedUrgent
}

// nearest returns the unreserved node that lacks the least room for the job. Room
// that watch tasks hold does not count, since they run long.
func (p *pool) nearest(j Job) *node {
	avoid := p.avoidable(j)
	var chosen *node
	least := 0.0
	for _, n := range p.nodes {
		if !n.Usable || n.reservedFor != "" || (avoid && slices.Contains(j.Avoid, n.Name)) {
			continue
		}
		room := n.Capacity
		for _, t := range n.tasks {
			if t.Class == fleet.ClassWatch {
				room = sub(room, held(t))
			}
		}
		if !fits(j.Size, room) {
			continue
		}
		lack := shortage(j.Size, n.free, n.Capacity)
		if chosen == nil || lack < least {
			chosen, least = n, lack
		}
	}
	return chosen
}

// shortage returns the largest part of the capacity that size exceeds room by.
func shortage(size, room, capacity fleet.Resources) float64 {
	d := sub(size, room)
	lack := max(0, ratio(d.CPUMilli, capacity.CPUMilli))
	lack = max(lack, ratio(d.MemoryMiB, capacity.MemoryMiB))
	return max(lack, ratio(d.Accelerators, capacity.Accelerators))
}

// fitCost is the room that is left on the job's dominant resource as a part of
// the capacity, and a charge for accelerators that the job leaves unusable.
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
