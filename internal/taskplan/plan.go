// Package taskplan decides which waiting tasks start on which workers. It is
// pure: it reads a state and a description of the workers, and returns starts.
//
// Load pattern: each queue in turn asks several times what its pool holds for
// some seconds. Work that can still meet its objective goes first, in order of
// its objective; work that is late already fills what is left.
package taskplan

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// Worker is a worker life that may take tasks.
type Worker struct {
	Incarnation workload.WorkerIncarnation
	Machine     string
	Pool        string
	Rack        string
	DataCentre  string
	Labels      []string
	Capacity    workload.Resources
	// MaxStarts bounds the new tasks, for a worker whose last runs failed; -1 is no bound.
	MaxStarts int
}

// StepRef names one step of an occurrence.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// Approvals holds the tickets that an advice service gave for a step, by worker
// life. A step that is absent has not been asked for.
type Approvals map[StepRef]map[workload.WorkerIncarnation]string

// Input is what a plan is made from.
type Input struct {
	State *workload.State
	// NowMS is cluster time.
	NowMS     int64
	Workers   []Worker
	Approvals Approvals
	// Avoid tells that the latest run of the task failed on the worker.
	Avoid func(workload.TaskRef, workload.WorkerIncarnation) bool
}

// Plan is what should start, and what could not.
type Plan struct {
	Starts []workload.Start
	// Unplaced is what finds no room, by pool.
	Unplaced map[string]Unplaced
	// NeedApproval lists the steps whose workers have to be approved first.
	NeedApproval []StepRef
}

// Unplaced is the work of a pool that finds no room.
type Unplaced struct {
	capacity.UnmetDemand
	// Labels is the work that only workers with a label may do; it is not part of the
	// other.
	Labels map[string]capacity.UnmetDemand
}

// candidate is a step with waiting tasks whose dependencies are done.
type candidate struct {
	job        *workload.Job
	occurrence *workload.Occurrence
	ref        StepRef
	step       *workload.Step
	progress   *workload.StepProgress
	pool       string
	class      int
	dueAt      int64
	// overShare is true when the team uses its share of the pool or more.
	overShare bool
}

// Classes of work in the order in which they are placed.
const (
	classLongRunning = iota
	classOnTime
	classLate
	classFillIdle
)

// planner holds the room that is left while a plan is made.
type planner struct {
	in    Input
	plan  Plan
	rooms map[string][]*room
	teams map[string]workload.Resources
	// used is the processor time of tasks that end by themselves.
	used map[poolTeam]int64
}

// room is what a worker has left.
type room struct {
	Worker
	free   workload.Resources
	budget int
	tasks  int
	// longRunning counts the long-running tasks, which keep the worker in its pool.
	longRunning int
}

// Compute returns the starts for all waiting tasks that find room.
func Compute(in Input) Plan {
	p := &planner{in: in, rooms: map[string][]*room{}, teams: map[string]workload.Resources{}, used: map[poolTeam]int64{}}
	p.plan.Unplaced = map[string]Unplaced{}
	for _, w := range in.Workers {
		p.rooms[w.Pool] = append(p.rooms[w.Pool], p.roomOf(w))
	}
	for _, c := range p.candidates() {
		p.place(c)
	}
	return p.plan
}

func (p *planner) roomOf(w Worker) *room {
	r := &room{Worker: w, free: w.Capacity, budget: w.MaxStarts}
	for _, run := range p.in.State.RunsOn(w.Incarnation) {
		r.free = r.free.Minus(run.Occupies)
		r.tasks++
		if run.LongRunning {
			r.longRunning++
		} else {
			p.used[poolTeam{w.Pool, run.Team}] += run.Occupies.CPUMilli
		}
	}
	return r
}

func (p *planner) candidates() []candidate {
	var out []candidate
	for _, j := range p.in.State.Active() {
		for k, o := range j.Occurrences {
			for i := range o.Steps {
				if o.Steps[i].Waiting() > 0 && o.Ready(j, i) {
					out = append(out, p.candidate(j, k, o, i))
				}
			}
		}
	}
	p.markShares(out)
	slices.SortFunc(out, compare)
	return out
}

