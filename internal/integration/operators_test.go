package integration

import (
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/harness"
)

// Guards against changes that are lost or reordered when every store restarts
// after several hundred changes, with snapshots in between.
func TestRestartAfterHundredsOfChanges(t *testing.T) {
	const changes = 300
	e := start(t, func(o *harness.Options) { o.SnapshotEntries = 100 })
	for i := range changes {
		require.NoError(t, e.setTeamLimit("porto", int64(100+i)))
	}
	before, err := e.op.Config(e.ctx)
	require.NoError(t, err)
	for _, s := range e.fleet.Stores {
		s.Kill()
	}
	for _, s := range e.fleet.Stores {
		require.NoError(t, s.Start())
	}
	after, err := e.op.Config(e.ctx)
	require.NoError(t, err)
	require.Equal(t, before.String(), after.String())
	e.check()
}

// Guards against two operators with equal revisions that both win, or both lose.
func TestRacingOperatorsOneWins(t *testing.T) {
	const rounds = 10
	e := start(t, nil)
	rivals := []*harness.Operator{
		harness.NewOperator("first", harness.NewBalancer(e.fleet.Entries, 5), e.record),
		harness.NewOperator("second", harness.NewBalancer(e.fleet.Entries, 6), e.record),
	}
	for round := range rounds {
		headers := make([]*samphireforkv1.ChangeHeader, len(rivals))
		for i, op := range rivals {
			var err error
			headers[i], err = op.Header(e.ctx)
			require.NoError(t, err)
		}
		require.Equal(t, headers[0].ExpectedRevision, headers[1].ExpectedRevision)
		errs := make([]error, len(rivals))
		var running sync.WaitGroup
		for i, op := range rivals {
			running.Go(func() { _, errs[i] = op.ApplyWithHeader(e.ctx, headers[i], limitItem(e, int64(40+round))) })
		}
		running.Wait()
		won := 0
		for _, err := range errs {
			if err == nil {
				won++
				continue
			}
			require.Equal(t, connect.CodeAborted, connect.CodeOf(err), "%v", err)
		}
		require.Equal(t, 1, won)
	}
	e.check()
}

// Guards against a change that is made twice, or refused, when its answer was
// lost and it is sent again through another entry, also after a leader change.
func TestResendReturnsFirstAnswer(t *testing.T) {
	e := start(t, nil)
	header, err := e.op.Header(e.ctx)
	require.NoError(t, err)
	first, err := e.op.ApplyWithHeader(e.ctx, header, limitItem(e, 41))
	require.NoError(t, err)
	require.NoError(t, e.setTeamLimit("porto", 42))
	e.leader().Kill()
	again, err := e.op.ApplyWithHeader(e.ctx, header, limitItem(e, 41))
	require.NoError(t, err)
	require.Equal(t, first.GetRevision(), again.GetRevision())
	require.True(t, again.GetResent())
	config, err := e.op.Config(e.ctx)
	require.NoError(t, err)
	for _, team := range config.GetTeams() {
		if team.GetName() == "porto" {
			require.EqualValues(t, 42, team.GetLimit())
		}
	}
}

func limitItem(e *env, limit int64) []*samphireforkv1.ChangeItem {
	share := int64(e.cfg.Teams["porto"].Share)
	put := &samphireforkv1.Team{Name: "porto", Share: share, Limit: limit}
	return []*samphireforkv1.ChangeItem{{Item: &samphireforkv1.ChangeItem_PutTeam{PutTeam: put}}}
}
