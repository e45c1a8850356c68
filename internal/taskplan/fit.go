package taskplan

import (
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// selector selects workers for the tasks of one step.
type selector struct {
	p       *planner
	c       candidate
	tickets map[workload.WorkerIncarnation]string
	// perWorker and perRack count the step's tasks that are placed, including those
	// that this plan starts.
	perWorker map[workload.WorkerIncarnation]int
	perRack   map[string]int
	// preferredDataCentre is the data centre that should run all tasks of the
	// occurrence. It is empty for a long-running step.
	preferredDataCentre string
}

func (p *planner) newSelector(c candidate, tickets map[workload.WorkerIncarnation]string) *selector {
	s := &selector{p: p, c: c, tickets: tickets, perWorker: map[workload.WorkerIncarnation]int{}, perRack: map[string]int{}}
	if !c.step.LongRunning {
		s.preferredDataCentre = p.preferredDataCentre(c)
	}
	if c.step.MaxPerWorker == 0 && !c.step.LongRunning {
		return s
	}
	racks := map[workload.WorkerIncarnation]string{}
	for _, w := range p.workers[c.pool] {
		racks[w.Incarnation] = w.Rack
	}
	for i := range c.progress.Tasks {
		t := &c.progress.Tasks[i]
		if t.Phase == workload.Placed || t.Phase == workload.Stopping {
			s.perWorker[t.Worker]++
			s.perRack[racks[t.Worker]]++
		}
	}
	return s
}

// preferredDataCentre returns the data centre that runs the most tasks of the
// occurrence. Ties go to the data centre with the most free processor time.
//
// A data centre can be partitioned from the others for several seconds. A job whose
// tasks are spread over all data centres then waits for the partitioned one; a job
// that runs entirely in another data centre does not.
func (p *planner) preferredDataCentre(c candidate) string {
	running := map[workload.WorkerIncarnation]int{}
	for i := range c.occurrence.Steps {
		for j := range c.occurrence.Steps[i].Tasks {
			if t := &c.occurrence.Steps[i].Tasks[j]; t.Phase == workload.Placed {
				running[t.Worker]++
			}
		}
	}
	tasks, free := map[string]int{}, map[string]int64{}
	for _, w := range p.workers[c.pool] {
		tasks[w.DataCentre] += running[w.Incarnation]
		free[w.DataCentre] += w.free.CPUMilli
	}
	preferred := ""
	for centre := range free {
		if preferred == "" || betterDataCentre(centre, preferred, tasks, free) {
			preferred = centre
		}
	}
	return preferred
}

func betterDataCentre(a, b string, tasks map[string]int, free map[string]int64) bool {
	if tasks[a] != tasks[b] {
		return tasks[a] > tasks[b]
	}
	if free[a] != free[b] {
		return free[a] > free[b]
	}
	return a < b
}

func (s *selector) countStart(w *workerState) {
	s.perWorker[w.Incarnation]++
	s.perRack[w.Rack]++
}

// selectWorker returns the best feasible worker for the task, or nil if there is
// none. A worker that the task should avoid is used only if there is no other.
func (s *selector) selectWorker(ref workload.TaskRef) *workerState {
	return s.selectInRack(ref, "")
}

// selectInRack is like selectWorker, but considers only the workers of one rack; an
// empty rack stands for all racks.
func (s *selector) selectInRack(ref workload.TaskRef, rack string) *workerState {
	var best, avoided *workerState
	for _, w := range s.p.workers[s.c.pool] {
		if (rack != "" && w.Rack != rack) || !s.feasible(w) || s.mayStillRun(w, ref) {
			continue
		}
		target := &best
		if s.p.in.Avoid != nil && s.p.in.Avoid(ref, w.Incarnation) {
			target = &avoided
		}
		if *target == nil || s.ranksHigher(w, *target) {
			*target = w
		}
	}
	if best == nil {
		return avoided
	}
	return best
}

// mayStillRun reports whether an abandoned run of the task may still be running on
// the worker.
func (s *selector) mayStillRun(w *workerState, ref workload.TaskRef) bool {
	_, ok := s.p.in.State.RunsOn(w.Incarnation)[ref]
	return ok
}

// feasible reports whether the worker can take one more task of the step.
func (s *selector) feasible(w *workerState) bool {
	step := s.c.step
	if w.startsLeft == 0 || !step.Occupies().Fits(w.free) {
		return false
	}
	if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
		return false
	}
	if step.MaxPerWorker > 0 && s.perWorker[w.Incarnation] >= step.MaxPerWorker {
		return false
	}
	if s.tickets == nil {
		return true
	}
	_, approved := s.tickets[w.Incarnation]
	return approved
}

