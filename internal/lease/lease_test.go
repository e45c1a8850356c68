package lease

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Fixes the seed, so that each run checks the same cases. -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1000, 0)

// Checks that a lease expires at its holder no later than at the granter, under
// message delay and clock drift.
func TestLeaseExpiresAtHolderFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ppm := rapid.IntRange(-400, 400).Draw(rt, "holder clock rate in ppm")
		toHolder := func(d time.Duration) time.Duration { return d + d*time.Duration(ppm)/1e6 }
		var h Holder
		g := NewGranter(Duration, start)
		at := time.Duration(0)
		for range rapid.IntRange(1, 10).Draw(rt, "renewals") {
			sent := at
			at += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "request ms")) * time.Millisecond
			g.RecordGrant("e", start.Add(at))
			at += time.Duration(rapid.IntRange(0, 1500).Draw(rt, "reply ms")) * time.Millisecond
			h.Renew(1, start.Add(toHolder(sent)), Duration)
			expiry := g.Expiry("e").Sub(start)
			require.False(rt, h.Valid(start.Add(toHolder(expiry))))
		}
	})
}

// Checks that the reply of a replaced leader does not extend the lease, and that
// a reply that arrives out of order does not shorten it.
func TestHolder(t *testing.T) {
	var h Holder
	require.False(t, h.Valid(start))
	require.True(t, h.Renew(2, start, Duration))
	require.False(t, h.Renew(1, start.Add(time.Hour), Duration))
	require.True(t, h.Valid(start.Add(Duration-3*time.Millisecond)))
	require.False(t, h.Valid(start.Add(Duration)))
	require.True(t, h.Renew(2, start.Add(-time.Second), Duration))
	require.True(t, h.Valid(start.Add(time.Second)))
}

// Checks that a new leader assumes, for the grace period, that leases of its
// predecessor are in force.
func TestNewGranter(t *testing.T) {
	g := NewGranter(Duration, start)
	require.True(t, g.MayHold("unknown", start.Add(Duration)))
	require.False(t, g.MayHold("unknown", start.Add(Duration+3*time.Millisecond)))
	g.RecordGrant("e", start.Add(time.Second))
	g.RemoveExpired(start.Add(Duration))
	require.True(t, g.MayHold("e", start.Add(3*time.Second)))
	g.RemoveExpired(start.Add(4 * time.Second))
	require.False(t, g.MayHold("e", start.Add(4*time.Second)))
}
