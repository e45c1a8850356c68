package taskplan

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// The worth of a job is worthBasePermille and, for its work relative to the mean of its
	// queue, worthWorkPermille, in thousandths of the worth of a mean job.
	worthBasePermille = 300
	worthWorkPermille = 700
	maxWorthPermille  = 4000
	// begunBonusPercent is what the worth of a job that has begun counts, so that a partly
	// done job is not given up for a new one.
	begunBonusPercent = 150
	// lateShare is the part of an overloaded pool that is kept for work that gave way or is
	// late: one lateShare-th.
	lateShare = 10
	// maxYielding bounds the contenders that give way to one other.
	maxYielding = 32

	percent = 100
)

// contender is an occurrence of a job that competes for an overloaded pool.
type contender struct {
	// rank groups contenders by priority and share; lower ranks are chosen first.
	rank int
	// latestMS is the cluster time, in milliseconds, by which it must go on to be in time.
	latestMS int64
	// work is the work that remains, and wholeWork that of all tasks, in thousandths of a
	// core times milliseconds.
	work, wholeWork int64
	queue           workload.QueueKey
	// begun is true if a task is placed or done.
	begun bool
	// density is the worth for the remaining work, in any unit.
	density float64
	// id makes the order total.
	id occurrenceKey
	// chosen is true if it can be in time with all that was chosen before it.
	chosen bool
}

type occurrenceKey struct {
	job        string
	occurrence int
}

func compareOccurrences(a, b occurrenceKey) int {
	return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.occurrence, b.occurrence))
}

// chooseInTime chooses the contenders that a pool of the given capacity, in thousandths of
// a core, can finish in time.
//
// The load that it answers: a burst of several times the pool's capacity, in which the order
// by deadline would finish each job a little late. Contenders are taken by the latest time to
// go on; when those ahead of one take longer than that, the ones with the least worth for
// their remaining work give way.
func chooseInTime(contenders []*contender, capacityMilli, nowMS int64) {
	ahead := int64(0)
	slices.SortFunc(contenders, func(a, b *contender) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.latestMS, b.latestMS), compareOccurrences(a.id, b.id))
	})
	var chosen densityHeap
	for i, c := range contenders {
		if i > 0 && c.rank != contenders[i-1].rank {
			chosen = chosen[:0]
		}
		excess := ahead - capacityMilli*(c.latestMS-nowMS)
		if c.latestMS >= nowMS && (excess <= 0 || chosen.makeRoom(c, excess, &ahead)) {
			c.chosen = true
			ahead += c.work
			heap.Push(&chosen, c)
		}
	}
}

// makeRoom lets contenders with less worth for their work than c give way until the excess
// is gone, and takes them off the work ahead. If that takes too many, none gives way, and
// it returns false.
func (h *densityHeap) makeRoom(c *contender, excess int64, ahead *int64) bool {
	var yielding []*contender
	room := int64(0)
	for room < excess {
		if h.Len() == 0 || len(yielding) == maxYielding || !lessDense((*h)[0], c) {
			for _, y := range yielding {
				heap.Push(h, y)
			}
			return false
		}
		y := heap.Pop(h).(*contender)
		yielding = append(yielding, y)
		room += y.work
	}
	for _, y := range yielding {
		y.chosen = false
	}
	*ahead -= room
	return true
}

// lessDense reports whether a has less worth for its remaining work than b.
func lessDense(a, b *contender) bool {
	return cmp.Or(cmp.Compare(a.density, b.density), compareOccurrences(a.id, b.id)) < 0
}

// densityHeap is a heap.Interface with the least worth for the remaining work first.
type densityHeap []*contender

func (h densityHeap) Len() int           { return len(h) }
func (h densityHeap) Less(i, j int) bool { return lessDense(h[i], h[j]) }
func (h densityHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *densityHeap) Push(x any)        { *h = append(*h, x.(*contender)) }

func (h *densityHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	*h = (*h)[:last]
	return c
}

