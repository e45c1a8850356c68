package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// startLongTask submits a job with one long-running task and lets the worker start it.
func startLongTask(t *testing.T, r *rig, w *modelWorker) workload.TaskRef {
	t.Helper()
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true})
	w.heartbeat(r.leader, false)
	r.cycle()
	w.heartbeat(r.leader, false)
	ref := workload.TaskRef{Job: "job"}
	require.Contains(t, w.running, ref)
	return ref
}

// A new leader must not count a worker that it has not heard as lost while the lease from
// the earlier leader is still valid.
func TestNewLeaderWaitsForEarlierLeases(t *testing.T) {
	r := newRig(2)
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	ref := startLongTask(t, r, a)
	r.elect(1)
	for r.now < 1000+rigLease.Milliseconds() {
		b.heartbeat(1, false)
		r.cycle()
		b.heartbeat(1, false)
		require.NotContains(t, b.running, ref)
		r.advance(500)
	}
	for range 4 {
		r.advance(500)
		b.heartbeat(1, false)
		r.cycle()
		b.heartbeat(1, false)
	}
	require.Contains(t, b.running, ref, "the lease of the silent worker has run out")
	require.Empty(t, r.violation)
}

// A heartbeat that arrives after a later one must be ignored: it would make the leader
// believe that a run never started.
func TestOvertakenHeartbeatIsIgnored(t *testing.T) {
	r := newRig(1)
	w := r.addWorker("a", "r1")
	w.heartbeat(0, false)
	late := w.report()
	ref := startLongTask(t, r, w)
	orders, err := r.dispatchers[0].HandleReport(cancelledContext(), late)
	require.NoError(t, err)
	require.Zero(t, orders.Lease)
	require.Empty(t, orders.Starts)
	require.Contains(t, w.running, ref)
}

func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// A heartbeat of an earlier incarnation that was delayed by a partition must not end the
// present incarnation on the same machine.
func TestHeartbeatOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	r := newRig(1)
	w := r.addWorker("a", "r1")
	old := w.report()
	old.Sequence = 1000
	r.advance(2000)
	w.crash()
	w.restart()
	ref := startLongTask(t, r, w)
	orders, err := r.dispatchers[0].HandleReport(cancelledContext(), old)
	require.NoError(t, err)
	require.Zero(t, orders.Lease)
	r.cycle()
	w.heartbeat(0, false)
	require.Contains(t, w.running, ref)
	_, task, _ := r.state.Workload.Task(ref)
	require.Equal(t, 1, task.Run)
}

// Runs must not count as stalled because their worker is silent: their work would be thrown
// away when the worker is heard again.
func TestSilentWorkerIsNotStalled(t *testing.T) {
	r := newRig(1)
	w := r.addWorker("a", "r1")
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}})
	w.heartbeat(0, false)
	r.cycle()
	w.heartbeat(0, false)
	r.advance(100)
	w.heartbeat(0, false)
	r.addTime(stallTimeoutMS + 200)
	r.cycle()
	_, task, _ := r.state.Workload.Task(workload.TaskRef{Job: "job"})
	require.Equal(t, workload.Placed, task.Phase)
}

// A run must move when its worker makes no progress although its heartbeats arrive.
func TestStalledRunMovesToAnotherWorker(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.stalls = true
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}})
	a.heartbeat(0, false)
	r.cycle()
	a.heartbeat(0, false)
	r.addWorker("b", "r2")
	require.True(t, r.settle())
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Empty(t, r.violation)
}

// A worker that fails everything it starts is always idle. It must not get every attempt of
// every job.
func TestFailingWorkerIsAvoided(t *testing.T) {
	r := newRig(1)
	bad := r.addWorker("a", "r1")
	bad.failsAll = true
	r.addWorker("b", "r2")
	for _, id := range []string{"j1", "j2", "j3", "j4", "j5", "j6"} {
		r.submit(id, workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 2000}})
	}
	require.True(t, r.settle())
	for id, j := range r.state.Workload.Jobs {
		require.Equal(t, workload.JobCompleted, j.State, id)
	}
}

// One job that fails everywhere must not put healthy workers into quarantine.
func TestFailingJobDoesNotQuarantineWorkers(t *testing.T) {
	var h health
	for range 5 {
		h.recordFailure("poison", 1000)
	}
	require.Equal(t, -1, h.newTaskLimit(1000, trials{}))
	h.recordFailure("other", 1000)
	require.Zero(t, h.newTaskLimit(1000, trials{}))
	require.Equal(t, 1, h.newTaskLimit(1000+quarantineBaseMS, trials{}))
	h.reset()
	require.Equal(t, -1, h.newTaskLimit(1000, trials{}))
}

