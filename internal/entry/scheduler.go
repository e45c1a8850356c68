package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// summaryTerm is the time for which another entry's summary of free slots is used.
const summaryTerm = 1500 * time.Millisecond

// place is where a call runs: a slot of a local backend server, or an entry of
// another data centre.
type place struct {
	lent    routing.Lent
	forward string
}

// permit lets one call run, or refuses it.
type permit struct {
	place   place
	refused *admission.Refused
}

// remoteFree is the latest summary of an entry of another data centre.
type remoteFree struct {
	heardAt time.Time
	free    map[string]int
}

// scheduler joins the queues, the backend servers and the limit grants. Its lock
// is the only one that is held while a call is matched with a slot.
type scheduler struct {
	clock func() time.Time
	lease *holder
	// wake asks for a renewal because a team wants more units than it has.
	wake func()

	mu     sync.Mutex
	admit  *admission.Controller
	seen   *admission.Seen
	routes *routing.Registry
	demand *demand
	// asked holds the units of the latest renewal by team.
	asked   map[string]int
	running map[string]int
	permits map[*admission.Request]chan permit
	remotes map[string]*remoteFree
}

func newScheduler(clock func() time.Time, self string, policy admission.Policy, lease *holder, rnd *rand.Rand) *scheduler {
	now := clock()
	return &scheduler{
		clock:   clock,
		lease:   lease,
		wake:    func() {},
		admit:   admission.NewController(policy, rnd),
		seen:    admission.NewSeen(now),
		routes:  routing.NewRegistry(now, self, rnd),
		demand:  newDemand(now),
		running: map[string]int{},
		permits: map[*admission.Request]chan permit{},
		remotes: map[string]*remoteFree{},
	}
}

// repeated notes a request identifier and reports whether it was seen recently.
func (s *scheduler) repeated(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.Note(s.clock(), id)
}

// acquire waits for a place. With a place, the caller must end with release for
// the place and leave for the team's unit.
func (s *scheduler) acquire(ctx context.Context, req *admission.Request) (place, *admission.Refused) {
	granted, refused := s.enqueue(req)
	if refused != nil {
		return place{}, refused
	}
	select {
	case p := <-granted:
		return p.place, p.refused
	case <-ctx.Done():
		return place{}, s.abandon(req, granted)
	}
}

func (s *scheduler) enqueue(req *admission.Request) (chan permit, *admission.Refused) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.updateSlots(now, req.Service) == 0 && !s.routes.Known(now, req.Service) {
		return nil, s.admit.Refusal(now, api.CodeNoBackend, req)
	}
	if req.Team != "" {
		s.admit.SetLimit(req.Team, s.lease.units(now, req.Team))
	}
	shed, refused := s.admit.Offer(now, req)
	if refused != nil {
		return nil, refused
	}
	granted := make(chan permit, 1)
	s.permits[req] = granted
	if shed != nil {
		s.refuse(shed, s.admit.Refusal(now, api.CodeOverloaded, shed))
	}
	s.noteDemand(now, req.Team)
	s.pump(now, req.Service)
	return granted, nil
}

// abandon withdraws a waiting call whose caller is gone, or gives back a place
// that it was given at the same time.
func (s *scheduler) abandon(req *admission.Request, granted chan permit) *admission.Refused {
	s.mu.Lock()
	now := s.clock()
	waiting := s.admit.Cancel(req)
	delete(s.permits, req)
	refused := s.admit.Refusal(now, api.CodeTimeout, req)
	s.mu.Unlock()
	if waiting {
		return refused
	}
	p := <-granted
	if p.refused != nil {
		return p.refused
	}
	s.release(req.Service, p.place, routing.Unused, 0)
	s.leave(req.Team)
	return refused
}

func (s *scheduler) noteDemand(now time.Time, team string) {
	if team == "" {
		return
	}
	units := s.running[team] + s.admit.WaitingOf(team)
	s.demand.note(now, team, units)
	if units > s.asked[team] {
		s.wake()
	}
}

// pump matches waiting calls of a service with places until either runs out.
func (s *scheduler) pump(now time.Time, service string) {
	for s.admit.Queued(service) > 0 {
		where, ok := s.find(now, service, nil)
		if !ok {
			s.refuseLate(s.admit.Late(now, service))
			return
		}
		next, late := s.admit.Next(now, service, func(team string) bool { return s.allowed(now, team) })
		s.refuseLate(late)
		if next == nil {
			s.giveBack(now, service, where, routing.Unused)
			return
		}
		s.running[next.Team]++
		s.deliver(next, permit{place: where})
	}
}

// allowed reports whether one more call of the team is within its limit grant.
// Calls of open services belong to no team.
func (s *scheduler) allowed(now time.Time, team string) bool {
	return team == "" || s.running[team] < s.lease.units(now, team)
}

