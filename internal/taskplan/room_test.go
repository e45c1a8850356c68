package taskplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Load pattern: long-running tasks are to leave a worker while new ones arrive. The plan takes its
// room first, each task that moves takes some, and the bounds of its step hold.
func TestRoomForTasksThatMove(t *testing.T) {
	f := newFixture(3, workload.Team{})
	service := step(4, 2000)
	service.LongRunning, service.MaxPerWorker = true, 2
	others := f.workers
	f.workers = f.workers[:2]
	f.submit("service", "batch", "", now, service)
	f.apply(f.plan())
	f.submit("new", "batch", "", now, step(1, 3000))
	p, room := ComputeWithRoom(Input{State: f.state, NowMS: now, Workers: others[2:]})
	require.Len(t, p.Starts, 1)
	ref := func(i int) workload.TaskRef { return workload.TaskRef{Job: "service", Index: i} }
	require.True(t, room.Take(ref(0)))
	require.True(t, room.Take(ref(1)))
	require.False(t, room.Take(ref(2)), "a worker may have two of them")
	require.False(t, room.Take(workload.TaskRef{Job: "unknown"}))

	f.submit("more", "batch", "", now, step(1, 1000))
	p, room = ComputeWithRoom(Input{State: f.state, NowMS: now, Workers: others[2:], MaxStarts: 1})
	require.True(t, p.Truncated)
	require.False(t, room.Take(ref(0)), "the rest of the work comes first")
}

// Load pattern: a burst fills a pool while long-running tasks could move within it.
func TestRoomIsAmpleOnlyIfNothingNeedsIt(t *testing.T) {
	f := newFixture(2, workload.Team{})
	ample := func() bool {
		_, room := ComputeWithRoom(Input{State: f.state, NowMS: now, Workers: f.workers})
		return room.IsAmple("pool")
	}
	require.True(t, ample())
	f.submit("half", "batch", "", now, step(2, 4000))
	require.True(t, ample())
	f.submit("gang", "batch", "", now, workload.Step{Count: 3, Gang: true, Size: workload.Resources{CPUMilli: 4000}})
	require.False(t, ample(), "work waits")
	f.state.Apply(&workload.Command{Cancel: &workload.Cancel{ID: "gang", Queue: "batch"}}, now)
	f.submit("more", "batch", "", now, step(1, 4000))
	require.False(t, ample(), "a quarter is free")
	f.workers = nil
	require.False(t, ample())
}
