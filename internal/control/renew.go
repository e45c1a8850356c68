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

// Renew renews the lease and the grants of one entry. It may hold the reply for up to
// req.HoldMS, at most 500 ms, while there is nothing new. The lease counts from the
// moment when the entry sent the request, so holding the reply does not extend it.
//
// The error is a *wire.ErrorBody with CodeNotLeader, CodeOvertaken (a later request of
// the same process has arrived), CodeBusy, CodeUncertain or CodeBadMessage.
func (s *Server) Renew(ctx context.Context, req wire.RenewRequest) (*wire.RenewReply, error) {
	l, err := s.checkLeadership()
	if err != nil {
		return nil, err
	}
	overtaken, err := s.recordRenewal(req)
	if err != nil {
		return nil, err
	}
	p, err := s.updateGrants(ctx, req, overtaken)
	if err != nil {
		return nil, err
	}
	if s.replyUnchanged(req, p) && s.holdReply(ctx, req, p, overtaken) {
		if p, err = s.updateGrants(ctx, req, overtaken); err != nil {
			return nil, err
		}
	}
	reply := s.buildReply(req, p)
	reply.Term = l.Term
	if isClosed(overtaken) {
		return nil, overtakenError(req)
	}
	if err := s.confirmTerm(l.Term); err != nil {
		return nil, err
	}
	return reply, nil
}

// recordRenewal stores what the entry reports, and records the lease that the reply
// will grant. The returned channel is closed when a later request of the process
// arrives.
func (s *Server) recordRenewal(req wire.RenewRequest) (overtaken chan struct{}, err error) {
	if req.Instance == "" || req.Incarnation == "" {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "a renewal names its process"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holder := holderID(req)
	e := s.entries[holder]
	if e == nil {
		e = &entryProcess{sequence: req.Sequence, overtaken: make(chan struct{})}
		s.entries[holder] = e
	}
	if req.Sequence < e.sequence {
		return nil, overtakenError(req)
	}
	duplicate := req.Sequence == e.sequence
	e.maybeAnswered = duplicate || req.Term != 0 && req.Term != s.term
	if !duplicate {
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
	case s.wake <- struct{}{}:
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

// replyUnchanged reports whether the reply would contain nothing that the entry does
// not have already.
func (s *Server) replyUnchanged(req wire.RenewRequest, p grantPlan) bool {
	return req.Granted != nil && maps.Equal(withoutZeros(req.Granted), p.replied) && !s.revisionChanged(req) ||
		req.Granted == nil && len(p.changes) == 0 && !s.revisionChanged(req)
}

func withoutZeros(m map[string]int) map[string]int {
	out := maps.Clone(m)
	maps.DeleteFunc(out, func(_ string, n int) bool { return n == 0 })
	return out
}

// revisionChanged reports whether the configuration has another revision than the
// entry's.
func (s *Server) revisionChanged(req wire.RenewRequest) (changed bool) {
	s.log.Read(func(st *fleet.State) { changed = st.Config.Revision != req.Revision })
	return changed
}

// holdReply waits until the configuration changes, a later request arrives, or the
// hold time ends. It returns true only if the hold time ended, in which case the
// grants are planned again.
func (s *Server) holdReply(ctx context.Context, req wire.RenewRequest, p grantPlan, overtaken <-chan struct{}) bool {
	hold := p.holdTime(req)
	if hold <= 0 {
		return false
	}
	timer, stop := s.clock.Timer(hold)
	defer stop()
	for {
		changed := s.log.Changed()
		if s.revisionChanged(req) {
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

// buildReply builds the reply from the applied state.
func (s *Server) buildReply(req wire.RenewRequest, p grantPlan) *wire.RenewReply {
	reply := &wire.RenewReply{LeaseMS: lease.Duration.Milliseconds(), Grants: p.replied, TeamCalls: map[string]int{}}
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		reply.Revision = st.Config.Revision
		if req.Revision != reply.Revision {
			reply.Delta, reply.Config = changesSince(st, req.Revision)
		}
		live := s.leaseHolders()
		for team := range req.Wanted {
			reply.TeamCalls[team] = s.calls(team, live)
		}
		reply.Entries = s.liveEntries()
		reply.Draining = st.DrainingBackends()
	})
	return reply
}

// changesSince returns the changes since rev, or the full configuration if the entry
// has none yet or the changes are no longer kept.
func changesSince(st *fleet.State, rev fleet.Revision) (*fleet.ConfigDelta, *fleet.Config) {
	if rev > 0 {
		if d, ok := st.ConfigSince(rev); ok {
			return d, nil
		}
	}
	cfg := st.Config
	return nil, &cfg
}

// usage returns the number of running jobs of a team and of its calls through the
// holders. The caller holds mu.
func (s *Server) usage(st *fleet.State, team string, holders []string) int {
	return st.Running(team) + s.calls(team, holders)
}

// calls returns the number of running calls of a team through the holders. The caller
// holds mu.
func (s *Server) calls(team string, holders []string) int {
	n := 0
	for _, h := range holders {
		n += s.entries[h].used[team]
	}
	return n
}

// liveEntries returns the processes that may hold a lease, sorted by instance and peer
// address. The caller holds mu.
func (s *Server) liveEntries() []wire.EntryInfo {
	var out []wire.EntryInfo
	for _, h := range s.leaseHolders() {
		out = append(out, s.entries[h].info)
	}
	slices.SortFunc(out, func(a, b wire.EntryInfo) int {
		return strings.Compare(a.Instance+"/"+a.PeerAddress, b.Instance+"/"+b.PeerAddress)
	})
	return out
}
