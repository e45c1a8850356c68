package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// callTarget is where a call runs: a slot of a local backend server or, if
// forwardAddr is set, the entry of another data centre at that peer address.
type callTarget struct {
	slot        routing.Slot
	forwardAddr string
}

// decision ends the wait of a call: it has a target, or refused is set.
type decision struct {
	target  callTarget
	refused *admission.Refusal
}

// scheduler combines the call queues, the backend servers and the limit grants. A
// call is matched with a slot under its lock alone.
type scheduler struct {
	clock func() time.Time
	lease *leaseState
	// dataCentre is the data centre of this entry.
	dataCentre string
	// requestRenewal asks for a renewal because a team wants more units than the
	// last one requested. It is called with mu held and must not block.
	requestRenewal func()

	mu     sync.Mutex
	admit  *admission.Controller
	seen   *admission.RecentIDs
	routes *routing.Registry
	demand *demand
	// requestedUnits holds the units that the latest renewal requested, by team.
	requestedUnits map[string]int
	// running holds the units in use by team; calls to open services count under
	// "".
	running map[string]int
	// waiting holds the channels on which the waiting calls get their decisions.
	waiting map[*admission.Request]chan decision
	// remotes is keyed by peer address.
	remotes map[string]*remoteCapacity
	// config is the configuration whose evacuations routing follows.
	config *fleet.Config
}

func newScheduler(clock func() time.Time, self, dataCentre string, policy admission.Policy, lease *leaseState, rnd *rand.Rand) *scheduler {
	now := clock()
	return &scheduler{
		clock:          clock,
		lease:          lease,
		dataCentre:     dataCentre,
		requestRenewal: func() {},
		admit:          admission.NewController(policy, rnd),
		seen:           admission.NewRecentIDs(now),
		routes:         routing.NewRegistry(now, self, rnd),
		demand:         newDemand(now),
		running:        map[string]int{},
		waiting:        map[*admission.Request]chan decision{},
		remotes:        map[string]*remoteCapacity{},
	}
}

// markSeen records a request identifier and reports whether it was seen recently.
func (s *scheduler) markSeen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen.Add(s.clock(), id)
}

// acquire waits for a target and a unit of the team. If it returns a target, the
// caller must see to it that releaseTarget is called for the target and releaseUnit
// for the team.
func (s *scheduler) acquire(ctx context.Context, req *admission.Request) (callTarget, *admission.Refusal) {
	decided, refused := s.enqueue(req)
	if refused != nil {
		return callTarget{}, refused
	}
	select {
	case d := <-decided:
		return d.target, d.refused
	case <-ctx.Done():
		return callTarget{}, s.cancelWait(req, decided)
	}
}

// enqueue queues a call and returns the channel on which it gets its decision, or
// refuses it at once.
func (s *scheduler) enqueue(req *admission.Request) (chan decision, *admission.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	if s.updateSlots(now, req.Service) == 0 && !s.mayServe(now, req.Service) {
		return nil, s.admit.Refusal(now, api.CodeNoBackend, req)
	}
	if req.Team != "" {
		s.admit.SetLimit(req.Team, s.lease.units(now, req.Team))
	}
	shed, refused := s.admit.Offer(now, req)
	if refused != nil {
		return nil, refused
	}
	decided := make(chan decision, 1)
	s.waiting[req] = decided
	if shed != nil {
		s.refuse(shed, s.admit.Refusal(now, api.CodeOverloaded, shed))
	}
	s.recordDemand(now, req.Team)
	s.matchWaiting(now, req.Service)
	return decided, nil
}

// cancelWait removes a waiting call whose context has ended, or returns a target
// that it was given at the same time.
func (s *scheduler) cancelWait(req *admission.Request, decided chan decision) *admission.Refusal {
	s.mu.Lock()
	now := s.clock()
	wasWaiting := s.admit.Cancel(req)
	delete(s.waiting, req)
	refused := s.admit.Refusal(now, api.CodeTimeout, req)
	s.mu.Unlock()
	if wasWaiting {
		return refused
	}
	d := <-decided
	if d.refused != nil {
		return d.refused
	}
	s.releaseTarget(req.Service, d.target, routing.Unused, 0)
	s.releaseUnit(req.Team)
	return refused
}

