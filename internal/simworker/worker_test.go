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

// Guards against a second run of an attempt whose start order was repeated, and
// against a start that arrives after its stop.
func TestAttemptRunsOnce(t *testing.T) {
	now := time.Now()
	w := leased(now)
	w.startTask("a", order(1, ""), now)
	require.Equal(t, wire.TaskRunning, w.tasks["a"].state)
	w.control("a", workerlink.TaskOrder{Attempt: 1}, wire.OrderStop)
	w.startTask("a", order(1, ""), now)
	require.Equal(t, wire.TaskStopped, w.tasks["a"].state)

	w.control("b", workerlink.TaskOrder{Attempt: 1}, wire.OrderStop)
	w.startTask("b", order(1, ""), now)
	require.Equal(t, wire.TaskNotStarted, w.tasks["b"].state)
}

// Guards against tasks that outlive their lease, and against watch tasks that a
// partition stops although the entry is still in contact.
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

// Guards against work that begins on a worker without a lease or while it drains.
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
