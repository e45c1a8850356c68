package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newRigWithSilencedWorker lets the first of three workers start the only task of a job.
// That worker then sends no further heartbeats by itself.
func newRigWithSilencedWorker(t *testing.T, step workload.Step) (*rig, workload.TaskRef) {
	t.Helper()
	r := newRig(2)
	r.submit("job", workload.Step{Count: 0}, step)
	ref := workload.TaskRef{Job: "job", Step: 1}
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.cycle()
	a.heartbeat(0, false)
	require.Contains(t, a.running, ref)
	r.addWorker("b", "r2")
	r.addWorker("c", "r3")
	return r, ref
}

// heartbeatOthers advances time while all workers but the first send heartbeats.
func (r *rig) heartbeatOthers(ms int64) {
	for until := r.now + ms; r.now < until; {
		r.advance(100)
		for _, w := range r.workers[1:] {
			w.heartbeat(r.leader, false)
		}
		r.cycle()
	}
	for _, w := range r.workers[1:] {
		w.heartbeat(r.leader, false)
	}
}

// copyCount returns the number of runs of the task on all workers but the first.
func (r *rig) copyCount(ref workload.TaskRef) int {
	n := 0
	for _, w := range r.workers[1:] {
		if _, ok := w.running[ref]; ok {
			n++
		}
	}
	return n
}

// A data centre is cut off: a speculative task must start on another worker long before the
// lease of its first worker ends, and the run that completes first counts.
func TestSpeculativeTaskLeavesASilentWorker(t *testing.T) {
	r, ref := newRigWithSilencedWorker(t, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}, Speculative: true})
	r.heartbeatOthers(heartbeatTimeoutMS + 400)
	require.Equal(t, 1, r.copyCount(ref))
	r.heartbeatOthers(rigLongTaskMS - heartbeatTimeoutMS)
	require.NotContains(t, r.workers[0].running, ref, "the first run completes while its worker is cut off")
	require.Equal(t, workload.JobRunning, r.state.Workload.Jobs["job"].State)
	r.workers[0].heartbeat(0, false)
	r.cycle()
	r.heartbeatOthers(2 * rigStopDurationMS)
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Zero(t, r.copyCount(ref))
	require.Empty(t, r.state.Workload.RunsByWorker())
}

// A task that is not speculative must not start a second time while its worker is silent.
func TestNonSpeculativeTaskStaysWithASilentWorker(t *testing.T) {
	r, ref := newRigWithSilencedWorker(t, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}})
	r.heartbeatOthers(heartbeatTimeoutMS + 400)
	require.Zero(t, r.copyCount(ref))
}

// A new leader must not count workers as silent and start copies of their tasks before the
// workers have had the time to find it.
func TestNewLeaderStartsNoCopiesAtOnce(t *testing.T) {
	r, ref := newRigWithSilencedWorker(t, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 3000}, Speculative: true})
	r.elect(1)
	r.heartbeatOthers(heartbeatTimeoutMS + 400)
	require.Zero(t, r.copyCount(ref))
	r.heartbeatOthers(newLeaderGraceMS)
	require.Equal(t, 1, r.copyCount(ref))
}

// The capacity of an abandoned run must not be given to other tasks while it still runs.
func TestAbandonedRunKeepsItsCapacity(t *testing.T) {
	r, ref := newRigWithSilencedWorker(t, workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, Speculative: true})
	r.heartbeatOthers(heartbeatTimeoutMS + 400)
	require.Equal(t, 1, r.copyCount(ref))
	r.submit("next", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: rigCPU}})
	r.workers[0].heartbeat(0, false)
	r.cycle()
	r.workers[0].heartbeat(0, false)
	require.True(t, r.settle())
	require.Empty(t, r.violation)
}