// find takes a local slot or, when there is none, a free one of another data centre.
func (s *scheduler) find(now time.Time, service string, exclude map[string]bool) (place, bool) {
	if lent, ok := s.routes.Pick(now, service, exclude); ok {
		return place{lent: lent}, true
	}
	best := ""
	for addr, r := range s.remotes {
		if now.Sub(r.heardAt) >= summaryTerm || r.free[service] <= 0 || exclude[addr] {
			continue
		}
		if best == "" || r.free[service] > s.remotes[best].free[service] {
			best = addr
		}
	}
	if best == "" {
		return place{}, false
	}
	s.remotes[best].free[service]--
	return place{forward: best}, true
}

func (s *scheduler) giveBack(now time.Time, service string, where place, outcome routing.Outcome) {
	if where.forward == "" {
		s.routes.Release(now, where.lent, outcome)
		return
	}
	if r, ok := s.remotes[where.forward]; ok && outcome != routing.Failed {
		r.free[service]++
	}
}

func (s *scheduler) deliver(req *admission.Request, p permit) {
	granted, ok := s.permits[req]
	if !ok {
		return
	}
	delete(s.permits, req)
	granted <- p
}

func (s *scheduler) refuse(req *admission.Request, refused *admission.Refused) {
	s.deliver(req, permit{refused: refused})
}

func (s *scheduler) refuseLate(late []*admission.Request) {
	now := s.clock()
	for _, req := range late {
		code := api.CodeDeadlineUnreachable
		if !s.allowed(now, req.Team) {
			code = api.CodeLimit
		}
		s.refuse(req, s.admit.Refusal(now, code, req))
	}
}

// again finds another place for a call that holds its team's unit.
func (s *scheduler) again(service string, exclude map[string]bool) (place, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(s.clock(), service, exclude)
}

// runTime returns the smoothed run time of a service, or 0 when it is not known.
func (s *scheduler) runTime(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit.RunTime(s.clock(), service)
}

// takeRetry takes one unit of the team's retry budget.
func (s *scheduler) takeRetry(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit.TakeRetry(team)
}

// release gives a place back. ran is the run time of a call that was answered, or 0.
func (s *scheduler) release(service string, where place, outcome routing.Outcome, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.giveBack(now, service, where, outcome)
	if ran > 0 {
		s.admit.Finished(now, service, ran)
	}
	s.pump(now, service)
}

// hold takes a further unit of the team, beyond its grant if need be: the call is
// already running.
func (s *scheduler) hold(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[team]++
	s.noteDemand(s.clock(), team)
}

// within reports whether the units that the team holds are within its limit
// grant, which hold may have passed.
func (s *scheduler) within(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return team == "" || s.running[team] <= s.lease.units(s.clock(), team)
}

// leave gives back the unit of the team.
func (s *scheduler) leave(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.running[team]--
	for _, service := range s.routes.Services() {
		s.pump(now, service)
	}
}

// current reports whether the holder of a place may still start a call there.
func (s *scheduler) current(where place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return where.forward != "" || s.routes.Current(s.clock(), where.lent)
}

// pickLocal takes a local slot at once, for a call forwarded from elsewhere.
func (s *scheduler) pickLocal(service string) (routing.Lent, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Pick(s.clock(), service, nil)
}

// updateSlots passes the present number of slots to the queues and returns it.
func (s *scheduler) updateSlots(now time.Time, service string) int {
	total, _ := s.routes.Capacity(now, service)
	for _, r := range s.remotes {
		if now.Sub(r.heardAt) < summaryTerm {
			total += max(r.free[service], 0)
		}
	}
	s.admit.SetSlots(service, total)
	return total
}

// tick drops what became late, refuses keyed work without a lease, and matches
// waiting calls with places that became free by the passing of time.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.routes.Forget(now)
	_, valid := s.lease.view(now)
	services := map[string]bool{}
	for req := range s.permits {
		services[req.Service] = true
		if !valid && req.Team != "" && s.admit.Cancel(req) {
			s.refuse(req, s.admit.Refusal(now, api.CodeNoLease, req))
		}
	}
	for service := range services {
		s.updateSlots(now, service)
		s.pump(now, service)
	}
}

// announce takes registrations and returns those that were news.
func (s *scheduler) announce(infos []wire.BackendInfo) []wire.BackendInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var news []wire.BackendInfo
	for _, info := range infos {
		if info.Sequence == 0 {
			info.Sequence = s.routes.NextSequence(info.Instance, info.Incarnation)
		}
		if s.routes.Announce(now, info) {
			news = append(news, info)
			s.updateSlots(now, info.Service)
			s.pump(now, info.Service)
		}
	}
	return news
}