func (p *planner) candidate(j *workload.Job, k int, o *workload.Occurrence, step int) candidate {
	c := candidate{
		job: j, occurrence: o, step: &j.Steps[step], progress: &o.Steps[step],
		ref: StepRef{Job: j.ID, Occurrence: k, Step: step}, pool: p.in.State.PoolOf(j),
	}
	c.dueAt = o.DueAt + j.ObjectiveMS
	c.class = classOnTime
	switch {
	case c.step.FillsIdle:
		c.class = classFillIdle
	case c.step.LongRunning:
		c.class = classLongRunning
	case p.in.NowMS+c.step.EstimatedMS > c.dueAt:
		c.class = classLate
	}
	return c
}

func compare(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.job.Priority, b.job.Priority),
		compareBool(a.overShare, b.overShare),
		cmp.Compare(a.dueAt, b.dueAt),
		cmp.Compare(a.ref.Job, b.ref.Job),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
		cmp.Compare(a.ref.Step, b.ref.Step),
	)
}

// place starts as many waiting tasks of the step as find room.
func (p *planner) place(c candidate) {
	tickets, advised := p.in.Approvals[c.ref]
	if p.needsAdvice(c) && !advised {
		p.plan.NeedApproval = append(p.plan.NeedApproval, c.ref)
		p.unplaced(c, c.progress.Waiting())
		return
	}
	if !p.needsAdvice(c) {
		tickets = nil
	}
	f := p.newFit(c, tickets)
	if c.step.Gang {
		p.placeGang(c, f)
		return
	}
	missed := 0
	for i := range c.progress.Tasks {
		t := &c.progress.Tasks[i]
		if t.Phase != workload.Waiting {
			continue
		}
		if !p.withinLimit(c) {
			break
		}
		ref := c.taskRef(i)
		r := f.best(ref)
		if r == nil {
			missed++
			continue
		}
		p.start(c, f, r, ref, t.Run+1)
	}
	p.unplaced(c, missed)
}

func (p *planner) needsAdvice(c candidate) bool {
	return p.in.State.Config.Queues[c.job.Queue].Advice != nil
}

func (c candidate) taskRef(index int) workload.TaskRef {
	return workload.TaskRef{Job: c.ref.Job, Occurrence: c.ref.Occurrence, Step: c.ref.Step, Index: index}
}

func (p *planner) unplaced(c candidate, tasks int) {
	if tasks == 0 || c.step.FillsIdle {
		return
	}
	all := p.plan.Unplaced[c.pool]
	u := all.UnmetDemand
	if c.step.Label != "" {
		u = all.Labels[c.step.Label]
	}
	for range tasks {
		u.Waiting = u.Waiting.Plus(c.step.Occupies())
	}
	if c.step.LongRunning {
		perWorker := c.step.MaxPerWorker
		if perWorker == 0 {
			perWorker = tasks
		}
		u.Spread = max(u.Spread, (tasks+perWorker-1)/perWorker)
		for range tasks {
			u.LongRunning = u.LongRunning.Plus(c.step.Occupies())
		}
	} else {
		u.WorkMilliMS += int64(tasks) * c.step.Size.CPUMilli * c.step.EstimatedMS
	}
	if c.step.Label == "" {
		all.UnmetDemand = u
	} else {
		if all.Labels == nil {
			all.Labels = map[string]capacity.UnmetDemand{}
		}
		all.Labels[c.step.Label] = u
	}
	p.plan.Unplaced[c.pool] = all
}

func (p *planner) start(c candidate, f *fit, r *room, ref workload.TaskRef, run int) {
	r.free = r.free.Minus(c.step.Occupies())
	r.tasks++
	if c.step.LongRunning {
		r.longRunning++
	}
	if r.budget > 0 {
		r.budget--
	}
	f.took(r)
	p.teams[c.job.Team] = p.teams[c.job.Team].Plus(c.step.Size)
	p.plan.Starts = append(p.plan.Starts, workload.Start{Task: ref, Run: run, Worker: r.Incarnation, Ticket: f.tickets[r.Incarnation], Machine: r.Machine})
}

// withinLimit tells whether the team may run one more task of the step. A task
// above the whole limit runs alone.
func (p *planner) withinLimit(c candidate) bool {
	team, ok := p.in.State.Config.Teams[c.job.Team]
	if !ok {
		return true
	}
	use := p.in.State.TeamUse(c.job.Team).Plus(p.teams[c.job.Team])
	return use == workload.Resources{} || use.Plus(c.step.Size).WithinLimit(team.Limit)
}
