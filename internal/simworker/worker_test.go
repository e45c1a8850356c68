package simworker

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

func leased(now time.Time) *Worker {
	w := New(Config{Instance: "w1"}, nil, zerolog.Nop())
	w.leaderLease = now.Add(time.Minute)
	w.entryLease = now.Add(time.Minute)
	return w
}

func order(attempt int, policy fleet.PartitionPolicy) workerlink.TaskOrder {
	spec := &fleet.JobSpec{RunTimeMS: time.Hour.Milliseconds()}
	return workerlink.TaskOrder{Attempt: attempt, Spec: spec, OnPartition: policy}
}

// Guards against running an attempt twice when its start order is repeated, and against
// starting an attempt whose stop order arrived first.
func TestAttemptRunsOnce(t *testing.T) {
	now := time.Now()
	w := leased(now)
	w.startTask("a", order(1, ""), now)
	require.Equal(t, wire.TaskRunning, w.tasks["a"].state)
	w.controlTask("a", workerlink.TaskOrder{Attempt: 1}, wire.OrderStop)
	w.startTask("a", order(1, ""), now)
	require.Equal(t, wire.TaskStopped, w.tasks["a"].state)

	w.controlTask("b", workerlink.TaskOrder{Attempt: 1}, wire.OrderStop)
	w.startTask("b", order(1, ""), now)
	require.Equal(t, wire.TaskNotStarted, w.tasks["b"].state)
}

// Guards against tasks that run on after their lease has expired, and against a partition
// from the leader that stops watch tasks although the entry still renews their lease.
func TestLeaseEndStopsTasksByPolicy(t *testing.T) {
	now := time.Now()
	w := leased(now)
	w.startTask("stop", order(1, fleet.PartitionStop), now)
	w.startTask("keep", order(1, fleet.PartitionKeep), now)
	w.leaderLease = now
	w.enforceLeases(now)
	require.Equal(t, wire.TaskStopped, w.tasks["stop"].state)
	require.Equal(t, wire.TaskRunning, w.tasks["keep"].state)
	w.entryLease = now
	w.enforceLeases(now)
	require.Equal(t, wire.TaskStopped, w.tasks["keep"].state)
}

// Guards against tasks that start on a worker that has no lease or is draining.
func TestNoStartWithoutLeaseOrWhileDraining(t *testing.T) {
	now := time.Now()
	w := leased(now)
	w.leaderLease = now
	w.startTask("a", order(1, ""), now)
	require.Equal(t, wire.TaskNotStarted, w.tasks["a"].state)
	w.leaderLease = now.Add(time.Minute)
	w.drain()
	w.startTask("b", order(1, ""), now)
	require.Equal(t, wire.TaskNotStarted, w.tasks["b"].state)
}
