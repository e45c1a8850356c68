package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const rigSpare = "spare"

// fakeProvider is a platform that carries out each call at once and records it.
type fakeProvider struct {
	moved      chan string
	maintained chan string
	machines   []MachineInfo
	// connected delays each order until it is closed; nil delays none.
	connected chan struct{}
	// refuse returns the error of an order to maintain a machine of a wave that is not carried out; nil
	// refuses none.
	refuse func(machine string, wave int64) error
	// answers delays the answer to each order until it yields an error or nil; nil delays none.
	answers chan error
}

func (o *fakeProvider) Maintain(_ context.Context, machine string, wave int64, order MachineOrder) error {
	if o.refuse != nil {
		if err := o.refuse(machine, wave); err != nil {
			return err
		}
	}
	return o.send(order, o.maintained, machine)
}

func (o *fakeProvider) Move(_ context.Context, machine, pool string, order MachineOrder) error {
	return o.send(order, o.moved, machine+">"+pool)
}

// send records an order once the connection is there, if it is still permitted.
func (o *fakeProvider) send(order MachineOrder, sent chan string, text string) error {
	if o.connected != nil {
		<-o.connected
	}
	if !order.Permitted() {
		return ErrNotPermitted
	}
	sent <- text
	if o.answers != nil {
		return <-o.answers
	}
	return nil
}

func (o *fakeProvider) List(context.Context) (MachineList, error) {
	return MachineList{Machines: o.machines}, nil
}

// newRigWithProvider gives the rig's only store a platform with one machine, which is off.
func newRigWithProvider(t *testing.T) (*rig, *fakeProvider) {
	t.Helper()
	r := newRig(1)
	o := &fakeProvider{moved: make(chan string, 100), maintained: make(chan string, 100)}
	r.dispatchers[0] = New(rigLog{r, 0}, Settings{Lease: rigLease, JobRetention: time.Minute, MoveDuration: 1500 * time.Millisecond}, nil, o, metrics.NewRegistry(), newRigLogger())
	config := r.state.Workload.Config
	config.Version = 2
	config.Pools = map[string]workload.Pool{rigPool: {Name: rigPool}, rigSpare: {Name: rigSpare, Spare: true}}
	r.propose(&workload.Command{Configure: &config})
	r.cycle()
	d := r.dispatchers[0]
	d.applyList(MachineList{Machines: []MachineInfo{{Name: "off", Pool: rigSpare, Capacity: workload.Resources{CPUMilli: rigCPU, MemoryMiB: 1 << 20}, Up: true}}}, r.now)
	return r, o
}

// waitForCalls waits until the dispatcher knows the outcome of its calls.
func waitForCalls(t *testing.T, d *Dispatcher) {
	t.Helper()
	require.Eventually(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.maintenance.callsInFlight) == 0
	}, 10*time.Second, time.Millisecond)
}

// A burst follows a release: a machine that was moved to the spare pool reports nothing
// there, and must be available again once the move is complete.
func TestReleasedMachineCanBeMovedAgain(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		r.addWorker(id, "r1").heartbeat(0, false)
	}
	release := func() { // all are idle: one more than the least pool
		r.advance(1100)
		for _, w := range r.workers {
			w.heartbeat(0, false)
		}
		r.cycle()
	}
	release()
	released := <-o.moved
	require.Contains(t, released, ">"+rigSpare)
	waitForCalls(t, d)
	for i := range 4 {
		r.submit(string(rune('a'+i)), workload.Step{Count: 40, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 4000})
	}
	r.cycle()
	r.cycle()
	require.Equal(t, "off>"+rigPool, <-o.moved, "the other machine is still moving")
	waitForCalls(t, d)
	r.advance(1700)
	for _, w := range r.workers {
		w.heartbeat(0, false)
	}
	r.cycle()
	r.cycle()
	require.Equal(t, released[:len(released)-len(rigSpare)]+rigPool, <-o.moved)
	waitForCalls(t, d)
}

// A machine must not be maintained while a new leader has not heard its worker, which may
// still run tasks.
func TestMachineWithUnreportedWorkerIsNotMaintained(t *testing.T) {
	r, o := newRigWithProvider(t)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a", "off"}, DurationMS: 20000, MaxDown: 2}})
	r.cycle()
	require.Equal(t, "off", <-o.maintained, "nothing runs on a machine that is off")
	waitForCalls(t, r.dispatchers[0])
	r.advance(rigLease.Milliseconds() - 1000)
	r.cycle()
	require.Empty(t, o.maintained)
	r.advance(2000)
	r.cycle()
	require.Equal(t, "m-a", <-o.maintained, "all earlier leases have run out")
	waitForCalls(t, r.dispatchers[0])
}

