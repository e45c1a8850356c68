// Package taskplan decides which waiting tasks start on which workers. It does no I/O
// and reads no clock: Compute takes the replicated state and a description of the
// workers, and returns the starts.
//
// The queues have bursts in turn, in which one queue submits several times what its
// pool can run for several seconds. Work that can still meet its deadline is placed
// first, in order of deadline, and late work takes the capacity that remains. In a pool
// in which more work waits than has room, what can be finished in time is chosen first;
// see chooseInTime.
package taskplan

import (
	"cmp"
	"slices"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/runtimes"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// Worker is an incarnation of a worker that accepts new tasks.
type Worker struct {
	Incarnation workload.WorkerIncarnation
	Machine     string
	Pool        string
	Rack        string
	DataCentre  string
	Labels      []string
	Capacity    workload.Resources
	// MaxStarts is the largest number of tasks that the plan may start on the worker; -1
	// means no limit. Workers that are slow or whose latest runs failed have a limit.
	MaxStarts int
	// Emptying workers get a task only if no other worker can take it.
	Emptying bool
}

// StepRef identifies one step of an occurrence of a job.
type StepRef struct {
	Job        string
	Occurrence int
	Step       int
}

// Approvals maps a step to the workers that the advice service has approved for it, and
// each of them to the ticket that proves the approval. A step that is absent has no
// decision yet.
type Approvals map[StepRef]map[workload.WorkerIncarnation]string

// Input is the input of Compute, which changes none of it.
type Input struct {
	State *workload.State
	// NowMS is the cluster time in milliseconds.
	NowMS     int64
	Workers   []Worker
	Approvals Approvals
	// Avoid reports whether an earlier run of the task failed, stalled or was abandoned
	// on the worker. Such a worker is used only if no other can take the task. A nil
	// function avoids none.
	Avoid func(workload.TaskRef, workload.WorkerIncarnation) bool
	// MaxStarts is the number of starts from which on no further step is placed; 0 means no
	// limit. The plan may exceed it by the tasks of one step.
	MaxStarts int
	// IncomingMilli is the processor time of the machines on their way to each pool, in
	// thousandths of a core. The choice in overloaded pools counts on it.
	IncomingMilli map[string]int64
	// ByDeadline keeps the order by deadline also in overloaded pools.
	ByDeadline bool
}

// Plan is the result of Compute.
type Plan struct {
	Starts []workload.Start
	// Unplaced is the work that could not be placed, by pool, including the steps in
	// NeedApproval. Tasks that fill idle capacity are not counted, and neither are tasks
	// that their team's limit holds back, unless they belong to a gang.
	Unplaced map[string]Unplaced
	// NeedApproval lists the steps that wait for the advice service to approve workers.
	NeedApproval []StepRef
	// Overloads describes the choices in the pools in which more work waits than has room.
	Overloads map[string]Overload
	// Truncated is true if MaxStarts left steps without a decision. Unplaced does not
	// include them.
	Truncated bool
}

// Unplaced is the work of one pool that could not be placed. The embedded UnmetDemand
// counts the steps that require no label.
type Unplaced struct {
	capacity.UnmetDemand
	// Labels counts, by label, the steps that require a label. The embedded UnmetDemand
	// does not include them.
	Labels map[string]capacity.UnmetDemand
}

// overdueMS is the time without progress after which the waiting tasks of a step count as
// overdue. Room that frees in the usual way does so within half of the latency targets.
const overdueMS = 1500

// candidate is a step that has waiting tasks and whose dependencies are done.
type candidate struct {
	job        *workload.Job
	occurrence *workload.Occurrence
	ref        StepRef
	step       *workload.Step
	progress   *workload.StepProgress
	pool       string
	class      int
	// deadline is the cluster time, in milliseconds, by which the occurrence should be
	// complete.
	deadline int64
	// orderMS orders the candidates of a class: the deadline or, in an overloaded pool, the
	// cluster time by which the occurrence must go on to be in time.
	orderMS int64
	// maxStarts bounds the tasks that start; 0 is no limit.
	maxStarts int
	// expected is the expected run time of one task.
	expected runtimes.Estimate
	// overShare is true when the team uses at least its share of the pool.
	overShare bool
	// overloaded is the candidate's pool if it is overloaded, and contender its occurrence
	// there; nil for long-running tasks and those that fill idle capacity.
	overloaded *overloadedPool
	contender  *contender
}

// Classes of steps, in the order in which they are placed.
const (
	classLongRunning = iota
	// classKeptRoom is late work in the room that an overloaded pool keeps for it.
	classKeptRoom
	classOnTime
	classLate
	classFillIdle
)

// planner holds the capacity that remains while a plan is computed.
type planner struct {
	in    Input
	plan  Plan
	pools map[string]*poolWorkers
	// byIncarnation holds the workers of all pools.
	byIncarnation map[workload.WorkerIncarnation]*workerState
	// startedByTeam is what the starts of this plan add to each team's use.
	startedByTeam map[string]workload.Resources
	// usedMilli is the processor time that running tasks of other than long-running steps
	// occupy, in thousandths of a core.
	usedMilli map[poolTeam]int64
	// dependent holds one step of each occurrence that has waiting tasks and no candidate.
	dependent []candidate
	// chainEnds is scratch space of remaining.
	chainEnds []int64
}

// workerState is a worker with its remaining capacity.
type workerState struct {
	Worker
	free workload.Resources
	// startsLeft is the number of tasks that may still start on the worker; -1 means no
	// limit.
	startsLeft int
	tasks      int
	// starts is the number of tasks that this plan starts on the worker, and suspects the number of
	// suspect ones among them. hasSuspects is true if a suspect task is on the worker.
	starts, suspects int
	hasSuspects      bool
	// longRunning counts the long-running tasks. A worker that has one can't be released
	// from its pool.
	longRunning int
}

// Compute returns the starts of all waiting tasks that fit on a worker, and the demand
// of the others.
func Compute(in Input) Plan {
	return compute(in, nil).plan
}

// compute places the candidates in order. Unless placed is nil, it is called after each of
// them with the number of its tasks that still wait.
func compute(in Input, placed func(c *candidate, waiting int)) *planner {
	p := newPlanner(in)
	for _, c := range p.candidates() {
		if in.MaxStarts > 0 && len(p.plan.Starts) >= in.MaxStarts {
			p.plan.Truncated = true
			break
		}
		before := len(p.plan.Starts)
		p.place(*c)
		if placed != nil {
			placed(c, c.progress.Waiting()-(len(p.plan.Starts)-before))
		}
	}
	return p
}

func newPlanner(in Input) *planner {
	p := &planner{
		in: in, pools: map[string]*poolWorkers{}, startedByTeam: map[string]workload.Resources{}, usedMilli: map[poolTeam]int64{},
		byIncarnation: make(map[workload.WorkerIncarnation]*workerState, len(in.Workers)),
	}
	p.plan.Unplaced = map[string]Unplaced{}
	byPool := map[string][]*workerState{}
	for _, w := range in.Workers {
		state := p.newWorkerState(w)
		byPool[w.Pool] = append(byPool[w.Pool], state)
		p.byIncarnation[w.Incarnation] = state
	}
	for pool, workers := range byPool {
		p.pools[pool] = newPoolWorkers(workers)
	}
	return p
}

func (p *planner) newWorkerState(w Worker) *workerState {
	state := &workerState{Worker: w, free: w.Capacity, startsLeft: w.MaxStarts}
	for _, run := range p.in.State.RunsOn(w.Incarnation) {
		state.free = state.free.Minus(run.Occupies)
		state.tasks++
		state.hasSuspects = state.hasSuspects || run.Suspect()
		if run.LongRunning {
			state.longRunning++
		} else {
			p.usedMilli[poolTeam{w.Pool, run.Team}] += run.Occupies.CPUMilli
		}
	}
	return state
}

// candidates returns the steps with waiting tasks in the order of placement.
func (p *planner) candidates() []*candidate {
	var out []candidate
	for _, j := range p.in.State.Active() {
		for k, o := range j.Occurrences {
			begins, depends := len(out), -1
			for i := range o.Steps {
				switch {
				case o.Steps[i].Waiting() == 0:
				case o.Ready(j, i):
					out = append(out, p.candidate(j, k, o, i))
				default:
					depends = i
				}
			}
			if len(out) == begins && depends >= 0 {
				p.dependent = append(p.dependent, p.candidate(j, k, o, depends))
			}
		}
	}
	p.markOverShare(out, p.dependent)
	if !p.in.ByDeadline {
		p.orderOverload(out)
	}
	ordered := make([]*candidate, len(out))
	for i := range out {
		ordered[i] = &out[i]
	}
	slices.SortFunc(ordered, compareCandidates)
	return ordered
}

func (p *planner) candidate(j *workload.Job, k int, o *workload.Occurrence, step int) candidate {
	c := candidate{
		job: j, occurrence: o, step: &j.Steps[step], progress: &o.Steps[step],
		ref: StepRef{Job: j.ID, Occurrence: k, Step: step}, pool: p.in.State.PoolOf(j), expected: p.in.State.ExpectedRun(j, step),
	}
	c.deadline = o.DueAt + j.ObjectiveMS
	c.orderMS = c.deadline
	c.class = classOnTime
	switch {
	case c.step.FillsIdle:
		c.class = classFillIdle
	case c.step.LongRunning:
		c.class = classLongRunning
	case p.in.NowMS+c.expected.MedianMS > c.deadline:
		c.class = classLate
	}
	return c
}

// compareCandidates orders the candidates for placement.
func compareCandidates(a, b *candidate) int {
	return cmp.Or(
		cmp.Compare(a.class, b.class),
		cmp.Compare(a.job.Priority, b.job.Priority),
		compareBool(a.overShare, b.overShare),
		cmp.Compare(a.orderMS, b.orderMS),
		cmp.Compare(a.ref.Job, b.ref.Job),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence),
		cmp.Compare(a.ref.Step, b.ref.Step),
	)
}

