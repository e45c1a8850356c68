package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func renewed(term uint64, revision fleet.Revision, units int) *wire.RenewReply {
	return &wire.RenewReply{
		Term: term, LeaseMS: 2000, Revision: revision,
		Config: &fleet.Config{Revision: revision}, Grants: map[string]int{"a": units},
	}
}

// Guards against a lease that counts from the reply, replies of a former leader,
// a configuration that reverts, and admission beyond what the leader may have
// lowered the grant to.
func TestHolder(t *testing.T) {
	sent := time.Unix(1000, 0)
	wanted := map[string]int{"a": 9}
	h := newHolder()
	valid := func(at time.Time) bool { _, ok := h.view(at); return ok }
	revision := func() fleet.Revision { config, _ := h.view(sent); return config.Revision }

	require.False(t, valid(sent))
	h.begin(sent, 1, wanted)
	require.True(t, h.end(1, sent, renewed(2, 5, 4)))
	require.True(t, valid(sent.Add(1900*time.Millisecond)))
	require.False(t, valid(sent.Add(2*time.Second)))
	require.Equal(t, 4, h.units(sent, "a"))
	require.Zero(t, h.units(sent.Add(2*time.Second), "a"))

	h.begin(sent, 2, map[string]int{"a": 1})
	require.Equal(t, 1, h.units(sent, "a"), "the leader may have lowered the grant")
	h.end(2, sent, nil)
	require.Equal(t, 1, h.units(sent, "a"), "a lost reply may have lowered it as well")
	h.begin(sent, 3, wanted)
	h.begin(sent, 4, wanted)
	require.True(t, h.end(4, sent, renewed(2, 6, 7)))
	require.Equal(t, 7, h.units(sent, "a"))
	require.True(t, h.end(3, sent.Add(time.Second), renewed(2, 5, 9)))
	require.Equal(t, 7, h.units(sent, "a"), "an overtaken reply changes no grant")
	require.EqualValues(t, 6, revision(), "the configuration does not revert")

	h.begin(sent, 5, wanted)
	require.False(t, h.end(5, sent.Add(time.Minute), renewed(1, 9, 9)), "a former leader")
	require.False(t, valid(sent.Add(time.Minute)))
	h.begin(sent, 6, wanted)
	stale := renewed(2, 9, 9)
	stale.Config = nil
	require.False(t, h.end(6, sent.Add(time.Minute), stale), "no lease on a revision that is not here")
	for seq := uint64(7); seq < 100; seq++ {
		h.begin(sent, seq, map[string]int{"a": 2})
		h.end(seq, sent, nil)
	}
	require.LessOrEqual(t, len(h.asked), askedLimit)
	require.Equal(t, 2, h.units(sent, "a"))
}

// Guards against an entry of a new fleet that never becomes ready.
func TestHolderOfNewFleet(t *testing.T) {
	h := newHolder()
	require.True(t, h.end(1, time.Unix(1000, 0), &wire.RenewReply{Term: 1, LeaseMS: 2000}))
	config, ok := h.view(time.Unix(1000, 0))
	require.True(t, ok)
	require.NotNil(t, config)
}