// No more machines may be down at once than the wave allows, also after a change of leader:
// the order must be recorded before it is sent.
func TestWaveLimit(t *testing.T) {
	r, o := newRigWithProvider(t)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a", "m-b"}, DurationMS: 1000, MaxDown: 1}})
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	for _, w := range []*modelWorker{a, b} {
		w.heartbeat(0, false)
	}
	r.cycle()
	first := <-o.maintained
	waitForCalls(t, r.dispatchers[0])
	r.advance(300)
	r.cycle()
	require.Empty(t, o.maintained)
	require.True(t, r.state.Workload.Waves[1].Ordered[first], "the order is recorded before it leaves")
	require.False(t, r.state.Workload.Waves[1].Complete())
}

// A long-running task must not be stopped while too many others of its step are
// unavailable, also when these are unavailable because their worker is silent.
func TestDrainingRespectsUnavailableTasks(t *testing.T) {
	r, _ := newRigWithProvider(t)
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	workers := []*modelWorker{a, b}
	step := workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: 1}
	r.submit("watch", step)
	beat := func(which ...*modelWorker) {
		r.advance(500)
		for _, w := range which {
			w.heartbeat(0, false)
		}
		r.cycle()
	}
	for range 4 {
		beat(workers...)
	}
	require.Len(t, a.running, 1)
	require.Len(t, b.running, 1)
	for range 3 { // b is silent for longer than a worker may be
		beat(a)
	}
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a"}, DurationMS: 1000, MaxDown: 1}})
	for range 4 {
		beat(a)
	}
	require.Len(t, a.running, 1, "the step's other task is away")
	for range 8 {
		beat(workers...)
	}
	require.Empty(t, a.running)
}

// The stopped task of a drained machine may have no other place. It must not wait for good beside
// a machine that only drains, because the step's other task there can't stop meanwhile.
func TestBlockedDrainIsSuspended(t *testing.T) {
	r, _ := newRigWithProvider(t)
	a := r.addWorker("a", "r1")
	r.submit("watch", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true, MaxUnavailable: 1})
	beat := func(count int) {
		for range count {
			r.advance(500)
			a.heartbeat(0, false)
			r.cycle()
		}
	}
	beat(4)
	require.Len(t, a.running, 2)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a"}, DurationMS: 1000, MaxDown: 1}})
	beat(6)
	require.Len(t, a.running, 1, "the machine is drained")
	beat((blockedDrainMS + drainRetryMS/2) / 500)
	require.Len(t, a.running, 2, "the waiting task has its place back")
}

// A machine that is off must not count as down for ever after its maintenance: it reports
// nothing, would count towards the limit of the wave and could not be used.
func TestOffMachineReturnsAfterMaintenance(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	d.settings.MaintenanceDuration = 2 * time.Second
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"off", "m-a"}, DurationMS: 1000, MaxDown: 1}})
	r.cycle()
	require.Equal(t, "off", <-o.maintained)
	waitForCalls(t, d)
	require.Eventually(t, func() bool { return r.maintenanceStartedCount(d) == 1 }, 10*time.Second, time.Millisecond)
	r.advance(1000)
	a.heartbeat(0, false)
	r.cycle()
	require.Empty(t, o.maintained, "one machine may be down")
	r.advance(1600)
	a.heartbeat(0, false)
	r.cycle()
	require.Equal(t, "m-a", <-o.maintained)
	waitForCalls(t, d)
	r.submit("job", workload.Step{Count: 40, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 4000})
	r.cycle()
	r.cycle()
	select {
	case moved := <-o.moved:
		require.Equal(t, "off>"+rigPool, moved)
	default:
		require.Eventually(t, func() bool { return len(o.moved) > 0 }, 5*time.Second, time.Millisecond, "%+v %+v", d.demand, d.maintenance)
	}
	waitForCalls(t, d)
}

// maintenanceStartedCount returns the number of machines whose maintenance is recorded as
// started.
func (r *rig) maintenanceStartedCount(d *Dispatcher) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(r.state.Workload.Waves[1].Begun)
}
