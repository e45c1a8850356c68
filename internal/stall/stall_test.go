package stall

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	testPool = "pool"
	queue    = "queue"
	now      = int64(60_000)
)

// fixture is a state with one queue and the leader's view of two live workers in two racks,
// each of 8 cores.
type fixture struct {
	state   *workload.State
	workers []Worker
}

func newFixture() *fixture {
	f := &fixture{state: workload.NewState()}
	f.state.Apply(&workload.Command{Configure: &workload.Config{
		Version: 1,
		Queues:  map[string]workload.Queue{queue: {Name: queue, Pool: testPool, MaxAttempts: 9}},
		Pools:   map[string]workload.Pool{testPool: {Name: testPool}},
		Teams:   map[string]workload.Team{"team": {Name: "team", Limit: workload.Resources{CPUMilli: 6000}}},
	}}, 1)
	for i := range 2 {
		f.workers = append(f.workers, Worker{
			Incarnation: workload.WorkerIncarnation{ID: fmt.Sprintf("w%d", i)}, Pool: testPool, Rack: fmt.Sprintf("r%d", i), DataCentre: fmt.Sprintf("dc%d", i),
			Labels: []string{"a"}, Free: workload.Resources{CPUMilli: 8000, MemoryMiB: 8000}, Live: true, SilentSinceMS: now, Accepts: true,
		})
	}
	return f
}

func (f *fixture) submit(id, team string, at int64, steps ...workload.Step) {
	f.state.Apply(&workload.Command{Submit: &workload.Submit{ID: id, Queue: queue, Team: team, Steps: steps}}, at)
}

func (f *fixture) start(id string, task, worker int, at int64) {
	f.place(id, task, worker, at)
	run := workload.Run{Task: workload.TaskRef{Job: id, Index: task}, Run: 1}
	f.state.Apply(&workload.Command{Progress: &workload.Progress{Started: []workload.StartedRun{{Run: run, At: at}}}}, at)
}

// place places a run that no report of its worker shows.
func (f *fixture) place(id string, task, worker int, at int64) {
	f.state.Apply(&workload.Command{Progress: &workload.Progress{Starts: []workload.Start{{Task: workload.TaskRef{Job: id, Index: task}, Run: 1, Worker: f.workers[worker].Incarnation}}}}, at)
}

func (f *fixture) occupy(free int64) {
	for i := range f.workers {
		f.workers[i].Free.CPUMilli = free
	}
}

func step(count int, cpu int64) workload.Step {
	return workload.Step{Count: count, Size: workload.Resources{CPUMilli: cpu, MemoryMiB: 100}, EstimatedMS: 500}
}

// Guards against work that waits without anyone being told why, or being told a wrong
// reason.
func TestEachReason(t *testing.T) {
	labelled, gang, far, single := step(1, 1000), step(3, 5000), step(1, 4000), step(2, 4000)
	labelled.Label = "gpu"
	gang.Gang = true
	far.DataRack = "r9"
	single.LongRunning = true
	cases := map[Reason]struct {
		prepare func(f *fixture, in *Input)
		detail  string
	}{
		NoCapacity: {func(f *fixture, _ *Input) { f.submit("j", "", 1, labelled) }, "no worker has label gpu"},
		TeamLimit: {func(f *fixture, _ *Input) {
			f.submit("other", "team", 1, step(1, 4000))
			f.start("other", 0, 0, 1)
			f.submit("j", "team", 1, step(1, 4000))
		}, "team team"},
		Gang:         {func(f *fixture, _ *Input) { f.submit("j", "", 1, gang) }, "3 tasks at once"},
		DataRackAway: {func(f *fixture, _ *Input) { f.submit("j", "", 1, far); f.occupy(1000) }, "rack r9"},
		DataCentreCutOff: {func(f *fixture, _ *Input) {
			f.submit("j", "", 1, step(1, 4000))
			f.start("j", 0, 1, now-5000)
			f.workers[1].Live, f.workers[1].SilentSinceMS = false, now-3000
		}, "data centre dc1"},
		HeldBack: {func(f *fixture, _ *Input) {
			f.submit("j", "", 1, step(1, 4000))
			f.workers[0].Free.CPUMilli = 1000
			f.workers[1].Accepts, f.workers[1].Held = false, true
		}, "1 workers"},
		Evacuated: {func(f *fixture, _ *Input) {
			f.submit("j", "", 1, step(1, 4000))
			f.workers[0].Free.CPUMilli = 1000
			f.evacuate(1)
		}, "data centre dc1"},
		FailsEverywhere: {func(f *fixture, in *Input) {
			f.submit("j", "", 1, single)
			in.FailedOn = map[workload.TaskRef]map[string]bool{{Job: "j"}: {"w0": true, "w1": true}}
		}, "task j.0.0.0 failed on 2 workers"},
		WorkerSilent: {func(f *fixture, _ *Input) {
			f.submit("j", "", 1, step(1, 4000))
			f.start("j", 0, 1, now-5000)
			f.workers[1].DataCentre = "dc0"
			f.workers[1].Live, f.workers[1].SilentSinceMS = false, now-3000
		}, "worker w1"},
		NoApproval: {func(f *fixture, in *Input) {
			f.submit("j", "", 1, step(1, 4000))
			in.Unapproved = map[Key]bool{{Job: "j"}: true}
		}, "queue queue"},
	}
	require.Len(t, cases, len(Reasons()))
	for reason, c := range cases {
		t.Run(string(reason), func(t *testing.T) {
			f := newFixture()
			in := Input{State: f.state, NowMS: now}
			c.prepare(f, &in)
			in.Workers = f.workers
			stalls := Find(in)
			require.Len(t, stalls, 1)
			require.Equal(t, "j", stalls[0].Job)
			require.Equal(t, reason, stalls[0].Reason)
			require.Equal(t, c.detail, stalls[0].Detail)
			require.Positive(t, stalls[0].Tasks)
			require.NotEmpty(t, reason.Remedy())
			require.LessOrEqual(t, stalls[0].SinceMS, now-AfterMS)
		})
	}
}

