package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newRigWithPlacedTasks returns a rig in which two tasks are placed on the first of two
// workers, which has not been told to start them. They fill 6000 of its 8000 millicores.
func newRigWithPlacedTasks() (r *rig, a, b *modelWorker) {
	r = newRig(2)
	a = r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.advance(100)
	r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}})
	r.cycle()
	return r, a, r.addWorker("b", "r2")
}

// The capacity of a worker shrinks between the placement of tasks and the response that
// starts them. Those that no longer fit must start elsewhere, at once.
func TestTasksThatNoLongerFitStartElsewhere(t *testing.T) {
	for name, elect := range map[string]bool{"same leader": false, "next leader": true} {
		t.Run(name, func(t *testing.T) {
			r, a, b := newRigWithPlacedTasks()
			if elect {
				r.elect(1)
			}
			a.capacity = 4000
			for range 4 {
				a.heartbeat(r.leader, false)
				b.heartbeat(r.leader, false)
				r.cycle()
				r.advance(100)
			}
			require.Empty(t, r.violation)
			require.Len(t, a.running, 1)
			require.Len(t, b.running, 1)
		})
	}
}

// The response that started tasks is lost, and the capacity shrinks before it is repeated.
func TestStartIsNotRepeatedOnAShrunkWorker(t *testing.T) {
	r, a, _ := newRigWithPlacedTasks()
	a.heartbeat(0, true)
	a.capacity = 4000
	require.True(t, r.settle())
	require.Empty(t, r.violation)
}

// What a worker is told to stop still occupies its shrunk capacity.
func TestStoppingRunCountsOnAShrunkWorker(t *testing.T) {
	r, a, _ := newRigWithPlacedTasks()
	a.heartbeat(0, false)
	require.Len(t, a.running, 2)
	r.submit("next", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 2000}})
	r.cycle()
	r.propose(&workload.Command{Cancel: &workload.Cancel{ID: "job", Queue: rigQueue}})
	a.capacity = 6000
	a.heartbeat(0, false)
	require.Empty(t, r.violation)
	require.NotContains(t, a.running, workload.TaskRef{Job: "next"})
	require.True(t, r.settle())
	require.Empty(t, r.violation)
}
