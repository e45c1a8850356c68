package capacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

var size = workload.Resources{CPUMilli: 32000, MemoryMiB: 65536}

// pools returns machines: nine in each of two pools and eight that are off.
func pools(idleMS int64) []Machine {
	var out []Machine
	for _, pool := range []string{"docks", "tours"} {
		for i := range 9 {
			out = append(out, Machine{Name: fmt.Sprintf("%s-%d", pool, i), Pool: pool, Rack: fmt.Sprintf("r%d", i/4), IdleMS: idleMS})
		}
	}
	for i := range 8 {
		out = append(out, Machine{Name: fmt.Sprintf("spare-%d", i), Pool: "spare", Rack: fmt.Sprintf("r%d", i/4), Off: true})
	}
	return out
}

// burst is a queue that asks for 500 cores with a backlog of a second.
var burst = Demand{RateMilli: 500_000, UnmetDemand: UnmetDemand{
	WorkMilliMS: 500_000_000, Waiting: workload.Resources{CPUMilli: 600_000, MemoryMiB: 900_000},
}}

// Replays a queue's turn: its pool gets the machines that serve it, first those
// that are off, then idle ones of the other pool.
func TestMachinesFollowABurst(t *testing.T) {
	in := Input{Machines: pools(-1), Demand: map[string]Demand{"docks": burst}, Spare: "spare", MachineCapacity: size}
	moves := Decide(in)
	require.Len(t, moves, 8, "the other pool is at work")
	in.Machines = pools(5000)
	taken := map[string]int{}
	for _, m := range Decide(in) {
		require.Equal(t, "docks", m.Pool)
		taken[m.Machine[:5]]++
	}
	require.Equal(t, 8, taken["spare"])
	require.Equal(t, 5, taken["tours"], "a pool keeps its least size")
}

// Guards against ordering the machines again that are on their way.
func TestIncomingMachinesCount(t *testing.T) {
	in := Input{Machines: pools(-1), Demand: map[string]Demand{"docks": burst}, Spare: "spare", MachineCapacity: size}
	in.Incoming = map[string]int{"docks": 30}
	require.Empty(t, Decide(in))
}

// Guards against moves for a single wide job: it is served before a machine comes.
func TestSmallBacklogMovesNothing(t *testing.T) {
	demand := Demand{RateMilli: 80_000, UnmetDemand: UnmetDemand{WorkMilliMS: 60_000_000, Waiting: workload.Resources{CPUMilli: 60_000}}}
	require.Empty(t, Decide(Input{Machines: pools(0), Demand: map[string]Demand{"docks": demand}, Spare: "spare", MachineCapacity: size}))
}

// Guards against machines that stand idle between turns, and against a pool that
// is left without any.
func TestIdleMachinesAreReleased(t *testing.T) {
	in := Input{Machines: pools(releaseIdleMS), Demand: map[string]Demand{}, Spare: "spare", MachineCapacity: size}
	released := map[string]int{}
	for _, m := range Decide(in) {
		require.Equal(t, "spare", m.Pool)
		released[m.Machine[:5]]++
	}
	require.Equal(t, 9-keepMachines, released["docks"])
	in.Machines = pools(releaseIdleMS - 1)
	require.Empty(t, Decide(in))
}

// Guards against long-running tasks that wait for a machine of their own because
// the pool was released.
func TestLongRunningTasksGetMachines(t *testing.T) {
	in := Input{Machines: pools(-1), Demand: map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 2}}}, Spare: "spare", MachineCapacity: size}
	require.Len(t, Decide(in), 2)
	in.Incoming = map[string]int{"docks": 2}
	require.Empty(t, Decide(in))
}

