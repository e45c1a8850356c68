// Package control is the leader's side of the control protocol between entries
// and stores: configuration leases, limit grants, proposals, waits for jobs, and
// status.
//
// A server keeps only what entries told it in the present term. A new leader
// assumes that every entry of an earlier term may still hold a lease and use
// its grants until the time for both has passed.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	maxHold    = 500 * time.Millisecond
	maxJobWait = 30 * time.Second
	// shortHold applies to an entry that wants more units than it has, so that
	// freed units reach it soon.
	shortHold   = 100 * time.Millisecond
	longestCall = fleet.MaxCallTime + fleet.CallGracePeriod
	// releaseDelay is how long after the end of its lease an entry's calls may run.
	releaseDelay = longestCall + longestCall/lease.ClockDriftDivisor
)

// Clock is a monotonic clock.
type Clock interface {
	Now() time.Time
	// Timer returns a channel that receives once d has passed, and a function
	// that releases the timer.
	Timer(d time.Duration) (<-chan time.Time, func())
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func (systemClock) Timer(d time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(d)
	return t.C, func() { t.Stop() }
}

// Options configures a Server. The zero value is usable.
type Options struct {
	// Clock defaults to the system clock.
	Clock Clock
	// Members returns the members of the replicated log for status replies.
	Members func() []wire.MemberInfo
}

// Server answers entries on behalf of the leader. It is safe for concurrent use.
type Server struct {
	log     fleet.Log
	clock   Clock
	members func() []wire.MemberInfo

	// grantSlot serialises grant changes, so that two entries don't plan with the
	// same free units.
	grantSlot chan struct{}
	// acked wakes the duties when an entry acknowledged a revision.
	acked chan struct{}

	// mu is taken inside log.Read, never around it.
	mu      sync.Mutex
	term    uint64
	granter *lease.Granter
	entries map[string]*entry
}

// entry is what one process of an entry told in the present term.
type entry struct {
	info     wire.EntryInfo
	sequence uint64
	revision fleet.Revision
	wanted   map[string]int
	used     map[string]int
	// resent is true when the sequence was heard before, here or possibly by the
	// leader of an earlier term. The entry may then have taken a reply to it
	// already, so the request must not lower a grant.
	resent bool
	// overtaken is closed when a later request of the process arrives.
	overtaken chan struct{}
}

// NewServer returns a server for the log. Run must run for it to release grants
// and to mark revisions in force.
func NewServer(log fleet.Log, opts Options) *Server {
	s := &Server{
		log:       log,
		clock:     opts.Clock,
		members:   opts.Members,
		grantSlot: make(chan struct{}, 1),
		acked:     make(chan struct{}, 1),
		granter:   lease.NewGranter(lease.Duration, time.Time{}),
		entries:   map[string]*entry{},
	}
	if s.clock == nil {
		s.clock = systemClock{}
	}
	return s
}

// Register adds the handlers of the server to a mux.
func (s *Server) Register(mux wire.Mux) {
	mux[wire.TypeRenew] = handler(s.Renew)
	mux[wire.TypePropose] = handler(s.Propose)
	mux[wire.TypeJobWait] = handler(s.JobWait)
	mux[wire.TypeStatus] = handler(s.Status)
}

func handler[Req, Resp any](f func(context.Context, Req) (Resp, error)) wire.Handler {
	return func(ctx context.Context, r wire.Request) (any, error) {
		var req Req
		if err := r.Decode(&req); err != nil {
			return nil, err
		}
		return f(ctx, req)
	}
}

// leading returns the leadership, or an error that names the leader. It starts a
// new term of the server when the log's term has changed.
func (s *Server) leading() (fleet.Leadership, error) {
	l := s.log.Leadership()
	if !l.Leading {
		return l, notLeader(l)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Term < s.term {
		return l, notLeader(l)
	}
	if l.Term > s.term {
		s.term = l.Term
		s.granter = lease.NewGranter(lease.Duration, l.Since)
		s.entries = map[string]*entry{}
	}
	return l, nil
}

// confirm verifies right before a reply that this store still leads in the term.
func (s *Server) confirm(term uint64) error {
	l, err := s.leading()
	if err != nil {
		return err
	}
	if l.Term != term {
		return notLeader(l)
	}
	return nil
}

func notLeader(l fleet.Leadership) error {
	body := &wire.ErrorBody{Code: wire.CodeNotLeader, Message: "this store does not lead"}
	if !l.Leading {
		body.Leader = l.Leader
	}
	return body
}

// proposeError translates an error of Log.Propose. Whatever is not known to have
// been refused may have been committed.
func (s *Server) proposeError(err error) error {
	if errors.Is(err, fleet.ErrNotLeader) {
		return notLeader(s.log.Leadership())
	}
	return &wire.ErrorBody{Code: wire.CodeUncertain, Message: err.Error(), Leader: s.log.Leadership().Leader}
}

// holderOf names one process of an entry. Grants belong to processes, since the
// calls of a process that was replaced may still run.
func holderOf(req wire.RenewRequest) string {
	return req.Instance + "/" + req.Incarnation
}

// lockGrants waits for the right to change grants.
func (s *Server) lockGrants(ctx context.Context) (unlock func(), err error) {
	select {
	case s.grantSlot <- struct{}{}:
		return func() { <-s.grantSlot }, nil
	case <-ctx.Done():
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: ctx.Err().Error()}
	}
}
