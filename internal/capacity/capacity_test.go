package capacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

var size = workload.Resources{CPUMilli: 32000, MemoryMiB: 65536}

// testMachines returns nine machines in each of two pools, and eight in the spare pool.
func testMachines(idleMS int64) []Machine {
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

// burst is the demand of a queue that submits work for 500 cores and has a backlog of
// one second of that work.
var burst = Demand{RateMilli: 500_000, UnmetDemand: UnmetDemand{
	WorkMilliMS: 500_000_000, Waiting: workload.Resources{CPUMilli: 600_000, MemoryMiB: 900_000},
}}

// Guards against a pool that gets too few machines during a burst of its queue. It gets
// idle ones of the other pool, and those that are off.
func TestBurstGetsMachines(t *testing.T) {
	in := Input{Machines: testMachines(-1), Demand: map[string]Demand{"docks": burst}, Spare: "spare", MachineCapacity: size}
	moves := Decide(in)
	require.Len(t, moves, 8, "the machines of the other pool are busy")
	in.Machines = testMachines(5000)
	fromPool := map[string]int{}
	for _, m := range Decide(in) {
		require.Equal(t, "docks", m.Pool)
		fromPool[m.Machine[:5]]++
	}
	require.Equal(t, 8, fromPool["spare"])
	require.Equal(t, 5, fromPool["tours"], "a pool keeps its minimum size")
}

// Guards against adding machines again that are already moving into the pool.
func TestIncomingMachinesCount(t *testing.T) {
	in := Input{Machines: testMachines(-1), Demand: map[string]Demand{"docks": burst}, Spare: "spare", MachineCapacity: size}
	in.Incoming = map[string]int{"docks": 30}
	require.Empty(t, Decide(in))
}

// Guards against moves for a single job with many tasks, which ends before a machine
// could arrive.
func TestSmallBacklogMovesNothing(t *testing.T) {
	demand := Demand{RateMilli: 80_000, UnmetDemand: UnmetDemand{WorkMilliMS: 60_000_000, Waiting: workload.Resources{CPUMilli: 60_000}}}
	require.Empty(t, Decide(Input{Machines: testMachines(0), Demand: map[string]Demand{"docks": demand}, Spare: "spare", MachineCapacity: size}))
}

// Guards against machines that stay idle between bursts, and against a pool that is left
// without machines.
func TestIdleMachinesAreReleased(t *testing.T) {
	in := Input{Machines: testMachines(emptiedIdleMS), Demand: map[string]Demand{}, Spare: "spare", MachineCapacity: size}
	released := map[string]int{}
	for _, m := range Decide(in) {
		require.Equal(t, "spare", m.Pool)
		released[m.Machine[:5]]++
	}
	require.Equal(t, 9-minPoolMachines, released["docks"])
	in.Machines = testMachines(emptiedIdleMS - 1)
	require.Empty(t, Decide(in))

	in.Demand = map[string]Demand{"docks": {UsedMilli: 200_000}, "tours": {UsedMilli: 200_000}}
	in.Machines = testMachines(releaseIdleMS - 1)
	require.Empty(t, Decide(in), "pools that need their machines release them later")
	in.Machines = testMachines(releaseIdleMS)
	require.NotEmpty(t, Decide(in))
}

// Guards against long-running tasks that wait for ever for separate machines because the
// machines of their pool were released.
func TestLongRunningTasksGetMachines(t *testing.T) {
	in := Input{Machines: testMachines(-1), Demand: map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 2}}}, Spare: "spare", MachineCapacity: size}
	require.Len(t, Decide(in), 2)
	in.Incoming = map[string]int{"docks": 2}
	require.Empty(t, Decide(in))
}

// Guards against a growing backlog beside a pool that has more machines than it needs,
// none of them idle. That pool gives up the machines with the fewest tasks.
func TestBusySurplusIsMoved(t *testing.T) {
	machines := testMachines(-1)[:18]
	for i := range machines {
		machines[i].Tasks = 2 + i%3
	}
	in := Input{Machines: machines, Demand: map[string]Demand{"docks": burst, "tours": {UsedMilli: 40_000}}, MachineCapacity: size}
	moves := Decide(in)
	require.Len(t, moves, 9-minPoolMachines)
	for _, m := range moves {
		require.True(t, m.WaitUntilIdle)
		require.Equal(t, "docks", m.Pool)
	}
	in.Demand["tours"] = Demand{UsedMilli: 260_000}
	in.Demand["docks"] = Demand{RateMilli: 400_000, UnmetDemand: UnmetDemand{WorkMilliMS: 200_000_000, Waiting: burst.Waiting}}
	require.Empty(t, Decide(in), "both pools are busy, and neither has a long backlog")
}

// Guards against one machine for each long-running task when jobs start in pools of the
// minimum size. Machines are added for the capacity and the spread of the tasks.
func TestLongRunningTasksShareMachines(t *testing.T) {
	in := Input{Machines: testMachines(-1), Spare: "spare", MachineCapacity: size}
	need := size
	need.CPUMilli = 2 * size.CPUMilli
	in.Demand = map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 1, LongRunning: need}}}
	require.Len(t, Decide(in), 2, "the tasks fill two machines")
	in.Demand = map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Spread: 3, LongRunning: need}}}
	require.Len(t, Decide(in), 3, "three tasks need different machines")
}

// withLabels gives the machines of one pool a label and all others another label.
func withLabels(machines []Machine, pool, label, other string) []Machine {
	for i := range machines {
		machines[i].Labels = []string{other}
		if machines[i].Pool == pool {
			machines[i].Labels = []string{label}
		}
	}
	return machines
}

