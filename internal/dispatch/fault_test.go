package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// A leader decides to move a machine and is suspended before the order leaves. When it
// resumes, another leader controls the machine: the order must not be sent, since not every
// platform rejects the token of an earlier leader.
func TestSuspendedLeaderSendsNoMachineOrders(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"off"}, DurationMS: 20000, MaxDown: 1}})
	o.connected = make(chan struct{})
	d.mu.Lock()
	d.startMove(capacity.Move{Machine: "off", Pool: rigPool}, r.now)
	delete(d.maintenance.callsInFlight, "off")
	d.mu.Unlock()
	r.cycle()
	r.elect(1)
	close(o.connected)
	waitForCalls(t, d)
	require.Empty(t, o.moved)
	require.Empty(t, o.maintained)
}

// A worker is silent, so a run that no response carried is taken back, but the commit of its
// end fails. When the worker is heard again, the run is neither started nor ended unless its
// end is derived again.
func TestRevokedRunEndsAfterAFailedCommit(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.advance(100)
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}})
	r.cycle()
	r.advance(heartbeatTimeoutMS + 100)
	r.refuse = true
	r.cycle()
	r.refuse = false
	require.True(t, r.settle())
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Empty(t, r.violation)
}

// The leave message of a worker names no incarnation. One that arrives late, when the worker
// has been started again under its identifier, must not shorten the lease of the present
// incarnation: its tasks would start a second time elsewhere while they run.
func TestLateLeaveMessageDoesNotEndTheNextIncarnation(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.advance(1000)
	a.crash()
	a.restart()
	ref := startLongTask(t, r, a)
	require.NoError(t, r.dispatchers[0].HandleLeave("a"))
	b := r.addWorker("b", "r2")
	for range 4 {
		r.advance(400)
		b.heartbeat(0, false)
		r.cycle()
		b.heartbeat(0, false)
	}
	require.Empty(t, r.violation)
	a.heartbeat(0, false)
	require.Contains(t, a.running, ref)
	_, task, _ := r.state.Workload.Task(ref)
	require.Equal(t, 1, task.Run)
}

// Guards against a leave message of an earlier incarnation that arrives while the present one
// drains: its tasks counted as ended and started a second time elsewhere.
func TestLateLeaveMessageDoesNotEndADrainingWorker(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.advance(1000)
	a.crash()
	a.restart()
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}, EstimatedMS: 4000})
	r.factors = map[workload.TaskRef]int64{{Job: "job"}: 20}
	a.heartbeat(0, false)
	r.cycle()
	a.heartbeat(0, false)
	require.NotEmpty(t, a.running)
	a.draining = true
	a.heartbeat(0, false)
	require.NoError(t, r.dispatchers[0].HandleLeave("a"))
	b := r.addWorker("b", "r2")
	for range 3 {
		r.advance(400)
		b.heartbeat(0, false)
		r.cycle()
		b.heartbeat(0, false)
	}
	a.heartbeat(0, false)
	require.Empty(t, r.violation)
	require.Empty(t, b.running)
}

// A worker that drained and leaves frees its tasks at once.
func TestLeaveMessageOfADrainingWorkerFreesItsTasks(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	ref := startLongTask(t, r, a)
	a.draining, a.drained = true, true
	a.heartbeat(0, false)
	require.NoError(t, r.dispatchers[0].HandleLeave("a"))
	a.crash()
	b := r.addWorker("b", "r2")
	for range 3 {
		r.advance(leaveGraceMS)
		b.heartbeat(0, false)
		r.cycle()
		b.heartbeat(0, false)
	}
	require.Contains(t, b.running, ref)
	require.Empty(t, r.violation)
}

// A report that another writer sends under the identifier of a worker must not move the
// worker to another pool or machine.
func TestReportOfAnotherWriterIsIgnored(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	ref := startLongTask(t, r, a)
	for _, change := range []func(*Report){
		func(rep *Report) { rep.Pool = "unknown" },
		func(rep *Report) { rep.Machine = "" },
	} {
		rep := a.report()
		rep.Running = nil
		change(&rep)
		orders, err := r.dispatchers[0].HandleReport(cancelledContext(), rep)
		require.NoError(t, err)
		require.Zero(t, orders.Lease)
	}
	a.heartbeat(0, false)
	require.Contains(t, a.running, ref)
	require.Equal(t, rigPool, r.dispatchers[0].machinesByName["m-a"].Pool)
}