// Replays a pool that is served well by more machines than it needs, none of them
// idle, beside one that falls behind: it lends those with the fewest tasks.
func TestBusySurplusIsLent(t *testing.T) {
	machines := pools(-1)[:18]
	for i := range machines {
		machines[i].Tasks = 2 + i%3
	}
	in := Input{Machines: machines, Demand: map[string]Demand{"docks": burst, "tours": {UsedMilli: 40_000}}, MachineCapacity: size}
	moves := Decide(in)
	require.Len(t, moves, 9-keepMachines)
	for _, m := range moves {
		require.True(t, m.WaitUntilIdle)
		require.Equal(t, "docks", m.Pool)
	}
	in.Demand["tours"] = Demand{UsedMilli: 260_000}
	in.Demand["docks"] = Demand{RateMilli: 400_000, UnmetDemand: UnmetDemand{WorkMilliMS: 200_000_000, Waiting: burst.Waiting}}
	require.Empty(t, Decide(in), "both are busy, and neither is far behind")
}

// Replays the start of long-running jobs in pools of the least size: machines come
// for the room and the spread of the tasks, not one for each task.
func TestLongRunningTasksShareMachines(t *testing.T) {
	in := Input{Machines: pools(-1), Spare: "spare", MachineCapacity: size}
	need := size
	need.CPUMilli = 2 * size.CPUMilli
	in.Demand = map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 1, LongRunning: need}}}
	require.Len(t, Decide(in), 2, "the room of two machines")
	in.Demand = map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 3, LongRunning: need}}}
	require.Len(t, Decide(in), 3, "three tasks that keep away from each other")
}

// kinds gives the machines of a pool one label and all others another.
func kinds(machines []Machine, pool, label, other string) []Machine {
	for i := range machines {
		machines[i].Labels = []string{other}
		if machines[i].Pool == pool {
			machines[i].Labels = []string{label}
		}
	}
	return machines
}

// Replays a pool in its turn that holds no machine of the kind that a step requires:
// machines of that kind come, however many idle ones of another kind it has.
func TestMachinesOfTheRequiredKindCome(t *testing.T) {
	in := Input{Machines: kinds(pools(5000), "docks", "plain", "gpu"), Spare: "spare", MachineCapacity: size}
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {WorkMilliMS: 400_000_000, Waiting: size}}}}
	var came []string
	for _, m := range Decide(in) {
		if m.Pool == "docks" {
			came = append(came, m.Machine)
		}
	}
	require.Equal(t, []string{"spare-0"}, came, "as many as the waiting tasks fill")
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {Spread: 3}}}}
	came = nil
	for _, m := range Decide(in) {
		if m.Pool == "docks" {
			came = append(came, m.Machine)
		}
	}
	require.Len(t, came, 3)
	in.AddIncoming("docks", []string{"gpu"})
	in.AddIncoming("docks", []string{"gpu"})
	in.AddIncoming("docks", []string{"gpu"})
	for _, m := range Decide(in) {
		require.NotEqual(t, "docks", m.Pool, "they are on their way")
	}
}

// Guards against idle machines that leave although waiting work requires their kind.
func TestMachinesOfTheRequiredKindStay(t *testing.T) {
	in := Input{Machines: kinds(pools(5000), "docks", "gpu", "plain"), Spare: "spare", MachineCapacity: size}
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {Spread: 2}}}}
	for _, m := range Decide(in) {
		require.NotContains(t, m.Machine, "docks")
	}
}

// BenchmarkDecide measures a decision of hundreds of moves, which is made under the
// lock of the state: a long one keeps the store from its peers.
func BenchmarkDecide(b *testing.B) {
	var machines []Machine
	for i := range 500 {
		machines = append(machines, Machine{
			Name: fmt.Sprintf("m%d", i), Pool: "spare", Off: true, Rack: fmt.Sprintf("r%d", i/4), Labels: []string{"a", fmt.Sprintf("r%d", i/4)},
		})
	}
	in := Input{Machines: machines, Demand: map[string]Demand{"docks": {UnmetDemand: UnmetDemand{
		WorkMilliMS: 50_000_000_000, Waiting: workload.Resources{CPUMilli: 16_000_000, MemoryMiB: 1 << 20},
	}}}, Spare: "spare", MachineCapacity: size}
	for b.Loop() {
		Decide(in)
	}
}
