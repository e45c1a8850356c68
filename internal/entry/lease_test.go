package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func renewReply(term uint64, revision fleet.Revision, units int) *wire.RenewReply {
	return &wire.RenewReply{
		Term: term, LeaseMS: 2000, Revision: revision,
		Config: &fleet.Config{Revision: revision}, Grants: map[string]int{"a": units},
	}
}

// TestLeaseState guards against a lease that counts from the reply, against
// accepting the reply of a former leader, against a configuration that reverts to
// an older one, and against admitting more than a grant that the leader may have
// lowered.
func TestLeaseState(t *testing.T) {
	sent := time.Unix(1000, 0)
	wanted := map[string]int{"a": 9}
	l := newLeaseState()
	valid := func(at time.Time) bool { _, ok := l.view(at); return ok }
	revision := func() fleet.Revision { config, _ := l.view(sent); return config.Revision }

	require.False(t, valid(sent))
	l.beginRenewal(sent, 1, wanted)
	require.True(t, l.endRenewal(1, sent, renewReply(2, 5, 4)))
	require.True(t, valid(sent.Add(1900*time.Millisecond)))
	require.False(t, valid(sent.Add(2*time.Second)))
	require.Equal(t, 4, l.units(sent, "a"))
	require.Zero(t, l.units(sent.Add(2*time.Second), "a"))

	l.beginRenewal(sent, 2, map[string]int{"a": 1})
	require.Equal(t, 1, l.units(sent, "a"), "the leader may have lowered the grant")
	l.endRenewal(2, sent, nil)
	require.Equal(t, 1, l.units(sent, "a"), "the leader may have lowered the grant although its reply was lost")
	l.beginRenewal(sent, 3, wanted)
	l.beginRenewal(sent, 4, wanted)
	require.True(t, l.endRenewal(4, sent, renewReply(2, 6, 7)))
	require.Equal(t, 7, l.units(sent, "a"))
	require.True(t, l.endRenewal(3, sent.Add(time.Second), renewReply(2, 5, 9)))
	require.Equal(t, 7, l.units(sent, "a"), "the reply to an older request changes no grant")
	require.EqualValues(t, 6, revision(), "the configuration does not revert")

	l.beginRenewal(sent, 5, wanted)
	require.False(t, l.endRenewal(5, sent.Add(time.Minute), renewReply(1, 9, 9)), "the reply of a former leader is rejected")
	require.False(t, valid(sent.Add(time.Minute)))
	l.beginRenewal(sent, 6, wanted)
	stale := renewReply(2, 9, 9)
	stale.Config = nil
	require.False(t, l.endRenewal(6, sent.Add(time.Minute), stale), "a reply for a revision that the entry does not have extends no lease")
	for seq := uint64(7); seq < 100; seq++ {
		l.beginRenewal(sent, seq, map[string]int{"a": 2})
		l.endRenewal(seq, sent, nil)
	}
	require.LessOrEqual(t, len(l.unanswered), maxUnanswered)
	require.Equal(t, 2, l.units(sent, "a"))
}

// TestLeaseStateOfNewFleet guards against an entry of a new fleet that never
// becomes ready.
func TestLeaseStateOfNewFleet(t *testing.T) {
	l := newLeaseState()
	require.True(t, l.endRenewal(1, time.Unix(1000, 0), &wire.RenewReply{Term: 1, LeaseMS: 2000}))
	config, ok := l.view(time.Unix(1000, 0))
	require.True(t, ok)
	require.NotNil(t, config)
}
