// Package admission decides which calls wait for a slot, in which order they get
// one, and which are refused at once. It does no I/O and reads no clock: time is a
// parameter, and randomness is a source given at construction. A Controller is
// not safe for concurrent use.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
)

// Policy selects how calls are admitted and ordered.
type Policy string

// Policies. PolicyFIFO is the baseline: first come, first served, without bounds,
// budgets or deadlines.
const (
	PolicyFair Policy = "fair"
	PolicyFIFO Policy = "fifo"
)

const (
	// QueueLimit bounds the waiting calls of one team for one service.
	QueueLimit = 256
	// shortestRetry and longestRetry bound the retry time of a refusal.
	shortestRetry = 100 * time.Millisecond
	longestRetry  = 5 * time.Second
	// retryQueueShare is the inverse of the part of a queue that retries may fill.
	retryQueueShare = 4
)

// Request is one call that waits for a slot.
type Request struct {
	Team     string
	Service  string
	Deadline time.Time
	// Retry is true for every attempt but the first.
	Retry bool

	seq uint64
}

// Refused tells why a call was not admitted; it was not run.
type Refused struct {
	Code       api.Code
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refused) Error() string { return "admission: " + string(r.Code) }

// Controller holds the waiting calls of all services.
type Controller struct {
	policy   Policy
	rnd      *rand.Rand
	seq      uint64
	services map[string]*service
	teams    map[string]*team
}

// service holds the queues of one service.
type service struct {
	queues map[string][]*Request
	total  int
	slots  int
	// mean is the smoothed run time of recent completions; 0 before the first.
	mean time.Duration
	// dev is the smoothed absolute deviation of the run time from its mean.
	dev time.Duration
	// meanAt is when the last call completed.
	meanAt time.Time
	// soonest is no later than the first deadline of a waiting call, so that the
	// queues are searched for late calls only when there may be one.
	soonest time.Time
}

// NewController returns an empty controller; an unknown policy is PolicyFair.
func NewController(policy Policy, rnd *rand.Rand) *Controller {
	return &Controller{
		policy:   policy,
		rnd:      rnd,
		services: map[string]*service{},
		teams:    map[string]*team{},
	}
}

func (c *Controller) service(name string) *service {
	s, ok := c.services[name]
	if !ok {
		s = &service{queues: map[string][]*Request{}}
		c.services[name] = s
	}
	return s
}

// SetSlots sets the number of calls of a service that may run at once.
func (c *Controller) SetSlots(name string, slots int) {
	c.service(name).slots = slots
}

// Offer queues a call or refuses it. shed is a waiting retry that gave way to it;
// its refusal is api.CodeOverloaded.
func (c *Controller) Offer(now time.Time, req *Request) (shed *Request, err *Refused) {
	s := c.service(req.Service)
	t := c.team(req.Team)
	if c.policy == PolicyFIFO {
		c.push(now, s, req)
		return nil, nil
	}
	if !req.Retry {
		t.budget.deposit()
	}
	if wait := c.wait(now, s, req); now.Add(wait + s.needed(now)).After(req.Deadline) {
		return nil, c.refuse(api.CodeDeadlineUnreachable, wait)
	}
	if req.Retry {
		if err := c.checkRetry(now, s, t, req); err != nil {
			return nil, err
		}
	}
	if len(s.queues[req.Team]) >= QueueLimit {
		shed = s.newestRetry(req.Team)
		if shed == nil || req.Retry {
			return nil, c.refuse(api.CodeQueueFull, c.wait(now, s, req))
		}
		c.remove(s, shed)
	}
	c.push(now, s, req)
	return shed, nil
}

// checkRetry refuses a retry while its team's queue is long or its budget is used up.
func (c *Controller) checkRetry(now time.Time, s *service, t *team, req *Request) *Refused {
	if len(s.queues[req.Team]) >= QueueLimit/retryQueueShare {
		return c.refuse(api.CodeOverloaded, c.wait(now, s, req))
	}
	if !t.budget.take() {
		return c.refuse(api.CodeRetryBudget, c.wait(now, s, req))
	}
	return nil
}

// Refusal returns the refusal of a call that was queued and is not run.
func (c *Controller) Refusal(now time.Time, code api.Code, req *Request) *Refused {
	return c.refuse(code, c.wait(now, c.service(req.Service), req))
}

