package control

import (
	"context"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// grantAttempts is how often a grant change is planned before the renewal fails. The
// log refuses a change if jobs or other grants took the units after it was planned.
const grantAttempts = 3

// grantPlan is a change of one process's grants, and the grants in the reply to it.
type grantPlan struct {
	// changes holds the new number of units of each team whose grant changes.
	changes map[string]int
	// replied holds the units by team that the reply allows the entry to use.
	replied map[string]int
	// partial is true if the entry wants more units of a team than the reply allows.
	partial bool
}

// JobUnits returns how many jobs of the team may run at present, so that jobs leave
// the units that the team's calls are entitled to. Placement starts no jobs above this
// number. It must be called inside Log.Read, with the state passed there.
func (s *Server) JobUnits(st *fleet.State, team string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return divideLimit(s.teamDemand(st, team, s.leaseHolders())).jobs
}

// leaseHolders returns the processes that may hold a lease, sorted. The caller holds
// mu.
func (s *Server) leaseHolders() []string {
	now := s.clock.Now()
	holders := make([]string, 0, len(s.entries))
	for h := range s.entries {
		if s.granter.MayHold(h, now) {
			holders = append(holders, h)
		}
	}
	slices.Sort(holders)
	return holders
}

// teamDemand returns the demand of a team, with one callDemand for each of the
// holders, in their order. The caller holds mu.
func (s *Server) teamDemand(st *fleet.State, team string, holders []string) demand {
	d := demand{
		limit:    st.Config.Teams[team].Limit,
		running:  st.Running(team),
		queued:   st.QueuedOfTeam(team),
		reserved: st.Granted(team),
		rotation: int64(st.Now) / rotationInterval.Milliseconds(),
		calls:    make([]callDemand, 0, len(holders)),
	}
	for _, h := range holders {
		e := s.entries[h]
		granted := st.Grants[h][team]
		d.reserved -= granted
		wanted := min(max(0, e.wanted[team], e.used[team]), d.limit)
		d.calls = append(d.calls, callDemand{wanted: wanted, granted: granted})
	}
	return d
}

// updateGrants commits a change of the sender's grants and returns it with the grants
// for the reply. A request that was overtaken changes nothing, since the entry may
// already use the grants in the reply to the later one. It fails with CodeBusy if the
// log refuses grantAttempts plans.
func (s *Server) updateGrants(ctx context.Context, req wire.RenewRequest, overtaken <-chan struct{}) (grantPlan, error) {
	unlock, err := s.lockGrants(ctx)
	if err != nil {
		return grantPlan{}, err
	}
	defer unlock()
	for attempt := range grantAttempts {
		if isClosed(overtaken) {
			return grantPlan{}, overtakenError(req)
		}
		p := s.planGrants(req, attempt < grantAttempts-1)
		if len(p.changes) == 0 {
			return p, nil
		}
		res, err := s.log.Propose(ctx, fleet.Command{Grant: &fleet.GrantChange{Entry: holderID(req), Units: p.changes}})
		if err != nil {
			return grantPlan{}, s.proposeError(err)
		}
		if res.Refusal == nil {
			return p, nil
		}
	}
	return grantPlan{}, &wire.ErrorBody{Code: wire.CodeBusy, Message: "the limits change too fast"}
}

// planGrants plans the grants of the process that sent req, against the applied state.
// If grow is false, it raises no grant; the log never refuses such a plan.
func (s *Server) planGrants(req wire.RenewRequest, grow bool) grantPlan {
	p := grantPlan{changes: map[string]int{}, replied: map[string]int{}}
	holder := holderID(req)
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		live := s.leaseHolders()
		self := slices.Index(live, holder)
		if self < 0 {
			return
		}
		for team := range namedTeams(req, st.Grants[holder]) {
			d := s.teamDemand(st, team, live)
			free := d.limit - st.Running(team) - st.Granted(team)
			s.planTeam(&p, req, team, d, self, free, grow)
		}
	})
	return p
}

// namedTeams returns the teams that the request or the present grants name.
func namedTeams(req wire.RenewRequest, granted map[string]int) map[string]bool {
	teams := map[string]bool{}
	for _, m := range []map[string]int{req.Wanted, req.Used, granted} {
		for team := range m {
			teams[team] = true
		}
	}
	return teams
}

// planTeam adds the grant of one team to p. self is the index of the sender in
// d.calls, and free the number of units of the team that no job and no grant uses.
func (s *Server) planTeam(p *grantPlan, req wire.RenewRequest, team string, d demand, self, free int, grow bool) {
	present := d.calls[self].granted
	target := divideLimit(d).calls[self]
	next := target
	switch {
	case target > present && grow:
		next = min(target, present+max(0, free))
	case target > present || s.entries[holderID(req)].maybeAnswered:
		next = present
	default:
		next = max(target, min(present, maxInUse(req, team)))
	}
	if next != present {
		p.changes[team] = next
	}
	if allowed := min(target, next); allowed > 0 {
		p.replied[team] = allowed
	}
	if p.replied[team] < req.Wanted[team] {
		p.partial = true
	}
}

// maxInUse returns the largest number of calls of the team that the entry may have
// running until it applies the reply to this request.
func maxInUse(req wire.RenewRequest, team string) int {
	admits := req.Wanted[team]
	if req.Granted != nil {
		admits = min(admits, req.Granted[team])
	}
	return max(admits, req.Used[team])
}

// releaseEndedGrants releases the grants of processes whose lease expired so long ago
// that none of their calls can still be running.
func (s *Server) releaseEndedGrants(ctx context.Context) {
	for _, holder := range s.endedHolders() {
		if s.release(ctx, holder) != nil {
			return
		}
	}
}

// endedHolders returns the processes that have grants although their calls have ended,
// sorted.
func (s *Server) endedHolders() []string {
	var holders []string
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for holder := range st.Grants {
			if s.callsEnded(holder) {
				holders = append(holders, holder)
			}
		}
	})
	slices.Sort(holders)
	return holders
}

// callsEnded reports whether the lease of the holder expired at least releaseDelay
// ago. The caller holds mu.
func (s *Server) callsEnded(holder string) bool {
	return !s.clock.Now().Before(s.granter.Expiry(holder).Add(releaseDelay))
}

func (s *Server) release(ctx context.Context, holder string) error {
	unlock, err := s.lockGrants(ctx)
	if err != nil {
		return err
	}
	defer unlock()
	units := map[string]int{}
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.callsEnded(holder) {
			return
		}
		for team := range st.Grants[holder] {
			units[team] = 0
		}
	})
	if len(units) == 0 {
		return nil
	}
	_, err = s.log.Propose(ctx, fleet.Command{Grant: &fleet.GrantChange{Entry: holder, Units: units}})
	return err
}

// holdTime returns how long the reply may be held.
func (p grantPlan) holdTime(req wire.RenewRequest) time.Duration {
	d := min(time.Duration(req.HoldMS)*time.Millisecond, maxHold)
	if p.partial {
		return min(d, maxPartialGrantHold)
	}
	return d
}
