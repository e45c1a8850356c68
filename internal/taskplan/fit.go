package taskplan

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// fit chooses workers for the tasks of one step.
type fit struct {
	p       *planner
	c       candidate
	tickets map[workload.WorkerIncarnation]string
	// perWorker and perRack count the step's tasks that are placed.
	perWorker map[workload.WorkerIncarnation]int
	perRack   map[string]int
	// home is the data centre that should run all tasks of the occurrence.
	home string
}

func (p *planner) newFit(c candidate, tickets map[workload.WorkerIncarnation]string) *fit {
	f := &fit{p: p, c: c, tickets: tickets, perWorker: map[workload.WorkerIncarnation]int{}, perRack: map[string]int{}}
	if !c.step.LongRunning {
		f.home = p.homeOf(c)
	}
	if c.step.MaxPerWorker == 0 && !c.step.LongRunning {
		return f
	}
	racks := map[workload.WorkerIncarnation]string{}
	for _, r := range p.rooms[c.pool] {
		racks[r.Incarnation] = r.Rack
	}
	for i := range c.progress.Tasks {
		t := &c.progress.Tasks[i]
		if t.Phase == workload.Placed || t.Phase == workload.Stopping {
			f.perWorker[t.Worker]++
			f.perRack[racks[t.Worker]]++
		}
	}
	return f
}

// homeOf returns the data centre that runs most tasks of the occurrence, or the
// one with the most room when none is running.
//
// Load pattern: a data centre is cut off for some seconds; a job whose tasks are
// spread over all of them waits for it, one that is whole elsewhere does not.
func (p *planner) homeOf(c candidate) string {
	running := map[workload.WorkerIncarnation]int{}
	for i := range c.occurrence.Steps {
		for j := range c.occurrence.Steps[i].Tasks {
			if t := &c.occurrence.Steps[i].Tasks[j]; t.Phase == workload.Placed {
				running[t.Worker]++
			}
		}
	}
	tasks, free := map[string]int{}, map[string]int64{}
	for _, r := range p.rooms[c.pool] {
		tasks[r.DataCentre] += running[r.Incarnation]
		free[r.DataCentre] += r.free.CPUMilli
	}
	home := ""
	for centre := range free {
		if home == "" || ahead(centre, home, tasks, free) {
			home = centre
		}
	}
	return home
}

func ahead(a, b string, tasks map[string]int, free map[string]int64) bool {
	if tasks[a] != tasks[b] {
		return tasks[a] > tasks[b]
	}
	if free[a] != free[b] {
		return free[a] > free[b]
	}
	return a < b
}

func (f *fit) took(r *room) {
	f.perWorker[r.Incarnation]++
	f.perRack[r.Rack]++
}

// best returns the worker for a task, or nil. A worker that the task should avoid
// is better than none.
func (f *fit) best(ref workload.TaskRef) *room {
	return f.bestIn(ref, "")
}

// bestIn returns the best worker in a rack; an empty name allows all racks.
func (f *fit) bestIn(ref workload.TaskRef, rack string) *room {
	var best, avoided *room
	for _, r := range f.p.rooms[f.c.pool] {
		if (rack != "" && r.Rack != rack) || !f.allows(r) || f.holds(r, ref) {
			continue
		}
		target := &best
		if f.p.in.Avoid != nil && f.p.in.Avoid(ref, r.Incarnation) {
			target = &avoided
		}
		if *target == nil || f.better(r, *target) {
			*target = r
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// holds tells whether an abandoned run of the task may still go on on the worker.
func (f *fit) holds(r *room, ref workload.TaskRef) bool {
	_, ok := f.p.in.State.RunsOn(r.Incarnation)[ref]
	return ok
}

func (f *fit) allows(r *room) bool {
	step := f.c.step
	if r.budget == 0 || !step.Occupies().Fits(r.free) {
		return false
	}
	if step.Label != "" && !slices.Contains(r.Labels, step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && f.perWorker[r.Incarnation] >= step.MaxPerWorker {
		return false
	}
	if f.tickets == nil {
		return true
	}
	_, approved := f.tickets[r.Incarnation]
	return approved
}

// better prefers the rack with the step's data, then for long-running steps the
// rack with the fewest of its tasks, so that a rack that fails takes few of them.
// Other tasks keep to the data centre of their job.
// Workers with long-running tasks come next: they stay in the pool anyway, while
// others can be released when they are idle. Last comes the worker with the least
// room that is enough, which keeps others idle.
func (f *fit) better(a, b *room) bool {
	if rack := f.c.step.DataRack; rack != "" && (a.Rack == rack) != (b.Rack == rack) {
		return a.Rack == rack
	}
	if f.c.step.LongRunning && f.perRack[a.Rack] != f.perRack[b.Rack] {
		return f.perRack[a.Rack] < f.perRack[b.Rack]
	}
	if f.home != "" && a.DataCentre != b.DataCentre && (a.DataCentre == f.home) != (b.DataCentre == f.home) {
		return a.DataCentre == f.home
	}
	if (a.longRunning > 0) != (b.longRunning > 0) {
		return a.longRunning > 0
	}
	if f.c.step.FillsIdle && a.tasks != b.tasks {
		return a.tasks < b.tasks
	}
	if a.free.CPUMilli != b.free.CPUMilli {
		return a.free.CPUMilli < b.free.CPUMilli
	}
	return a.Incarnation.ID < b.Incarnation.ID
}

// placeGang starts all tasks of the step together, or none.
func (p *planner) placeGang(c candidate, f *fit) {
	if c.progress.Waiting() != len(c.progress.Tasks) {
		p.unplaced(c, c.progress.Waiting())
		return
	}
	before := p.snapshot(c.pool)
	run := 0
	for i := range c.progress.Tasks {
		run = max(run, c.progress.Tasks[i].Run+1)
	}
	for _, rack := range p.racksFor(c) {
		if p.placeMembers(c, f, run, rack) {
			return
		}
		p.restore(before)
		f.perWorker, f.perRack = map[workload.WorkerIncarnation]int{}, map[string]int{}
	}
	p.unplaced(c, len(c.progress.Tasks))
}

// racksFor returns the racks to try for a gang; an empty name allows all. Tasks
// that want one rack try each before they are spread.
func (p *planner) racksFor(c candidate) []string {
	if !c.step.SameRack {
		return []string{""}
	}
	var racks []string
	for _, r := range p.rooms[c.pool] {
		if !slices.Contains(racks, r.Rack) {
			racks = append(racks, r.Rack)
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

func (p *planner) placeMembers(c candidate, f *fit, run int, rack string) bool {
	for i := range c.progress.Tasks {
		if !p.withinLimit(c) {
			return false
		}
		ref := c.taskRef(i)
		r := f.bestIn(ref, rack)
		if r == nil {
			return false
		}
		p.start(c, f, r, ref, run)
	}
	return true
}

// saved is the planner's room before a gang is tried.
type saved struct {
	pool   string
	rooms  []room
	starts int
	teams  map[string]workload.Resources
}

func (p *planner) snapshot(pool string) saved {
	s := saved{pool: pool, starts: len(p.plan.Starts), teams: map[string]workload.Resources{}}
	for _, r := range p.rooms[pool] {
		s.rooms = append(s.rooms, *r)
	}
	for team, use := range p.teams {
		s.teams[team] = use
	}
	return s
}

func (p *planner) restore(s saved) {
	for i, r := range s.rooms {
		*p.rooms[s.pool][i] = r
	}
	p.plan.Starts = p.plan.Starts[:s.starts]
	p.teams = map[string]workload.Resources{}
	for team, use := range s.teams {
		p.teams[team] = use
	}
}
