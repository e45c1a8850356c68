package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const longTaskMS = 250 * rigTaskMS // 2 s for each percent, more than stallTimeoutMS

// newLongTaskRig returns a rig of two stores and two workers with a job of two tasks of 200 s, which are
// declared with the given time.
func newLongTaskRig(declaredMS int64) *rig {
	r := newRig(2)
	r.factors = map[workload.TaskRef]int64{}
	for i := range 2 {
		r.factors[workload.TaskRef{Job: "long", Index: i}] = longTaskMS / rigTaskMS
		r.addWorker(string(rune('a'+i)), "r1")
	}
	r.submit("long", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: declaredMS})
	return r
}

// Guards against a task of more than 150 s that never ends: its percentage does not change within the
// time after which runs counted as stalled.
func TestLongTasksEnd(t *testing.T) {
	r := newLongTaskRig(longTaskMS)
	r.runUndisturbed(longTaskMS / 3)
	r.elect(1) // which knows of their progress only what it sees
	r.runUndisturbed(longTaskMS)
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["long"].State)
	for ref, starts := range r.startCounts {
		require.Equal(t, 1, starts, ref)
	}
	require.Empty(t, r.violation)
}

// Guards against the same for tasks that are declared far too short, or not at all, and against healthy
// workers that get no tasks for it.
func TestLongTasksThatAreDeclaredShortEnd(t *testing.T) {
	for _, declaredMS := range []int64{0, rigTaskMS} {
		r := newLongTaskRig(declaredMS)
		r.runUndisturbed(longTaskMS / 3)
		r.elect(1)
		r.runUndisturbed(longTaskMS)
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["long"].State, "declared %d", declaredMS)
		for ref, starts := range r.startCounts {
			require.LessOrEqual(t, starts, moveRunLimit, ref)
		}
		for _, w := range r.dispatchers[1].workers {
			require.Equal(t, -1, w.newTaskLimit(r.state.Workload, r.now))
		}
		require.Empty(t, r.violation)
	}
}

// A run that stands still beside others that go on shows nothing about its worker.
func TestWorkerIsNotBlamedForOneRunThatStandsStill(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	r.factors = map[workload.TaskRef]int64{{Job: "stands"}: 1_000_000}
	r.submit("stands", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
	for i := range 5 {
		r.submit(string(rune('a'+i)), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, EstimatedMS: rigTaskMS})
		r.runUndisturbed(rigTaskMS / 2)
	}
	d := r.dispatchers[0]
	require.NotEmpty(t, d.failedOn[workload.TaskRef{Job: "stands"}], "the run was stopped")
	require.Empty(t, d.workers[workload.WorkerIncarnation{ID: "a", Born: a.born}].health.failedJobs)
}
