package taskplan

import "github.com/samphirefork/samphirefork/internal/workload"

// Room is the capacity of workers that a plan leaves free. It tells whether tasks that are to
// move have room elsewhere before they are stopped.
type Room struct{ p *planner }

// ComputeWithRoom returns the plan of Compute, and the room that it leaves. A truncated plan
// leaves none, since the steps that it left out come first.
func ComputeWithRoom(in Input) (Plan, *Room) {
	p := compute(in, nil)
	if p.plan.Truncated {
		return p.plan, &Room{newPlanner(Input{State: in.State})}
	}
	return p.plan, &Room{p}
}

// spareRoomPercent is the part of a pool's processor time that must be free for tasks to move
// within it.
const spareRoomPercent = 30

// IsAmple reports whether the pool has room that nothing else needs soon: no task of it waits,
// and a good part of its processor time is free.
//
// Load pattern: long-running tasks could leave a data centre during a burst. What they take
// elsewhere makes jobs late, while they would go on undisturbed where they are.
func (r *Room) IsAmple(pool string) bool {
	workers := r.p.pools[pool]
	if _, waits := r.p.plan.Unplaced[pool]; waits || workers == nil {
		return false
	}
	free, capacity := int64(0), int64(0)
	for _, w := range workers.all {
		free += w.free.CPUMilli
		capacity += w.Capacity.CPUMilli
	}
	return free*100 >= capacity*spareRoomPercent
}

// Take reports whether a worker has room for the placed task beside its other tasks, and takes
// the room. The worker that the task is on must not be one of the input.
func (r *Room) Take(ref workload.TaskRef) bool {
	j, task, ok := r.p.in.State.Task(ref)
	if !ok || ref.Step >= len(j.Steps) {
		return false
	}
	c := r.p.candidate(j, ref.Occurrence, j.Occurrences[ref.Occurrence], ref.Step)
	s := r.p.newSelector(c, nil)
	w := s.selectWorker(ref, task)
	if w == nil {
		return false
	}
	r.p.pools[c.pool].occupy(w, c.step)
	return true
}