// overloadedPool is a pool in which more work waits than has room.
type overloadedPool struct {
	// capacityMilli is what its workers, and machines on their way, have beside long-running
	// tasks, and usedMilli the part that tasks use.
	capacityMilli, usedMilli int64
	contenders               []*contender
	// lateMilli is the processor time that running tasks of occurrences that were not
	// chosen occupy.
	lateMilli int64
}

// orderOverload sets the class and the order of the candidates in overloaded pools.
func (p *planner) orderOverload(candidates []candidate) {
	pools := p.overloadedPools(candidates)
	if len(pools) == 0 {
		return
	}
	p.addContenders(pools, candidates)
	p.plan.Overloads = map[string]Overload{}
	for name, pool := range pools {
		chooseInTime(pool.contenders, pool.capacityMilli, p.in.NowMS)
		p.plan.Overloads[name] = pool.overload()
	}
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.contender == nil:
		case c.contender.chosen:
			c.class, c.orderMS = classOnTime, c.contender.latestMS
		default:
			c.class = classLate
			c.overloaded.lateMilli += int64(c.progress.OnWorkers()) * c.step.Occupies().CPUMilli
		}
	}
	p.keepRoomForLate(candidates)
}

// Overload describes the choice in an overloaded pool. It counts occurrences of jobs that
// have tasks to start.
type Overload struct {
	// InTime is the number that was chosen to end in time, and Behind that of the others.
	InTime, Behind int
}

func (o *overloadedPool) overload() Overload {
	var out Overload
	for _, c := range o.contenders {
		if c.chosen {
			out.InTime++
		} else {
			out.Behind++
		}
	}
	return out
}

// keepRoomForLate gives the earliest of the late candidates of each pool the room that is
// kept for them.
func (p *planner) keepRoomForLate(candidates []candidate) {
	var late []*candidate
	for i := range candidates {
		if c := &candidates[i]; c.contender != nil && !c.contender.chosen {
			late = append(late, c)
		}
	}
	slices.SortFunc(late, compareCandidates)
	for _, c := range late {
		tasks := c.overloaded.keptTasks(c, p.in.NowMS)
		if tasks == 0 {
			continue
		}
		c.overloaded.lateMilli += int64(tasks) * c.step.Occupies().CPUMilli
		c.class, c.maxStarts = classKeptRoom, tasks
	}
}

// keptTasks returns the number of waiting tasks of a late candidate that get kept room. A
// task or gang that is larger gets it alone, once the candidate is late by its objective
// again.
func (o *overloadedPool) keptTasks(c *candidate, nowMS int64) int {
	room, each, tasks := o.capacityMilli/lateShare-o.lateMilli, max(c.step.Occupies().CPUMilli, 1), c.progress.Waiting()
	fitting := int(min(max(room, 0)/each, int64(tasks)))
	alone := o.lateMilli == 0 && nowMS > c.deadline+c.job.ObjectiveMS
	switch {
	case c.step.Gang && fitting < tasks && alone:
		return tasks
	case c.step.Gang && fitting < tasks:
		return 0
	case fitting == 0 && alone:
		return 1
	}
	return fitting
}

// overloadedPools returns the pools whose waiting tasks request more than is free.
func (p *planner) overloadedPools(candidates []candidate) map[string]*overloadedPool {
	waiting := map[string]workload.Resources{}
	for i := range candidates {
		c := &candidates[i]
		if c.class == classFillIdle {
			continue
		}
		sum, each, n := waiting[c.pool], c.step.Occupies(), int64(c.progress.Waiting())
		waiting[c.pool] = workload.Resources{
			CPUMilli: sum.CPUMilli + n*each.CPUMilli, MemoryMiB: sum.MemoryMiB + n*each.MemoryMiB, Accelerators: sum.Accelerators + n*each.Accelerators,
		}
	}
	pools := map[string]*overloadedPool{}
	for name, needed := range waiting {
		var free workload.Resources
		if workers := p.pools[name]; workers != nil {
			for _, w := range workers.all {
				free = free.Plus(w.free)
			}
		}
		if needed.Fits(free) {
			continue
		}
		pool := &overloadedPool{capacityMilli: max(free.CPUMilli, 0) + max(p.in.IncomingMilli[name], 0)}
		for key, milli := range p.usedMilli {
			if key.pool == name {
				pool.usedMilli += milli
			}
		}
		pool.capacityMilli += pool.usedMilli
		pools[name] = pool
	}
	return pools
}

