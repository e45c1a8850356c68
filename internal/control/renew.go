package control

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Renew renews the lease and the grants of one entry. The lease counts from the
// moment the entry sent the request, so holding the reply does not extend it.
func (s *Server) Renew(ctx context.Context, req wire.RenewRequest) (*wire.RenewReply, error) {
	l, err := s.leading()
	if err != nil {
		return nil, err
	}
	overtaken, err := s.hear(req)
	if err != nil {
		return nil, err
	}
	p, err := s.updateGrants(ctx, req, overtaken)
	if err != nil {
		return nil, err
	}
	if s.nothingNew(req, p) && s.holdReply(ctx, req, p, overtaken) {
		if p, err = s.updateGrants(ctx, req, overtaken); err != nil {
			return nil, err
		}
	}
	reply := s.renewal(req, p)
	reply.Term = l.Term
	if isClosed(overtaken) {
		return nil, overtakenError(req)
	}
	if err := s.confirm(l.Term); err != nil {
		return nil, err
	}
	return reply, nil
}

// hear takes over what the entry says and records the lease that the reply will
// grant. The channel is closed when a later request of the process arrives.
func (s *Server) hear(req wire.RenewRequest) (overtaken chan struct{}, err error) {
	if req.Instance == "" || req.Incarnation == "" {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "a renewal names its process"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := holderOf(req)
	e := s.entries[holder]
	if e == nil {
		e = &entry{sequence: req.Sequence, overtaken: make(chan struct{})}
		s.entries[holder] = e
	}
	if req.Sequence < e.sequence {
		return nil, overtakenError(req)
	}
	again := req.Sequence == e.sequence
	e.resent = again || req.Term != 0 && req.Term != s.term
	if !again {
		close(e.overtaken)
		e.overtaken = make(chan struct{})
	}
	e.info = wire.EntryInfo{Instance: req.Instance, DataCentre: req.DataCentre, PeerAddress: req.PeerAddress}
	e.sequence = req.Sequence
	e.wanted = req.Wanted
	e.used = req.Used
	e.revision = max(e.revision, req.Revision)
	s.granter.RecordGrant(holder, s.clock.Now())
	select {
	case s.acked <- struct{}{}:
	default:
	}
	return e.overtaken, nil
}

func overtakenError(req wire.RenewRequest) error {
	return &wire.ErrorBody{Code: wire.CodeOvertaken, Message: "a later renewal of " + req.Instance + " has arrived"}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// nothingNew reports whether the reply would tell the entry what it has already.
func (s *Server) nothingNew(req wire.RenewRequest, p plan) bool {
	return req.Granted != nil && maps.Equal(withoutZero(req.Granted), p.told) && !s.newRevision(req) ||
		req.Granted == nil && len(p.change) == 0 && !s.newRevision(req)
}

func withoutZero(m map[string]int) map[string]int {
	out := maps.Clone(m)
	maps.DeleteFunc(out, func(_ string, n int) bool { return n == 0 })
	return out
}

func (s *Server) newRevision(req wire.RenewRequest) (changed bool) {
	s.log.Read(func(st *fleet.State) { changed = st.Config.Revision != req.Revision })
	return changed
}

// holdReply waits until the configuration changes or the hold time ends. It
// reports true when the hold time ended, so that the grants are planned again.
func (s *Server) holdReply(ctx context.Context, req wire.RenewRequest, p plan, overtaken <-chan struct{}) bool {
	hold := p.hold(req)
	if hold <= 0 {
		return false
	}
	timer, stop := s.clock.Timer(hold)
	defer stop()
	for {
		changed := s.log.Changed()
		if s.newRevision(req) {
			return false
		}
		select {
		case <-changed:
		case <-timer:
			return true
		case <-overtaken:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// renewal builds the reply from the applied state.
func (s *Server) renewal(req wire.RenewRequest, p plan) *wire.RenewReply {
	reply := &wire.RenewReply{LeaseMS: lease.Duration.Milliseconds(), Grants: p.told, TeamCalls: map[string]int{}}
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply.Revision = st.Config.Revision
		if req.Revision != reply.Revision {
			reply.Delta, reply.Config = changesSince(st, req.Revision)
		}
		live := s.liveHolders()
		for team := range req.Wanted {
			reply.TeamCalls[team] = s.calls(team, live)
		}
		reply.Entries = s.liveEntries()
		reply.Draining = st.DrainingBackends()
	})
	return reply
}

// changesSince returns a delta, or a full copy for an entry that starts empty or
// is too far behind.
func changesSince(st *fleet.State, rev fleet.Revision) (*fleet.ConfigDelta, *fleet.Config) {
	if rev > 0 {
		if d, ok := st.ConfigSince(rev); ok {
			return d, nil
		}
	}
	cfg := st.Config
	return nil, &cfg
}

// usage counts the running jobs of a team and its calls through the holders.
func (s *Server) usage(st *fleet.State, team string, holders []string) int {
	return st.Running(team) + s.calls(team, holders)
}

// calls counts the calls of a team through the holders.
func (s *Server) calls(team string, holders []string) int {
	n := 0
	for _, h := range holders {
		n += s.entries[h].used[team]
	}
	return n
}

// liveEntries returns the processes that may hold a lease, sorted by instance.
func (s *Server) liveEntries() []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, h := range s.liveHolders() {
		out = append(out, s.entries[h].info)
	}
	slices.SortFunc(out, func(a, b wire.EntryInfo) int {
		return strings.Compare(a.Instance+"/"+a.PeerAddress, b.Instance+"/"+b.PeerAddress)
	})
	return out
}
