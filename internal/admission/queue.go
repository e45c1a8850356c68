package admission

import (
	"slices"
	"sort"
	"time"
)

// Next removes and returns the call that gets the next free slot of the service, or
// nil when there is none. With PolicyFair it is the first call of the team with the
// least usage for its share, with PolicyFIFO the oldest call. Teams for which allowed
// returns false are skipped. late holds the calls that were removed because they can't
// finish before their deadline; the caller has to refuse them.
func (c *Controller) Next(now time.Time, service string, allowed func(team string) bool) (next *Request, late []*Request) {
	s := c.service(service)
	if c.policy != PolicyFIFO {
		late = c.removeLate(now, s)
	}
	team, ok := c.nextTeam(now, s, allowed)
	if !ok {
		return nil, late
	}
	next = s.queues[team][0]
	c.remove(s, next)
	c.charge(now, s, team)
	return next, late
}

// nextTeam returns the team whose call gets the next slot.
func (c *Controller) nextTeam(now time.Time, s *service, allowed func(string) bool) (best string, found bool) {
	for _, name := range s.waitingTeams() {
		if !allowed(name) {
			continue
		}
		if !found || c.servedBefore(now, s, name, best) {
			best, found = name, true
		}
	}
	return best, found
}

// servedBefore reports whether team a is served before team b. Both have waiting
// calls.
func (c *Controller) servedBefore(now time.Time, s *service, a, b string) bool {
	if c.policy == PolicyFIFO {
		return s.queues[a][0].seq < s.queues[b][0].seq
	}
	return c.team(a).decayedUsage(now) < c.team(b).decayedUsage(now)
}

// waitingTeams returns the teams with waiting calls, sorted by name.
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

// removeLate removes and returns the waiting calls that can't finish before their
// deadline.
func (c *Controller) removeLate(now time.Time, s *service) []*Request {
	if !now.Add(s.requiredTime(now)).After(s.earliestDeadline) {
		return nil
	}
	var late []*Request
	s.earliestDeadline = now.Add(farFuture)
	for _, name := range s.waitingTeams() {
		for _, req := range s.queues[name] {
			if now.Add(s.requiredTime(now)).After(req.Deadline) {
				late = append(late, req)
				continue
			}
			s.noteDeadline(req.Deadline)
		}
	}
	for _, req := range late {
		c.remove(s, req)
	}
	return late
}

// RemoveLate removes and returns the waiting calls of the service that can't finish
// before their deadline; the caller has to refuse them. With PolicyFIFO it does
// nothing.
func (c *Controller) RemoveLate(now time.Time, service string) []*Request {
	if c.policy == PolicyFIFO {
		return nil
	}
	return c.removeLate(now, c.service(service))
}

// Cancel removes a waiting call. It returns false when the call was not waiting any
// more.
func (c *Controller) Cancel(req *Request) bool {
	return c.remove(c.service(req.Service), req)
}

func (c *Controller) remove(s *service, req *Request) bool {
	queue := s.queues[req.Team]
	for i, r := range queue {
		if r == req {
			s.queues[req.Team] = removeAt(queue, i)
			s.total--
			c.team(req.Team).queued--
			return true
		}
	}
	return false
}

// removeAt removes the element at index i. Usually that is the first one, which needs
// no copying.
func removeAt(queue []*Request, i int) []*Request {
	if i == 0 {
		queue[0] = nil
		return queue[1:]
	}
	return slices.Delete(queue, i, i+1)
}

// farFuture is the time from now to a point that is later than any deadline.
const farFuture = 24 * time.Hour

// noteDeadline updates earliestDeadline for a waiting call with the given deadline.
func (s *service) noteDeadline(deadline time.Time) {
	if s.total == 0 || deadline.Before(s.earliestDeadline) {
		s.earliestDeadline = deadline
	}
}

// newestRetry returns the last retry in a team's queue, or nil.
func (s *service) newestRetry(team string) *Request {
	queue := s.queues[team]
	for i := len(queue) - 1; i >= 0; i-- {
		if queue[i].Retry {
			return queue[i]
		}
	}
	return nil
}
