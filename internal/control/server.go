// Package control implements the leader's side of the control protocol between entries
// and stores: configuration leases, grants of team limits, proposals, waiting for
// jobs, and status.
//
// A Server keeps in memory only what entries reported during the current term. A new
// leader therefore assumes that every entry of an earlier term may still hold a lease
// and use its grants until the longest possible duration of both has passed.
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
	// maxHold and maxJobWait bound how long a reply is held, whatever time the request
	// asks for.
	maxHold    = 500 * time.Millisecond
	maxJobWait = 30 * time.Second
	// maxPartialGrantHold replaces maxHold for an entry that wants more units than it
	// was granted, so that units released by others reach it soon.
	maxPartialGrantHold = 100 * time.Millisecond
	// maxCallDuration is the longest time for which an admitted call uses a unit.
	maxCallDuration = fleet.MaxCallTime + fleet.CallGracePeriod
	// releaseDelay is the longest time for which calls of an entry may continue after
	// its lease has expired, including the drift between two clocks.
	releaseDelay = maxCallDuration + maxCallDuration/lease.ClockDriftDivisor
)

// Clock is a monotonic clock. Tests replace it by one that they advance.
type Clock interface {
	Now() time.Time
	// Timer returns a channel that receives the time once d has passed, and a function
	// that stops the timer.
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
	// Members returns the members of the replicated log for status replies. If it is
	// nil, the replies list no members.
	Members func() []wire.MemberInfo
}

// Server handles the requests of entries while its store leads the replicated log. It
// is safe for concurrent use.
type Server struct {
	log     fleet.Log
	clock   Clock
	members func() []wire.MemberInfo

	// grantLock is a mutex that can be waited for with a context. It serialises grant
	// changes, so that two entries are not granted the same free units.
	grantLock chan struct{}
	// wake makes Run start a round at once after a renewal, which may acknowledge a
	// revision.
	wake chan struct{}

	// mu guards the fields below. It may be locked inside log.Read, but log.Read must
	// not be called with mu locked.
	mu sync.Mutex
	// term is the term in which granter and entries were filled.
	term    uint64
	granter *lease.Granter
	// entries holds the processes by holderID.
	entries map[string]*entryProcess
}

// entryProcess is what one process of an entry reported during the current term.
type entryProcess struct {
	info     wire.EntryInfo
	sequence uint64
	revision fleet.Revision
	wanted   map[string]int
	used     map[string]int
	// maybeAnswered is true if the request with this sequence was received before, by
	// this leader or possibly by the leader of an earlier term. The entry may already
	// have applied a reply to it, so the request must not lower a grant.
	maybeAnswered bool
	// overtaken is closed when a later request of the process arrives.
	overtaken chan struct{}
}

// NewServer returns a server that reads and proposes through log. It releases grants
// and marks revisions as in force only while Run runs.
func NewServer(log fleet.Log, opts Options) *Server {
	s := &Server{
		log:       log,
		clock:     opts.Clock,
		members:   opts.Members,
		grantLock: make(chan struct{}, 1),
		wake:      make(chan struct{}, 1),
		granter:   lease.NewGranter(lease.Duration, time.Time{}),
		entries:   map[string]*entryProcess{},
	}
	if s.clock == nil {
		s.clock = systemClock{}
	}
	return s
}

// Register adds the server's message handlers to mux.
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

// checkLeadership returns the current leadership, or an error with CodeNotLeader that
// names the leader, if it is known. When the log is in a new term, it discards what
// entries reported in the previous one.
func (s *Server) checkLeadership() (fleet.Leadership, error) {
	l := s.log.Leadership()
	if !l.Leading {
		return l, notLeaderError(l)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Term < s.term {
		return l, notLeaderError(l)
	}
	if l.Term > s.term {
		s.term = l.Term
		s.granter = lease.NewGranter(lease.Duration, l.Since)
		s.entries = map[string]*entryProcess{}
	}
	return l, nil
}

// confirmTerm verifies, immediately before a reply, that this store still leads in the
// given term.
func (s *Server) confirmTerm(term uint64) error {
	l, err := s.checkLeadership()
	if err != nil {
		return err
	}
	if l.Term != term {
		return notLeaderError(l)
	}
	return nil
}

func notLeaderError(l fleet.Leadership) error {
	body := &wire.ErrorBody{Code: wire.CodeNotLeader, Message: "this store does not lead"}
	if !l.Leading {
		body.Leader = l.Leader
	}
	return body
}

// proposeError converts an error of Log.Propose for the wire. Unless the log refused
// the command, because this store does not lead or no store could apply it, the command
// may have been committed.
func (s *Server) proposeError(err error) error {
	switch {
	case errors.Is(err, fleet.ErrNotLeader):
		return notLeaderError(s.log.Leadership())
	case errors.Is(err, fleet.ErrCommand):
		return &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	}
	return &wire.ErrorBody{Code: wire.CodeUncertain, Message: err.Error(), Leader: s.log.Leadership().Leader}
}

// holderID identifies one process of an entry. Grants belong to processes rather than
// entries, since calls of a replaced process may still be running.
func holderID(req wire.RenewRequest) string {
	return req.Instance + "/" + req.Incarnation
}

// lockGrants locks grantLock. It fails with CodeBusy if ctx ends first.
func (s *Server) lockGrants(ctx context.Context) (unlock func(), err error) {
	select {
	case s.grantLock <- struct{}{}:
		return func() { <-s.grantLock }, nil
	case <-ctx.Done():
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: ctx.Err().Error()}
	}
}
