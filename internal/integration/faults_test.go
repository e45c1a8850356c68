package integration

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
)

// Guards against lost jobs, doubled calls and reverted changes when the leader
// is killed under load, and against a killed store that does not come back.
func TestLeaderKilledUnderLoad(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	old := e.leader()
	old.Kill()
	require.NoError(t, e.setTeamLimit("porto", 31))
	require.NoError(t, old.Start())
	require.NoError(t, e.setTeamLimit("porto", 32))
	e.run(settleTime)
	e.check()
}

// Guards against a leader that acts on its old term after SIGSTOP and SIGCONT
// past its lease.
func TestFrozenLeaderResumes(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	old := e.leader()
	require.NoError(t, old.Pause())
	e.run(settleTime)
	require.NoError(t, e.setTeamLimit("porto", 31))
	successorTerm := e.term()
	require.NoError(t, old.Resume())
	e.run(settleTime)
	// Beside other load, the successor may lose the leadership and the resumed store win the
	// election after it.
	if e.leader().Name == old.Name {
		require.Greater(t, e.term(), successorTerm, "the resumed store took leadership back without an election")
	}
	e.check()
}

// Guards against a data centre that breaks a promise while it is cut off, or
// serves nothing at all.
func TestDataCentreCut(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	require.NoError(t, e.fleet.SetFaults(e.ctx, e.fleet.IsolationRules("dc3")...))
	cutAt := time.Now().UnixNano()
	e.run(2 * settleTime)
	healedAt := time.Now().UnixNano()
	require.NoError(t, e.fleet.SetFaults(e.ctx))
	e.run(settleTime)
	e.check()
	require.Positive(t, e.servedBetween(cutAt+int64(settleTime), healedAt, "dc3"), "the cut-off data centre served no open call")
}

// servedBetween counts the calls that backend servers of a data centre began.
func (e *env) servedBetween(from, to int64, dataCentre string) int {
	served := 0
	for _, path := range e.fleet.HistoryFiles() {
		events, err := history.Read(path)
		require.NoError(e.t, err)
		for _, ev := range events {
			here := e.cfg.Instances[ev.Actor].DataCentre == dataCentre
			if here && ev.Kind == history.Start && ev.UnixNS > from && ev.UnixNS < to {
				served++
			}
		}
	}
	return served
}

// Guards against a key that goes on working in a data centre which did not hear
// that it was withdrawn.
func TestKeyWithdrawnDuringCut(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	require.NoError(t, e.fleet.SetFaults(e.ctx, e.fleet.IsolationRules("dc3")...))
	majority := append(e.fleet.EntriesOf("dc1"), e.fleet.EntriesOf("dc2")...)
	op := harness.NewOperator("majority", harness.NewBalancer(majority, 2), e.record)
	for _, team := range harness.SortedKeys(e.cfg.Teams) {
		require.NoError(t, op.WithdrawKey(e.ctx, e.keys[team].ID))
	}
	e.run(2 * settleTime)
	rows := e.check()
	require.Positive(t, rows[2].Observed, "no request was sent with a withdrawn key")
}

// Guards against acknowledged changes and jobs that vanish when a store loses
// its disk and a second one is lost right after the repair.
func TestLostDiskThenSecondLoss(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	lost := e.fleet.Stores[2]
	if e.leader() == lost {
		lost = e.fleet.Stores[1]
	}
	lost.Kill()
	require.NoError(t, os.RemoveAll(lost.Folder+"/data-"+memberID(e, lost)))
	require.NoError(t, e.setTeamLimit("porto", 30))
	replace(e, lost, 9)
	require.NoError(t, e.setTeamLimit("porto", 31))

	second := e.leader()
	second.Kill()
	require.NoError(t, e.setTeamLimit("porto", 32))
	config, err := e.op.Config(e.ctx)
	require.NoError(t, err)
	for _, team := range config.GetTeams() {
		require.EqualValues(t, e.cfg.Teams[team.GetName()].Limit, team.GetLimit())
	}
	e.run(settleTime)
	e.check()
}

func memberID(e *env, store *harness.Process) string {
	for i, s := range e.fleet.Stores {
		if s == store {
			return string(rune('1' + i))
		}
	}
	return ""
}

// replace starts the store with an empty disk under a new member identifier and
// swaps it for its former self.
func replace(e *env, store *harness.Process, id uint64) {
	e.t.Helper()
	require.NoError(e.t, store.Configure(e.fleet.StoreSettings(store, id, true)))
	require.NoError(e.t, store.Start())
	members, err := e.op.Members(e.ctx, &samphireforkv1.MembershipRequest{Action: &samphireforkv1.MembershipRequest_List{}})
	require.NoError(e.t, err)
	var old uint64
	for _, m := range members {
		if m.GetInstance() == store.Name {
			old = m.GetId()
		}
	}
	learner := &samphireforkv1.Member{Id: id, Instance: store.Name, DataCentre: store.DataCentre, Address: store.Advertised}
	for _, step := range []*samphireforkv1.MembershipRequest{
		{Action: &samphireforkv1.MembershipRequest_AddLearner{AddLearner: learner}},
		{Action: &samphireforkv1.MembershipRequest_Promote{Promote: id}},
		{Action: &samphireforkv1.MembershipRequest_Remove{Remove: old}},
	} {
		_, err := e.op.Members(e.ctx, step)
		require.NoError(e.t, err)
	}
}
