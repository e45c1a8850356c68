package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// startLasting starts a long-running task on the only worker.
func startLasting(t *testing.T, r *rig, w *modelWorker) {
	t.Helper()
	r.submit("lasting", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true})
	w.heartbeat(0, false)
	r.runUndisturbed(2 * rigTaskMS)
	require.Len(t, w.running, 1)
}

// Guards against a worker that never gets a task again after it has failed some, because a task that
// lasts keeps it from being idle and from a success.
func TestWorkerWithALastingTaskLeavesQuarantine(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	startLasting(t, r, a)
	a.failsAll = true
	for i := range 3 {
		r.submit(fmt.Sprint("lost", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	}
	r.runUndisturbed(6500)
	require.GreaterOrEqual(t, len(r.dispatchers[0].workers[workload.WorkerIncarnation{ID: "a", Born: a.born}].health.failedJobs), failedJobsThreshold)
	a.failsAll = false
	for i := range 20 {
		r.submit(fmt.Sprint("job", i), workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}})
	}
	r.runUndisturbed(quarantineMaxMS + trialMS + 20*rigTaskMS)
	for i := range 20 {
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs[fmt.Sprint("job", i)].State)
	}
	require.Empty(t, r.violation)
}

// Time alone leads out of each state that keeps new tasks off a live worker, whatever tasks last,
// fail, stall and are slow beside it: no success is needed.
func TestHealthyWorkersGetTasksAgain(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		r := newRig(1)
		for i := range 3 {
			r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i)).heartbeat(0, false)
		}
		r.submit("lasting", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxPerWorker: 1})
		for i := range 40 {
			w := r.workers[random.Intn(len(r.workers))]
			w.failsAll, w.stalls, w.slowdown = random.Intn(3) == 0, random.Intn(6) == 0, int64(1+random.Intn(2)*3)
			r.submit(fmt.Sprint("job", i), workload.Step{Count: 1 + random.Intn(3), Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
			r.runUndisturbed(250)
		}
		for _, w := range r.workers {
			w.failsAll, w.stalls, w.slowdown = false, false, 0
		}
		r.runUndisturbed(failureMemoryMS)
		s := r.state.Workload
		for incarnation, w := range r.dispatchers[0].workers {
			require.Equal(t, -1, w.newTaskLimit(s, r.now), "seed %d, worker %s", seed, incarnation.ID)
		}
		require.Len(t, s.Active(), 1, "seed %d", seed)
		require.Empty(t, r.violation, "seed %d", seed)
	}
}

// Guards against a long-running task that fails by itself, as it may at any time, and counts against
// the worker on which it was at work.
func TestFailureOfATaskAtWorkIsNotItsWorkers(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	startLasting(t, r, a)
	a.heartbeat(0, false)
	a.end(a.tasks()[0], workload.OutcomeFailed)
	r.runUndisturbed(500)
	require.Empty(t, r.dispatchers[0].workers[workload.WorkerIncarnation{ID: "a", Born: a.born}].health.failedJobs)
	require.Len(t, a.running, 1, "it runs again")
}
