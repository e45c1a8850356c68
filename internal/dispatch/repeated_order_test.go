package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// addStoreWithProvider adds a store to the rig that calls the same platform.
func (r *rig) addStoreWithProvider(o *fakeProvider) *Dispatcher {
	s := Settings{Lease: rigLease, JobRetention: time.Minute, MaintenanceDuration: 2 * time.Second, MoveDuration: 1500 * time.Millisecond}
	d := New(rigLog{r, len(r.dispatchers)}, s, nil, o, metrics.NewRegistry(), newRigLogger())
	r.dispatchers = append(r.dispatchers, d)
	return d
}

// Guards against a new leader that repeats a maintenance order of its predecessor, gets no answer,
// and takes the worker after the maintenance for the one before it at its second call: the
// machine got no tasks for as long as that leader led.
func TestMaintenanceOrderedByAnEarlierLeaderKeepsTheNewWorker(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		for _, registered := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d answers lost, worker registered before the first call %t", lost, registered), func(t *testing.T) {
				testMaintenanceAcrossLeaders(t, lost, registered)
			})
		}
	}
}

// testMaintenanceAcrossLeaders plays a maintenance whose first leader gets no answer, and whose
// second leader gets none to the given number of its calls.
func testMaintenanceAcrossLeaders(t *testing.T, lost int, registered bool) {
	r, o := newRigWithProvider(t)
	next := r.addStoreWithProvider(o)
	o.answers = make(chan error)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a"}, DurationMS: 60000, MaxDown: 1}})
	r.cycle()
	require.Equal(t, "m-a", <-o.maintained)
	a.up = false
	o.answers <- errNoAnswer
	waitForCalls(t, r.dispatchers[0])
	r.elect(1)
	beat := func() {
		r.advance(500)
		a.heartbeat(1, false)
		r.cycle()
	}
	if registered {
		r.advance(2000)
		a.restart()
	} else {
		r.advance(rigLease.Milliseconds() * 2)
	}
	beat()
	for range lost {
		for len(o.maintained) == 0 {
			beat()
		}
		<-o.maintained
		o.answers <- errNoAnswer
		waitForCalls(t, next)
		if !a.up {
			a.restart()
		}
	}
	for len(o.maintained) == 0 {
		beat()
	}
	<-o.maintained
	o.answers <- nil
	waitForCalls(t, next)
	require.Eventually(t, func() bool { return r.maintenanceStartedCount(next) == 1 }, 10*time.Second, time.Millisecond)
	if !a.up {
		a.restart()
	}
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
	for range 20 {
		r.advance(200)
		a.heartbeat(1, false)
		r.cycle()
	}
	require.Positive(t, a.leaseRemaining)
	require.NotEmpty(t, a.running)
	require.Empty(t, r.violation)
}

// Guards against a machine that was moved to the spare pool by an order whose answer is lost: it
// counted as occupied by its former worker, and could not be moved back as long as the leader led.
func TestReleasedMachineCanBeMovedAgainAfterALostAnswer(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	o.answers = make(chan error, cap(o.moved))
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		r.addWorker(id, "r1").heartbeat(0, false)
	}
	beat := func() {
		for _, w := range r.workers {
			w.heartbeat(0, false)
		}
		r.cycle()
	}
	r.advance(1100)
	beat() // all are idle: one more than the least pool
	released := strings.TrimSuffix(<-o.moved, ">"+rigSpare)
	list := MachineList{Machines: []MachineInfo{{Name: "off", Pool: rigSpare, Capacity: workload.Resources{CPUMilli: rigCPU, MemoryMiB: 1 << 20}, Up: true}}}
	for _, w := range r.workers {
		info := MachineInfo{Name: "m-" + w.id, Pool: rigPool, Capacity: workload.Resources{CPUMilli: rigCPU, MemoryMiB: 1 << 20}, Up: true, Worker: w.id}
		if info.Name == released {
			w.up, info.Pool, info.Worker = false, rigSpare, ""
		}
		list.Machines = append(list.Machines, info)
	}
	r.advance(moveCallTimeout.Milliseconds())
	o.answers <- errNoAnswer
	waitForCalls(t, d)
	for range cap(o.answers) {
		o.answers <- nil
	}
	d.applyList(list, r.now)
	r.advance(200)
	for i := range 4 {
		r.submit(string(rune('a'+i)), workload.Step{Count: 40, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 4000})
	}
	for range 5 {
		beat()
		waitForCalls(t, d)
		r.advance(200)
	}
	moves := map[string]bool{}
	for len(o.moved) > 0 {
		moves[<-o.moved] = true
	}
	require.Equal(t, map[string]bool{"off>" + rigPool: true, released + ">" + rigPool: true}, moves)
}

