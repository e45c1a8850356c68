package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newRigWithFullWorkers returns a rig with a job whose long step fills the workers with four tasks each.
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

// Replays workers that take several times as long for all that they run: their
// runs move, and the step is done long before they would be.
func TestRunsOnASlowWorkerMove(t *testing.T) {
	r := newRigWithFullWorkers(t, 4)
	r.workers[0].slowdown = 8
	begun := r.now
	require.True(t, r.settle())
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Less(t, r.now-begun, int64(4*rigLongTaskMS), "a run on the slow worker takes 8 times its length")
	require.Empty(t, r.violation)
}

// Guards against sound runs that are moved because declared times are far off.
func TestRunsAtNormalSpeedStay(t *testing.T) {
	r := newRigWithFullWorkers(t, 4)
	require.True(t, r.settle())
	for ref, begun := range r.startCounts {
		require.Equal(t, 1, begun, ref)
	}
}