// evacuate evacuates the data centre of a worker.
func (f *fixture) evacuate(worker int) {
	w := &f.workers[worker]
	w.Accepts, w.Held, w.Evacuated = false, true, true
	f.state.Apply(&workload.Command{Evacuate: &workload.Evacuate{DataCentre: w.DataCentre}}, 1)
}

// Guards against an evacuation that is not named because no worker can be approved, or because
// the idle workers of all data centres have left the pool.
func TestEvacuationOfAllDataCentresIsTheReason(t *testing.T) {
	f := newFixture()
	f.submit("j", "", 1, step(1, 4000))
	f.evacuate(0)
	f.evacuate(1)
	for _, workers := range [][]Worker{f.workers, nil} {
		stalls := Find(Input{State: f.state, NowMS: now, Workers: workers, Unapproved: map[Key]bool{{Job: "j"}: true}})
		require.Len(t, stalls, 1)
		require.Equal(t, Evacuated, stalls[0].Reason)
		require.Equal(t, "data centre dc0, dc1", stalls[0].Detail)
	}
}

// Guards against alarms about work that goes on: steps whose tasks run, whose turn has not
// come or has just come, and those that the next plan will place.
func TestProgressIsNoStall(t *testing.T) {
	f := newFixture()
	second := step(1, 4000)
	second.After = []int{0}
	f.submit("runs", "", 1, step(3, 4000), second)
	f.start("runs", 0, 0, 1)
	f.submit("fresh", "", now-AfterMS+1, step(9, 9000))
	f.submit("next", "", 1, step(1, 4000))
	require.Empty(t, Find(Input{State: f.state, NowMS: now, Workers: f.workers}))

	f = newFixture()
	lasting := step(1, 4000)
	lasting.LongRunning = true
	f.submit("lasts", "", 1, lasting)
	f.start("lasts", 0, 1, now-failingRunMS)
	failures := map[workload.TaskRef]map[string]bool{{Job: "lasts"}: {"w0": true, "w1": true}}
	require.Empty(t, Find(Input{State: f.state, NowMS: now, Workers: f.workers, FailedOn: failures}), "its present run goes on")
}

// Guards against a placement that counts as progress of the task: its start may never arrive.
func TestPlacementIsNoProgress(t *testing.T) {
	f := newFixture()
	lasting := step(1, 4000)
	lasting.LongRunning = true
	f.submit("lasts", "", 1, lasting)
	f.place("lasts", 0, 1, now-failingRunMS)
	failures := map[workload.TaskRef]map[string]bool{{Job: "lasts"}: {"w0": true, "w1": true}}
	stalls := Find(Input{State: f.state, NowMS: now, Workers: f.workers, FailedOn: failures})
	require.Len(t, stalls, 1)
	require.Equal(t, FailsEverywhere, stalls[0].Reason)

	f = newFixture()
	lasting.Count = 2
	f.submit("lasts", "", 1, lasting)
	f.place("lasts", 0, 1, now)
	f.occupy(0)
	stalls = Find(Input{State: f.state, NowMS: now, Workers: f.workers})
	require.Len(t, stalls, 1)
	require.EqualValues(t, 1, stalls[0].SinceMS, "since the turn of the step")
}

// BenchmarkFind measures the search with a thousand stalled jobs in full pools.
func BenchmarkFind(b *testing.B) {
	f := newFixture()
	for i := range 300 {
		w := f.workers[i%2]
		w.Incarnation.ID = fmt.Sprintf("x%d", i)
		f.workers = append(f.workers, w)
	}
	f.occupy(500)
	for i := range 1000 {
		f.submit(fmt.Sprint(i), "", 1, step(8, 1000+int64(i)))
	}
	in := Input{State: f.state, NowMS: now, Workers: f.workers}
	require.Len(b, Find(in), 1000)
	for b.Loop() {
		Find(in)
	}
}
