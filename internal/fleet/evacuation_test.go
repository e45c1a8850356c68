package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func evacuate(dataCentre string) ChangeItem {
	return ChangeItem{Evacuate: &EvacuationRequest{DataCentre: dataCentre}}
}

func takeBack(dataCentre string) ChangeItem {
	return ChangeItem{Evacuate: &EvacuationRequest{DataCentre: dataCentre, End: true}}
}

// TestEvacuationStopsNewJobs guards against a job that is assigned to a worker of an
// evacuated data centre by a plan that was computed before, against a running job that loses
// its outcome, and against jobs of steps that follow another order.
func TestEvacuationStopsNewJobs(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(submit("running", "a", "q", true))
	fx.mustApply(submit("waiting", "a", "q", true))
	fx.mustApply(assign("running", "w0", "1"))
	fx.mustApply(fx.change(evacuate("dc")))
	require.True(t, fx.s.Workload.Evacuated("dc"))
	require.Equal(t, CodeStale, code(fx.apply(assign("waiting", "w1", "1"))))
	require.Equal(t, CodeStale, code(fx.apply(Command{Move: &PoolMove{Instance: "w1", From: "p", To: "spare"}})))
	fx.mustApply(outcome("running", 1, OutcomeDone))
	require.Equal(t, JobDone, fx.s.Jobs["running"].State)
	fx.mustApply(fx.change(takeBack("dc")))
	require.False(t, fx.s.Workload.Evacuated("dc"))
	fx.mustApply(assign("waiting", "w1", "1"))
}

// TestEvacuationIsIdempotent guards against a second order that fails or starts the
// evacuation anew, and against one of an unknown data centre that is accepted.
func TestEvacuationIsIdempotent(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(fx.change(takeBack("dc")))
	first := fx.change(evacuate("dc"))
	revision := fx.mustApply(first).Revision
	since := fx.s.Config.Evacuations["dc"].Since
	require.NotZero(t, since)
	require.Equal(t, Result{Revision: revision, Resent: true}, fx.apply(first))
	fx.mustApply(fx.change(evacuate("dc")))
	require.Equal(t, since, fx.s.Config.Evacuations["dc"].Since)
	require.EqualValues(t, since, fx.s.Workload.Evacuations["dc"].Since)
	require.Equal(t, []string{"data centre dc is evacuated already"}, fx.s.Audit[len(fx.s.Audit)-1].Summary)
	require.Equal(t, []string{"evacuate data centre dc"}, fx.s.Audit[len(fx.s.Audit)-2].Summary)
	fx.mustApply(fx.change(takeBack("dc")))
	fx.mustApply(fx.change(takeBack("dc")))
	require.Empty(t, fx.s.Config.Evacuations)
	for _, item := range []ChangeItem{evacuate("x"), takeBack("x"), {Delete: &EntityRef{entityEvacuation, "dc"}}} {
		require.Equal(t, CodeNotFound, code(fx.apply(fx.change(item))))
	}
}

// TestEvacuationEndsWithItsDataCentreOnly guards against an evacuation that a repeated
// declaration ends, and against one that outlives its data centre, which would evacuate a
// later one of the same name.
func TestEvacuationEndsWithItsDataCentreOnly(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(fx.change(ChangeItem{PutDataCentre: &DataCentre{Name: "new"}}))
	fx.mustApply(fx.change(evacuate("new"), ChangeItem{PutDataCentre: &DataCentre{Name: "new", Region: "r"}}))
	fx.mustApply(fx.change(ChangeItem{PutDataCentre: &DataCentre{Name: "new"}}))
	require.True(t, fx.s.Config.Evacuated("new"))
	fx.mustApply(fx.change(ChangeItem{Delete: &EntityRef{EntityDataCentre, "new"}}))
	require.Contains(t, fx.s.Audit[len(fx.s.Audit)-1].Summary, "end the evacuation of data centre new")
	fx.mustApply(fx.change(ChangeItem{PutDataCentre: &DataCentre{Name: "new"}}))
	require.False(t, fx.s.Config.Evacuated("new"))
	require.False(t, fx.s.Workload.Evacuated("new"))
}

// TestEvacuationReachesReplicasAndEntries guards against an evacuation that a restart of the
// stores ends, and against a delta that leaves it out or changes the copy of a reader.
func TestEvacuationReachesReplicasAndEntries(t *testing.T) {
	fx := newFixture(t)
	held := fx.s.Config.Clone()
	fx.mustApply(fx.change(evacuate("dc")))
	data, err := fx.s.EncodeSnapshot()
	require.NoError(t, err)
	restored, err := DecodeSnapshot(data)
	require.NoError(t, err)
	require.True(t, restored.Config.Evacuated("dc"))
	require.True(t, restored.Workload.Evacuated("dc"))
	delta, ok := fx.s.ConfigSince(held.Revision)
	require.True(t, ok)
	held, _ = held.WithDelta(delta)
	require.True(t, held.Evacuated("dc"))
	fx.mustApply(fx.change(takeBack("dc")))
	delta, ok = fx.s.ConfigSince(held.Revision)
	require.True(t, ok)
	ended, _ := held.WithDelta(delta)
	require.False(t, ended.Evacuated("dc"))
	require.True(t, held.Evacuated("dc"), "a copy that a reader holds was changed")
}

// TestNoEvacuationLeavesTheFormatAsItWas guards against snapshots and leased copies that a
// process of an earlier build reads in another way although nothing is evacuated.
func TestNoEvacuationLeavesTheFormatAsItWas(t *testing.T) {
	fx := newFixture(t)
	without, err := encMode.Marshal(fx.s.Config)
	require.NoError(t, err)
	fx.mustApply(fx.change(evacuate("dc")))
	with, err := encMode.Marshal(fx.s.Config)
	require.NoError(t, err)
	var keys map[int]any
	require.NoError(t, decMode.Unmarshal(without, &keys))
	require.NotContains(t, keys, 9)
	require.NoError(t, decMode.Unmarshal(with, &keys))
	require.Contains(t, keys, 9)
}
