package capacity

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// tail is a pool after a burst: machines with the end times of their tasks, 2 cores each.
type tail struct {
	ends      map[string][]int64
	idleSince map[string]int64
	emptying  map[string]bool
}

const (
	tailMachines  = 40
	tailTaskMilli = 2000
	tailStepMS    = 50
)

// newTail returns a pool whose burst ends at time 0. All machines are full, with tasks of which
// one in 32 takes seven times as long as the others.
func newTail(machines int) *tail {
	p := &tail{ends: map[string][]int64{}, idleSince: map[string]int64{}}
	task := 0
	for i := range machines {
		for range 16 {
			task++
			ms := int64(200 + task*37%1200)
			if task%32 == 0 {
				ms *= 7
			}
			name := fmt.Sprintf("m%02d", i)
			p.ends[name] = append(p.ends[name], ms)
		}
	}
	return p
}

// place puts a task on the fullest machine with room, emptying ones last. It reports whether
// there was room.
func (p *tail) place(end int64) bool {
	best := ""
	for name, ends := range p.ends {
		if len(ends) >= 16 {
			continue
		}
		switch {
		case best == "":
		case p.emptying[name] != p.emptying[best]:
			if p.emptying[name] {
				continue
			}
		case len(ends) < len(p.ends[best]) || (len(ends) == len(p.ends[best]) && name > best):
			continue
		}
		best = name
	}
	if best != "" {
		p.ends[best] = append(p.ends[best], end)
	}
	return best != ""
}

// step ends tasks and returns the machines and the pool's demand for a decision.
func (p *tail) step(now, arrivingMilli int64) Input {
	in := Input{Demand: map[string]Demand{}, Spare: "spare", MachineCapacity: size}
	used := int64(0)
	for name, ends := range p.ends {
		running := ends[:0]
		for _, end := range ends {
			if end > now {
				running = append(running, end)
			}
		}
		p.ends[name] = running
		m := Machine{Name: name, Pool: "docks", Tasks: len(running), IdleMS: -1}
		if len(running) > 0 {
			p.idleSince[name] = now
		} else {
			m.IdleMS = now - p.idleSince[name]
		}
		used += int64(len(running)) * tailTaskMilli
		in.Machines = append(in.Machines, m)
	}
	in.Demand["docks"] = Demand{UsedMilli: used, RateMilli: arrivingMilli}
	return in
}

// replayTail plays 10 s after a burst in which a little work still arrives. It returns the
// machine-milliseconds and the tasks that found no room.
func replayTail(decide func(Input) []Move, empty func(Input) []string) (machineMS, waited int64) {
	p := newTail(tailMachines)
	for now := int64(0); now < 10_000; now += tailStepMS {
		if now%100 == 0 && !p.place(now+800) {
			waited++
		}
		in := p.step(now, 16*tailTaskMilli)
		machineMS += int64(len(in.Machines)) * tailStepMS
		p.emptying = map[string]bool{}
		for _, name := range empty(in) {
			p.emptying[name] = true
		}
		for _, m := range decide(in) {
			delete(p.ends, m.Machine)
		}
	}
	return machineMS, waited
}

// formerRelease is the former decision: machines leave once they have been idle for a second.
func formerRelease(in Input) []Move {
	idle := in
	idle.Machines = nil
	for _, m := range in.Machines {
		if m.IdleMS < releaseIdleMS {
			m.IdleMS = -1
		}
		idle.Machines = append(idle.Machines, m)
	}
	return Decide(idle)
}

// keepSurplus is a decision with KeepSurplus set.
func keepSurplus[T any](decide func(Input) []T) func(Input) []T {
	return func(in Input) []T {
		in.KeepSurplus = true
		return decide(in)
	}
}

// With KeepSurplus, every decision must be the former one.
func TestSurplusIsKeptAsBefore(t *testing.T) {
	before, waitedBefore := replayTail(formerRelease, func(Input) []string { return nil })
	after, waited := replayTail(keepSurplus(Decide), keepSurplus(Emptying))
	require.Equal(t, before, after)
	require.Equal(t, waitedBefore, waited)
	in := Input{Machines: testMachines(reassignIdleMS), Spare: "spare", MachineCapacity: size}
	in.Demand = map[string]Demand{"docks": {UnmetDemand: UnmetDemand{Overdue: workload.Resources{CPUMilli: 1000}}}}
	require.NotEqual(t, "spare", poolOf(in, Decide(in)[0].Machine))
	require.Equal(t, "spare", poolOf(in, keepSurplus(Decide)(in)[0].Machine))
}

func poolOf(in Input, machine string) string {
	for _, m := range in.Machines {
		if m.Name == machine {
			return m.Pool
		}
	}
	return ""
}

// Load pattern: the end of a burst, with long tasks spread over all machines and a little work
// that still arrives. At least half of the idle second before each release is saved, and no
// further task waits for it.
func TestPoolIsEmptiedAfterABurst(t *testing.T) {
	before, waitedBefore := replayTail(formerRelease, func(Input) []string { return nil })
	after, waited := replayTail(Decide, Emptying)
	t.Logf("machine-milliseconds: %d before, %d after; tasks that found no room: %d and %d", before, after, waitedBefore, waited)
	require.LessOrEqual(t, waited, waitedBefore)
	require.Less(t, after, before-(tailMachines-minPoolMachines)*releaseIdleMS/2)
}

// Guards against emptying in a pool whose work needs its machines, or waits.
func TestNeededMachinesAreNotEmptied(t *testing.T) {
	in := newTail(9).step(0, 0)
	require.Empty(t, Emptying(in), "all machines are full")
	in.Demand["docks"] = Demand{UsedMilli: 40_000}
	require.Len(t, Emptying(in), 5)
	in.Demand["docks"] = Demand{UsedMilli: 40_000, RateMilli: 250_000}
	require.Empty(t, Emptying(in), "work arrives")
	waiting := UnmetDemand{Waiting: workload.Resources{CPUMilli: 1000}}
	in.Demand["docks"] = Demand{UsedMilli: 40_000, UnmetDemand: waiting}
	require.Empty(t, Emptying(in), "work waits")
	in.Demand["docks"] = Demand{UsedMilli: 40_000, Labels: map[string]UnmetDemand{"gpu": waiting}}
	require.Empty(t, Emptying(in), "work waits for a label")
	in.Demand["docks"] = Demand{}
	in.Spare = ""
	require.Empty(t, Emptying(in), "there is no spare pool to release machines to")
}

// Load pattern: a burst of tasks that need more memory than processor time. By processor time
// alone the pool seems large enough, and its backlog grows while machines are off.
func TestBurstThatFillsMemoryGetsMachines(t *testing.T) {
	in := Input{Machines: testMachines(-1), Spare: "spare", MachineCapacity: size}
	demand := Demand{
		RateMilli: 100_000, UsedMilli: 100_000, UsedMemoryMiB: 9 * size.MemoryMiB,
		UnmetDemand: UnmetDemand{WorkMilliMS: 100_000_000, Waiting: workload.Resources{CPUMilli: 100_000, MemoryMiB: 9 * size.MemoryMiB}},
	}
	in.Demand = map[string]Demand{"docks": demand}
	require.NotEmpty(t, Decide(in))
	demand.UsedMemoryMiB, demand.Waiting.MemoryMiB = 0, 0
	in.Demand["docks"] = demand
	require.Empty(t, Decide(in), "the former decision, which counts processor time")
}
