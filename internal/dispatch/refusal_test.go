package dispatch

import (
	"math/rand"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// runWaves lets time pass in steps, with heartbeats, finished calls and readings of the machine list.
func runWaves(t *testing.T, r *rig, listed func() []MachineInfo, ms int64) {
	t.Helper()
	d := r.dispatchers[0]
	for end := r.now + ms; r.now < end; {
		r.runUndisturbed(200)
		waitForCalls(t, d)
		d.applyList(MachineList{Machines: listed()}, r.now)
	}
}

func sparelist(names ...string) func() []MachineInfo {
	return func() []MachineInfo {
		machines := []MachineInfo{{Name: "m-a", Pool: rigPool, Capacity: workload.Resources{CPUMilli: rigCPU}, Up: true, Worker: "a"}}
		for _, name := range names {
			machines = append(machines, MachineInfo{Name: name, Pool: rigSpare, Capacity: workload.Resources{CPUMilli: rigCPU}, Up: true})
		}
		return machines
	}
}

// Guards against a wave that is complete without a machine that stays, since one answer said that it
// does not exist. The platform's list still contains it.
func TestWaveWaitsForAMachineThatIsListed(t *testing.T) {
	r, o := newRigWithProvider(t)
	r.addWorker("a", "r1")
	refusing := true
	var mu sync.Mutex
	o.refuse = func(string, int64) error {
		mu.Lock()
		defer mu.Unlock()
		if refusing {
			return ErrNoMachine
		}
		return nil
	}
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"off"}, DurationMS: 20000, MaxDown: 1}})
	runWaves(t, r, sparelist("off"), 10_000)
	require.Empty(t, r.state.Workload.Waves[1].Begun, "the machine is listed")
	mu.Lock()
	refusing = false
	mu.Unlock()
	runWaves(t, r, sparelist("off"), 3000)
	require.True(t, r.state.Workload.Waves[1].Complete())
	require.Len(t, o.maintained, 1)
}

// A wave goes on without a machine that is gone, and without one that is not due in it.
func TestWaveGoesOnWithoutMachinesThatAreGone(t *testing.T) {
	for name, tt := range map[string]struct {
		answer error
		listed func() []MachineInfo
	}{"gone": {ErrNoMachine, sparelist()}, "not due": {ErrNotInWave, sparelist("off")}} {
		t.Run(name, func(t *testing.T) {
			r, o := newRigWithProvider(t)
			r.addWorker("a", "r1")
			o.refuse = func(string, int64) error { return tt.answer }
			r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: []string{"off"}, DurationMS: 20000, MaxDown: 1}})
			runWaves(t, r, tt.listed, 10_000)
			require.True(t, r.state.Workload.Waves[1].Complete())
		})
	}
}

// Whatever answers come between, a wave is complete only when each machine that stays has begun its
// maintenance for it.
func TestWavesAreCompleteOnlyByTheirMaintenance(t *testing.T) {
	for seed := range int64(10) {
		random := rand.New(rand.NewSource(seed))
		r, o := newRigWithProvider(t)
		r.addWorker("a", "r1")
		machines := []string{"off", "off2", "off3"}
		var mu sync.Mutex
		begun := map[workload.WaveMachine]bool{}
		o.refuse = func(machine string, wave int64) error {
			mu.Lock()
			defer mu.Unlock()
			switch random.Intn(6) {
			case 0:
				return ErrMachineBusy
			case 1:
				return ErrNoMachine
			case 2:
				begun[workload.WaveMachine{Wave: wave, Machine: machine}] = true
				return errors.New("the answer was cut off")
			case 3:
				return errors.New("the order did not arrive")
			}
			begun[workload.WaveMachine{Wave: wave, Machine: machine}] = true
			return nil
		}
		for number := range int64(2) {
			r.propose(&workload.Command{Wave: &workload.Wave{Number: number, Machines: machines, DurationMS: 20000, MaxDown: 2}})
		}
		for range 100 {
			runWaves(t, r, sparelist(machines...), 400)
			for number, w := range r.state.Workload.Waves {
				for machine := range w.Begun {
					mu.Lock()
					require.True(t, begun[workload.WaveMachine{Wave: number, Machine: machine}], "seed %d: %s of wave %d", seed, machine, number)
					mu.Unlock()
				}
			}
		}
		for number, w := range r.state.Workload.Waves {
			require.True(t, w.Complete(), "seed %d: wave %d", seed, number)
		}
	}
}
