package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// stalled answers with one entry that names what was requested.
func (s *fakeStore) stalled(_ context.Context, req wire.Request) (any, error) {
	var msg wire.StalledRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	detail := msg.Queue
	if msg.AllTeams {
		detail = "all teams"
	}
	return wire.StalledReply{NowMS: 5000, Stalls: []stall.Stall{{Team: msg.Team, Detail: detail, Reason: stall.TeamLimit, SinceMS: 1000}}}, nil
}

// Guards against a team that sees the stalled work of another one, and against callers
// without a key that see any.
func TestStalledWorkIsThatOfTheKey(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	got, err := te.call(http.MethodGet, api.PathStalled+"?queue=nightly&team=blue", "", api.HeaderKey, testKey)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.status)
	var list api.StalledList
	require.NoError(t, json.Unmarshal(got.body, &list))
	require.Len(t, list.Stalled, 1)
	require.Equal(t, "red", list.Stalled[0].Team)
	require.Equal(t, "nightly", list.Stalled[0].Detail)
	require.EqualValues(t, 4000, list.Stalled[0].StalledMS)
	for _, key := range []string{"", "k1.wrong", "k9.secret"} {
		got, err = te.call(http.MethodGet, api.PathStalled, "", api.HeaderKey, key)
		require.NoError(t, err)
		require.Equal(t, http.StatusUnauthorized, got.status)
	}
}
