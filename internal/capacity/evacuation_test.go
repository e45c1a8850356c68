package capacity

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// evacuate marks the machines of one rack as evacuated: four of docks, of tours and of the spare pool.
func evacuate(machines []Machine) []Machine {
	for i := range machines {
		machines[i].Evacuated = machines[i].Rack == "r0"
	}
	return machines
}

// Load pattern: a data centre is evacuated while a pool does the work that arrives without a backlog.
// The former decision, which counts its machines and waits for a backlog, adds nothing; now the
// pool gets what the work needs, but not all that it lost.
func TestEvacuatedMachinesAreMadeUpForAheadOfABacklog(t *testing.T) {
	demand := map[string]Demand{"docks": {RateMilli: 160_000, UsedMilli: 190_000, HeldMilli: 32_000}}
	in := Input{Machines: testMachines(-1), Demand: demand, Spare: "spare", MachineCapacity: size}
	require.Empty(t, Decide(in), "the former decision")
	in.Machines = evacuate(testMachines(-1))
	moves := Decide(in)
	require.Len(t, moves, 3, "8 machines are needed for 32 + 190/0.85 cores, and 5 are left")
	for _, m := range moves {
		require.Equal(t, "docks", m.Pool)
		require.Contains(t, []string{"spare-4", "spare-5", "spare-6", "spare-7"}, m.Machine)
	}
	in.AddIncoming("docks", nil)
	require.Len(t, Decide(in), 2)
	in.Demand = nil
	require.Empty(t, Decide(in), "an idle pool needs none")
}

// A pool that loses all its machines keeps the smallest size, so that arriving work can start.
func TestEvacuatedPoolKeepsItsSmallestSize(t *testing.T) {
	machines := testMachines(-1)
	for i := range machines {
		machines[i].Evacuated = machines[i].Pool == "docks"
	}
	moves := Decide(Input{Machines: machines, Demand: map[string]Demand{"docks": {}}, Spare: "spare", MachineCapacity: size})
	require.Len(t, moves, minPoolMachines)
}

// A burst must not bring machines of the evacuated data centre into a pool, whether they are
// off, idle, busy or the only ones with a label.
func TestEvacuatedMachinesAreNotGiven(t *testing.T) {
	in := Input{Machines: evacuate(testMachines(5000)), Demand: map[string]Demand{"docks": burst, "tours": {}}, Spare: "spare", MachineCapacity: size}
	in.Machines[9].IdleMS, in.Machines[9].Tasks = -1, 1
	in.Machines[10].Labels = []string{"gpu"}
	in.Demand["docks"] = Demand{UnmetDemand: burst.UnmetDemand, RateMilli: burst.RateMilli, Labels: map[string]UnmetDemand{"gpu": {Spread: 1}}}
	given := 0
	for _, m := range Decide(in) {
		i := slices.IndexFunc(in.Machines, func(x Machine) bool { return x.Name == m.Machine })
		if m.Pool == "docks" {
			given++
			require.False(t, in.Machines[i].Evacuated, m.Machine)
		}
	}
	require.Equal(t, 5, given, "four that are off, and one above the smallest size of the other pool")
}

// Idle machines of the evacuated data centre leave their pools also when these have a backlog
// or the smallest size, and don't make the rest of the pool leave.
func TestEmptyEvacuatedMachinesAreReleased(t *testing.T) {
	in := Input{Machines: evacuate(testMachines(-1)), Demand: map[string]Demand{"docks": burst}, Spare: "spare", MachineCapacity: size}
	for i := range in.Machines {
		if in.Machines[i].Evacuated && !in.Machines[i].Off {
			in.Machines[i].IdleMS = releaseIdleMS
		}
	}
	released := 0
	for _, m := range Decide(in) {
		if m.Pool == "spare" {
			released++
		}
	}
	require.Equal(t, 8, released)

	for i := range in.Machines {
		in.Machines[i].IdleMS = releaseIdleMS
	}
	in.Demand = map[string]Demand{"docks": {HeldMilli: 5 * size.CPUMilli}, "tours": {UnmetDemand: UnmetDemand{Waiting: workload.Resources{CPUMilli: 1}}}}
	left := map[string]int{"docks": 5, "tours": 5}
	for _, m := range Decide(in) {
		i := slices.IndexFunc(in.Machines, func(x Machine) bool { return x.Name == m.Machine })
		if !in.Machines[i].Evacuated {
			left[in.Machines[i].Pool]--
		}
	}
	require.Equal(t, map[string]int{"docks": 5, "tours": minPoolMachines}, left)
}
