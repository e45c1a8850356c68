package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newRigWithFullWorkers returns a rig with a job whose long step fills each worker with
// four tasks.
func newRigWithFullWorkers(t *testing.T, workers int) *rig {
	t.Helper()
	r := newRig(1)
	r.submit("warm", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 100}})
	for i := range workers {
		r.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i))
	}
	require.True(t, r.settle())
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
		workload.Step{Count: 4 * workers, Size: workload.Resources{CPUMilli: rigCPU / 4}, After: []int{0}})
	return r
}

// A worker takes several times as long for everything it runs: its runs must move, and the
// step must complete long before they would.
func TestRunsOnASlowWorkerMove(t *testing.T) {
	r := newRigWithFullWorkers(t, 4)
	r.workers[0].slowdown = 8
	begun := r.now
	require.True(t, r.settle())
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Less(t, r.now-begun, int64(4*rigLongTaskMS), "a run on the slow worker takes 8 times its length")
	require.Empty(t, r.violation)
}

// Runs at a normal speed must not move because declared run times are inaccurate.
func TestRunsAtNormalSpeedStay(t *testing.T) {
	r := newRigWithFullWorkers(t, 4)
	require.True(t, r.settle())
	for ref, begun := range r.startCounts {
		require.Equal(t, 1, begun, ref)
	}
}

// A task that takes long on any worker must not move: its next run would take as long. The
// other runs on its worker show that the worker is sound.
func TestLongTaskOnASoundWorkerStays(t *testing.T) {
	r := newRigWithFullWorkers(t, 4)
	long := workload.TaskRef{Job: "job", Step: 1, Index: 5}
	r.factors = map[workload.TaskRef]int64{long: 7}
	refill := func(id string) {
		r.submit(id, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
			workload.Step{Count: 30, Size: workload.Resources{CPUMilli: rigCPU / 4}, After: []int{0}})
	}
	refill("next")
	refill("last")
	require.True(t, r.settle())
	require.Equal(t, 1, r.startCounts[long])
}

// requireOneStartEach requires that no task of the job was started twice.
func requireOneStartEach(t *testing.T, r *rig, job string) {
	t.Helper()
	for ref, starts := range r.startCounts {
		require.False(t, ref.Job == job && starts > 1, "%v was started %d times", ref, starts)
	}
}

// Guards against runs that move because all tasks of their step are long, whether the step
// declares it or not: a slow worker is slow for other steps too.
func TestTasksOfALongStepStay(t *testing.T) {
	const factor = 4
	for name, declaredMS := range map[string]int64{"declared": factor * rigLongTaskMS, "not declared": rigLongTaskMS} {
		t.Run(name, func(t *testing.T) {
			r := newRig(1)
			r.addWorker("w0", "r0")
			r.factors = map[workload.TaskRef]int64{}
			for i := range 4 {
				r.factors[workload.TaskRef{Job: "long", Index: i}] = factor * rigLongTaskMS / rigTaskMS
			}
			r.submit("long", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: rigCPU / 4}, EstimatedMS: declaredMS})
			r.runUndisturbed(500)
			for i := range 3 {
				r.addWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("r%d", i+1))
			}
			r.submit("short", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
				workload.Step{Count: 12, Size: workload.Resources{CPUMilli: rigCPU / 4}, EstimatedMS: rigLongTaskMS, After: []int{0}})
			require.True(t, r.settle())
			requireOneStartEach(t, r, "long")
		})
	}
}

// Guards against a slow worker that is not found because no step has runs elsewhere to
// compare with.
func TestRunsOfSmallJobsOnASlowWorkerMove(t *testing.T) {
	r := newRig(1)
	r.submit("warm", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 100}})
	for i := range 4 {
		r.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i))
	}
	require.True(t, r.settle())
	r.workers[0].slowdown = 8
	for i := range 16 {
		r.submit(fmt.Sprint("job", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
			workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU / 4}, EstimatedMS: rigLongTaskMS, After: []int{0}})
	}
	begun := r.now
	require.True(t, r.settle())
	require.Less(t, r.now-begun, int64(4*rigLongTaskMS), "a run on the slow worker takes 8 times its length")
	require.Empty(t, r.violation)
}

// Guards against runs that move because the short tasks beside them have ended: those that
// take several times as long as declared are the last on their worker.
func TestLongTasksStayWhenOthersHaveEnded(t *testing.T) {
	r := newRig(1)
	r.submit("warm", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 100}})
	r.addWorker("w0", "r0")
	require.True(t, r.settle())
	r.factors = map[workload.TaskRef]int64{}
	for i := range 3 {
		r.factors[workload.TaskRef{Job: "mixed", Step: 1, Index: i}] = 7
	}
	r.submit("mixed", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
		workload.Step{Count: 8, Size: workload.Resources{CPUMilli: rigCPU / 8}, EstimatedMS: rigLongTaskMS, After: []int{0}})
	r.runUndisturbed(2 * rigTaskMS)
	for i := range 3 {
		r.addWorker(fmt.Sprintf("w%d", i+1), fmt.Sprintf("r%d", i+1))
	}
	for i := range 3 {
		r.submit(fmt.Sprint("short", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}},
			workload.Step{Count: 24, Size: workload.Resources{CPUMilli: rigCPU / 8}, EstimatedMS: rigLongTaskMS, After: []int{0}})
	}
	require.True(t, r.settle())
	requireOneStartEach(t, r, "mixed")
}

// Guards against a worker that gets no tasks for as long as tasks run there that are slow wherever they
// run: after some moves they show nothing about the worker.
func TestTasksThatMayNotMoveAnyMoreShowNothingOfTheirWorker(t *testing.T) {
	for run, slow := range map[int]bool{1: true, moveRunLimit: false} {
		w, others := newWorker(Report{}), map[*worker][]measuredRun{}
		for i := range 3 {
			ref := workload.TaskRef{Job: fmt.Sprint("slow", i)}
			others[w] = append(others[w], measuredRun{run: workload.Run{Task: ref, Run: run}, speedPercent: 1, expectedMS: rigTaskMS})
			other := newWorker(Report{})
			for k := range minRunsForSpeed {
				ref := workload.TaskRef{Job: fmt.Sprint("sound", i, k)}
				others[other] = append(others[other], measuredRun{run: workload.Run{Task: ref, Run: 1}, speedPercent: 100, expectedMS: rigTaskMS})
			}
		}
		require.Equal(t, slow, newPoolSpeeds(others).evidence(w).isSlow(), "run %d", run)
	}
}