// recordDemand records the running and waiting calls of a team, and asks for a
// renewal if they exceed the units requested last. The caller holds s.mu.
func (s *scheduler) recordDemand(now time.Time, team string) {
	if team == "" {
		return
	}
	units := s.running[team] + s.admit.WaitingOfTeam(team)
	s.demand.record(now, team, units)
	if units > s.requestedUnits[team] {
		s.requestRenewal()
	}
}

// matchWaiting matches waiting calls of a service with targets until there are no
// more of either. The caller holds s.mu.
func (s *scheduler) matchWaiting(now time.Time, service string) {
	for s.admit.WaitingOfService(service) > 0 {
		target, ok := s.findTarget(now, service, nil)
		if !ok {
			s.refuseLate(s.admit.RemoveLate(now, service))
			return
		}
		next, late := s.admit.Next(now, service, func(team string) bool { return s.hasFreeUnit(now, team) })
		s.refuseLate(late)
		if next == nil {
			s.releaseTargetLocked(now, service, target, routing.Unused)
			return
		}
		s.running[next.Team]++
		s.deliver(next, decision{target: target})
	}
}

// hasFreeUnit reports whether one more call of the team is within its limit grant.
// Calls to open services belong to no team and need no unit. The caller holds s.mu.
func (s *scheduler) hasFreeUnit(now time.Time, team string) bool {
	return team == "" || s.running[team] < s.lease.units(now, team)
}

// findTarget takes a local slot or, if there is none, a free slot of another data
// centre, at the entry that reported most free slots. The caller holds s.mu.
func (s *scheduler) findTarget(now time.Time, service string, exclude map[string]bool) (callTarget, bool) {
	s.followConfig(now)
	if slot, ok := s.routes.Pick(now, service, exclude); ok {
		return callTarget{slot: slot}, true
	}
	best := ""
	for addr, r := range s.remotes {
		if !s.takesForwards(now, r) || r.free[service] <= 0 || exclude[addr] {
			continue
		}
		if best == "" || r.free[service] > s.remotes[best].free[service] {
			best = addr
		}
	}
	if best == "" {
		return callTarget{}, false
	}
	s.remotes[best].free[service]--
	return callTarget{forwardAddr: best}, true
}

// releaseTargetLocked returns a target and reports the outcome to routing. A slot
// of an entry that could not run the call does not count as free until its next
// report.
func (s *scheduler) releaseTargetLocked(now time.Time, service string, target callTarget, outcome routing.Outcome) {
	if target.forwardAddr == "" {
		s.routes.Release(now, target.slot, outcome)
		return
	}
	if r, ok := s.remotes[target.forwardAddr]; ok && outcome != routing.Failed {
		r.free[service]++
	}
}

// deliver sends a waiting call its decision, unless it no longer waits. The caller
// holds s.mu.
func (s *scheduler) deliver(req *admission.Request, d decision) {
	decided, ok := s.waiting[req]
	if !ok {
		return
	}
	delete(s.waiting, req)
	decided <- d
}

func (s *scheduler) refuse(req *admission.Request, refused *admission.Refusal) {
	s.deliver(req, decision{refused: refused})
}

// refuseLate refuses calls that can't finish within their time limit. The cause is
// the team's limit if the team has no free unit. The caller holds s.mu.
func (s *scheduler) refuseLate(late []*admission.Request) {
	now := s.clock()
	for _, req := range late {
		code := api.CodeDeadlineUnreachable
		if !s.hasFreeUnit(now, req.Team) {
			code = api.CodeLimit
		}
		s.refuse(req, s.admit.Refusal(now, code, req))
	}
}

