package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Guards against a leader that can't take units back for jobs, since it does not
// hear what the entry acts on, and against an entry that acts on more than it stated.
func TestRequestStatesUnitsActedOn(t *testing.T) {
	h := newHolder()
	now := time.Unix(1000, 0)
	grant := func(units int) *wire.RenewReply {
		return &wire.RenewReply{Term: 1, LeaseMS: 2000, Grants: map[string]int{"a": units}}
	}
	acts := h.begin(now, 1, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 0}, acts)
	require.True(t, h.end(1, now, grant(2)))
	acts = h.begin(now, 2, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 2}, acts)
	acts = h.begin(now, 3, map[string]int{"a": 1}).granted
	require.Equal(t, map[string]int{"a": 1}, acts)
	require.True(t, h.end(2, now, grant(4)))
	require.Equal(t, 1, h.units(now, "a"), "request 3 stated that no more than 1 is acted on")
	require.True(t, h.end(3, now, grant(4)))
	require.Equal(t, 4, h.units(now, "a"))
	acts = h.begin(now.Add(lease.Duration), 4, map[string]int{"a": 5}).granted
	require.Equal(t, map[string]int{"a": 0}, acts, "a lapsed grant admits nothing")
}