// Guards against a step that waits during a burst because its pool has no machine of the
// required kind, only idle ones of another kind.
func TestMachinesOfTheRequiredKindAreAdded(t *testing.T) {
	in := Input{Machines: withLabels(testMachines(5000), "docks", "plain", "gpu"), Spare: "spare", MachineCapacity: size}
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {WorkMilliMS: 400_000_000, Waiting: size}}}}
	var added []string
	for _, m := range Decide(in) {
		if m.Pool == "docks" {
			added = append(added, m.Machine)
		}
	}
	require.Equal(t, []string{"tours-0"}, added, "as many machines as the waiting tasks fill, idle ones before those that are off")
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {Spread: 3}}}}
	added = nil
	for _, m := range Decide(in) {
		if m.Pool == "docks" {
			added = append(added, m.Machine)
		}
	}
	require.Len(t, added, 3)
	in.AddIncoming("docks", []string{"gpu"})
	in.AddIncoming("docks", []string{"gpu"})
	in.AddIncoming("docks", []string{"gpu"})
	for _, m := range Decide(in) {
		require.NotEqual(t, "docks", m.Pool, "the machines are already moving")
	}
}

// Guards against idle machines that leave a pool although its waiting work requires them.
func TestMachinesOfTheRequiredKindStay(t *testing.T) {
	in := Input{Machines: withLabels(testMachines(5000), "docks", "gpu", "plain"), Spare: "spare", MachineCapacity: size}
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": {Spread: 2}}}}
	for _, m := range Decide(in) {
		require.NotContains(t, m.Machine, "docks")
	}
}

// Guards against a task that needs most of a machine and waits for good in a pool where each
// machine has something to run. The work that waits in all is too little to add machines for,
// and the idle ones have left.
func TestOverdueTaskGetsAMachine(t *testing.T) {
	large := workload.Resources{CPUMilli: 29_000, MemoryMiB: 43_000}
	demand := Demand{UnmetDemand: UnmetDemand{WorkMilliMS: 29_000_000, Waiting: large}}
	in := Input{Machines: testMachines(-1), Demand: map[string]Demand{"docks": demand}, Spare: "spare", MachineCapacity: size}
	require.Empty(t, Decide(in), "room may still come free")
	demand.Overdue = large
	in.Demand = map[string]Demand{"docks": demand}
	moves := Decide(in)
	require.Len(t, moves, 1)
	require.Equal(t, "docks", moves[0].Pool)
	in.Incoming = map[string]int{"docks": 1}
	require.Empty(t, Decide(in))

	labelled := UnmetDemand{WorkMilliMS: 29_000_000, Waiting: large, Overdue: large}
	in = Input{Machines: withLabels(testMachines(-1), "docks", "gpu", "plain"), Spare: "spare", MachineCapacity: size}
	for i := range in.Machines {
		in.Machines[i].Labels = append(in.Machines[i].Labels, "gpu")
	}
	in.Demand = map[string]Demand{"docks": {Labels: map[string]UnmetDemand{"gpu": labelled}}}
	require.Len(t, Decide(in), 1, "the same for a task that requires a label")
}

// Guards against a pool that takes all machines because its backlog is slightly larger, while
// another pool in a burst gets none.
func TestPoolsInABurstShareTheMachines(t *testing.T) {
	smaller := burst
	smaller.WorkMilliMS -= 1000
	in := Input{Machines: testMachines(-1), Spare: "spare", MachineCapacity: size, Demand: map[string]Demand{"docks": burst, "tours": smaller}}
	got := map[string]int{}
	for _, m := range Decide(in) {
		got[m.Pool]++
	}
	require.Equal(t, map[string]int{"docks": 4, "tours": 4}, got)
}

// BenchmarkDecide measures a decision of hundreds of moves. It is made while the state is
// locked, so a slow decision delays the store's replies to its peers.
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

// Guards against a pool that keeps all machines with a label while another pool has none for
// its overdue work, or not enough for a long-running task.
func TestPoolsShareMachinesWithARareLabel(t *testing.T) {
	waiting := UnmetDemand{WorkMilliMS: 900_000_000, Waiting: size, Overdue: size}
	newInput := func(machines int, need UnmetDemand) Input {
		in := Input{Machines: testMachines(-1)[:18], Spare: "spare", MachineCapacity: size}
		for i := range in.Machines {
			in.Machines[i].Tasks = 20 + i
		}
		for i := range machines {
			in.Machines[9+i].Labels = []string{"gpu"}
		}
		in.Demand = map[string]Demand{
			"docks": {Labels: map[string]UnmetDemand{"gpu": need}}, "tours": {UsedMilli: 280_000, Labels: map[string]UnmetDemand{"gpu": waiting}},
		}
		return in
	}
	require.Equal(t, []Move{{Machine: "tours-0", Pool: "docks", WaitUntilIdle: true}}, Decide(newInput(2, waiting)))
	require.Empty(t, Decide(newInput(1, waiting)), "the other pool keeps one")
	notYet := waiting
	notYet.Overdue = workload.Resources{}
	require.Empty(t, Decide(newInput(2, notYet)), "room may still come free")

	in := newInput(2, UnmetDemand{Spread: 1})
	in.Machines[0].Labels, in.Machines[0].Tasks = []string{"gpu"}, 0
	require.Len(t, Decide(in), 1, "a long-running task needs a second machine")
}
