package control

import (
	"context"
	"slices"
	"strings"
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
	return divide(s.demandOf(st, team, s.liveHolders(st))).jobs
}

// liveHolder is a process that may hold a lease, with its grants by team.
type liveHolder struct {
	name    string
	entry   *entry
	granted map[string]int
}

// liveHolders returns the processes that may hold a lease, sorted by name.
func (s *Server) liveHolders(st *fleet.State) []liveHolder {
	now := s.clock.Now()
	live := make([]liveHolder, 0, len(s.entries))
	for name, e := range s.entries {
		if s.granter.MayHold(name, now) {
			live = append(live, liveHolder{name: name, entry: e, granted: st.Grants[name]})
		}
	}
	slices.SortFunc(live, func(a, b liveHolder) int { return strings.Compare(a.name, b.name) })
	return live
}

// demandOf returns the demand of a team, with the calls of each live holder in order.
func (s *Server) demandOf(st *fleet.State, team string, live []liveHolder) demand {
	d := demand{
		limit:   st.Config.Teams[team].Limit,
		running: st.Running(team),
		queued:  st.QueuedOfTeam(team),
		silent:  st.Granted(team),
		turn:    int64(st.Now) / turnLength.Milliseconds(),
	}
	d.calls = make([]callDemand, len(live))
	for i, h := range live {
		granted := h.granted[team]
		d.silent -= granted
		d.calls[i] = callDemand{wanted: max(0, h.entry.wanted[team], h.entry.used[team]), granted: granted}
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
		live := s.liveHolders(st)
		i := slices.IndexFunc(live, func(h liveHolder) bool { return h.name == holder })
		if i < 0 {
			return
		}
		for team := range teamsOf(req, st.Grants[holder]) {
			s.planTeam(&p, st, req, live, i, team, grow)
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

// planTeam plans the grant of one team to the live holder with number i.
func (s *Server) planTeam(p *plan, st *fleet.State, req wire.RenewRequest, live []liveHolder, i int, team string, grow bool) {
	d := s.demandOf(st, team, live)
	present := d.calls[i].granted
	target := divide(d).calls[i]
	next := target
	switch {
	case target > present && grow:
		free := d.limit - st.Running(team) - st.Granted(team)
		next = min(target, present+max(0, free))
	case target > present || live[i].entry.resent:
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
	return !s.clock.Now().Before(s.granter.Until(holder).Add(releaseDelay))
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
