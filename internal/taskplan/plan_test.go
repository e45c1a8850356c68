package taskplan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const now = 10_000

// fixture is a state with one pool, its workers, and two queues: batch, and advised,
// whose steps need approved workers.
type fixture struct {
	state   *workload.State
	workers []Worker
}

func newFixture(workers int, team workload.Team) *fixture {
	f := &fixture{state: workload.NewState()}
	f.state.Apply(&workload.Command{Configure: &workload.Config{
		Version: 1,
		Queues: map[string]workload.Queue{
			"batch":   {Name: "batch", Pool: "pool", MaxAttempts: 3, TargetLatencyMS: 3600, Stretch: 1.6, Priority: 1},
			"advised": {Name: "advised", Pool: "pool", MaxAttempts: 3, Advice: &workload.Advice{}},
		},
		Pools: map[string]workload.Pool{"pool": {Name: "pool"}},
		Teams: map[string]workload.Team{team.Name: team},
	}}, 0)
	for i := range workers {
		f.workers = append(f.workers, Worker{
			Incarnation: workload.WorkerIncarnation{ID: fmt.Sprintf("w%d", i)}, Pool: "pool", Rack: fmt.Sprintf("r%d", i/2),
			Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, Capacity: workload.Resources{CPUMilli: 8000, MemoryMiB: 8000}, MaxStarts: -1,
		})
	}
	return f
}

func (f *fixture) submit(id, queue, team string, at int64, steps ...workload.Step) {
	f.state.Apply(&workload.Command{Submit: &workload.Submit{ID: id, Queue: queue, Team: team, Steps: steps}}, at)
}

func (f *fixture) plan() Plan {
	return Compute(Input{State: f.state, NowMS: now, Workers: f.workers})
}

// apply applies a plan and returns the number of started tasks by worker.
func (f *fixture) apply(p Plan) map[string]int {
	f.state.Apply(&workload.Command{Progress: &workload.Progress{Starts: p.Starts}}, now)
	out := map[string]int{}
	for _, s := range p.Starts {
		out[s.Worker.ID]++
	}
	return out
}

func step(count int, cpu int64) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: cpu, MemoryMiB: 100}, EstimatedMS: 1000}
}

// Guards against late work that delays work on time during a burst above the pool's
// capacity. Work that can still meet its deadline is placed first, the oldest first.
func TestLateWorkDoesNotDelayWorkOnTime(t *testing.T) {
	f := newFixture(1, workload.Team{Name: "t"})
	f.submit("late", "batch", "t", 1, step(2, 4000))
	f.submit("older", "batch", "t", now-1000, step(1, 4000))
	f.submit("fresh", "batch", "t", now, step(1, 4000))
	p := f.plan()
	require.Len(t, p.Starts, 2)
	require.Equal(t, "older", p.Starts[0].Task.Job)
	require.Equal(t, "fresh", p.Starts[1].Task.Job)
	require.EqualValues(t, 8000, p.Unplaced["pool"].Waiting.CPUMilli)
	require.EqualValues(t, 2*4000*1000, p.Unplaced["pool"].WorkMilliMS)
}

// Guards against spreading tasks over all workers, after which none is idle and none
// can be released.
func TestTasksArePacked(t *testing.T) {
	f := newFixture(4, workload.Team{Name: "t"})
	f.submit("a", "batch", "t", now, step(8, 2000))
	require.Len(t, f.apply(f.plan()), 2)
}

// Guards against most tasks of a long-running step on one rack, whose failure would end
// them, and against batch tasks on workers that could be released.
func TestLongRunningTasksAreSpreadAndShareTheirWorkers(t *testing.T) {
	f := newFixture(6, workload.Team{Name: "t"})
	longRunning := step(3, 1000)
	longRunning.LongRunning, longRunning.MaxPerWorker = true, 1
	f.submit("w1", "batch", "t", now, longRunning)
	f.submit("w2", "batch", "t", now, longRunning)
	placed := f.apply(f.plan())
	require.Len(t, placed, 3, "both jobs use the same workers")
	require.Len(t, racksOf(f, placed), 3)
	f.submit("b", "batch", "t", now, step(3, 1000))
	for worker := range f.apply(f.plan()) {
		require.Contains(t, placed, worker)
	}
}

func racksOf(f *fixture, placed map[string]int) map[string]bool {
	racks := map[string]bool{}
	for _, w := range f.workers {
		if placed[w.Incarnation.ID] > 0 {
			racks[w.Rack] = true
		}
	}
	return racks
}

