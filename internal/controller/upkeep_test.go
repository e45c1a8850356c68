package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// plan returns a copy of a maintenance plan.
func (r *rig) plan(name string) fleet.MaintenancePlan {
	var p fleet.MaintenancePlan
	r.log.Read(func(s *fleet.State) { p = s.Plans[name] })
	return p
}

// Checks that a maintenance plan ends, reboots each worker once, evicts a watch task,
// and waits for a task that is not idempotent instead of stopping it.
func TestMaintenanceRebootsEachWorkerOnce(t *testing.T) {
	r := newRig(t, 6, Options{})
	r.round(obey)
	watch := r.submit("watch", 1000, true)
	nonIdempotent := r.submit("normal", 1000, false)
	r.round(obey)
	r.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 20_000}})
	rounds := 0
	work := func(w *wire.WorkerState, o wire.Order) {
		obey(w, o)
		for i := range w.Tasks {
			if rounds == 40 && w.Tasks[i].JobID == nonIdempotent && w.Tasks[i].State == wire.TaskRunning {
				w.Tasks[i].State = wire.TaskDone
			}
		}
	}
	for r.plan("m").State != fleet.PlanDone {
		rounds++
		if rounds == 40 {
			for _, w := range r.workers {
				work(w, wire.Order{})
			}
		}
		require.Less(t, rounds, 200, "waiting for: %s", r.plan("m").WaitingFor)
		r.round(work)
	}
	for _, w := range r.workers {
		require.Equal(t, "1+", w.Incarnation)
	}
	require.Equal(t, fleet.JobDone, r.job(nonIdempotent).State)
	require.Equal(t, 1, r.job(nonIdempotent).Attempt)
	require.Greater(t, r.job(watch).Attempt, 1)
	require.Equal(t, fleet.JobAssigned, r.job(watch).State)
}

// Checks that a maintenance plan on backend servers ends, stays within its budget, and
// keeps each instance draining until no call can run on it any more.
func TestMaintenanceOfBackendServersWaitsForTheirReboot(t *testing.T) {
	r := newRig(t, 0, Options{})
	for _, name := range []string{"b0", "b1", "b2"} {
		r.change(fleet.ChangeItem{PutInstance: &fleet.Instance{Name: name, Pool: "p", DataCentre: "dc", Kind: fleet.KindBackend}})
		r.workers[name] = &wire.WorkerState{Instance: name, Incarnation: "1", Address: "x"}
	}
	r.round(obey)
	r.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 20_000}})
	drainedAt := map[string]fleet.Time{}
	for rounds := 0; r.plan("m").State != fleet.PlanDone; rounds++ {
		require.Less(t, rounds, 100, "waiting for: %s", r.plan("m").WaitingFor)
		if rounds == 20 {
			r.log.set(func() { r.log.leadership.Term++ })
		}
		r.round(obey)
		r.log.Read(func(s *fleet.State) {
			require.LessOrEqual(t, s.Unavailable("p"), 2)
			for name, w := range r.workers {
				st := s.Status[name]
				switch {
				case st.Phase == fleet.PhaseDraining:
					drainedAt[name] = st.PhaseSince
				case st.Phase == fleet.PhaseRebooting && w.Incarnation == "1":
					require.GreaterOrEqual(t, st.PhaseSince.Sub(drainedAt[name]), fleet.MaxCallTime+fleet.CallGracePeriod)
					w.Incarnation = "2"
				}
			}
		})
	}
	require.Empty(t, r.orders)
	for _, w := range r.workers {
		require.Equal(t, "2", w.Incarnation)
	}
}

// Checks that a worker which restarted just before a change of leader is not rebooted
// again.
func TestNewLeaderOrdersNoSecondReboot(t *testing.T) {
	r := newRig(t, 1, Options{})
	r.round(obey)
	r.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 20_000}})
	for rounds := 0; r.workers["w00"].Incarnation == "1"; rounds++ {
		require.Less(t, rounds, 20)
		r.round(obey)
	}
	r.log.set(func() { r.log.leadership.Term++ })
	for rounds := 0; r.plan("m").State != fleet.PlanDone; rounds++ {
		require.Less(t, rounds, 20)
		r.round(obey)
	}
	require.Equal(t, "1+", r.workers["w00"].Incarnation)
}

// Checks that an urgent job on a full pool starts within 6 s of its acceptance, and that
// no task that is not idempotent is stopped for it.
func TestUrgentStartsInTime(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		for _, checkpoints := range []bool{true, false} {
			name := fmt.Sprintf("idempotent %v, checkpoints %v", idempotent, checkpoints)
			t.Run(name, func(t *testing.T) {
				r := newRig(t, 2, Options{})
				r.round(obey)
				var full []string
				for range 2 {
					full = append(full, r.submit("normal", 4000, idempotent))
				}
				r.round(obey)
				cpu := int64(4000)
				if !idempotent {
					cpu = 2000
				}
				urgent := r.submit("urgent", cpu, true)
				accepted := r.log.Now()
				for !r.job(urgent).Started {
					require.Less(t, r.log.Now().Sub(accepted).Seconds(), 6.0)
					r.round(func(w *wire.WorkerState, o wire.Order) {
						if o.Kind != wire.OrderCheckpoint || checkpoints {
							obey(w, o)
						}
					})
				}
				for _, id := range full {
					require.True(t, idempotent || r.job(id).State == fleet.JobAssigned)
				}
			})
		}
	}
}

// Checks that a worker which fails every task is quarantined, that other jobs do not fail
// for good because of it, and that a job which fails on every worker is not retried
// without end.
func TestFailuresAreAttributed(t *testing.T) {
	r := newRig(t, 12, Options{Seed: 1})
	r.round(obey)
	poison := r.submit("normal", 100, true)
	var good []string
	work := func(w *wire.WorkerState, o wire.Order) {
		obey(w, o)
		for i := range w.Tasks {
			if w.Tasks[i].State != wire.TaskRunning {
				continue
			}
			w.Tasks[i].State = wire.TaskDone
			if w.Instance == "w00" || w.Tasks[i].JobID == poison {
				w.Tasks[i].State = wire.TaskFailed
			}
		}
	}
	for range 300 {
		for range 3 {
			good = append(good, r.submit("normal", 1500, true))
		}
		r.round(work)
	}
	require.Equal(t, fleet.JobFailed, r.job(poison).State, "%+v", r.job(poison))
	require.GreaterOrEqual(t, len(r.job(poison).FailedOn), 3)
	for _, id := range good[:600] {
		require.Equal(t, fleet.JobDone, r.job(id).State, id)
	}
	quarantined := []string{}
	r.log.Read(func(s *fleet.State) {
		for name, st := range s.Status {
			if st.QuarantinedUntil > 0 {
				quarantined = append(quarantined, name)
			}
		}
	})
	require.Equal(t, []string{"w00"}, quarantined)
	failedOnFaultyWorker := 0
	for _, id := range good {
		if slices.Contains(r.job(id).FailedOn, "w00") {
			failedOnFaultyWorker++
		}
	}
	require.Less(t, failedOnFaultyWorker, len(good)/10)
}
