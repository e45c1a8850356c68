package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// crashDownMS is the time for which a crashed worker is down.
	crashDownMS = 2000
	// maxCrashStarts is the largest number of starts of a task that crashes each worker:
	// two more after three of them have crashed.
	maxCrashStarts = 5
	crashDayMS     = 60_000
)

var crashingTask = workload.TaskRef{Job: "bad"}

// newCrashRig returns a rig with four workers and a job whose only task crashes each worker
// that starts it.
func newCrashRig(step workload.Step) *rig {
	r := newRig(2)
	r.crashing = map[workload.TaskRef]bool{crashingTask: true}
	for i := range 4 {
		r.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i))
	}
	step.Count, step.Size = 1, workload.Resources{CPUMilli: 1000}
	r.submit(crashingTask.Job, step)
	return r
}

// runWithRestarts advances the time while crashed workers start again. onCrash is called
// when a worker starts again after a crash.
func (r *rig) runWithRestarts(ms int64, onCrash func()) {
	for until := r.now + ms; r.now < until; {
		r.advance(100)
		for _, w := range r.workers {
			if !w.up && r.now-w.downAt >= crashDownMS {
				onCrash()
				w.restart()
			}
			w.heartbeat(r.leader, false)
		}
		r.cycle()
	}
}

func requireGivenUp(t *testing.T, r *rig) {
	t.Helper()
	require.Equal(t, workload.JobFailed, r.state.Workload.Jobs[crashingTask.Job].State)
	require.LessOrEqual(t, r.startCounts[crashingTask], maxCrashStarts)
	require.Empty(t, r.violation)
}

// One task that crashed each worker it was started on was started again for good, and took
// worker after worker down.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, step := range map[string]workload.Step{
		"batch": {}, "long-running": {LongRunning: true}, "gang": {Gang: true}, "speculative": {Speculative: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(step)
			r.runWithRestarts(crashDayMS, func() {})
			requireGivenUp(t, r)
		})
	}
}

// The crashes under a task must count on under a new leader and after a restart from a
// snapshot.
func TestCrashesCountAcrossLeadersAndSnapshots(t *testing.T) {
	r := newCrashRig(workload.Step{})
	r.runWithRestarts(crashDayMS, func() {
		data, err := r.state.EncodeSnapshot()
		require.NoError(t, err)
		r.state, err = fleet.DecodeSnapshot(data)
		require.NoError(t, err)
		r.elect(1 - r.leader)
	})
	requireGivenUp(t, r)
}

// The tasks beside one that crashes its workers must not be given up with it.
func TestNeighboursOfACrashingTaskComplete(t *testing.T) {
	r := newCrashRig(workload.Step{})
	const jobs = 8
	for i := range jobs {
		r.submit(fmt.Sprint("good", i), workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 700}})
	}
	r.submit("service", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 500}, LongRunning: true, MaxPerWorker: 1})
	r.runWithRestarts(crashDayMS, func() {})
	requireGivenUp(t, r)
	for i := range jobs {
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs[fmt.Sprint("good", i)].State)
	}
	require.Equal(t, workload.JobRunning, r.state.Workload.Jobs["service"].State)
	require.Equal(t, 4, r.state.Workload.Jobs["service"].Occurrences[0].Steps[0].OnWorkers())
}
