package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// leaseMargin is subtracted from each lease, since clocks run at different
	// rates and time passes between a check of the lease and the dispatch after it.
	leaseMargin = 20 * time.Millisecond
	// maxUnanswered bounds the number of renewal requests without a reply that are
	// recorded separately; beyond it they are merged into one record.
	maxUnanswered = 8
)

// leaseState holds the leased configuration and the limit grants of this entry. A
// lease counts from the time at which its request was sent, on the monotonic clock.
type leaseState struct {
	mu          sync.Mutex
	config      *fleet.Config
	term        uint64
	validUntil  time.Time
	grants      map[string]int
	grantsSeq   uint64
	grantsUntil time.Time
	usage       map[string]int
	// unanswered holds the units that each renewal request without a reply stated,
	// by sequence and team. The leader may already have lowered the grants to them.
	unanswered map[uint64]map[string]int
}

// appliedState is what a renewal request states about the last accepted reply.
type appliedState struct {
	revision fleet.Revision
	term     uint64
	// granted holds the units by team that the entry admits until the next reply.
	granted map[string]int
}

func newLeaseState() *leaseState {
	return &leaseState{unanswered: map[uint64]map[string]int{}}
}

// beginRenewal records a renewal request before it is sent and returns what the
// request states. Until the reply arrives, the entry admits no more than the stated
// units.
func (l *leaseState) beginRenewal(now time.Time, seq uint64, wanted map[string]int) appliedState {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := appliedState{term: l.term, granted: make(map[string]int, len(wanted))}
	for team, n := range wanted {
		s.granted[team] = min(n, l.unitsLocked(now, team))
	}
	if l.config != nil {
		s.revision = l.config.Revision
	}
	if len(l.unanswered) >= maxUnanswered {
		l.unanswered = map[uint64]map[string]int{seq - 1: l.minUnansweredUnits()}
	}
	l.unanswered[seq] = s.granted
	return s
}

// minUnansweredUnits returns, by team, the smallest number of units that an
// unanswered request stated. A team that one of them leaves out has none.
func (l *leaseState) minUnansweredUnits() map[string]int {
	var least map[string]int
	for _, units := range l.unanswered {
		if least == nil {
			least = maps.Clone(units)
			continue
		}
		for team := range least {
			least[team] = min(least[team], units[team])
		}
	}
	return least
}

// endRenewal applies the reply to the request seq that was sent at the time sent;
// the reply is nil if the request failed. It reports whether the reply was
// accepted. A reply of an earlier term, or for a revision that this entry does not
// have, is rejected.
func (l *leaseState) endRenewal(seq uint64, sent time.Time, reply *wire.RenewReply) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reply == nil {
		// The leader may still process the request, so its stated units remain a
		// bound until a later request is answered.
		return false
	}
	if reply.Term < l.term {
		delete(l.unanswered, seq)
		return false
	}
	l.term = reply.Term
	l.updateConfig(reply)
	if l.config == nil || l.config.Revision < reply.Revision {
		delete(l.unanswered, seq)
		return false
	}
	l.extendLease(sent, reply)
	if seq > l.grantsSeq {
		l.grants = reply.Grants
		l.grantsSeq = seq
		l.grantsUntil = sent.Add(lease.Duration - leaseMargin)
		l.usage = reply.TeamCalls
	}
	for other := range l.unanswered {
		if other <= seq {
			delete(l.unanswered, other)
		}
	}
	return true
}

// updateConfig applies the configuration in a reply, unless it is older than the
// present one. A new fleet is at revision 0, for which the leader sends no
// configuration.
func (l *leaseState) updateConfig(reply *wire.RenewReply) {
	config := reply.Config
	if config == nil && l.config == nil && reply.Revision == 0 {
		config = &fleet.Config{}
	}
	if reply.Delta != nil && l.config != nil {
		config, _ = l.config.WithDelta(reply.Delta)
	}
	if config == nil || l.config != nil && config.Revision < l.config.Revision {
		return
	}
	l.config = config
}

// extendLease extends the lease by a reply to a request that was sent at sent. The
// lease never becomes shorter.
func (l *leaseState) extendLease(sent time.Time, reply *wire.RenewReply) {
	until := sent.Add(time.Duration(reply.LeaseMS)*time.Millisecond - leaseMargin)
	if until.After(l.validUntil) {
		l.validUntil = until
	}
}

// view returns the configuration, which is nil before the first reply, and whether
// its lease is valid.
func (l *leaseState) view(now time.Time) (*fleet.Config, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.config, l.config != nil && now.Before(l.validUntil)
}

// units returns the number of calls of the team that may run through this entry at
// once.
func (l *leaseState) units(now time.Time, team string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unitsLocked(now, team)
}

// unitsLocked is units for callers that hold the lock.
func (l *leaseState) unitsLocked(now time.Time, team string) int {
	if !now.Before(l.grantsUntil) {
		return 0
	}
	units := l.grants[team]
	for _, stated := range l.unanswered {
		units = min(units, stated[team])
	}
	return units
}

// teamCalls returns the units in use across the fleet by team, as the leader last
// reported them.
func (l *leaseState) teamCalls() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage
}
