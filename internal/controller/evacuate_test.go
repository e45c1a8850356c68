package controller

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// newTwoCentreRig returns a rig whose workers with even numbers are in the data centre
// "other", and the rest in "dc".
func newTwoCentreRig(t *testing.T, n int, opts Options) *rig {
	r := newRig(t, n, opts)
	items := []fleet.ChangeItem{{PutDataCentre: &fleet.DataCentre{Name: "other"}}}
	for i := 0; i < n; i += 2 {
		in := fleet.Instance{Name: fmt.Sprintf("w%02d", i), Pool: "p", DataCentre: "other", Kind: fleet.KindWorker}
		items = append(items, fleet.ChangeItem{PutInstance: &in})
	}
	r.change(items...)
	return r
}

func (r *rig) evacuate(dataCentre string, end bool) {
	r.change(fleet.ChangeItem{Evacuate: &fleet.EvacuationRequest{DataCentre: dataCentre, End: end}})
}

// dataCentreOf returns the data centre of the job's worker.
func (r *rig) dataCentreOf(id string) string {
	worker := r.job(id).Worker
	dataCentre := ""
	r.log.Read(func(s *fleet.State) { dataCentre = s.Config.Instances[worker].DataCentre })
	return dataCentre
}

// Checks that no job starts in an evacuated data centre, also after a change of leader, while
// the jobs that run there end undisturbed, and that the data centre is used again once it is
// taken back. Without an evacuation the same load reaches both data centres.
func TestEvacuatedDataCentreGetsNoNewJobs(t *testing.T) {
	r := newTwoCentreRig(t, 6, Options{})
	r.round(obey)
	place := func() []string {
		var ids []string
		for range 6 {
			ids = append(ids, r.submit("normal", 2000, false))
		}
		r.round(obey)
		return ids
	}
	here := func(ids []string) int {
		n := 0
		for _, id := range ids {
			require.Equal(t, fleet.JobAssigned, r.job(id).State)
			if r.dataCentreOf(id) == "dc" {
				n++
			}
		}
		return n
	}
	before := place()
	running := here(before)
	require.Greater(t, running, 0)
	require.Less(t, running, 6)
	r.evacuate("dc", false)
	r.log.set(func() { r.log.leadership.Term++ })
	r.round(obey)
	r.orders = nil
	waiting := place()
	// Each data centre has room for six jobs.
	require.Equal(t, running, countAssigned(r, waiting))
	for _, o := range r.orders {
		if o.Kind == wire.OrderStart {
			require.Contains(t, []string{"w00", "w02", "w04"}, o.Worker)
		}
		require.NotEqual(t, wire.OrderStop, o.Kind)
		require.NotEqual(t, wire.OrderCheckpoint, o.Kind)
	}
	require.Equal(t, running, here(before), "a running job was moved")
	r.evacuate("dc", true)
	r.round(obey)
	require.Equal(t, 6-running, here(waiting))
}

func countAssigned(r *rig, ids []string) int {
	n := 0
	for _, id := range ids {
		if r.job(id).State == fleet.JobAssigned {
			n++
		}
	}
	return n
}

// Checks that watch tasks leave an evacuated data centre while no more workers than the
// availability budget are interrupted at a time, and that a task which can't be resumed
// stays.
func TestWatchTasksLeaveAnEvacuatedDataCentre(t *testing.T) {
	r := newTwoCentreRig(t, 8, Options{})
	r.round(obey)
	r.evacuate("other", false)
	var ids []string
	for i := range 4 {
		ids = append(ids, r.submit("watch", 3000, i > 0))
	}
	r.round(obey)
	require.Equal(t, 4, countAssigned(r, ids))
	r.evacuate("other", true)
	r.evacuate("dc", false)
	for rounds := 0; r.dataCentreOf(ids[1]) == "dc" || r.dataCentreOf(ids[2]) == "dc" || r.dataCentreOf(ids[3]) == "dc"; rounds++ {
		require.Less(t, rounds, 20)
		interrupted := map[string]bool{}
		r.orders = nil
		r.round(func(w *wire.WorkerState, o wire.Order) {
			if o.Kind == wire.OrderCheckpoint {
				interrupted[w.Instance] = true
			}
			obey(w, o)
		})
		require.LessOrEqual(t, len(interrupted), 2)
	}
	require.Equal(t, "dc", r.dataCentreOf(ids[0]))
	require.Equal(t, 1, r.job(ids[0]).Attempt)
	require.Equal(t, 4, countAssigned(r, ids))
}

// Checks that the spare pool makes up for the workers of an evacuated data centre, although
// it has more of its own workers there than it may have unavailable, and that no worker of
// the evacuated data centre is moved.
func TestPoolsMakeUpForAnEvacuatedDataCentre(t *testing.T) {
	r := newTwoCentreRig(t, 12, Options{})
	items := []fleet.ChangeItem{{PutPool: &fleet.Pool{Name: "spare", MaxUnavailable: 1, Spare: true}}}
	for i := 6; i < 12; i++ {
		dataCentre := "dc"
		if i%2 == 0 {
			dataCentre = "other"
		}
		in := fleet.Instance{Name: fmt.Sprintf("w%02d", i), Pool: "spare", DataCentre: dataCentre, Kind: fleet.KindWorker}
		items = append(items, fleet.ChangeItem{PutInstance: &in})
	}
	r.change(items...)
	for range 6 {
		r.submit("normal", 4000, true)
	}
	var moved []string
	r.log.beforeApply = func(cmd fleet.Command) {
		if cmd.Move != nil {
			moved = append(moved, cmd.Move.Instance)
		}
	}
	for range 60 {
		r.round(obey)
	}
	require.Empty(t, moved, "the pool has room for its load")
	r.evacuate("dc", false)
	for range 60 {
		r.round(obey)
	}
	require.NotEmpty(t, moved)
	for _, name := range moved {
		require.True(t, slices.Contains([]string{"w06", "w08", "w10"}, name), name)
	}
}

// Checks that a maintenance plan reboots the instances of an evacuated data centre, which
// nobody misses, and none elsewhere while the evacuation uses up the availability budget.
func TestMaintenanceSparesTheOtherDataCentres(t *testing.T) {
	r := newTwoCentreRig(t, 6, Options{})
	r.round(obey)
	r.evacuate("dc", false)
	r.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 20_000}})
	for range 60 {
		r.round(obey)
		r.log.Read(func(s *fleet.State) { require.LessOrEqual(t, s.Unavailable("p"), 2) })
	}
	require.Equal(t, []string{"w01", "w03", "w05"}, r.plan("m").Completed)
	require.NotEmpty(t, r.plan("m").WaitingFor)
	r.evacuate("dc", true)
	for rounds := 0; r.plan("m").State != fleet.PlanDone; rounds++ {
		require.Less(t, rounds, 60)
		r.round(obey)
	}
}