// Guards against a team above its limit, which also counts the tasks that are being
// stopped, and against a large job of one team that holds up the other teams.
func TestTeamLimit(t *testing.T) {
	f := newFixture(4, workload.Team{Name: "t", Limit: workload.Resources{CPUMilli: 6000}})
	f.submit("a", "batch", "t", now-10, step(10, 2000))
	f.submit("b", "batch", "other", now, step(2, 2000))
	p := f.plan()
	perTeam := map[string]int{}
	for _, s := range p.Starts {
		perTeam[s.Task.Job]++
	}
	require.Equal(t, map[string]int{"a": 3, "b": 2}, perTeam)
	require.Empty(t, p.Unplaced, "work above a team limit adds no machines")
	f.apply(p)
	f.state.Apply(&workload.Command{Cancel: &workload.Cancel{ID: "a", Queue: "batch"}}, now)
	f.submit("c", "batch", "t", now, step(1, 2000))
	require.Empty(t, f.plan().Starts)
}

// Guards against gangs of which some members start and wait for members that fit on no
// worker.
func TestGangStartsAllOrNone(t *testing.T) {
	f := newFixture(2, workload.Team{Name: "t"})
	gang := step(3, 8000)
	gang.Gang = true
	f.submit("g", "batch", "t", now, gang)
	require.Empty(t, f.plan().Starts)
	small := step(3, 4000)
	small.Gang = true
	f.submit("h", "batch", "t", now, small)
	p := f.plan()
	require.Len(t, p.Starts, 3)
	for _, s := range p.Starts {
		require.Equal(t, 1, s.Run)
	}
}

// Guards against a gang with SameRack that is spread over racks although one rack has
// enough capacity.
func TestGangKeepsToOneRack(t *testing.T) {
	f := newFixture(6, workload.Team{Name: "t"})
	f.submit("a", "batch", "t", now-100, step(1, 8000))
	f.apply(f.plan())
	gang := step(2, 8000)
	gang.Gang, gang.SameRack = true, true
	f.submit("g", "batch", "t", now, gang)
	require.Len(t, racksOf(f, f.apply(f.plan())), 1)
}

// Guards against starts on workers that lack the step's label or approval, and on
// workers outside the rack of its data.
func TestRequirements(t *testing.T) {
	f := newFixture(4, workload.Team{Name: "t"})
	near := step(2, 1000)
	near.DataRack = "r1"
	f.submit("near", "batch", "t", now, near)
	require.Equal(t, map[string]bool{"r1": true}, racksOf(f, f.apply(f.plan())))
	labelled := step(1, 1000)
	labelled.Label = "b"
	f.submit("labelled", "batch", "t", now, labelled)
	require.Empty(t, f.plan().Starts)
	f.submit("advised", "advised", "t", now, step(1, 1000))
	p := f.plan()
	require.Empty(t, p.Starts)
	ref := StepRef{Job: "advised"}
	require.Equal(t, []StepRef{ref}, p.NeedApproval)
	approved := Approvals{ref: {workload.WorkerIncarnation{ID: "w3"}: "ticket"}}
	p = Compute(Input{State: f.state, NowMS: now, Workers: f.workers, Approvals: approved})
	require.Len(t, p.Starts, 1)
	require.Equal(t, "w3", p.Starts[0].Worker.ID)
	require.Equal(t, "ticket", p.Starts[0].Ticket)
}

// Guards against a task that has failed once on every worker and is never started again.
func TestAvoidedWorkerIsBetterThanNone(t *testing.T) {
	f := newFixture(2, workload.Team{Name: "t"})
	f.submit("a", "batch", "t", now, step(1, 1000))
	avoid := func(w string) func(workload.TaskRef, workload.WorkerIncarnation) bool {
		return func(_ workload.TaskRef, life workload.WorkerIncarnation) bool { return w == "all" || life.ID == w }
	}
	p := Compute(Input{State: f.state, NowMS: now, Workers: f.workers, Avoid: avoid("w0")})
	require.Equal(t, "w1", p.Starts[0].Worker.ID)
	p = Compute(Input{State: f.state, NowMS: now, Workers: f.workers, Avoid: avoid("all")})
	require.Len(t, p.Starts, 1)
}

// Guards against jobs that wait for a partitioned data centre because a few of their
// tasks run there: a job whose tasks fit into one data centre runs entirely in it, and
// the jobs are spread over the data centres.
func TestJobsKeepToOneDataCentre(t *testing.T) {
	f := newFixture(6, workload.Team{Name: "t"})
	for i := range f.workers {
		f.workers[i].DataCentre = fmt.Sprintf("dc%d", i/2)
	}
	centres := map[string]bool{}
	for _, id := range []string{"a", "b", "c"} {
		f.submit(id, "batch", "t", now, step(4, 3000))
		placed := f.apply(f.plan())
		ofJob := map[string]bool{}
		for _, w := range f.workers {
			if placed[w.Incarnation.ID] > 0 {
				ofJob[w.DataCentre] = true
				centres[w.DataCentre] = true
			}
		}
		require.Len(t, ofJob, 1, id)
	}
	require.Len(t, centres, 3)
}