// place starts as many waiting tasks of the step as fit.
func (p *planner) place(c candidate) {
	tickets, decided := p.in.Approvals[c.ref]
	if p.needsApproval(c) && !decided {
		p.plan.NeedApproval = append(p.plan.NeedApproval, c.ref)
		p.recordUnplaced(c, c.progress.Waiting())
		return
	}
	if !p.needsApproval(c) {
		tickets = nil
	}
	s := p.newSelector(c, tickets)
	if c.step.Gang {
		if !slices.ContainsFunc(c.progress.Tasks, func(t workload.Task) bool { return t.Pausing(p.in.NowMS) }) {
			p.placeGang(c, s)
		}
		return
	}
	unplaced, started := 0, 0
	for i := range c.progress.Tasks {
		t := &c.progress.Tasks[i]
		if t.Phase != workload.Waiting || t.Pausing(p.in.NowMS) {
			continue
		}
		if !p.withinTeamLimit(c) {
			break
		}
		if s.exhausted || c.maxStarts > 0 && started == c.maxStarts {
			unplaced++
			continue
		}
		ref := c.taskRef(i)
		w := s.selectWorker(ref, t)
		if w == nil {
			unplaced++
			continue
		}
		p.startTask(c, s, w, ref, t.Run+1)
		s.reserve(w, t)
		started++
	}
	p.recordUnplaced(c, unplaced)
}

