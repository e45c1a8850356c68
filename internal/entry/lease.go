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
	// leaseMargin is taken off each lease, for clocks that run at unequal rates
	// and for the time between a check and the dispatch after it.
	leaseMargin = 20 * time.Millisecond
	// askedLimit bounds the separate records of unanswered requests.
	askedLimit = 8
)

// holder keeps the leased configuration and the limit grants of this entry. A
// lease counts from the moment its request was sent, on the monotonic clock.
type holder struct {
	mu          sync.Mutex
	config      *fleet.Config
	term        uint64
	until       time.Time
	grants      map[string]int
	grantsSeq   uint64
	grantsUntil time.Time
	usage       map[string]int
	// asked holds the units that each request without a reply stated; the leader may
	// already have lowered the grants to them.
	asked map[uint64]map[string]int
}

// standing is what a request says about the last reply that was taken.
type standing struct {
	revision fleet.Revision
	term     uint64
	granted  map[string]int
}

func newHolder() *holder {
	return &holder{asked: map[uint64]map[string]int{}}
}

// begin notes a request before it is sent. It returns what the request states,
// and the entry keeps to the stated units until it has the reply.
func (h *holder) begin(now time.Time, seq uint64, wanted map[string]int) standing {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := standing{term: h.term, granted: make(map[string]int, len(wanted))}
	for team, n := range wanted {
		s.granted[team] = min(n, h.unitsNow(now, team))
	}
	if h.config != nil {
		s.revision = h.config.Revision
	}
	if len(h.asked) >= askedLimit {
		h.asked = map[uint64]map[string]int{seq - 1: h.leastAsked()}
	}
	h.asked[seq] = s.granted
	return s
}

// leastAsked returns the smallest wanted units of the unanswered requests by
// team; a team that one of them leaves out has none.
func (h *holder) leastAsked() map[string]int {
	var least map[string]int
	for _, wanted := range h.asked {
		if least == nil {
			least = maps.Clone(wanted)
			continue
		}
		for team := range least {
			least[team] = min(least[team], wanted[team])
		}
	}
	return least
}

// end takes the reply to a request that was sent at sent, or nil after a failure.
// It reports whether the reply was accepted.
func (h *holder) end(seq uint64, sent time.Time, reply *wire.RenewReply) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reply == nil {
		// The leader may act on the request later, so its wanted units stay a
		// bound until a later request is answered.
		return false
	}
	if reply.Term < h.term {
		delete(h.asked, seq)
		return false
	}
	h.term = reply.Term
	h.takeConfig(reply)
	if h.config == nil || h.config.Revision < reply.Revision {
		delete(h.asked, seq)
		return false
	}
	h.extend(sent, reply)
	if seq > h.grantsSeq {
		h.grants = reply.Grants
		h.grantsSeq = seq
		h.grantsUntil = sent.Add(lease.Duration - leaseMargin)
		h.usage = reply.TeamCalls
	}
	for other := range h.asked {
		if other <= seq {
			delete(h.asked, other)
		}
	}
	return true
}

// takeConfig brings the configuration up to date, but never back to an older one.
// A new fleet is at revision 0, and its leader sends no copy.
func (h *holder) takeConfig(reply *wire.RenewReply) {
	config := reply.Config
	if config == nil && h.config == nil && reply.Revision == 0 {
		config = &fleet.Config{}
	}
	if reply.Delta != nil && h.config != nil {
		config, _ = h.config.WithDelta(reply.Delta)
	}
	if config == nil || h.config != nil && config.Revision < h.config.Revision {
		return
	}
	h.config = config
}

func (h *holder) extend(sent time.Time, reply *wire.RenewReply) {
	until := sent.Add(time.Duration(reply.LeaseMS)*time.Millisecond - leaseMargin)
	if until.After(h.until) {
		h.until = until
	}
}

// view returns the configuration, nil before the first reply, and whether its
// lease is valid.
func (h *holder) view(now time.Time) (*fleet.Config, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.config, h.config != nil && now.Before(h.until)
}

// units returns the number of calls of the team that may run through this entry.
func (h *holder) units(now time.Time, team string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.unitsNow(now, team)
}

func (h *holder) unitsNow(now time.Time, team string) int {
	if !now.Before(h.grantsUntil) {
		return 0
	}
	units := h.grants[team]
	for _, wanted := range h.asked {
		units = min(units, wanted[team])
	}
	return units
}

// teamCalls returns the units in use by team across the fleet, as last reported.
func (h *holder) teamCalls() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usage
}