// Guards against a demand of one machine for each waiting long-running task where
// several fit on one machine.
func TestUnmetDemandOfLongRunningTasks(t *testing.T) {
	f := newFixture(0, workload.Team{})
	longRunning := workload.Step{Count: 6, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxPerWorker: 2}
	f.submit("a", "batch", "", now, longRunning)
	f.submit("b", "batch", "", now, longRunning)
	u := Compute(Input{State: f.state, NowMS: now, Workers: f.workers}).Unplaced["pool"]
	require.Equal(t, 3, u.Spread)
	require.Equal(t, int64(12000), u.LongRunning.CPUMilli)
}

// Guards against a team that submits more than the pool can run, with the earlier
// deadlines, and holds up another team: while the pool is full, the team below its
// weighted share is placed first.
func TestTeamsGetTheirSharesWhenThePoolIsFull(t *testing.T) {
	f := newFixture(2, workload.Team{Name: "large", Weight: 3})
	f.submit("first", "batch", "large", 1, step(16, 1000))
	f.apply(f.plan())
	f.submit("second", "batch", "large", 2, step(16, 1000))
	f.submit("other", "batch", "small", 3, step(16, 1000))
	ends := &workload.Progress{}
	for i := range 4 {
		ref := workload.TaskRef{Job: "first", Index: i}
		_, task, _ := f.state.Task(ref)
		ends.Ends = append(ends.Ends, workload.End{Task: ref, Run: 1, Worker: task.Worker, Outcome: workload.OutcomeDone})
	}
	f.state.Apply(&workload.Command{Progress: ends}, now)
	for _, start := range f.plan().Starts {
		require.Equal(t, "other", start.Task.Job, "the large team uses 12 of 16 cores, which is its share")
	}
	ends.Ends = nil
	for i := range 4 {
		ref := workload.TaskRef{Job: "first", Index: 4 + i}
		_, task, _ := f.state.Task(ref)
		ends.Ends = append(ends.Ends, workload.End{Task: ref, Run: 1, Worker: task.Worker, Outcome: workload.OutcomeDone})
	}
	f.apply(f.plan())
	f.state.Apply(&workload.Command{Progress: ends}, now)
	for _, start := range f.plan().Starts {
		require.Equal(t, "second", start.Task.Job, "the small team now uses its share")
	}
}

// Guards against demand for labelled workers that is counted as demand for any worker.
func TestUnmetDemandIsCountedByLabel(t *testing.T) {
	f := newFixture(1, workload.Team{})
	labelled := step(2, 1000)
	labelled.Label = "gpu"
	f.submit("bound", "batch", "", 1, labelled)
	f.submit("free", "batch", "", 2, step(10, 1000))
	u := f.plan().Unplaced["pool"]
	require.Equal(t, int64(2000), u.Waiting.CPUMilli, "8 of the 10 tasks fit")
	require.Equal(t, int64(2000), u.Labels["gpu"].Waiting.CPUMilli)
}

// Guards against demand that counts tasks as overdue while their step makes progress.
func TestOverdueTasksAreCounted(t *testing.T) {
	f := newFixture(1, workload.Team{})
	f.submit("large", "batch", "", now-overdueMS, step(2, 9000))
	f.submit("fresh", "batch", "", now-overdueMS+1, step(1, 9000))
	u := f.plan().Unplaced["pool"]
	require.Equal(t, int64(27000), u.Waiting.CPUMilli)
	require.Equal(t, int64(18000), u.Overdue.CPUMilli)
}

// Guards against a task that starts beside an abandoned run of its step on a worker that is heard
// again: both count towards the tasks of the step that may run there.
func TestAbandonedRunsCountTowardsMaxPerWorker(t *testing.T) {
	f := newFixture(2, workload.Team{Name: "t"})
	apart := step(2, 1000)
	apart.Speculative, apart.MaxPerWorker = true, 1
	f.submit("job", "batch", "t", now, apart)
	p := f.plan()
	require.Equal(t, map[string]int{"w0": 1, "w1": 1}, f.apply(p))
	silent := p.Starts[0]
	end := func(s workload.Start, outcome workload.Outcome) {
		f.state.Apply(&workload.Command{Progress: &workload.Progress{Ends: []workload.End{{Task: s.Task, Run: s.Run, Worker: s.Worker, Outcome: outcome}}}}, now)
	}
	end(silent, workload.OutcomeAbandoned)
	end(p.Starts[1], workload.OutcomeFailed)
	require.Len(t, f.plan().Starts, 1, "one of the tasks has to wait for the end of the abandoned run")
	require.NotEqual(t, silent.Worker, f.plan().Starts[0].Worker)
	end(silent, workload.OutcomeLost)
	require.Len(t, f.plan().Starts, 2)
}
