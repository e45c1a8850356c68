package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/runtimes"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	sizePools        = 4
	sizeWorkerCPU    = 32_000
	sizeTaskCPU      = 4_500
	sizeTasksPerJob  = 8
	sizeTasksPerNode = 7
	sizeRackMachines = 12
	sizeDataCentres  = 5
)

func sizePool(i int) string { return fmt.Sprintf("pool%d", i%sizePools) }

// instantProvider is a platform that lists machines and carries out every call at once.
type instantProvider struct{ machines []MachineInfo }

func (instantProvider) Maintain(context.Context, string, int64, MachineOrder) error { return nil }

func (instantProvider) Move(context.Context, string, string, MachineOrder) error { return nil }

func (p instantProvider) List(context.Context) (MachineList, error) {
	return MachineList{Machines: p.machines}, nil
}

// sizeFixture is a fleet of the given size whose pools are full, with tasks in all beyond
// those that run waiting in the queues.
type sizeFixture struct {
	r       *rig
	d       *Dispatcher
	reports []Report
}

func newSizeFixture(tb testing.TB, workers, tasks int) *sizeFixture {
	tb.Helper()
	r := newRig(1)
	config := workload.Config{Version: 2, Queues: map[string]workload.Queue{}, Pools: map[string]workload.Pool{rigSpare: {Name: rigSpare, Spare: true}}}
	for i := range sizePools {
		config.Pools[sizePool(i)] = workload.Pool{Name: sizePool(i)}
		config.Queues[sizePool(i)] = workload.Queue{Name: sizePool(i), Pool: sizePool(i), MaxAttempts: 3, TargetLatencyMS: 3600, Stretch: 1.6}
	}
	r.propose(&workload.Command{Configure: &config})
	provider := &instantProvider{}
	f := &sizeFixture{r: r}
	f.d = New(rigLog{r, 0}, Settings{Lease: rigLease, JobRetention: time.Minute, MoveDuration: 1500 * time.Millisecond}, nil, provider, metrics.NewRegistry(), newRigLogger())
	r.dispatchers[0] = f.d
	for i := range workers {
		rep := Report{
			Incarnation: workload.WorkerIncarnation{ID: fmt.Sprintf("w%05d", i), Born: 1}, Machine: fmt.Sprintf("m%05d", i), Pool: sizePool(i),
			Rack: fmt.Sprintf("r%d", i/sizeRackMachines), DataCentre: fmt.Sprintf("dc%d", (i/sizeRackMachines)%sizeDataCentres),
			Capacity: workload.Resources{CPUMilli: sizeWorkerCPU, MemoryMiB: 128 << 10},
		}
		rep.Labels = []string{"a", rep.Rack}
		f.reports = append(f.reports, rep)
		provider.machines = append(provider.machines, MachineInfo{
			Name: rep.Machine, Pool: rep.Pool, Rack: rep.Rack, DataCentre: rep.DataCentre, Labels: rep.Labels, Capacity: rep.Capacity, Up: true, Worker: rep.Incarnation.ID,
		})
	}
	f.heartbeats(tb)
	f.d.applyList(MachineList{Machines: provider.machines}, r.now)
	for i := range tasks / sizeTasksPerJob {
		f.submit(i)
	}
	return f
}

func (f *sizeFixture) submit(i int) {
	f.r.propose(&workload.Command{Submit: &workload.Submit{ID: fmt.Sprintf("%016x", i), Queue: sizePool(i), Steps: []workload.Step{{
		Count: sizeTasksPerJob, Size: workload.Resources{CPUMilli: sizeTaskCPU, MemoryMiB: 16_000}, EstimatedMS: 1000,
	}}}})
}

// heartbeats sends one report of each worker, which lists what the worker should run.
func (f *sizeFixture) heartbeats(tb testing.TB) {
	tb.Helper()
	for i := range f.reports {
		f.heartbeat(tb, i)
	}
}

func (f *sizeFixture) heartbeat(tb testing.TB, i int) {
	tb.Helper()
	rep := &f.reports[i]
	rep.Sequence++
	rep.Running = rep.Running[:0]
	for ref, p := range f.r.state.Workload.RunsOn(rep.Incarnation) {
		rep.Running = append(rep.Running, RunningTask{Run: workload.Run{Task: ref, Run: p.Run}, Percent: int(f.r.now / 100 % 100)})
	}
	_, err := f.d.HandleReport(cancelledContext(), *rep)
	require.NoError(tb, err)
}

var benchmarkSizes = []int{100, 1000, 3000}

// BenchmarkCycle measures a cycle of the leader while all pools are full, a part of the runs
// ends in each cycle, and as much work waits as runs.
func BenchmarkCycle(b *testing.B) {
	for _, workers := range benchmarkSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newSizeFixture(b, workers, 2*sizeTasksPerNode*workers)
			f.r.cycle()
			next := 1 << 20
			for b.Loop() {
				b.StopTimer()
				f.r.addTime(100)
				next = f.endSome(next)
				f.heartbeats(b)
				b.StartTimer()
				f.r.cycle()
			}
		})
	}
}

// endSome ends a tenth of the runs and submits as many tasks as ended.
func (f *sizeFixture) endSome(next int) int {
	progress := &workload.Progress{}
	for i := range f.reports {
		if i%10 != int(f.r.now/100%10) {
			continue
		}
		worker := f.reports[i].Incarnation
		for ref, p := range f.r.state.Workload.RunsOn(worker) {
			progress.Ends = append(progress.Ends, workload.End{Task: ref, Run: p.Run, Worker: worker, Outcome: workload.OutcomeDone})
		}
	}
	f.r.propose(&workload.Command{Progress: progress})
	for range len(progress.Ends) / sizeTasksPerJob {
		next++
		f.submit(next)
	}
	return next
}

// BenchmarkHeartbeat measures one report of a full worker and its response.
func BenchmarkHeartbeat(b *testing.B) {
	for _, workers := range benchmarkSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			f := newSizeFixture(b, workers, 2*sizeTasksPerNode*workers)
			f.r.cycle()
			i := 0
			for b.Loop() {
				f.heartbeat(b, i%workers)
				i++
			}
		})
	}
}

// BenchmarkFirstCycle measures the first cycle of a new leader that has heard all workers,
// with everything waiting: the largest plan that there is.
func BenchmarkFirstCycle(b *testing.B) {
	for _, workers := range benchmarkSizes {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				f := newSizeFixture(b, workers, 2*sizeTasksPerNode*workers)
				b.StartTimer()
				f.r.cycle()
			}
		})
	}
}

// BenchmarkPlan measures the plan of full pools with work waiting: by declared run times in
// the order of deadlines, and by learned run times in the order under overload.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{350, 5000}, {3000, 20_000}} {
		f := newSizeFixture(b, size.workers, sizeTasksPerNode*size.workers+size.waiting)
		for range sizeTasksPerNode*size.workers/maxStartsPerCycle + 1 {
			f.r.cycle()
		}
		in := taskplan.Input{State: f.r.state.Workload, NowMS: f.r.now + 100, Workers: f.d.availableWorkers(f.r.state.Workload, f.r.now), MaxStarts: maxStartsPerCycle}
		for _, learned := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/%d/learned=%v", size.workers, size.waiting, learned), func(b *testing.B) {
				in.ByDeadline = !learned
				for i := range 1000 {
					if learned {
						in.State.RunTimes.Record(runtimes.Task{Queue: sizePool(i), DeclaredMS: 1000, CPUMilli: sizeTaskCPU}, int64(500+i))
					}
				}
				for b.Loop() {
					taskplan.Compute(in)
				}
			})
		}
	}
}
