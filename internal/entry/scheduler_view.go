package entry

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// setEntries sets the live entries of this data centre.
func (s *scheduler) setEntries(live []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes.SetEntries(s.clock(), live)
}

// settled reports whether this entry uses its full part of the backend servers.
func (s *scheduler) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Settled(s.clock())
}

// heardSummary takes the free slots of an entry of another data centre.
func (s *scheduler) heardSummary(addr string, free map[string]int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draining {
		delete(s.remotes, addr)
		return
	}
	if free == nil {
		free = map[string]int{}
	}
	now := s.clock()
	s.remotes[addr] = &remoteFree{heardAt: now, free: free}
	for service := range free {
		s.updateSlots(now, service)
		s.pump(now, service)
	}
}

// summary returns the registrations and the free slots that no waiting call wants.
func (s *scheduler) summary() (backends []wire.BackendInfo, free map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	free = map[string]int{}
	for _, service := range s.routes.Services() {
		_, n := s.routes.Capacity(now, service)
		if n -= s.admit.WaitingOfService(service); n > 0 {
			free[service] = n
		}
	}
	return s.routes.Snapshot(now), free
}

// wanted returns the units to ask for and the units in use, by team.
func (s *scheduler) wanted(config *fleet.Config) (wanted, used map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	waiting := s.admit.WaitingByTeam()
	var teams []string
	if config != nil {
		for name := range config.Teams {
			teams = append(teams, name)
			s.demand.note(now, name, s.running[name]+waiting[name])
		}
	}
	used = map[string]int{}
	for name, n := range s.running {
		if n > 0 && name != "" {
			used[name] = n
		}
	}
	s.asked = s.demand.wanted(now, teams)
	return s.asked, used
}

// takeReply passes shares, usage across the fleet and draining backend servers on.
func (s *scheduler) takeReply(config *fleet.Config, usage map[string]int, draining []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	shares := map[string]int{}
	elsewhere := map[string]int{}
	for name, team := range config.Teams {
		shares[name] = team.Share
		elsewhere[name] = usage[name] - s.running[name]
	}
	s.admit.SetShares(shares)
	s.admit.SetRemoteUnits(now, elsewhere)
	s.routes.SetDraining(draining)
	for _, service := range s.routes.Services() {
		s.pump(now, service)
	}
}

// busy returns the number of calls that wait or run.
func (s *scheduler) busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.permits)
	for _, running := range s.running {
		n += running
	}
	return n
}

// queued returns the number of waiting calls.
func (s *scheduler) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.permits)
}
