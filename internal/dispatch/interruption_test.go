package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newServiceRig returns a rig with a worker for each task of a long-running step, all active, of
// which budget may be interrupted at once, and with spare idle workers.
func newServiceRig(t *testing.T, tasks, budget, spare int) (*rig, *fakeProvider, []*modelWorker) {
	r, o := newRigWithProvider(t)
	for i := range tasks {
		r.addWorker(string(rune('a'+i)), "r1")
	}
	r.submit("service", workload.Step{Count: tasks, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: budget})
	r.runUndisturbed(2 * rigTaskMS)
	workers := r.workers
	for i := range spare {
		r.addWorker(string(rune('p'+i)), "r2").heartbeat(0, false)
	}
	for _, w := range workers {
		require.Len(t, w.running, 1)
	}
	return r, o, workers
}

func (r *rig) startWave(workers ...*modelWorker) {
	var machines []string
	for _, w := range workers {
		machines = append(machines, "m-"+w.id)
	}
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: machines, DurationMS: 1000, MaxDown: len(machines)}})
}

// stopping returns the number of tasks of the service that are to stop.
func (r *rig) stopping() int {
	n := 0
	for _, task := range r.state.Workload.Jobs["service"].Occurrences[0].Steps[0].Tasks {
		if task.Phase == workload.Stopping {
			n++
		}
	}
	return n
}

// Guards against a wave that spends the budget of a step in the cycle in which another worker of
// the step begins to drain.
func TestWaveAndDrainShareTheBudget(t *testing.T) {
	r, _, workers := newServiceRig(t, 2, 1, 2)
	r.startWave(workers[0])
	workers[1].draining = true
	r.advance(100)
	for _, w := range r.workers {
		w.heartbeat(0, false)
	}
	r.cycle()
	require.Equal(t, 1, r.stopping())
}

// Guards against a stop that was decided while the budget allowed it and that reaches its worker
// after another worker has drained and left its tasks no time.
func TestStopIsNotSentOnceTheBudgetIsSpent(t *testing.T) {
	r, _, workers := newServiceRig(t, 2, 1, 2)
	r.startWave(workers[0])
	r.cycle()
	require.Equal(t, 1, r.stopping())
	workers[1].draining, workers[1].drained = true, true
	workers[1].heartbeat(0, false)
	r.cycle()
	workers[1].heartbeat(0, false)
	ref := workers[0].tasks()[0]
	workers[0].heartbeat(0, false)
	require.Zero(t, workers[0].running[ref].stopping, "the other task of the step is away")
	r.advance(rigStopDurationMS)
	for range 20 {
		r.advance(500)
		for _, w := range r.workers {
			w.heartbeat(0, false)
		}
		r.cycle()
	}
	require.Empty(t, workers[0].running, "the wave goes on once the other task is active elsewhere")
}

// Guards against two plans on the same state: the commit of the first has an unknown outcome and
// is applied before that of the second, which interrupts another task.
func TestLateCommitDoesNotSpendTheBudgetTwice(t *testing.T) {
	r, _, workers := newServiceRig(t, 2, 1, 2)
	r.delayCommits(true)
	r.startWave(workers[0])
	r.cycle()
	r.delayCommits(false)
	workers[1].draining = true
	workers[1].heartbeat(0, false)
	r.dispatchers[0].maintenance.fenced = true
	r.cycle()
	require.Equal(t, 1, r.stopping())
}

// Guards against an earlier leader's order for a machine that arrives while a long-running task is
// at work there, because the next leader has placed it before most machines have reported.
func TestNewLeaderUsesNoMachineWhoseMaintenanceWasOrdered(t *testing.T) {
	r, o, workers := newServiceRig(t, 1, 1, 0)
	r.addStoreWithProvider(o)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-p"}, DurationMS: 1000, MaxDown: 1}})
	r.propose(&workload.Command{Progress: &workload.Progress{Ordered: []workload.WaveMachine{{Wave: 1, Machine: "m-p"}}}})
	r.elect(1)
	workers[0].heartbeat(1, false)
	var silent []MachineInfo
	for _, name := range []string{"x", "y", "z"} {
		silent = append(silent, MachineInfo{Name: name, Pool: rigPool, Up: true})
	}
	r.dispatchers[1].applyList(MachineList{Machines: silent}, r.now)
	r.advance(100)
	p := r.addWorker("p", "r2")
	p.heartbeat(1, false)
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 6000}, LongRunning: true})
	r.cycle()
	require.Empty(t, r.state.Workload.RunsOn(p.report().Incarnation))
	waitForCalls(t, r.dispatchers[1])
}

// Guards against maintenance of a machine whose worker still runs a long-running task that the
// state no longer places there.
func TestMachineIsNotMaintainedWhileItsWorkerReportsALongRunningTask(t *testing.T) {
	r, o, workers := newServiceRig(t, 2, 1, 0)
	ref := workers[0].tasks()[0]
	r.propose(&workload.Command{Progress: &workload.Progress{Ends: []workload.End{
		{Task: ref, Run: workers[0].running[ref].run, Worker: workers[0].report().Incarnation, Outcome: workload.OutcomeLost},
	}}})
	r.startWave(workers[0])
	r.cycle()
	waitForCalls(t, r.dispatchers[0])
	require.Empty(t, o.maintained)
	for range 6 {
		r.advance(300)
		workers[0].heartbeat(0, false)
		r.cycle()
	}
	waitForCalls(t, r.dispatchers[0])
	require.NotEmpty(t, o.maintained)
}

// Guards against an order to move or maintain a machine that leaves late, when a long-running task
// was placed on the machine after the decision.
func TestMachineOrderIsNotSentOnceALongRunningTaskIsPlaced(t *testing.T) {
	r, o, _ := newServiceRig(t, 1, 1, 1)
	d := r.dispatchers[0]
	o.connected = make(chan struct{})
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-p"}, DurationMS: 1000, MaxDown: 1}})
	r.cycle()
	p := r.workers[1].report().Incarnation
	r.submit("later", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true})
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.state.Workload.Waves[1].Ordered["m-p"] }, 10*time.Second, time.Millisecond)
	r.propose(&workload.Command{Progress: &workload.Progress{Starts: []workload.Start{{Task: workload.TaskRef{Job: "later"}, Run: 1, Worker: p, Machine: "m-p"}}}})
	close(o.connected)
	waitForCalls(t, d)
	require.Empty(t, o.maintained)
}

// Guards against a heartbeat that reaches a new leader late, before newer ones of its worker. It
// lists a run that has ended since and not the one that was started: the start didn't seem to fit,
// and the task was stopped while it was at work.
func TestLateFirstReportStopsNoTaskAtWork(t *testing.T) {
	r := newRig(2)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	waits := workload.Step{Count: 1, After: []int{0}, Label: "none", EstimatedMS: rigTaskMS}
	r.submit("before", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 6000}, EstimatedMS: rigTaskMS}, waits)
	r.cycle()
	a.heartbeat(0, false)
	late := a.report()
	require.Len(t, late.Running, 1)
	r.runUndisturbed(2 * rigTaskMS)
	r.submit("service", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 6000}, LongRunning: true})
	r.runUndisturbed(2 * rigTaskMS)
	ref := workload.TaskRef{Job: "service"}
	require.Contains(t, a.running, ref)
	r.elect(1)
	_, err := r.dispatchers[1].HandleReport(t.Context(), late)
	require.NoError(t, err)
	r.cycle()
	a.heartbeat(1, false)
	r.runUndisturbed(4 * rigTaskMS)
	require.Contains(t, a.running, ref)
	require.Equal(t, 1, r.startCounts[ref])
}
