package admission

import (
	"slices"
	"sort"
	"time"
)

// Next takes the next call of a service for a slot: the first call of the team
// that used least for its share, among the teams for which allowed returns true.
// late are the calls that were dropped because they can't finish on time.
func (c *Controller) Next(now time.Time, name string, allowed func(team string) bool) (next *Request, late []*Request) {
	s := c.service(name)
	if c.policy != PolicyFIFO {
		late = c.dropLate(now, s)
	}
	team, ok := c.choose(now, s, allowed)
	if !ok {
		return nil, late
	}
	next = s.queues[team][0]
	c.remove(s, next)
	c.charge(now, s, team)
	return next, late
}

// choose returns the team whose call is next.
func (c *Controller) choose(now time.Time, s *service, allowed func(string) bool) (best string, found bool) {
	for _, name := range s.waitingTeams() {
		if !allowed(name) {
			continue
		}
		if !found || c.before(now, s, name, best) {
			best, found = name, true
		}
	}
	return best, found
}

// before reports whether team a goes before team b.
func (c *Controller) before(now time.Time, s *service, a, b string) bool {
	if c.policy == PolicyFIFO {
		return s.queues[a][0].seq < s.queues[b][0].seq
	}
	return c.team(a).used(now) < c.team(b).used(now)
}

// waitingTeams returns the teams with waiting calls in a fixed order.
func (s *service) waitingTeams() []string {
	names := make([]string, 0, len(s.queues))
	for name, queue := range s.queues {
		if len(queue) > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// dropLate removes the waiting calls that can't finish before their deadline.
func (c *Controller) dropLate(now time.Time, s *service) []*Request {
	if !now.Add(s.needed(now)).After(s.soonest) {
		return nil
	}
	var late []*Request
	s.soonest = now.Add(farFuture)
	for _, name := range s.waitingTeams() {
		for _, req := range s.queues[name] {
			if now.Add(s.needed(now)).After(req.Deadline) {
				late = append(late, req)
				continue
			}
			s.note(req.Deadline)
		}
	}
	for _, req := range late {
		c.remove(s, req)
	}
	return late
}

// RemoveLate removes and returns the waiting calls of a service that are too late.
func (c *Controller) RemoveLate(now time.Time, name string) []*Request {
	if c.policy == PolicyFIFO {
		return nil
	}
	return c.dropLate(now, c.service(name))
}

// Cancel removes a waiting call. It reports whether the call was still waiting.
func (c *Controller) Cancel(req *Request) bool {
	return c.remove(c.service(req.Service), req)
}

func (c *Controller) remove(s *service, req *Request) bool {
	queue := s.queues[req.Team]
	for i, r := range queue {
		if r == req {
			s.queues[req.Team] = without(queue, i)
			s.total--
			c.team(req.Team).queued--
			return true
		}
	}
	return false
}

// without removes one element; the usual one is the first, which costs no copy.
func without(queue []*Request, i int) []*Request {
	if i == 0 {
		queue[0] = nil
		return queue[1:]
	}
	return slices.Delete(queue, i, i+1)
}

// farFuture is later than any deadline.
const farFuture = 24 * time.Hour

// note lowers the soonest deadline.
func (s *service) note(deadline time.Time) {
	if s.total == 0 || deadline.Before(s.soonest) {
		s.soonest = deadline
	}
}

// newestRetry returns the last queued retry of a team, or nil.
func (s *service) newestRetry(team string) *Request {
	queue := s.queues[team]
	for i := len(queue) - 1; i >= 0; i-- {
		if queue[i].Retry {
			return queue[i]
		}
	}
	return nil
}
