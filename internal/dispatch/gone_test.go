package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// crashed returns a rig in which the worker with the only task has been silent for
// longer than a worker that is well, while another one reports.
func crashed(t *testing.T) (*rig, *modelWorker, workload.TaskRef) {
	t.Helper()
	r := newRig(2)
	a := r.addWorker("a", "r1")
	ref := place(t, r, a)
	a.crash()
	b := r.addWorker("b", "r2")
	for range 5 {
		r.advance(500)
		b.heartbeat(0, false)
	}
	return r, b, ref
}

// starts tells whether the task starts on the worker without a wait.
func (r *rig) starts(w *modelWorker, ref workload.TaskRef) bool {
	r.cycle()
	w.heartbeat(r.leader, false)
	_, ok := w.running[ref]
	return ok
}

// others lists the machine of the other worker only.
func others() []MachineInfo {
	return []MachineInfo{{Name: "m-b", Pool: rigPool, Up: true, Worker: "b"}}
}

func onMachine(up bool, worker string) []MachineInfo {
	return []MachineInfo{{Name: "m-a", Pool: rigPool, Up: up, Worker: worker}}
}

// Replays workers that crash without a sign: the platform's list tells at once what
// the lease would tell after 10 s. A cut worker is listed as before.
func TestListEndsSilentWorkers(t *testing.T) {
	cases := map[string]struct {
		list []MachineInfo
		gone bool
	}{
		"machine is down":                {onMachine(false, ""), true},
		"machine has another worker":     {onMachine(true, "other"), true},
		"machine is up with the worker":  {onMachine(true, "a"), false},
		"machine is up, worker untold":   {onMachine(true, ""), false},
		"machine is missing in one list": {others(), false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			r, b, ref := crashed(t)
			r.dispatchers[0].takeList(tt.list, r.now)
			require.Equal(t, tt.gone, r.starts(b, ref))
			require.Empty(t, r.violation)
		})
	}
	t.Run("machine is missing in two lists", func(t *testing.T) {
		r, b, ref := crashed(t)
		r.dispatchers[0].takeList(others(), r.now)
		r.dispatchers[0].takeList(others(), r.now)
		require.True(t, r.starts(b, ref))
	})
	t.Run("lists are empty", func(t *testing.T) {
		r, b, ref := crashed(t)
		for range 3 {
			r.dispatchers[0].takeList(nil, r.now)
		}
		require.False(t, r.starts(b, ref), "the lists lack the machine of a worker that reports")
	})
}

// Guards against a list that is older than the worker's last heartbeat: the machine
// was down before the worker started.
func TestOldListEndsNoWorker(t *testing.T) {
	r, b, ref := crashed(t)
	r.dispatchers[0].takeList(onMachine(false, ""), r.now-2400)
	require.False(t, r.starts(b, ref))
}

// Replays workers that crash together with the leader: the next leader never heard
// them, and knows their machines from the state.
func TestListEndsWorkersThatANewLeaderNeverHeard(t *testing.T) {
	r, b, ref := crashed(t)
	r.elect(1)
	require.False(t, r.starts(b, ref))
	for range 3 {
		r.dispatchers[1].takeList(nil, r.now+staleMS+1)
	}
	require.False(t, r.starts(b, ref), "no worker tells whether the list is complete")
	require.False(t, r.dispatchers[1].suspects())
	r.advance(staleMS + 100)
	require.True(t, r.dispatchers[1].suspects())
	r.dispatchers[1].takeList(onMachine(true, "a"), r.now)
	require.False(t, r.starts(b, ref))
	r.dispatchers[1].takeList(onMachine(false, ""), r.now)
	require.True(t, r.starts(b, ref))
	require.False(t, r.dispatchers[1].suspects())
	require.Empty(t, r.violation)
}
