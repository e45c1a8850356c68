package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Guards against a task that runs again after it was done, because its end was not among the first
// that its worker listed: the worker had shrunk, and its start was stopped as one that never came.
func TestUnlistedEndsAreNotTakenForRunsThatNeverStarted(t *testing.T) {
	const tasks = 200
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.maxEnds = 50
	a.heartbeat(0, false)
	r.submit("job", workload.Step{Count: tasks, Size: workload.Resources{CPUMilli: 30}, EstimatedMS: rigTaskMS})
	r.cycle()
	a.heartbeat(0, false)
	require.Len(t, a.running, tasks)
	a.capacity /= 4
	require.True(t, r.runUntilEnded(20_000))
	require.Empty(t, r.violation)
	for ref, starts := range r.startCounts {
		require.Equal(t, 1, starts, ref)
	}
}

// Whatever happens to workers that list few ends at a time, no task runs twice, and each ends.
func TestPartialListsOfEndsProveNothing(t *testing.T) {
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		r := newRig(2)
		for i := range 3 {
			w := r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i))
			w.maxEnds = 1 + random.Intn(10)
			w.heartbeat(0, false)
		}
		for i := range 4 {
			r.submit(fmt.Sprintf("%016x", i), workload.Step{
				Count: 1 + random.Intn(60), Size: workload.Resources{CPUMilli: 10 + random.Int63n(200)}, EstimatedMS: rigTaskMS,
				Checkpoints: random.Intn(3) == 0, Speculative: random.Intn(4) == 0,
			})
		}
		for range 120 {
			switch w := r.workers[random.Intn(len(r.workers))]; random.Intn(12) {
			case 0:
				w.capacity = 500 + random.Int63n(rigCPU)
			case 1:
				w.heartbeat(r.leader, true)
			case 2:
				r.elect(1 - r.leader)
			}
			r.runUndisturbed(settleStepMS)
		}
		for _, w := range r.workers {
			w.capacity = rigCPU
		}
		require.True(t, r.settle(), "seed %d: jobs have not ended", seed)
		require.Empty(t, r.violation, "seed %d", seed)
	}
}
