package dispatch

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// newRigWithCrashedWorker returns a rig in which the worker with the only task has been
// silent for longer than heartbeatTimeoutMS, while another one reports.
func newRigWithCrashedWorker(t *testing.T) (*rig, *modelWorker, workload.TaskRef) {
	t.Helper()
	r := newRig(2)
	a := r.addWorker("a", "r1")
	ref := startLongTask(t, r, a)
	a.crash()
	b := r.addWorker("b", "r2")
	for range 5 {
		r.advance(500)
		b.heartbeat(0, false)
	}
	return r, b, ref
}

// startsAtOnce reports whether the task starts on the worker within one cycle.
func (r *rig) startsAtOnce(w *modelWorker, ref workload.TaskRef) bool {
	r.cycle()
	w.heartbeat(r.leader, false)
	_, ok := w.running[ref]
	return ok
}

// listWithoutMachine returns a list without the machine of the crashed worker, a.
func listWithoutMachine() []MachineInfo {
	return []MachineInfo{{Name: "m-b", Pool: rigPool, Up: true, Worker: "b"}}
}

// listWithMachine returns a list with only the machine of the crashed worker.
func listWithMachine(up bool, worker string) []MachineInfo {
	return []MachineInfo{{Name: "m-a", Pool: rigPool, Up: up, Worker: worker}}
}

// Workers crash without notice: the platform's list must show at once what the lease shows
// only after 10 s. A worker that is cut off from the network stays listed.
func TestListEndsSilentWorkers(t *testing.T) {
	cases := map[string]struct {
		list       []MachineInfo
		terminated bool
	}{
		"machine is down":                {listWithMachine(false, ""), true},
		"machine has another worker":     {listWithMachine(true, "other"), true},
		"machine is up with the worker":  {listWithMachine(true, "a"), false},
		"machine is up, worker unknown":  {listWithMachine(true, ""), false},
		"machine is missing in one list": {listWithoutMachine(), false},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			r, b, ref := newRigWithCrashedWorker(t)
			r.dispatchers[0].applyList(MachineList{Machines: tt.list}, r.now)
			require.Equal(t, tt.terminated, r.startsAtOnce(b, ref))
			require.Empty(t, r.violation)
		})
	}
	t.Run("machine is missing in two lists", func(t *testing.T) {
		r, b, ref := newRigWithCrashedWorker(t)
		r.dispatchers[0].applyList(MachineList{Machines: listWithoutMachine()}, r.now)
		r.dispatchers[0].applyList(MachineList{Machines: listWithoutMachine()}, r.now)
		require.True(t, r.startsAtOnce(b, ref))
	})
	t.Run("entries of two lists are unreadable", func(t *testing.T) {
		r, b, ref := newRigWithCrashedWorker(t)
		for range 3 {
			r.dispatchers[0].applyList(MachineList{Machines: listWithoutMachine(), LeftOut: []LeftOutEntry{{Reason: errors.New("odd entry"), Content: "odd"}}}, r.now)
		}
		require.False(t, r.startsAtOnce(b, ref), "the machine may be the unreadable one")
		require.True(t, r.dispatchers[0].machinesByName["m-b"].Up, "the other entries hold")
	})
	t.Run("entries were unreadable while the machine was listed", func(t *testing.T) {
		odd, other := LeftOutEntry{Reason: errors.New("odd entry"), Content: "odd"}, LeftOutEntry{Reason: errors.New("other entry"), Content: "other"}
		for name, c := range map[string]struct {
			before, after []LeftOutEntry
			gone          bool
		}{
			"the same entry":       {[]LeftOutEntry{odd}, []LeftOutEntry{odd}, true},
			"in another order":     {[]LeftOutEntry{odd, other}, []LeftOutEntry{other, odd}, true},
			"one is gone":          {[]LeftOutEntry{odd, other}, []LeftOutEntry{other}, true},
			"another one":          {[]LeftOutEntry{odd}, []LeftOutEntry{other}, false},
			"one more":             {[]LeftOutEntry{odd}, []LeftOutEntry{odd, other}, false},
			"one more of its like": {[]LeftOutEntry{odd}, []LeftOutEntry{odd, odd}, false},
		} {
			r, b, ref := newRigWithCrashedWorker(t)
			with := append(listWithMachine(true, "a"), listWithoutMachine()...)
			r.dispatchers[0].applyList(MachineList{Machines: with, LeftOut: c.before}, r.now)
			for range 2 {
				r.addTime(1)
				r.dispatchers[0].applyList(MachineList{Machines: listWithoutMachine(), LeftOut: c.after}, r.now)
			}
			require.Equal(t, c.gone, r.startsAtOnce(b, ref), name)
		}
	})
	t.Run("the machine is listed twice", func(t *testing.T) {
		r, b, ref := newRigWithCrashedWorker(t)
		twice := append(listWithMachine(true, "a"), listWithMachine(false, "other")...)
		r.dispatchers[0].applyList(MachineList{Machines: twice}, r.now)
		require.False(t, r.startsAtOnce(b, ref), "one of the entries is of another writer")
	})
	t.Run("lists are empty", func(t *testing.T) {
		r, b, ref := newRigWithCrashedWorker(t)
		for range 3 {
			r.dispatchers[0].applyList(MachineList{Machines: nil}, r.now)
		}
		require.False(t, r.startsAtOnce(b, ref), "the lists lack the machine of a worker that reports")
	})
}