// addContenders adds the occurrences of the pools that have tasks to start. The candidates
// of an occurrence follow each other. Occurrences whose waiting tasks depend on running
// ones have no candidate, and will need room too.
func (p *planner) addContenders(pools map[string]*overloadedPool, candidates []candidate) {
	contenders := make([]contender, 0, len(candidates)+len(p.dependent))
	queues := map[workload.QueueKey]meanWork{}
	add := func(c *candidate) {
		pool := pools[c.pool]
		if pool == nil || c.class != classOnTime && c.class != classLate {
			return
		}
		c.overloaded = pool
		id := occurrenceKey{c.ref.Job, c.ref.Occurrence}
		if n := len(contenders); n > 0 && contenders[n-1].id == id {
			c.contender = &contenders[n-1]
			return
		}
		rest := p.remaining(c)
		contenders = append(contenders, contender{
			rank: 2 * c.job.Priority, id: id, queue: c.job.QueueKey, work: rest.workMilliMS, wholeWork: rest.wholeMilliMS, begun: rest.begun,
			latestMS: c.deadline - rest.chainMS,
		})
		c.contender = &contenders[len(contenders)-1]
		if c.overShare {
			c.contender.rank++
		}
		pool.contenders = append(pool.contenders, c.contender)
		queues[c.job.QueueKey] = queues[c.job.QueueKey].plus(rest.wholeMilliMS)
	}
	for i := range candidates {
		add(&candidates[i])
	}
	for i := range p.dependent {
		add(&p.dependent[i])
	}
	for i := range contenders {
		c := &contenders[i]
		c.density = queues[c.queue].worthPermille(c.wholeWork) / float64(max(c.work, 1))
		if c.begun {
			c.density *= begunBonusPercent / float64(percent)
		}
	}
}

// meanWork is the work of the jobs of a queue.
type meanWork struct{ work, jobs int64 }

func (m meanWork) plus(work int64) meanWork { return meanWork{m.work + work, m.jobs + 1} }

// worthPermille returns the worth of a job relative to a mean job, in thousandths.
func (m meanWork) worthPermille(work int64) float64 {
	mean := max(float64(m.work)/float64(max(m.jobs, 1)), 1)
	return min(worthBasePermille+worthWorkPermille*float64(work)/mean, maxWorthPermille)
}

// remainder is what is left of an occurrence.
type remainder struct {
	// chainMS is the expected time of the longest chain of steps that are not finished, if
	// all of their tasks have room.
	chainMS int64
	// workMilliMS is the work that remains, and wholeMilliMS that of all tasks.
	workMilliMS, wholeMilliMS int64
	// begun is true if a task is placed or done: moving its capacity to other work would waste it.
	begun bool
}

// remaining returns what is left of the candidate's occurrence. Tasks on workers count as
// half done.
func (p *planner) remaining(c *candidate) remainder {
	var rest remainder
	ends := p.chainEnds[:0]
	for i := range c.occurrence.Steps {
		progress, step := &c.occurrence.Steps[i], &c.job.Steps[i]
		end := int64(0)
		for _, dependency := range step.After {
			if dependency >= 0 && dependency < i {
				end = max(end, ends[dependency])
			}
		}
		waiting := progress.Waiting()
		rest.begun = rest.begun || waiting < len(progress.Tasks)
		if !step.LongRunning && !step.FillsIdle {
			expected := c.expected
			if i != c.ref.Step {
				expected = p.in.State.ExpectedRun(c.job, i)
			}
			work := step.WorkMilliMS(expected.MeanMS)
			rest.workMilliMS += work * int64(2*waiting+progress.OnWorkers()) / 2
			rest.wholeMilliMS += work * int64(step.Count)
			switch {
			case waiting > 0:
				end += expected.MedianMS
			case !progress.Finished():
				end += expected.MedianMS / 2
			}
		}
		ends = append(ends, end)
		rest.chainMS = max(rest.chainMS, end)
	}
	p.chainEnds = ends
	return rest
}
