package control

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

const (
	// dutyInterval bounds how late a lapsed lease is noticed.
	dutyInterval = 50 * time.Millisecond
	dutyTimeout  = time.Second
)

// Run carries out the duties of the leader until the context ends: it marks
// revisions in force and releases the grants of silent entries. While another
// store leads it does nothing. The error is always nil.
func (s *Server) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.log.Changed()
		s.duties(ctx)
		timer, stop := s.clock.Timer(dutyInterval)
		select {
		case <-changed:
		case <-s.acked:
		case <-timer:
		case <-ctx.Done():
		}
		stop()
	}
	return nil
}

func (s *Server) duties(ctx context.Context) {
	if _, err := s.leading(); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	if rev, ok := s.newlyInForce(); ok {
		// A failed proposal is repeated with the next round of duties.
		_, _ = s.log.Propose(ctx, fleet.Command{InForce: &fleet.MarkInForce{Revision: rev}})
	}
	s.releaseSilent(ctx)
	s.forget()
}

// newlyInForce returns the highest revision that every process with a lease has
// acknowledged, if it is not marked yet. A new leader does not know all of these
// processes before the leases of its predecessor have lapsed.
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

// forget drops the processes whose calls have all ended.
func (s *Server) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for h := range s.entries {
		if s.silent(h) {
			delete(s.entries, h)
		}
	}
	s.granter.RemoveExpired(s.clock.Now().Add(-2 * releaseDelay))
}