// A lease must not last longer than the leader waits: a worker's clock may be 2 percent
// slow.
func TestLeaseBoundCoversSlowClocks(t *testing.T) {
	d := New(rigLog{newRig(0), 0}, Settings{Lease: 10 * time.Second}, nil, nil, metrics.NewRegistry(), newRigLogger())
	slowest := float64(10*time.Second/time.Millisecond) / 0.98
	require.Greater(t, float64(d.leaseBoundMS()), slowest)
}

// Runs must not count as lost when their worker joined long after the leader was elected
// and its first heartbeat is still held.
func TestRunsOnANewWorkerAreNotLostBeforeItsFirstAnswer(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	r.cycle()
	r.advance(40_000)
	w := r.addWorker("a", "r1")
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}})
	d.mu.Lock()
	now, err := d.checkLeadership()
	require.NoError(t, err)
	require.NotNil(t, d.acceptReport(w.report(), now))
	d.mu.Unlock()
	r.cycle()
	r.cycle()
	_, task, _ := r.state.Workload.Task(workload.TaskRef{Job: "job"})
	require.Equal(t, workload.Placed, task.Phase)
	require.Equal(t, 1, task.Run)
}

// A data centre is cut off during a burst: tasks that were placed on a silent worker and
// never sent must go to others at once, and must not be sent later.
func TestUnsentTasksLeaveASilentWorker(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.advance(100)
	r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 4000}})
	r.cycle()
	r.advance(heartbeatTimeoutMS + 100)
	b := r.addWorker("b", "r2")
	b.heartbeat(0, false)
	r.cycle()
	b.heartbeat(0, false)
	require.Len(t, b.running, 2)
	a.heartbeat(0, false)
	require.Empty(t, a.running)
	require.Empty(t, r.violation)
}

// A silent worker must keep the tasks that it was told to start.
func TestSentTasksStayWithASilentWorker(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	ref := startLongTask(t, r, a)
	a.running = map[workload.TaskRef]*modelRun{}
	r.advance(heartbeatTimeoutMS + 100)
	r.cycle()
	_, task, _ := r.state.Workload.Task(ref)
	require.Equal(t, workload.Placed, task.Phase)
}

// After many moves and restarts, terminated incarnations must not lengthen the heartbeat
// interval: healthy workers would count as silent and lose their tasks.
func TestHeartbeatIntervalIgnoresTerminatedIncarnations(t *testing.T) {
	r := newRig(1)
	w := r.addWorker("a", "r1")
	for range 3000 {
		r.advance(10)
		w.crash()
		w.restart()
		w.heartbeat(0, false)
	}
	r.cycle()
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true})
	r.cycle()
	orders, err := r.dispatchers[0].HandleReport(cancelledContext(), w.report())
	require.NoError(t, err)
	require.Less(t, orders.Retry.Milliseconds(), int64(heartbeatTimeoutMS))
}

// Guards against a crash of the leader in this sequence: the identifier of a worker moves
// to another machine, the record of its earlier incarnation is removed, and the first
// machine reports again with a time of birth before that incarnation, because its clock was
// set back.
func TestMachineOfARemovedIncarnationReportsAgain(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	report := func(id, machine string, born int64) {
		rep := Report{Incarnation: workload.WorkerIncarnation{ID: id, Born: born}, Machine: machine, Pool: rigPool, Sequence: 1}
		orders, err := d.HandleReport(cancelledContext(), rep)
		require.NoError(t, err)
		require.NotZero(t, orders.Lease)
	}
	report("a", "m1", 100)
	report("a", "m2", 200)
	r.advance(incarnationRetentionMS + 1000)
	r.cycle()
	require.NotContains(t, d.workers, workload.WorkerIncarnation{ID: "a", Born: 100})
	report("b", "m1", 50)
	r.cycle()
}

// The records of tasks and workers must not grow for as long as a leader leads.
func TestRecordsOfEndedJobsArePruned(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.failsAll = true
	r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}})
	require.True(t, r.settle())
	d := r.dispatchers[0]
	require.NotEmpty(t, d.failedOn)
	d.terminatedUnseen[workload.WorkerIncarnation{ID: "old"}] = true
	d.missingLists[workload.WorkerIncarnation{ID: "old"}] = 1
	r.advance(pruneIntervalMS + 1)
	r.cycle()
	require.Empty(t, d.failedOn)
	require.Empty(t, d.terminatedUnseen)
	require.Empty(t, d.missingLists)
}
