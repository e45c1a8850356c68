package intake

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/wire"
)

// probeInterval is the time between two rounds of probes while no leader answers.
const probeInterval = 50 * time.Millisecond

// probeTimeouts are the time limits of successive rounds. A short one lets the next round
// send a new connection request to a store that has just got power back, which saw nothing
// of the earlier ones; the long one reaches stores that are slow. Their number is odd: after a
// failed dial the pool does not dial in the next round, and so in each second one.
var probeTimeouts = []time.Duration{
	100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond,
}

// probeResult is the answer of one store to a probe.
type probeResult struct {
	address string
	info    wire.LeaderInfo
	err     error
}

// probe asks all known stores at once for the leader. Asking them in turn would take a time
// limit for each store that is down.
func (c *Client) probe(ctx context.Context) error {
	timeout := probeTimeouts[c.probes%len(probeTimeouts)]
	c.probes++
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addresses := c.storeAddresses()
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	results := make(chan probeResult, len(addresses))
	for _, address := range addresses {
		go func() {
			r := probeResult{address: address}
			r.err = c.pool.Call(ctx, address, wire.TypeLeader, struct{}{}, &r.info)
			results <- r
		}()
	}
	heard, last := false, error(nil)
	for range addresses {
		r := <-results
		if r.err == nil {
			c.leader.Use(r.address)
			c.setMembers(r.info.Members)
			return nil
		}
		var body *wire.ErrorBody
		if errors.As(r.err, &body) {
			heard = true
			c.addHint(body.Leader)
		}
		last = r.err
	}
	c.recordLeaderless(heard)
	return last
}

// recordLeaderless records whether a store has answered a round of probes that found no
// leader.
func (c *Client) recordLeaderless(heard bool) {
	if !heard {
		c.leaderlessSince.Store(0)
		return
	}
	c.leaderlessSince.CompareAndSwap(0, int64(time.Since(c.started)))
}

// leaderlessFor returns the time for which stores have answered that they know no leader.
func (c *Client) leaderlessFor() time.Duration {
	since := c.leaderlessSince.Load()
	if since == 0 {
		return 0
	}
	return time.Since(c.started) - time.Duration(since)
}
