package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// obeyAndEnd carries out orders as obey does, and ends each running task with the given
// state.
func obeyAndEnd(state wire.TaskState) func(*wire.WorkerState, wire.Order) {
	return func(w *wire.WorkerState, o wire.Order) {
		obey(w, o)
		for i := range w.Tasks {
			if w.Tasks[i].State == wire.TaskRunning {
				w.Tasks[i].State = state
				w.Tasks[i].Result = []byte("r")
			}
		}
	}
}

// Checks that a job is started, that its result is committed, and that the report of
// its end is acknowledged.
func TestJobRunsToItsResult(t *testing.T) {
	r := newRig(t, 2, Options{})
	r.round(obey)
	id := r.submit("normal", 1000, false)
	for range 3 {
		r.round(obeyAndEnd(wire.TaskDone))
	}
	j := r.job(id)
	require.Equal(t, fleet.JobDone, j.State)
	require.Equal(t, 1, j.Attempt)
	require.Equal(t, []byte("r"), j.Result)
	for _, w := range r.workers {
		require.Empty(t, w.Tasks, "the outcome was not acknowledged")
	}
}

// Checks that no start order is given before the assignment is committed.
func TestStartOnlyAfterCommit(t *testing.T) {
	r := newRig(t, 2, Options{})
	r.round(obey)
	r.submit("normal", 1000, false)
	r.log.beforeApply = func(cmd fleet.Command) {
		if cmd.Assign == nil {
			return
		}
		for _, o := range r.orders {
			require.NotEqual(t, wire.OrderStart, o.Kind)
		}
	}
	r.round(obey)
	require.True(t, slices.ContainsFunc(r.orders, func(o wire.Order) bool { return o.Kind == wire.OrderStart }))
}

// Checks that a lost start order is sent again, but not with every reply.
func TestLostStartOrderIsRepeated(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.round(obey)
	id := r.submit("normal", 1000, false)
	starts := 0
	lose := func(w *wire.WorkerState, o wire.Order) {
		if o.Kind != wire.OrderStart {
			return
		}
		starts++
		if starts == 3 {
			obey(w, o)
		}
	}
	for range 8 {
		r.round(lose)
	}
	require.Equal(t, 3, starts)
	require.True(t, r.job(id).Started)
	require.Equal(t, 1, r.job(id).Attempt)
}

// Checks that a follower refuses reports and returns the address of the leader.
func TestFollowerRefusesReports(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.log.leadership = fleet.Leadership{Leader: "there", Term: 2}
	_, err := r.c.Report(context.Background(), wire.WorkerReport{Entry: "e"})
	var body *wire.ErrorBody
	require.ErrorAs(t, err, &body)
	require.Equal(t, wire.CodeNotLeader, body.Code)
	require.Equal(t, "there", body.Leader)
}

// Checks that a worker that does not report is declared lost and its job queued again,
// that a watch task which is kept on a partition stays assigned, and that a new leader
// counts the missing reports only from its election.
func TestSilentWorkerIsLost(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.round(obey)
	normal, watch := r.submit("normal", 1000, true), r.submit("watch", 1000, true)
	r.round(obey)
	r.silent["w00"] = true
	for range 4 {
		r.round(obey)
	}
	r.log.leadership.Term = 2
	for range 6 {
		r.round(obey)
	}
	require.Equal(t, fleet.JobAssigned, r.job(normal).State, "lost before the new leader waited")
	r.round(obey)
	require.Equal(t, fleet.JobQueued, r.job(normal).State)
	require.Equal(t, fleet.JobAssigned, r.job(watch).State)
	r.silent["w00"] = false
	for range 3 {
		r.round(obey)
	}
	require.Equal(t, 2, r.job(normal).Attempt)
	require.Equal(t, 1, r.job(watch).Attempt)
}

// Checks that a single late report of an earlier process does not end the tasks of the
// present one, and that a restart is noticed.
func TestRestartNeedsConfirmation(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.round(obey)
	id := r.submit("normal", 1000, true)
	r.round(obey)
	stale := wire.WorkerState{Instance: "w00", Incarnation: "0", Capacity: capacity}
	_, err := r.c.Report(context.Background(), wire.WorkerReport{Entry: "e", Workers: []wire.WorkerState{stale}})
	require.NoError(t, err)
	r.round(obey)
	require.Equal(t, 1, r.job(id).Attempt)
	r.workers["w00"].Incarnation, r.workers["w00"].Tasks = "2", nil
	for range 4 {
		r.round(obey)
	}
	require.Equal(t, 2, r.job(id).Attempt)
	require.Equal(t, "2", r.job(id).WorkerIncarnation)
}

// Checks that a running job is stopped when it is cancelled.
func TestCancelledJobIsStopped(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.round(obey)
	id := r.submit("normal", 1000, false)
	r.round(obey)
	r.propose(fleet.Command{Cancel: &fleet.JobCancel{ID: id, Team: "a"}})
	for range 3 {
		r.round(obey)
	}
	require.Equal(t, fleet.JobCancelled, r.job(id).State)
}

// Checks that a held reply is sent as soon as there are orders, and without orders when
// its time limit has passed.
func TestHeldReplyEndsWithOrders(t *testing.T) {
	r := newRig(t, 1, Options{})
	for range 4 {
		r.round(obey)
	}
	r.submit("normal", 1000, false)
	got := make(chan *wire.WorkerOrders, 1)
	go func() {
		orders, _ := r.c.Report(context.Background(), wire.WorkerReport{Entry: "e", HoldMS: 60_000})
		got <- orders
	}()
	require.Eventually(t, func() bool {
		require.NoError(t, r.c.Pass(context.Background()))
		return len(got) == 1
	}, 20*time.Second, time.Millisecond)
	require.Len(t, (<-got).Orders, 1)
	empty, err := r.c.Report(context.Background(), wire.WorkerReport{Entry: "e", HoldMS: 1})
	require.NoError(t, err)
	require.Empty(t, empty.Orders)
}

// Checks that large payloads and results are split over several replies and commands,
// none of which exceeds maxReplyBytes, and that all are sent in the end.
func TestLargePayloadsAreSplit(t *testing.T) {
	r := newRig(t, 8, Options{})
	r.round(obey)
	var ids []string
	for range 30 {
		id := r.submit("normal", 1000, false)
		r.log.state.Jobs[id].Spec.Payload = make([]byte, 60<<10)
		ids = append(ids, id)
	}
	r.log.beforeApply = func(cmd fleet.Command) {
		size := 0
		if cmd.Outcome != nil {
			for _, o := range cmd.Outcome.Outcomes {
				size += len(o.Result)
			}
		}
		require.LessOrEqual(t, size, maxReplyBytes)
	}
	size := 0
	work := func(w *wire.WorkerState, o wire.Order) {
		if o.Spec != nil {
			size += len(o.Spec.Payload)
		}
		obeyAndEnd(wire.TaskDone)(w, o)
		for i := range w.Tasks {
			w.Tasks[i].Result = make([]byte, 60<<10)
		}
	}
	for range 5 {
		r.round(work)
	}
	require.Equal(t, 30*60<<10, size)
	for _, id := range ids {
		require.Equal(t, fleet.JobDone, r.job(id).State)
	}
}
