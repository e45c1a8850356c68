package controller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Checks that Run neither returns nor acts while the store does not lead, that it acts
// once the store is elected, and that it returns when its context ends.
func TestRunFollowsLeadership(t *testing.T) {
	defer goleak.VerifyNone(t)
	r := newRig(t, 1, Options{})
	id := r.submit("normal", 1000, true)
	r.log.leadership.Leading = false
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.c.Run(ctx) }()
	rep := wire.WorkerReport{Entry: "e", Workers: []wire.WorkerState{*r.workers["w00"]}}
	_, err := r.c.Report(ctx, rep)
	require.Error(t, err)
	require.Equal(t, fleet.JobQueued, r.job(id).State)
	r.log.mu.Lock()
	r.log.leadership = fleet.Leadership{Term: 5, Leading: true}
	r.log.mu.Unlock()
	orders, err := r.c.Report(ctx, rep)
	require.NoError(t, err)
	require.Equal(t, uint64(5), orders.Term)
	require.Eventually(t, func() bool { return r.job(id).State == fleet.JobAssigned }, 20*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// Checks that Run continues after the log has refused a command.
func TestRunContinuesAfterFailedProposal(t *testing.T) {
	r := newRig(t, 1, Options{})
	id := r.submit("normal", 1000, true)
	r.log.failNext = 1
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.c.Run(ctx) }()
	_, err := r.c.Report(ctx, wire.WorkerReport{Entry: "e", Workers: []wire.WorkerState{*r.workers["w00"]}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return r.job(id).State == fleet.JobAssigned }, 20*time.Second, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}

// Checks that no job is placed on a worker that has not reported to the new leader or
// that is draining, and that the worker is ordered to undrain when the drain ends.
func TestPlacesOnlyOnReportingActiveWorkers(t *testing.T) {
	r := newRig(t, 2, Options{})
	r.round(obey)
	r.silent["w00"] = true
	r.log.leadership.Term = 2
	r.change(fleet.ChangeItem{Drain: &fleet.DrainRequest{Instance: "w01"}})
	id := r.submit("normal", 1000, true)
	for range 3 {
		r.round(obey)
	}
	require.Equal(t, fleet.JobQueued, r.job(id).State)
	r.change(fleet.ChangeItem{Drain: &fleet.DrainRequest{Instance: "w01", Undo: true}})
	r.round(obey)
	require.Equal(t, "w01", r.job(id).Worker)
	last := wire.OrderKind("")
	for _, o := range r.orders {
		if o.Kind == wire.OrderDrain || o.Kind == wire.OrderUndrain {
			last = o.Kind
		}
	}
	require.Equal(t, wire.OrderUndrain, last)
}

// Checks that the outcomes of many jobs that end at once are committed in several
// commands. As one command they are too large for the log, so none would be committed.
func TestManyOutcomesAreCommittedInParts(t *testing.T) {
	const jobs = maxCommandElements + 500
	r := newRig(t, 1, Options{})
	r.workers["w00"].Capacity = fleet.Resources{CPUMilli: 1 << 30, MemoryMiB: 1 << 30}
	r.round(obey)
	r.change(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: jobs}},
		fleet.ChangeItem{PutQueue: &fleet.Queue{Name: "normal", Pool: "p", Class: fleet.ClassNormal, MaxQueuedPerTeam: jobs}})
	for range jobs {
		r.submit("normal", 1, true)
	}
	for range 3 {
		r.round(obey)
	}
	require.Len(t, r.workers["w00"].Tasks, jobs)
	obeyAndEnd(wire.TaskDone)(r.workers["w00"], wire.Order{})
	largest := 0
	r.log.beforeApply = func(cmd fleet.Command) {
		if cmd.Outcome != nil {
			largest = max(largest, len(cmd.Outcome.Outcomes))
		}
	}
	r.round(obey)
	r.log.Read(func(s *fleet.State) {
		for id, j := range s.Jobs {
			require.Equal(t, fleet.JobDone, j.State, id)
		}
	})
	require.Equal(t, maxCommandElements, largest)
}

// BenchmarkSecond measures one second of the leader at the design size: 2,000 workers
// report 10,000 tasks through 40 entries, with 10 passes and one new job in each.
func BenchmarkSecond(b *testing.B) {
	r := newRig(b, 2000, Options{})
	r.change(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: 100_000}})
	simulateSecond := func(jobs int) {
		for e := range 40 {
			rep := wire.WorkerReport{Entry: fmt.Sprint("e", e)}
			for i := e; i < 2000; i += 40 {
				w := *r.workers[fmt.Sprintf("w%02d", i)]
				w.Tasks = append([]wire.TaskReport(nil), w.Tasks...)
				rep.Workers = append(rep.Workers, w)
			}
			orders, err := r.c.Report(context.Background(), rep)
			require.NoError(b, err)
			r.carryOut(orders.Orders, obey)
		}
		for range 10 {
			for range jobs {
				r.submit("normal", 100, true)
			}
			r.advance(100 * time.Millisecond)
			require.NoError(b, r.c.Pass(context.Background()))
		}
		r.orders = nil
	}
	for range 10 {
		simulateSecond(100)
	}
	b.ResetTimer()
	for range b.N {
		simulateSecond(1)
	}
}

// Checks that unknown keys and policies are refused, and that jobs are completed under
// the last, baseline policy of each key.
func TestPoliciesByName(t *testing.T) {
	var unknown *UnknownPolicyError
	require.ErrorAs(t, CheckPolicies(map[string]string{PolicyShare: "drff"}), &unknown)
	require.ErrorAs(t, CheckPolicies(map[string]string{"shares": "drf"}), &unknown)
	base := map[string]string{}
	for key, names := range policyNames {
		base[key] = names[len(names)-1]
	}
	require.NoError(t, CheckPolicies(base))
	r := newRig(t, 3, Options{Policies: base})
	r.round(obey)
	id := r.submit("normal", 1000, true)
	for range 3 {
		r.round(obeyAndEnd(wire.TaskDone))
	}
	require.Equal(t, fleet.JobDone, r.job(id).State)
}