// A panic in a cycle must not end the process: the next leader would meet the same state.
// What the leadership knew of the workers is learnt anew, as after a change of leader, and no
// task starts twice.
func TestPanicInACycleCostsTheViewAndNotTheProcess(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	ref := startLongTask(t, r, a)
	r.submit("poison", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	r.observe = func(fleet.Command) { panic("poison") }
	d.runCycle(context.Background())
	r.observe = nil
	require.EqualValues(t, 1, d.meters.panics.Count())
	require.Empty(t, d.workers)
	for range 5 {
		r.advance(300)
		b.heartbeat(0, false)
		d.runCycle(context.Background())
	}
	a.heartbeat(0, false)
	d.runCycle(context.Background())
	require.Contains(t, a.running, ref)
	require.Empty(t, r.violation)
	require.EqualValues(t, 1, d.meters.panics.Count())
}

// A report that makes its handler panic must cost one request. Were the lock kept, no worker
// would be answered any more.
func TestPanickingReportReleasesTheLock(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	a := r.addWorker("a", "r1")
	d.workers[workload.WorkerIncarnation{ID: "a", Born: a.born}] = nil
	require.Panics(t, func() { _, _ = d.HandleReport(cancelledContext(), a.report()) })
	delete(d.workers, workload.WorkerIncarnation{ID: "a", Born: a.born})
	a.heartbeat(0, false)
	require.Contains(t, d.workers, workload.WorkerIncarnation{ID: "a", Born: a.born})
}

// A repeated job whose first occurrence is long past has all of them due at once. They must
// begin a bounded number at a time, in order.
func TestPastOccurrencesBeginInBoundedBatches(t *testing.T) {
	r := newRig(1)
	const repetitions = 3*maxDuePerCycle + 1
	r.propose(&workload.Command{Submit: &workload.Submit{
		ID: "job", Queue: rigQueue, Team: "team", Repetitions: repetitions, IntervalMS: 1,
		Steps: []workload.Step{{Count: 1, Size: workload.Resources{CPUMilli: 1000}}},
	}})
	for _, want := range []int{maxDuePerCycle, 2 * maxDuePerCycle, 3 * maxDuePerCycle, repetitions} {
		r.cycle()
		begun := r.state.Workload.Jobs["job"].Occurrences
		require.Len(t, begun, want)
		require.Contains(t, begun, want-1)
	}
}

// More ends than fit into one command are recorded in several, and none is lost when one of
// these fails.
func TestManyEndsAreRecordedInBoundedCommands(t *testing.T) {
	f := newSizeFixture(t, 300, 0)
	const tasks = 2*maxEndsPerCommand + 2
	steps := []workload.Step{{Count: tasks, Size: workload.Resources{CPUMilli: 1}}}
	f.r.propose(&workload.Command{Submit: &workload.Submit{ID: "job", Queue: sizePool(0), Steps: steps}})
	for range tasks/maxStartsPerCycle + 1 {
		f.r.cycle()
	}
	step := &f.r.state.Workload.Jobs["job"].Occurrences[0].Steps[0]
	require.Equal(t, tasks, step.OnWorkers())
	f.r.advance(f.d.leaseBoundMS() + 1)
	largest := 0
	f.r.observe = func(cmd fleet.Command) {
		if p := cmd.Workload.Progress; p != nil {
			largest = max(largest, len(p.Ends))
		}
	}
	f.r.cycle()
	require.Equal(t, maxEndsPerCommand, largest)
	require.Zero(t, step.OnWorkers())
}

// A new leader that has heard a tenth of a pool sees all of its work wait. It must not move
// machines for work that fits the machines it has not heard, until it has waited long enough
// for them.
func TestNewLeaderMovesNoMachinesForPoolsItHasNotHeard(t *testing.T) {
	f := newSizeFixture(t, 80, 0)
	provider := f.d.provider.(*instantProvider)
	for i := range 20 {
		provider.machines = append(provider.machines, MachineInfo{Name: fmt.Sprintf("off%d", i), Pool: rigSpare, Capacity: workload.Resources{CPUMilli: sizeWorkerCPU, MemoryMiB: 128 << 10}, Up: true})
	}
	for i := range 60 {
		f.submit(i)
	}
	f.r.elect(f.r.leader)
	f.r.cycle()
	f.d.applyList(MachineList{Machines: provider.machines}, f.r.now)
	for i := range 8 {
		f.heartbeat(t, i)
	}
	f.r.cycle()
	f.r.cycle()
	require.Zero(t, f.movedMachines(t))
	f.r.addTime(reportingTimeoutMS)
	f.r.cycle()
	f.r.cycle()
	require.Positive(t, f.movedMachines(t), "the other machines may be lost")
}

// A new leader that has heard a tenth of a full pool knows from the replicated state that the
// rest of it has no room for the work that waits. Machines that are off take 1.5 s to arrive, so
// they are moved at once.
func TestNewLeaderMovesMachinesForABacklogThatNoUnheardMachineCanHold(t *testing.T) {
	f := newSizeFixture(t, 40, 0)
	provider := f.d.provider.(*instantProvider)
	for i := range 20 {
		provider.machines = append(provider.machines, MachineInfo{Name: fmt.Sprintf("off%d", i), Pool: rigSpare, Capacity: workload.Resources{CPUMilli: sizeWorkerCPU, MemoryMiB: 128 << 10}, Up: true})
	}
	for i := range 1000 {
		f.submit(i)
	}
	for range 3 {
		for i := range 40 {
			f.heartbeat(t, i)
		}
		f.r.cycle()
	}
	f.r.elect(f.r.leader)
	f.r.cycle()
	f.d.applyList(MachineList{Machines: provider.machines}, f.r.now)
	for i := range 4 {
		f.heartbeat(t, i)
	}
	f.r.cycle()
	f.r.cycle()
	require.Positive(t, f.movedMachines(t))
}

// The machine list may arrive before the first report and the first cycle of a new
// leadership. It must not be discarded with the knowledge of the earlier one: the next list
// follows 5 s later, and no machine could be moved until then.
func TestFirstMachineListOfALeadershipIsKept(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	r.elect(r.leader)
	d.applyList(MachineList{Machines: []MachineInfo{{Name: "off", Pool: rigSpare, Capacity: workload.Resources{CPUMilli: rigCPU, MemoryMiB: 1 << 20}, Up: true}}}, r.now)
	a := r.addWorker("a", "r1")
	for range 40 {
		r.submit(fmt.Sprint(len(r.state.Workload.Jobs)), workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 4000})
	}
	for range 3 {
		a.heartbeat(0, false)
		r.cycle()
	}
	require.True(t, d.hasMachineList())
	require.Equal(t, "off>"+rigPool, <-o.moved)
	waitForCalls(t, d)
}

