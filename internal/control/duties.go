package control

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

const (
	// reconcileInterval bounds the delay with which an expired lease is noticed.
	reconcileInterval = 50 * time.Millisecond
	// reconcileTimeout bounds the proposals of one round.
	reconcileTimeout = time.Second
)

// Run marks revisions as in force and releases the grants of entries that stopped
// renewing, until ctx ends. It does nothing while another store leads. The error is
// always nil.
func (s *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.log.Changed()
		s.reconcile(ctx)
		timer, stop := s.clock.Timer(reconcileInterval)
		select {
		case <-changed:
		case <-s.wake:
		case <-timer:
		case <-ctx.Done():
		}
		stop()
	}
	return nil
}

// reconcile runs one round of the work of Run.
func (s *Server) reconcile(ctx context.Context) {
	if _, err := s.checkLeadership(); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	if rev, ok := s.newlyInForce(); ok {
		// A failed proposal is repeated in the next round.
		_, _ = s.log.Propose(ctx, fleet.Command{InForce: &fleet.MarkInForce{Revision: rev}})
	}
	s.releaseEndedGrants(ctx)
	s.removeEndedProcesses()
}

// newlyInForce returns the highest revision that every process with a lease has
// acknowledged. ok is false if that revision is already marked as in force. A new
// leader may not know all processes with a lease until the leases of its predecessor
// have expired, so ok is false until then.
func (s *Server) newlyInForce() (rev fleet.Revision, ok bool) {
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.clock.Now()
		if now.Before(s.granter.GracePeriodEnd()) {
			return
		}
		rev = st.Config.Revision
		for h, e := range s.entries {
			if s.granter.MayHold(h, now) {
				rev = min(rev, e.revision)
			}
		}
		ok = rev > st.InForce
	})
	return rev, ok
}

// removeEndedProcesses removes the processes whose calls have all ended, and the lease
// records that expired at least 2*releaseDelay ago.
func (s *Server) removeEndedProcesses() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h := range s.entries {
		if s.callsEnded(h) {
			delete(s.entries, h)
		}
	}
	s.granter.RemoveExpired(s.clock.Now().Add(-2 * releaseDelay))
}
