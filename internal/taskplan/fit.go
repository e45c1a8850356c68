package taskplan

import (
	"maps"
	"slices"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// maxTasksPerWorker bounds the heartbeat of a worker, which lists its tasks: stores read 4 MiB, and
// one task takes about 100 bytes.
const maxTasksPerWorker = 10_000

// selector selects workers for the tasks of one step.
type selector struct {
	p       *planner
	c       candidate
	workers *poolWorkers
	tickets map[workload.WorkerIncarnation]string
	// perWorker and perRack count the step's tasks that are placed, including those
	// that this plan starts.
	perWorker map[workload.WorkerIncarnation]int
	perRack   map[string]int
	// preferredDataCentre is the data centre that should run all tasks of the
	// occurrence. It is empty for a long-running step.
	preferredDataCentre string
	// exhausted is true once no worker can take a task of the step any more. Tasks that
	// the plan starts only take from the workers.
	exhausted bool
	// sharesWorkers is true when suspect members of a gang may run beside each other,
	// because there are not enough workers to keep them apart.
	sharesWorkers bool
}

func (p *planner) newSelector(c candidate, tickets map[workload.WorkerIncarnation]string) *selector {
	s := &selector{p: p, c: c, workers: p.pools[c.pool], tickets: tickets, perWorker: map[workload.WorkerIncarnation]int{}, perRack: map[string]int{}}
	if s.workers == nil {
		s.workers = newPoolWorkers(nil)
	}
	if !c.step.LongRunning {
		s.preferredDataCentre = p.preferredDataCentre(c, s.workers)
	}
	if c.step.MaxPerWorker == 0 && !c.step.LongRunning {
		return s
	}
	for i := range c.progress.Tasks {
		t := &c.progress.Tasks[i]
		// An abandoned run may still go on when its worker is heard again.
		for _, run := range t.Abandoned {
			s.perWorker[run.Worker]++
		}
		if t.Phase != workload.Placed && t.Phase != workload.Stopping {
			continue
		}
		s.perWorker[t.Worker]++
		if w, ok := p.byIncarnation[t.Worker]; ok && w.Pool == c.pool {
			s.perRack[w.Rack]++
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
func (p *planner) preferredDataCentre(c candidate, workers *poolWorkers) string {
	tasks := map[string]int{}
	for i := range c.occurrence.Steps {
		if c.occurrence.Steps[i].OnWorkers() == 0 {
			continue
		}
		for j := range c.occurrence.Steps[i].Tasks {
			t := &c.occurrence.Steps[i].Tasks[j]
			if t.Phase != workload.Placed {
				continue
			}
			if w, ok := p.byIncarnation[t.Worker]; ok && w.Pool == c.pool {
				tasks[w.DataCentre]++
			}
		}
	}
	preferred := ""
	for _, centre := range workers.dataCentres {
		if preferred == "" || betterDataCentre(centre, preferred, tasks, workers.freeMilli) {
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

// choice collects the best worker for a task among those that are offered to it. A worker
// that the task should avoid is used only if there is no other.
type choice struct {
	s    *selector
	ref  workload.TaskRef
	task *workload.Task
	// feasible is true if any worker can take a task of the step.
	feasible      bool
	best, avoided *workerState
}

// offer considers the worker, and reports whether the task can run there and need not
// avoid it.
func (c *choice) offer(w *workerState) bool {
	if !c.s.feasible(w) {
		return false
	}
	c.feasible = true
	if mayStillRun(w, c.task) || !c.s.separates(w, c.task) {
		return false
	}
	target := &c.best
	avoid := c.s.p.in.Avoid != nil && c.s.p.in.Avoid(c.ref, w.Incarnation)
	if avoid {
		target = &c.avoided
	}
	if *target == nil || c.ranksHigher(w, *target) {
		*target = w
	}
	return !avoid
}

// offerAll offers all the workers.
func (c *choice) offerAll(workers []*workerState) {
	for _, w := range workers {
		c.offer(w)
	}
}

// offerFirst offers the workers in order until the task can run on one of them.
func (c *choice) offerFirst(workers []*workerState) {
	for _, w := range workers {
		if c.offer(w) {
			return
		}
	}
}

func (c *choice) worker() *workerState {
	if c.best == nil {
		return c.avoided
	}
	return c.best
}

// selectWorker returns the best feasible worker for the task, or nil if there is none.
func (s *selector) selectWorker(ref workload.TaskRef, task *workload.Task) *workerState {
	c := &choice{s: s, ref: ref, task: task}
	if s.c.step.LongRunning || s.c.step.FillsIdle || task.Suspect() {
		c.offerAll(s.workers.all)
	} else {
		s.offerByFit(c)
	}
	s.exhausted = !c.feasible
	return c.worker()
}

// offerByFit offers the workers by the order of ranksHigher for steps that end by
// themselves: those in the rack of the data, then those in the preferred data centre, then
// the others. It stops as soon as no better worker can follow.
func (s *selector) offerByFit(c *choice) {
	if rack := s.c.step.DataRack; rack != "" {
		c.offerAll(s.workers.byRack[rack])
		if c.best != nil {
			return
		}
	}
	need := s.c.step.Occupies().CPUMilli
	for _, tiers := range [][]tier{{holdsLongRunning, becomesIdle}, {emptying}} {
		for _, tier := range tiers {
			c.offerFirst(s.workers.fitting(groupKey{s.preferredDataCentre, tier}, need))
			if c.best != nil {
				return
			}
		}
		for _, tier := range tiers {
			for _, centre := range s.workers.dataCentres {
				if centre != s.preferredDataCentre {
					c.offerFirst(s.workers.fitting(groupKey{centre, tier}, need))
				}
			}
			if c.best != nil {
				return
			}
		}
	}
}

// selectInRack returns the best feasible worker of one rack for the task, or nil if there
// is none; an empty rack stands for all racks.
func (s *selector) selectInRack(ref workload.TaskRef, task *workload.Task, rack string) *workerState {
	if rack == "" {
		return s.selectWorker(ref, task)
	}
	c := &choice{s: s, ref: ref, task: task}
	c.offerAll(s.workers.byRack[rack])
	return c.worker()
}

// mayStillRun reports whether an abandoned run of the task may still be running on
// the worker.
func mayStillRun(w *workerState, task *workload.Task) bool {
	return slices.ContainsFunc(task.Abandoned, func(run workload.PlacedRun) bool { return run.Worker == w.Incarnation })
}

// feasible reports whether the worker can take one more task of the step.
func (s *selector) feasible(w *workerState) bool {
	step := s.c.step
	if w.startsLeft == 0 || w.tasks >= maxTasksPerWorker || !step.Occupies().Fits(w.free) {
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
//   - workers that aren't emptying;
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
	if a.Emptying != b.Emptying {
		return b.Emptying
	}
	if s.c.step.LongRunning && s.perRack[a.Rack] != s.perRack[b.Rack] {
		return s.perRack[a.Rack] < s.perRack[b.Rack]
	}
	if s.preferredDataCentre != "" && a.DataCentre != b.DataCentre && (a.DataCentre == s.preferredDataCentre) != (b.DataCentre == s.preferredDataCentre) {
		return a.DataCentre == s.preferredDataCentre
	}
	if a.tier() != b.tier() {
		return a.tier() < b.tier()
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
	for _, s.sharesWorkers = range []bool{false, true} {
		for _, rack := range p.racksFor(c) {
			if p.placeGangMembers(c, s, run, rack) {
				return
			}
			p.restore(before)
			s.perWorker, s.perRack = map[workload.WorkerIncarnation]int{}, map[string]int{}
		}
		if !c.progress.HasSuspect() {
			break
		}
	}
	p.recordUnplaced(c, len(c.progress.Tasks))
}

// racksFor returns the racks to try for a gang, in order. An empty name stands for all
// racks. A step with SameRack tries each single rack before it is spread over several.
func (p *planner) racksFor(c candidate) []string {
	if !c.step.SameRack {
		return []string{""}
	}
	racks := slices.Sorted(maps.Keys(p.byRack(c.pool)))
	return append(racks, "")
}

func (p *planner) byRack(pool string) map[string][]*workerState {
	if workers, ok := p.pools[pool]; ok {
		return workers.byRack
	}
	return nil
}

// placeGangMembers starts all tasks of the gang in the rack. When it returns false,
// some of them may have been started; the caller restores the planner.
func (p *planner) placeGangMembers(c candidate, s *selector, run int, rack string) bool {
	for i := range c.progress.Tasks {
		if !p.withinTeamLimit(c) {
			return false
		}
		ref := c.taskRef(i)
		w := s.selectInRack(ref, &c.progress.Tasks[i], rack)
		if w == nil {
			return false
		}
		p.startTask(c, s, w, ref, run)
		s.reserve(w, &c.progress.Tasks[i])
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
	if workers, ok := p.pools[pool]; ok {
		for _, w := range workers.all {
			s.workers = append(s.workers, *w)
		}
	}
	for team, use := range p.startedByTeam {
		s.startedByTeam[team] = use
	}
	return s
}

func (p *planner) restore(s plannerState) {
	if workers, ok := p.pools[s.pool]; ok {
		for i, w := range s.workers {
			*workers.all[i] = w
		}
		workers.sort()
	}
	p.plan.Starts = p.plan.Starts[:s.starts]
	p.startedByTeam = map[string]workload.Resources{}
	for team, use := range s.startedByTeam {
		p.startedByTeam[team] = use
	}
}
