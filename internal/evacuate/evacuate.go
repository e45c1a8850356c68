// Package evacuate decides which watch tasks leave an evacuated data centre now. Watch tasks
// don't end by themselves, so they would stay there until the data centre is lost.
//
// Load pattern: a data centre with a large part of the watch tasks of a pool is evacuated,
// while the other data centres have little room. Moving all tasks at once would interrupt more
// of the pool than its availability budgets allow, and would leave waiting what doesn't fit
// elsewhere, although it could run on until the data centre is lost.
//
// Decisions are computed from a snapshot. The package does no I/O, takes the time as a
// parameter and keeps no state between calls.
package evacuate

import (
	"cmp"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// MoveTimeout is the time after which a task that did not follow the order to move no longer
// counts against the availability budgets, so that it does not hold up the others.
const MoveTimeout = 5 * time.Second

// Instance is the state of an instance as far as evacuations depend on it.
type Instance struct {
	Name       string
	Pool       string
	Rack       string
	DataCentre string
	// Evacuated is true when the data centre of the instance is evacuated.
	Evacuated bool
	// Unavailable is true when the availability budgets count the instance already.
	Unavailable bool
	// Free is what a worker that may get new tasks has left; zero for all others.
	Free fleet.Resources
}

// Task is a watch task on an evacuated worker.
type Task struct {
	JobID  string
	Worker string
	Size   fleet.Resources
	// Resumable is true when the task may be interrupted, since its job starts again.
	Resumable bool
	// MovingSince is the time at which the task was ordered to move, or 0.
	MovingSince fleet.Time
}

// Job is a watch job that waits for a worker of a pool.
type Job struct {
	Pool string
	Size fleet.Resources
}

// Snapshot is the input of Compute.
type Snapshot struct {
	Now       fleet.Time
	Pools     map[string]fleet.Pool
	Instances []Instance
	Tasks     []Task
	Waiting   []Job
}

// Compute returns the jobs whose tasks move now, by checkpoint: those for which another
// worker of the pool has room after all watch jobs that wait or move already, on as many
// workers at a time as the availability budgets leave. It changes the lists of s.
func Compute(s Snapshot) []string {
	slices.SortFunc(s.Instances, func(a, b Instance) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(s.Tasks, func(a, b Task) int { return cmp.Compare(a.JobID, b.JobID) })
	p := &planner{Snapshot: s, interrupted: map[domain]int{}, tasks: map[string][]Task{}}
	for _, t := range s.Tasks {
		p.tasks[t.Worker] = append(p.tasks[t.Worker], t)
	}
	for _, w := range s.Waiting {
		p.takeRoom(w.Pool, w.Size)
	}
	counted := p.countInterrupted()
	var moves []string
	for i, in := range s.Instances {
		if in.Evacuated && (counted[i] || !p.exhausted(in)) {
			moved := p.movesFrom(in)
			if len(moved) > 0 && !counted[i] {
				p.count(in)
			}
			moves = append(moves, moved...)
		}
	}
	return moves
}

// domain identifies what a budget applies to: a pool, or the part of a pool in one rack or
// data centre.
type domain struct{ pool, dataCentre, rack string }

// planner holds the state of one call of Compute.
type planner struct {
	Snapshot
	// interrupted counts the instances that are unavailable or whose tasks move.
	interrupted map[domain]int
	// tasks holds the watch tasks by worker.
	tasks map[string][]Task
}

// countInterrupted takes the room for the tasks that move already, and counts the
// interrupted instances. It returns the indexes of those.
func (p *planner) countInterrupted() map[int]bool {
	counted := map[int]bool{}
	for i, in := range p.Instances {
		counted[i] = in.Unavailable
		for _, t := range p.tasks[in.Name] {
			if t.MovingSince > 0 {
				p.takeRoom(in.Pool, t.Size)
				counted[i] = counted[i] || p.Now.Sub(t.MovingSince) < MoveTimeout
			}
		}
		if counted[i] {
			p.count(in)
		}
	}
	return counted
}

func (p *planner) count(in Instance) {
	p.interrupted[domain{pool: in.Pool}]++
	p.interrupted[domain{pool: in.Pool, dataCentre: in.DataCentre}]++
	if in.Rack != "" {
		p.interrupted[domain{pool: in.Pool, dataCentre: in.DataCentre, rack: in.Rack}]++
	}
}

// exhausted reports whether an availability budget allows no further instance in one of the
// domains of in to be interrupted.
func (p *planner) exhausted(in Instance) bool {
	pool := p.Pools[in.Pool]
	inDataCentre := p.interrupted[domain{pool: in.Pool, dataCentre: in.DataCentre}]
	inRack := p.interrupted[domain{pool: in.Pool, dataCentre: in.DataCentre, rack: in.Rack}]
	return p.interrupted[domain{pool: in.Pool}] >= pool.MaxUnavailable ||
		pool.MaxUnavailablePerDataCentre > 0 && inDataCentre >= pool.MaxUnavailablePerDataCentre ||
		pool.MaxUnavailablePerRack > 0 && in.Rack != "" && inRack >= pool.MaxUnavailablePerRack
}

// movesFrom takes room for the tasks of a worker and returns the jobs of those that fit.
func (p *planner) movesFrom(in Instance) []string {
	var moved []string
	for _, t := range p.tasks[in.Name] {
		if t.Resumable && t.MovingSince == 0 && p.takeRoom(in.Pool, t.Size) {
			moved = append(moved, t.JobID)
		}
	}
	return moved
}

// takeRoom takes free resources of one worker of the pool, and reports whether one had
// enough.
func (p *planner) takeRoom(pool string, size fleet.Resources) bool {
	for i := range p.Instances {
		in := &p.Instances[i]
		if in.Pool == pool && !in.Evacuated && size.Fits(in.Free) {
			in.Free = in.Free.Minus(size)
			return true
		}
	}
	return false
}