// ranksHigher reports whether worker a is preferred to worker b, by these criteria in
// order:
//
//   - the rack that holds the step's data;
//   - for a long-running step, the rack with the fewest of its tasks, to limit how
//     many tasks the failure of one rack ends;
//   - for other steps, the preferred data centre of the occurrence;
//   - workers with long-running tasks, which stay in the pool anyway, so that the
//     others become idle and can be released;
//   - for a step that fills idle capacity, the worker with the fewest tasks;
//   - the worker with the least free processor time (best fit), which keeps the other
//     workers idle.
func (s *selector) ranksHigher(a, b *workerState) bool {
	if rack := s.c.step.DataRack; rack != "" && (a.Rack == rack) != (b.Rack == rack) {
		return a.Rack == rack
	}
	if s.c.step.LongRunning && s.perRack[a.Rack] != s.perRack[b.Rack] {
		return s.perRack[a.Rack] < s.perRack[b.Rack]
	}
	if s.preferredDataCentre != "" && a.DataCentre != b.DataCentre && (a.DataCentre == s.preferredDataCentre) != (b.DataCentre == s.preferredDataCentre) {
		return a.DataCentre == s.preferredDataCentre
	}
	if (a.longRunning > 0) != (b.longRunning > 0) {
		return a.longRunning > 0
	}
	if s.c.step.FillsIdle && a.tasks != b.tasks {
		return a.tasks < b.tasks
	}
	if a.free.CPUMilli != b.free.CPUMilli {
		return a.free.CPUMilli < b.free.CPUMilli
	}
	return a.Incarnation.ID < b.Incarnation.ID
}

// placeGang starts all tasks of the step in one plan, or none of them.
func (p *planner) placeGang(c candidate, s *selector) {
	if c.progress.Waiting() != len(c.progress.Tasks) {
		p.recordUnplaced(c, c.progress.Waiting())
		return
	}
	before := p.snapshot(c.pool)
	run := 0
	for i := range c.progress.Tasks {
		run = max(run, c.progress.Tasks[i].Run+1)
	}
	for _, rack := range p.racksFor(c) {
		if p.placeGangMembers(c, s, run, rack) {
			return
		}
		p.restore(before)
		s.perWorker, s.perRack = map[workload.WorkerIncarnation]int{}, map[string]int{}
	}
	p.recordUnplaced(c, len(c.progress.Tasks))
}

// racksFor returns the racks to try for a gang, in order. An empty name stands for all
// racks. A step with SameRack tries each single rack before it is spread over several.
func (p *planner) racksFor(c candidate) []string {
	if !c.step.SameRack {
		return []string{""}
	}
	var racks []string
	for _, w := range p.workers[c.pool] {
		if !slices.Contains(racks, w.Rack) {
			racks = append(racks, w.Rack)
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

// placeGangMembers starts all tasks of the gang in the rack. When it returns false,
// some of them may have been started; the caller restores the planner.
func (p *planner) placeGangMembers(c candidate, s *selector, run int, rack string) bool {
	for i := range c.progress.Tasks {
		if !p.withinTeamLimit(c) {
			return false
		}
		ref := c.taskRef(i)
		w := s.selectInRack(ref, rack)
		if w == nil {
			return false
		}
		p.startTask(c, s, w, ref, run)
	}
	return true
}

// plannerState is the part of a planner that starts change, saved before the placement
// of a gang is attempted.
type plannerState struct {
	pool          string
	workers       []workerState
	starts        int
	startedByTeam map[string]workload.Resources
}

func (p *planner) snapshot(pool string) plannerState {
	s := plannerState{pool: pool, starts: len(p.plan.Starts), startedByTeam: map[string]workload.Resources{}}
	for _, w := range p.workers[pool] {
		s.workers = append(s.workers, *w)
	}
	for team, use := range p.startedByTeam {
		s.startedByTeam[team] = use
	}
	return s
}

func (p *planner) restore(s plannerState) {
	for i, w := range s.workers {
		*p.workers[s.pool][i] = w
	}
	p.plan.Starts = p.plan.Starts[:s.starts]
	p.startedByTeam = map[string]workload.Resources{}
	for team, use := range s.startedByTeam {
		p.startedByTeam[team] = use
	}
}