// acquireRetryTarget acquires another target, without waiting, for a call that
// already holds its team's unit.
func (s *scheduler) acquireRetryTarget(service string, exclude map[string]bool) (callTarget, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.findTarget(s.clock(), service, exclude)
}

// runTime returns the smoothed run time of calls to a service, or 0 if it is not
// known.
func (s *scheduler) runTime(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit.RunTime(s.clock(), service)
}

// takeRetry takes one unit of the team's retry budget and reports whether there was
// one.
func (s *scheduler) takeRetry(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit.TakeRetry(team)
}

// releaseTarget returns a target. ran is the run time of a call that was answered,
// or 0.
func (s *scheduler) releaseTarget(service string, target callTarget, outcome routing.Outcome, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.releaseTargetLocked(now, service, target, outcome)
	if ran > 0 {
		s.admit.ObserveRunTime(now, service, ran)
	}
	s.matchWaiting(now, service)
}

// takeExtraUnit takes a further unit of the team, if need be beyond its limit
// grant, since the call is already running.
func (s *scheduler) takeExtraUnit(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[team]++
	s.recordDemand(s.clock(), team)
}

// withinGrant reports whether the units that the team holds are within its limit
// grant, which takeExtraUnit may have exceeded.
func (s *scheduler) withinGrant(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return team == "" || s.running[team] <= s.lease.units(s.clock(), team)
}

// releaseUnit returns one unit of the team.
func (s *scheduler) releaseUnit(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.running[team]--
	for _, service := range s.routes.Services() {
		s.matchWaiting(now, service)
	}
}

// isUsable reports whether a call may still be started on an acquired target: a
// local backend server has not left, expired or restarted since, and the data centre of
// the target was not evacuated.
func (s *scheduler) isUsable(target callTarget) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.followConfig(now)
	if target.forwardAddr == "" {
		return s.routes.SlotValid(now, target.slot)
	}
	r, ok := s.remotes[target.forwardAddr]
	return !ok || s.config == nil || !s.config.Evacuated(r.dataCentre)
}

// acquireLocalSlot takes a local slot without waiting, for a call that another data
// centre forwards.
func (s *scheduler) acquireLocalSlot(service string) (routing.Slot, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.followConfig(now)
	return s.routes.Pick(now, service, nil)
}

// updateSlots passes the present number of slots of a service to admission and
// returns it. The caller holds s.mu.
func (s *scheduler) updateSlots(now time.Time, service string) int {
	s.followConfig(now)
	total, _ := s.routes.Capacity(now, service)
	for _, r := range s.remotes {
		if s.takesForwards(now, r) {
			total += max(r.free[service], 0)
		}
	}
	s.admit.SetSlots(service, total)
	return total
}

// tick refuses waiting calls that can no longer finish within their time limit, those
// that an evacuation left without a backend server, and calls with a key while there is
// no valid lease. It matches the other waiting
// calls with targets that became free by the passage of time.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.routes.RemoveExpired(now)
	_, valid := s.lease.view(now)
	services := map[string]bool{}
	for req := range s.waiting {
		services[req.Service] = true
		if !valid && req.Team != "" && s.admit.Cancel(req) {
			s.refuse(req, s.admit.Refusal(now, api.CodeNoLease, req))
		}
	}
	for service := range services {
		s.updateSlots(now, service)
		s.refuseUnserved(now, service)
		s.matchWaiting(now, service)
	}
}

// registerBackends applies registrations and returns those that were accepted. A
// registration without a sequence number gets the next one of its incarnation.
func (s *scheduler) registerBackends(infos []wire.BackendInfo) []wire.BackendInfo {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	var accepted []wire.BackendInfo
	for _, info := range infos {
		if info.Sequence == 0 {
			info.Sequence = s.routes.NextSequence(info.Instance, info.Incarnation)
		}
		if s.routes.Announce(now, info) {
			accepted = append(accepted, info)
			s.updateSlots(now, info.Service)
			s.matchWaiting(now, info.Service)
		}
	}
	return accepted
}
