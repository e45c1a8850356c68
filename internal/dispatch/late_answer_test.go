package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/workload"
)

var errNoAnswer = errors.New("no answer")

// startWorkerOn starts a worker of the pool on the machine "off".
func (r *rig) startWorkerOn() *modelWorker {
	w := r.addWorker("off", "r9")
	w.id, w.machine = "arrived", "off"
	w.heartbeat(0, false)
	return w
}

// requireUsable requires that the worker has a lease and gets the task that only it has room for.
func requireUsable(t *testing.T, r *rig, w *modelWorker) {
	t.Helper()
	for range 20 {
		r.advance(200)
		w.heartbeat(0, false)
		r.cycle()
	}
	require.Positive(t, w.leaseRemaining)
	require.NotEmpty(t, w.running)
	require.Empty(t, r.violation)
}

// Guards against an answer to a move that comes after the machine has arrived, and that ends its
// new worker for as long as the leader leads: review/4.
func TestLateAnswerToAMoveKeepsTheNewWorker(t *testing.T) {
	r, o := newRigWithProvider(t)
	o.answers = make(chan error)
	r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
	r.cycle()
	r.cycle()
	require.Equal(t, "off>"+rigPool, <-o.moved)
	r.advance(1500)
	w := r.startWorkerOn()
	r.advance(500)
	o.answers <- nil
	waitForCalls(t, r.dispatchers[0])
	requireUsable(t, r, w)
}

// Guards against the same effect of an answer to a maintenance: it comes late, or repeats that
// the maintenance is done after the first answer was lost.
func TestLateAnswerToAMaintenanceKeepsTheNewWorker(t *testing.T) {
	for name, first := range map[string]error{"late": nil, "lost": errNoAnswer} {
		t.Run(name, func(t *testing.T) {
			r, o := newRigWithProvider(t)
			d := r.dispatchers[0]
			d.settings.MaintenanceDuration = 2 * time.Second
			o.answers = make(chan error)
			a := r.addWorker("a", "r1")
			a.heartbeat(0, false)
			r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a"}, DurationMS: 20000, MaxDown: 1}})
			r.cycle()
			require.Equal(t, "m-a", <-o.maintained)
			a.up = false
			r.advance(2000)
			a.restart()
			a.heartbeat(0, false)
			o.answers <- first
			if first != nil {
				waitForCalls(t, d)
				r.advance(500)
				a.heartbeat(0, false)
				r.cycle()
				require.Equal(t, "m-a", <-o.maintained, "the call is repeated")
				o.answers <- nil
			}
			waitForCalls(t, d)
			require.Eventually(t, func() bool { return r.maintenanceStartedCount(d) == 1 }, 10*time.Second, time.Millisecond)
			r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
			requireUsable(t, r, a)
		})
	}
}

// Guards against a machine that counts as up although the repeated call began its maintenance:
// another one of the wave would go down with it.
func TestRepeatedMaintenanceThatBeginsCountsAsDown(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	d.settings.MaintenanceDuration = 2 * time.Second
	o.answers = make(chan error)
	a, b := r.addWorker("a", "r1"), r.addWorker("b", "r2")
	a.heartbeat(0, false)
	b.heartbeat(0, false)
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"m-a", "m-b"}, DurationMS: 5000, MaxDown: 1}})
	r.cycle()
	first := <-o.maintained
	w, other := a, b
	if first == "m-b" {
		w, other = b, a
	}
	o.answers <- errNoAnswer
	waitForCalls(t, d)
	w.crash()
	r.advance(500)
	w.restart()
	w.heartbeat(0, false)
	other.heartbeat(0, false)
	r.cycle()
	require.Equal(t, first, <-o.maintained)
	w.up = false
	o.answers <- nil
	waitForCalls(t, d)
	require.Eventually(t, func() bool { return r.maintenanceStartedCount(d) == 1 }, 10*time.Second, time.Millisecond)
	for range 8 {
		r.advance(200)
		other.heartbeat(0, false)
		r.cycle()
		require.Empty(t, o.maintained, "one machine may be down")
	}
	w.restart()
	w.heartbeat(0, false)
	r.advance(200)
	other.heartbeat(0, false)
	w.heartbeat(0, false)
	r.cycle()
	require.Equal(t, "m-"+other.id, <-o.maintained)
	o.answers <- nil
	waitForCalls(t, d)
}

// hangingProvider answers no order before the context of its call ends.
type hangingProvider struct{ instantProvider }

func (hangingProvider) Move(ctx context.Context, _, _ string, _ MachineOrder) error {
	<-ctx.Done()
	return ctx.Err()
}

// Guards against an order that a partition holds up and that arrives behind those of the next
// leader: its call must end with the leadership.
func TestCallsEndWithTheLeadership(t *testing.T) {
	r := newRig(2)
	d := r.dispatchers[0]
	d.provider = hangingProvider{}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.pollMachines(ctx)
	require.Eventually(t, d.hasMachineList, 10*time.Second, time.Millisecond)
	order := func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.machinesByName["m"] = &machine{MachineInfo: MachineInfo{Name: "m"}}
		d.startMove(capacity.Move{Machine: "m", Pool: rigPool}, r.now)
	}
	for range 2 { // also under the next leadership of the same store
		order()
		begin := time.Now()
		r.elect(1)
		waitForCalls(t, d)
		require.Less(t, time.Since(begin), moveCallTimeout/2)
		r.elect(0)
		r.cycle()
	}
}