// refuse spreads the retry time evenly over half to one and a half times the
// wait, so that refused callers do not return together.
func (c *Controller) refuse(code api.Code, wait time.Duration) *Refused {
	wait = min(max(wait, shortestRetry), longestRetry)
	jitter := time.Duration(c.rnd.Int64N(int64(wait)))
	return &Refused{Code: code, RetryAfter: wait/2 + jitter}
}

func (c *Controller) push(now time.Time, s *service, req *Request) {
	c.seq++
	req.seq = c.seq
	c.activate(now, req.Team)
	s.queues[req.Team] = append(s.queues[req.Team], req)
	s.note(req.Deadline)
	s.total++
	c.team(req.Team).queued++
}

// wait estimates the time until a new call gets a slot: the calls ahead of it,
// over the rate at which slots become free. The calls ahead are all waiting ones,
// or those of its own team at the team's part of the rate, whichever is less. A
// team at its upper limit waits for its own calls to end.
func (c *Controller) wait(now time.Time, s *service, req *Request) time.Duration {
	ran := s.runTime(now)
	if s.slots == 0 || ran == 0 {
		return 0
	}
	perCall := float64(ran) / float64(s.slots)
	all := float64(s.total) * perCall
	own := float64(len(s.queues[req.Team])) * perCall / c.part(s, req.Team)
	return time.Duration(max(min(all, own), c.limitWait(s, req, ran)))
}

// limitWait estimates the wait for the team's own units under its upper limit.
func (c *Controller) limitWait(s *service, req *Request, ran time.Duration) float64 {
	limit := c.team(req.Team).limit
	if limit == 0 {
		return 0
	}
	return float64(len(s.queues[req.Team])) * float64(ran) / float64(limit)
}

// part returns the share of the team among the teams that wait for the service.
func (c *Controller) part(s *service, name string) float64 {
	own := c.team(name).share
	sum := own
	for other, queue := range s.queues {
		if other != name && len(queue) > 0 {
			sum += c.team(other).share
		}
	}
	return own / sum
}

const (
	// meanWeight is the weight of one completion in the smoothed run time.
	meanWeight = 0.1
	// devWeight makes nine of ten exponentially distributed run times fit.
	devWeight = 2
	// meanTerm is the time for which the run time is used without a completion.
	// An estimate that refuses all calls would otherwise never be corrected.
	meanTerm = time.Second
)

// runTime returns the smoothed run time, or 0 when it is not known.
func (s *service) runTime(now time.Time) time.Duration {
	if now.Sub(s.meanAt) > meanTerm {
		return 0
	}
	return s.mean
}

// needed returns the time that a call should have left when it gets a slot. With
// run times that vary, a call with just the mean left often ends too late and
// wastes its slot.
func (s *service) needed(now time.Time) time.Duration {
	if s.runTime(now) == 0 {
		return 0
	}
	return s.mean + devWeight*s.dev
}

// RunTime returns the smoothed run time of a service, or 0 when it is not known.
func (c *Controller) RunTime(now time.Time, name string) time.Duration {
	return c.service(name).runTime(now)
}

// Finished takes the run time of a call that was answered.
func (c *Controller) Finished(now time.Time, name string, ran time.Duration) {
	s := c.service(name)
	s.meanAt = now
	if s.mean == 0 {
		s.mean = ran
		return
	}
	off := ran - s.mean
	s.mean += time.Duration(meanWeight * float64(off))
	s.dev += time.Duration(meanWeight * float64(max(off, -off)-s.dev))
}

// TakeRetry takes one unit of the team's retry budget, for a repetition by the
// system itself.
func (c *Controller) TakeRetry(name string) bool {
	return c.policy == PolicyFIFO || c.team(name).budget.take()
}

// Waiting returns the number of waiting calls by team.
func (c *Controller) Waiting() map[string]int {
	out := map[string]int{}
	for name, t := range c.teams {
		if t.queued > 0 {
			out[name] = t.queued
		}
	}
	return out
}

// WaitingOf returns the number of waiting calls of a team.
func (c *Controller) WaitingOf(name string) int { return c.team(name).queued }

// Queued returns the number of waiting calls of a service.
func (c *Controller) Queued(name string) int { return c.service(name).total }