// movedMachines returns the number of machines that the leader has moved.
func (f *sizeFixture) movedMachines(t *testing.T) int {
	t.Helper()
	waitForCalls(t, f.d)
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	moved := 0
	for _, m := range f.d.machinesByName {
		if m.movedAt > 0 {
			moved++
		}
	}
	return moved
}

// A worker whose response was held until it got tasks must report again before it counts as
// silent: it would get no further tasks for a while, and copies of its speculative tasks
// would start.
func TestWorkerWithAHeldResponseStaysLive(t *testing.T) {
	for _, liveWorkers := range []int{1, 1100} {
		require.LessOrEqual(t, responseTimeout.Milliseconds()+retryAfterHold(t, liveWorkers), int64(heartbeatTimeoutMS)-200,
			"200 ms for both ways and the worker")
	}
}

// retryAfterHold returns the milliseconds after which a worker is told to report again whose
// response was held as long as possible and then carried a start.
func retryAfterHold(t *testing.T, liveWorkers int) int64 {
	r := newRig(1)
	d := r.dispatchers[0]
	w := r.addWorker("a", "r1")
	w.heartbeat(0, false)
	receivedAt := r.now
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}})
	r.cycle()
	d.liveWorkers = liveWorkers
	r.addTime(responseTimeout.Milliseconds())
	orders, err := d.composeOrders(d.workers[workload.WorkerIncarnation{ID: "a", Born: w.born}], d.term, receivedAt)
	require.NoError(t, err)
	require.Len(t, orders.Starts, 1)
	require.Positive(t, orders.Retry)
	return orders.Retry.Milliseconds()
}

// FuzzReport guards against reports that pass validation and make the dispatcher panic.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"life":{"id":"w"},"pool":"pool","sequence":1,"running":[{"task":{"job":"job"},"run":1,"percent":50}],"ended":[{"task":{"job":"job","index":1},"run":1,"number":1,"outcome":"done"}]}`))
	f.Add([]byte(`{"life":{"id":"w"},"machine":"m","pool":"pool","sequence":9,"capacity":{"cpu_milli":9000},"drain_remaining_ns":-1,"running":[{"task":{"job":"job","step":-1,"index":7},"run":-1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var rep Report
		if json.Unmarshal(data, &rep) != nil || rep.validate("w") != "" {
			return
		}
		r := newRig(1)
		r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}}, workload.Step{Count: 1, LongRunning: true})
		a := r.addWorker("a", "r1")
		for range 3 {
			a.heartbeat(0, false)
			_, err := r.dispatchers[0].HandleReport(cancelledContext(), rep)
			require.NoError(t, err)
			r.cycle()
			r.advance(500)
			rep.Sequence++
		}
	})
}

// Guards against a task that runs twice, since a worker whose lease has run out, or that a new leader has
// never heard, is heard again while the end of its runs is being committed: its response started them.
func TestWorkerHeardDuringTheCommitOfItsLostRunsStartsNone(t *testing.T) {
	for name, elect := range map[string]bool{"lease has run out": false, "never heard": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(2)
			a := r.addWorker("a", "r1")
			a.heartbeat(0, false)
			r.advance(100)
			r.submit("job", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
			r.cycle()
			a.heartbeat(0, true) // the response with the starts is lost
			if elect {
				r.elect(1)
				r.cycle()
			}
			b := r.addWorker("b", "r2")
			d := r.dispatchers[r.leader]
			r.advance(d.leaseBoundMS() + 100)
			b.heartbeat(r.leader, false)
			c, err := d.beginCycle()
			require.NoError(t, err)
			require.Len(t, c.ends, 3)
			a.heartbeat(r.leader, false)
			require.Empty(t, a.running)
			require.True(t, d.recordEnds(context.Background(), c))
			require.True(t, r.settle())
			require.Empty(t, r.violation)
			require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
		})
	}
}
