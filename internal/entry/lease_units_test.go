package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// TestRequestStatesUnitsActedOn guards against an entry that admits more units than
// its renewal request stated. The leader could then not take units back for jobs,
// since it would not know how many the entry uses.
func TestRequestStatesUnitsActedOn(t *testing.T) {
	l := newLeaseState()
	now := time.Unix(1000, 0)
	grant := func(units int) *wire.RenewReply {
		return &wire.RenewReply{Term: 1, LeaseMS: 2000, Grants: map[string]int{"a": units}}
	}
	stated := l.beginRenewal(now, 1, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 0}, stated)
	require.True(t, l.endRenewal(1, now, grant(2)))
	stated = l.beginRenewal(now, 2, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 2}, stated)
	stated = l.beginRenewal(now, 3, map[string]int{"a": 1}).granted
	require.Equal(t, map[string]int{"a": 1}, stated)
	require.True(t, l.endRenewal(2, now, grant(4)))
	require.Equal(t, 1, l.units(now, "a"), "request 3 stated that the entry uses no more than 1 unit")
	require.True(t, l.endRenewal(3, now, grant(4)))
	require.Equal(t, 4, l.units(now, "a"))
	stated = l.beginRenewal(now.Add(lease.Duration), 4, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 0}, stated, "an expired grant admits nothing")
}