// Guards against a transfer that an order of an earlier leader has completed already: the answer
// to its repetition ended the worker in the new pool.
func TestCompletedTransferKeepsTheNewWorker(t *testing.T) {
	r, _ := newRigWithProvider(t)
	d := r.dispatchers[0]
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	d.transfers["m-a"] = transfer{pool: rigPool, since: r.now}
	r.cycle()
	waitForCalls(t, d)
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
	requireUsable(t, r, a)
}

// Guards against a heartbeat that was sent before a maintenance and reaches the next leader late:
// the machine counted as up again, and one more of its wave went down than the wave allows.
func TestLateHeartbeatDoesNotEndAMaintenance(t *testing.T) {
	r, o := newRigWithProvider(t)
	next := r.addStoreWithProvider(o)
	workers := map[string]*modelWorker{}
	for _, id := range []string{"a", "b"} {
		workers["m-"+id] = r.addWorker(id, "r1")
		workers["m-"+id].heartbeat(0, false)
	}
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a", "m-b"}, DurationMS: 5000, MaxDown: 1}})
	r.cycle()
	down := workers[<-o.maintained]
	waitForCalls(t, r.dispatchers[0])
	require.Eventually(t, func() bool { return r.maintenanceStartedCount(r.dispatchers[0]) == 1 }, 10*time.Second, time.Millisecond)
	r.elect(1)
	r.advance(100)
	down.heartbeat(1, true) // sent before the maintenance
	down.up = false
	beat := func() {
		r.advance(200)
		for _, w := range r.workers {
			w.heartbeat(1, false)
		}
		r.cycle()
		waitForCalls(t, next)
	}
	for range 8 {
		beat()
		require.Empty(t, o.maintained, "one machine may be down")
	}
	down.restart()
	for range 10 {
		beat()
	}
	require.NotEqual(t, down, workers[<-o.maintained])
}

// Guards against tasks that are placed on a worker which a move without an answer has ended, and
// that then count as ones that crash their workers: their job was given up after two of them.
func TestWorkerOfAMoveWithoutAnswerGetsNoTasks(t *testing.T) {
	for name, carriedOut := range map[string]bool{"carried out": true, "not carried out": false} {
		t.Run(name, func(t *testing.T) { testMoveWithoutAnswer(t, carriedOut) })
	}
}

func testMoveWithoutAnswer(t *testing.T, carriedOut bool) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	o.answers = make(chan error, cap(o.moved))
	workers := map[string]*modelWorker{}
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		workers["m-"+id] = r.addWorker(id, "r1")
		workers["m-"+id].heartbeat(0, false)
	}
	beat := func() {
		for _, w := range r.workers {
			w.heartbeat(0, false)
		}
		r.cycle()
	}
	r.advance(1100)
	beat() // all are idle: one more than the least pool
	w := workers[strings.TrimSuffix(<-o.moved, ">"+rigSpare)]
	o.answers <- errNoAnswer
	waitForCalls(t, d)
	r.submit("job", workload.Step{Count: 5, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
	if carriedOut {
		w.up = false
	}
	for begin := r.now; r.now-begin <= confirmUpMS; r.advance(300) {
		beat()
		require.Empty(t, r.state.Workload.RunsOn(workload.WorkerIncarnation{ID: w.id, Born: w.born}))
	}
	d.applyList(MachineList{Machines: []MachineInfo{{Name: "m-" + w.id, Pool: rigPool, Up: w.up}}}, r.now)
	for range 3 {
		beat()
		r.advance(300)
	}
	require.Equal(t, !carriedOut, len(w.running) > 0)
	require.False(t, d.workers[workload.WorkerIncarnation{ID: w.id, Born: w.born}].crashed)
	require.Empty(t, r.violation)
}
