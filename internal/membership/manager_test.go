package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const silentMS = int64(2100)

// Guards against a change that costs the log its majority, and against a silent
// voter that is not replaced although a learner is available.
func TestPlanChange(t *testing.T) {
	voter := func(id uint64, silent int64) wire.MemberInfo { return wire.MemberInfo{ID: id, SilentMS: silent} }
	learner := func(id uint64, silent int64) wire.MemberInfo {
		return wire.MemberInfo{ID: id, Learner: true, SilentMS: silent}
	}
	at := func(m wire.MemberInfo, match uint64) wire.MemberInfo { m.Match = match; return m }
	leader := at(voter(1, 0), 1000)
	cases := map[string]struct {
		members []wire.MemberInfo
		want    *wire.MembershipChange
	}{
		"complete":                       {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 5)}, nil},
		"spare learner":                  {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 5), learner(4, 5)}, nil},
		"too few voters":                 {[]wire.MemberInfo{voter(1, 0), voter(2, 5), learner(4, 5)}, &wire.MembershipChange{Promote: 4}},
		"silent learner not promoted":    {[]wire.MemberInfo{voter(1, 0), voter(2, 5), learner(4, 5000)}, nil},
		"voter silent below the limit":   {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 1900), learner(4, 5)}, nil},
		"silent voter with a learner":    {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, silentMS), learner(4, 5)}, &wire.MembershipChange{Promote: 4}},
		"silent voter, replaced":         {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, silentMS), voter(4, 5)}, &wire.MembershipChange{Remove: 3}},
		"replaced voter, not yet silent": {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 1900), voter(4, 5)}, nil},
		"replaced voter is back":         {[]wire.MemberInfo{leader, at(voter(2, 5), 999), at(voter(3, 5), 990), at(voter(4, 5), 1000)}, &wire.MembershipChange{Remove: 3}},
		"the leader is behind":           {[]wire.MemberInfo{at(voter(1, 0), 10), at(voter(2, 5), 20), at(voter(3, 5), 20), at(voter(4, 5), 30)}, &wire.MembershipChange{Remove: 2}},
		"two voters":                     {[]wire.MemberInfo{voter(1, 0), voter(2, silentMS)}, nil},
		"more voters from the start":     {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 5), voter(4, 5), voter(5, silentMS)}, nil},
		"silent voter without learner":   {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, silentMS)}, nil},
		"silent voter, learner behind":   {[]wire.MemberInfo{leader, voter(2, 5), voter(3, silentMS), at(learner(4, 5), 900)}, nil},
		"silent voter, learner close":    {[]wire.MemberInfo{leader, voter(2, 5), voter(3, silentMS), at(learner(4, 5), 940)}, &wire.MembershipChange{Promote: 4}},
		"longest silent voter first":     {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 9000), voter(4, silentMS), voter(5, 5), voter(6, 5)}, &wire.MembershipChange{Remove: 3}},
		"most caught-up learner":         {[]wire.MemberInfo{leader, voter(2, 5), at(learner(4, 5), 990), at(learner(5, 5), 10)}, &wire.MembershipChange{Promote: 4}},
		"learner silent over the limit":  {[]wire.MemberInfo{voter(1, 0), voter(2, 5), voter(3, 5), learner(4, 40000)}, &wire.MembershipChange{Remove: 4}},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			got, _ := Policy{Voters: 3, SilenceLimit: 2 * time.Second}.PlanChange(tt.members, 1)
			require.Equal(t, tt.want, got)
		})
	}
}

// Guards against a store that votes under its previous identifier after it lost its
// data folder, and against first voters that derive different member lists.
func TestPlanStart(t *testing.T) {
	seeds := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	first, err := PlanStart(disk.OS{}, t.TempDir(), seeds[0], seeds, true)
	require.NoError(t, err)
	require.True(t, first.Initialize)
	second, err := PlanStart(disk.OS{}, t.TempDir(), seeds[1], seeds, true)
	require.NoError(t, err)
	require.Equal(t, first.Members, second.Members)
	require.NotEqual(t, first.ID, second.ID)

	other, err := PlanStart(disk.OS{}, t.TempDir(), "10.0.0.9:7000", seeds, true)
	require.NoError(t, err)
	require.True(t, other.Join)

	wiped, err := PlanStart(disk.OS{}, t.TempDir(), seeds[0], seeds, false)
	require.NoError(t, err)
	require.True(t, wiped.Join)
	require.False(t, wiped.Initialize)
	require.NotEqual(t, first.ID, wiped.ID)
}
