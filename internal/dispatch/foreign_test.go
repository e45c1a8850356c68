package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// foreignReport is a report of another program on the machine of a worker.
func foreignReport(w *modelWorker, pool string, sequence int64) Report {
	rep := w.report()
	rep.Incarnation = workload.WorkerIncarnation{ID: "foreign", Born: w.r.now}
	rep.Pool, rep.Sequence, rep.Running, rep.Ended = pool, sequence, nil, nil
	return rep
}

// sendForeign sends such a report to the leader and returns the orders.
func sendForeign(t *testing.T, r *rig, rep Report) Orders {
	t.Helper()
	orders, err := r.dispatchers[r.leader].HandleReport(cancelledContext(), rep)
	require.NoError(t, err)
	return orders
}

// Guards against a second start of the tasks of a worker that is up, because a program that is
// no worker reports from its machine: review/2.
func TestReportOfAnUnknownPoolEndsNoRuns(t *testing.T) {
	r := newRig(2)
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	a.heartbeat(0, false)
	r.submit("job", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
	r.cycle()
	a.heartbeat(0, false)
	require.Len(t, a.running, 4)
	for _, leader := range []int{0, 1} {
		r.elect(leader)
		orders := sendForeign(t, r, foreignReport(a, "inventory", 1))
		require.Zero(t, orders.Lease)
		require.NotContains(t, r.dispatchers[leader].byID, "foreign")
		for range 3 {
			a.heartbeat(leader, false)
			b.heartbeat(leader, false)
			r.cycle()
			require.Empty(t, b.running, "a second run")
			r.advance(100)
		}
	}
	r.runUndisturbed(2 * rigTaskMS)
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Len(t, r.startCounts, 4)
	require.Empty(t, r.violation)
}

// Guards against the same effect of a report that names a pool of the configuration: a worker
// that still reports is up, whoever else reports from its machine. Its successor takes over
// once it is silent.
func TestLiveWorkerKeepsItsMachine(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.submit("job", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true})
	r.cycle()
	a.heartbeat(0, false)
	require.Len(t, a.running, 4)
	successor := workload.WorkerIncarnation{ID: "foreign", Born: r.now}
	for sequence := range int64(20) {
		rep := foreignReport(a, rigPool, sequence+1)
		rep.Incarnation = successor
		require.Empty(t, sendForeign(t, r, rep).Starts)
		a.heartbeat(0, false)
		r.cycle()
		r.advance(200)
	}
	require.Len(t, a.running, 4)
	require.Len(t, r.state.Workload.RunsOn(workload.WorkerIncarnation{ID: "a", Born: a.born}), 4)
	a.crash()
	for sequence := range int64(8) {
		rep := foreignReport(a, rigPool, 100+sequence)
		rep.Incarnation = successor
		sendForeign(t, r, rep)
		r.cycle()
		r.advance(200)
	}
	require.Equal(t, successor, d.byMachine["m-a"])
	require.Len(t, r.state.Workload.RunsOn(successor), 4, "the successor gets the tasks without waiting for a lease")
	require.Empty(t, r.violation)
}

// Guards against ends that are never recorded because the pool of their worker has left the
// configuration when a new leader first hears it.
func TestWorkersOfARemovedPoolAreHeard(t *testing.T) {
	r := newRig(2)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
	r.cycle()
	a.heartbeat(0, false)
	require.Len(t, a.running, 1)
	config := r.state.Workload.Config
	config.Version++
	config.Pools = map[string]workload.Pool{}
	r.propose(&workload.Command{Configure: &config})
	r.elect(1)
	for range 20 {
		a.heartbeat(1, false)
		r.cycle()
		r.advance(100)
	}
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Empty(t, r.violation)
}
