package entry

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// setLiveEntries sets the live entries of this data centre, which divide the slots
// of its backend servers among them.
func (s *scheduler) setLiveEntries(live []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routes.SetEntries(s.clock(), live)
}

// settled reports whether this entry uses its full part of the backend servers,
// which it does not for a time after the set of live entries changed.
func (s *scheduler) settled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Settled(s.clock())
}

// updateRemoteCapacity stores the free slots by service that the entry of another data
// centre at a peer address reports. A draining entry is removed.
func (s *scheduler) updateRemoteCapacity(addr, dataCentre string, free map[string]int, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if draining {
		delete(s.remotes, addr)
		return
	}
	now := s.clock()
	s.remotes[addr] = s.remotes[addr].report(now, dataCentre, free)
	for service := range free {
		s.updateSlots(now, service)
		s.matchWaiting(now, service)
	}
}

// capacitySummary returns the registrations of backend servers, and by service the
// free slots that no waiting call needs.
func (s *scheduler) capacitySummary() (backends []wire.BackendInfo, free map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	s.followConfig(now)
	free = map[string]int{}
	for _, service := range s.routes.Services() {
		_, n := s.routes.Capacity(now, service)
		if n -= s.admit.WaitingOfService(service); n > 0 {
			free[service] = n
		}
	}
	return s.routes.Snapshot(now), free
}

// wantedUnits returns the units to request and the units in use, by team.
func (s *scheduler) wantedUnits(config *fleet.Config) (wanted, used map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	waiting := s.admit.WaitingByTeam()
	var teams []string
	if config != nil {
		for name := range config.Teams {
			teams = append(teams, name)
			s.demand.record(now, name, s.running[name]+waiting[name])
		}
	}
	used = map[string]int{}
	for name, n := range s.running {
		if n > 0 && name != "" {
			used[name] = n
		}
	}
	s.requestedUnits = s.demand.wantedUnits(now, teams)
	return s.requestedUnits, used
}

// applyRenewal applies the shares of the teams, their usage across the fleet and
// the draining backend servers from an accepted renewal.
func (s *scheduler) applyRenewal(config *fleet.Config, usage map[string]int, draining []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock()
	shares := map[string]int{}
	usedElsewhere := map[string]int{}
	for name, team := range config.Teams {
		shares[name] = team.Share
		usedElsewhere[name] = usage[name] - s.running[name]
	}
	s.admit.SetShares(shares)
	s.admit.SetRemoteUnits(now, usedElsewhere)
	s.routes.SetDraining(draining)
	for _, service := range s.routes.Services() {
		s.matchWaiting(now, service)
	}
}

// inFlight returns the number of waiting and running calls.
func (s *scheduler) inFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.waiting)
	for _, running := range s.running {
		n += running
	}
	return n
}

// queued returns the number of waiting calls.
func (s *scheduler) queued() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
