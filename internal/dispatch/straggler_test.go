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
