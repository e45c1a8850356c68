package taskplan

import "github.com/samphirefork/samphirefork/internal/workload"

// Room is the capacity of workers that a plan leaves free. It tells whether tasks that are to
// move have room elsewhere before they are stopped.
type Room struct{ p *planner }

// ComputeWithRoom returns the plan of Compute, and the room that it leaves. A truncated plan
// leaves none, since the steps that it left out come first.
func ComputeWithRoom(in Input) (Plan, *Room) {
	p := compute(in)
	if p.plan.Truncated {
		return p.plan, &Room{newPlanner(Input{State: in.State})}
	}
	return p.plan, &Room{p}
}

// Take reports whether a worker has room for the placed task beside its other tasks, and takes the room.
// The worker that the task is on must not be one of the input.
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