// A list that is older than the worker's last heartbeat must not end the worker: its
// machine was down before the worker started.
func TestOldListEndsNoWorker(t *testing.T) {
	r, b, ref := newRigWithCrashedWorker(t)
	r.dispatchers[0].applyList(MachineList{Machines: listWithMachine(false, "")}, r.now-2400)
	require.False(t, r.startsAtOnce(b, ref))
}

// Workers crash together with the leader: the next leader never gets a heartbeat of them,
// and knows their machines only from the replicated state.
func TestListEndsWorkersThatNeverReportedToANewLeader(t *testing.T) {
	r, b, ref := newRigWithCrashedWorker(t)
	r.elect(1)
	require.False(t, r.startsAtOnce(b, ref))
	for range 3 {
		r.dispatchers[1].applyList(MachineList{Machines: nil}, r.now+heartbeatTimeoutMS+1)
	}
	require.False(t, r.startsAtOnce(b, ref), "no worker tells whether the list is complete")
	require.False(t, r.dispatchers[1].hasSilentWorkers())
	r.advance(heartbeatTimeoutMS + 100)
	require.True(t, r.dispatchers[1].hasSilentWorkers())
	r.dispatchers[1].applyList(MachineList{Machines: listWithMachine(true, "a")}, r.now)
	require.False(t, r.startsAtOnce(b, ref))
	r.dispatchers[1].applyList(MachineList{Machines: listWithMachine(false, "")}, r.now)
	require.True(t, r.startsAtOnce(b, ref))
	require.False(t, r.dispatchers[1].hasSilentWorkers())
	require.Empty(t, r.violation)
}

// Guards against a worker that counts as ended by mistake and gets no lease and no task for as
// long as the leader leads, although it reports: the effect of review/4, whatever its cause.
func TestWorkerThatCountsAsEndedRegistersAgain(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	ref := startLongTask(t, r, a)
	d := r.dispatchers[0]
	r.advance(heartbeatTimeoutMS + 100) // cut off from the network
	d.applyList(MachineList{Machines: listWithMachine(false, "")}, r.now)
	for end := r.now + rigLease.Milliseconds()*3/2; r.now < end; r.advance(200) {
		a.heartbeat(0, false)
		r.cycle()
	}
	require.Positive(t, a.leaseRemaining)
	require.Contains(t, a.running, ref)
	require.Greater(t, a.running[ref].run, 1)
	require.Empty(t, r.violation)
}