func (p *planner) needsApproval(c candidate) bool {
	q, _ := p.in.State.QueueOf(c.job)
	return q.Advice != nil
}

func (c candidate) taskRef(index int) workload.TaskRef {
	return workload.TaskRef{Job: c.ref.Job, Occurrence: c.ref.Occurrence, Step: c.ref.Step, Index: index}
}

// recordUnplaced adds tasks of the step to the unmet demand of its pool. Tasks that fill
// idle capacity don't count: no machine is added for them.
func (p *planner) recordUnplaced(c candidate, tasks int) {
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
	if !c.step.LongRunning && p.in.NowMS-c.occurrence.LastProgressMS(c.job, c.ref.Step) >= overdueMS {
		for range tasks {
			u.Overdue = u.Overdue.Plus(c.step.Occupies())
		}
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
		u.WorkMilliMS += int64(tasks) * c.step.WorkMilliMS(c.expected.MeanMS)
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

func (p *planner) startTask(c candidate, s *selector, w *workerState, ref workload.TaskRef, run int) {
	p.pools[c.pool].occupy(w, c.step)
	s.countStart(w)
	p.startedByTeam[c.job.Team] = p.startedByTeam[c.job.Team].Plus(c.step.Size)
	p.plan.Starts = append(p.plan.Starts, workload.Start{Task: ref, Run: run, Worker: w.Incarnation, Ticket: s.tickets[w.Incarnation], Machine: w.Machine})
}

// withinTeamLimit reports whether the team may run one more task of the step. A task
// that is larger than the team's limit may run when the team runs nothing else.
func (p *planner) withinTeamLimit(c candidate) bool {
	team, ok := p.in.State.Config.Teams[c.job.Team]
	if !ok {
		return true
	}
	use := p.in.State.TeamUse(c.job.Team).Plus(p.startedByTeam[c.job.Team])
	return use == workload.Resources{} || use.Plus(c.step.Size).WithinLimit(team.Limit)
}
