package control

import (
	"context"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// grantAttempts bounds how often a grant is planned again after a job took the
// units in between.
const grantAttempts = 3

// plan is the change of one holder's grants and what the entry is told.
type plan struct {
	change map[string]int
	told   map[string]int
	// short is true when the entry wants more than it gets.
	short bool
}

// JobUnits returns the number of jobs that a team may run at present, so that
// its calls are not starved. Placement assigns no more than this. It is called
// inside Log.Read with the state that it got.
func (s *Server) JobUnits(st *fleet.State, team string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return divide(s.demandOf(st, team, s.liveHolders())).jobs
}

// liveHolders returns the processes that may hold a lease, sorted.
func (s *Server) liveHolders() []string {
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

// demandOf returns the demand of a team, with the calls in the order of the holders.
func (s *Server) demandOf(st *fleet.State, team string, holders []string) demand {
	d := demand{
		limit:   st.Config.Teams[team].Limit,
		running: st.Running(team),
		queued:  st.QueuedOfTeam(team),
		silent:  st.Granted(team),
		turn:    int64(st.Now) / turnLength.Milliseconds(),
		calls:   make([]callDemand, 0, len(holders)),
	}
	for _, h := range holders {
		e := s.entries[h]
		granted := st.Grants[h][team]
		d.silent -= granted
		wanted := min(max(0, e.wanted[team], e.used[team]), d.limit)
		d.calls = append(d.calls, callDemand{wanted: wanted, granted: granted})
	}
	return d
}

// updateGrants commits the change of a holder's grants and returns what the
// entry is told. A request that was overtaken changes nothing, since the entry
// may act on the reply to the later one.
func (s *Server) updateGrants(ctx context.Context, req wire.RenewRequest, overtaken <-chan struct{}) (plan, error) {
	unlock, err := s.lockGrants(ctx)
	if err != nil {
		return plan{}, err
	}
	defer unlock()
	for attempt := range grantAttempts {
		if isClosed(overtaken) {
			return plan{}, overtakenError(req)
		}
		p := s.planGrants(req, attempt < grantAttempts-1)
		if len(p.change) == 0 {
			return p, nil
		}
		res, err := s.log.Propose(ctx, fleet.Command{Grant: &fleet.GrantChange{Entry: holderOf(req), Units: p.change}})
		if err != nil {
			return plan{}, s.proposeError(err)
		}
		if res.Refusal == nil {
			return p, nil
		}
	}
	return plan{}, &wire.ErrorBody{Code: wire.CodeBusy, Message: "the limits change too fast"}
}

// planGrants plans the grants of one holder against the applied state. Without
// grow no grant is raised, which can't be refused.
func (s *Server) planGrants(req wire.RenewRequest, grow bool) plan {
	p := plan{change: map[string]int{}, told: map[string]int{}}
	holder := holderOf(req)
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		live := s.liveHolders()
		self := slices.Index(live, holder)
		if self < 0 {
			return
		}
		for team := range teamsOf(req, st.Grants[holder]) {
			d := s.demandOf(st, team, live)
			free := d.limit - st.Running(team) - st.Granted(team)
			s.planTeam(&p, req, team, d, self, free, grow)
		}
	})
	return p
}

func teamsOf(req wire.RenewRequest, granted map[string]int) map[string]bool {
	teams := map[string]bool{}
	for _, m := range []map[string]int{req.Wanted, req.Used, granted} {
		for team := range m {
			teams[team] = true
		}
	}
	return teams
}

// planTeam plans the grant of one team. self is the position of the holder among
// the calls of the demand.
func (s *Server) planTeam(p *plan, req wire.RenewRequest, team string, d demand, self, free int, grow bool) {
	present := d.calls[self].granted
	target := divide(d).calls[self]
	next := target
	switch {
	case target > present && grow:
		next = min(target, present+max(0, free))
	case target > present || s.entries[holderOf(req)].resent:
		next = present
	default:
		next = max(target, min(present, mayUse(req, team)))
	}
	if next != present {
		p.change[team] = next
	}
	if told := min(target, next); told > 0 {
		p.told[team] = told
	}
	if p.told[team] < req.Wanted[team] {
		p.short = true
	}
}

// mayUse returns the largest number of calls that the entry may have running
// before it takes the reply to this request.
func mayUse(req wire.RenewRequest, team string) int {
	admits := req.Wanted[team]
	if req.Granted != nil {
		admits = min(admits, req.Granted[team])
	}
	return max(admits, req.Used[team])
}

// releaseSilent takes back the grants of processes whose lease has lapsed so long
// ago that none of their calls can still run.
func (s *Server) releaseSilent(ctx context.Context) {
	for _, holder := range s.silentHolders() {
		if s.release(ctx, holder) != nil {
			return
		}
	}
}

func (s *Server) silentHolders() []string {
	var holders []string
	s.log.Read(func(st *fleet.State) {
		s.mu.Lock()
		defer s.mu.Unlock()
		for holder := range st.Grants {
			if s.silent(holder) {
				holders = append(holders, holder)
			}
		}
	})
	slices.Sort(holders)
	return holders
}

func (s *Server) silent(holder string) bool {
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
		if !s.silent(holder) {
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

// hold returns how long the reply may be held.
func (p plan) hold(req wire.RenewRequest) time.Duration {
	d := min(time.Duration(req.HoldMS)*time.Millisecond, maxHold)
	if p.short {
		return min(d, shortHold)
	}
	return d
}
