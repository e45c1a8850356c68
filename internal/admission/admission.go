// Package admission decides which calls may wait for a slot of a service, in which
// order they get one, and which are refused.
//
// With PolicyFair, each team has a bounded queue for each service, and slots go to the
// team with the least recent usage for its share. Calls that can't finish before their
// deadline and retries beyond a team's budget are refused.
//
// The package does no I/O and reads no clock: time is a parameter, and the random
// source is given at construction. Its types are not safe for concurrent use.
package admission

import (
	"math/rand/v2"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
)

// Policy selects how calls are admitted and ordered. Its values are used in settings.
type Policy string

// Policies. PolicyFIFO is the baseline: first come, first served, without bounds,
// budgets or deadlines.
const (
	PolicyFair Policy = "fair"
	PolicyFIFO Policy = "fifo"
)

const (
	// QueueLimit is the maximum number of waiting calls of one team for one service.
	QueueLimit = 256
	// minRetryAfter and maxRetryAfter bound the estimated wait from which the
	// RetryAfter of a refusal is drawn.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// retryQueueDivisor limits queued retries: a retry is refused while its team's
	// queue holds QueueLimit/retryQueueDivisor calls or more.
	retryQueueDivisor = 4
)

// Request is a call that waits for a slot.
type Request struct {
	Team     string
	Service  string
	Deadline time.Time
	// Retry is true for every attempt after the first.
	Retry bool

	seq uint64
}

// Refusal is the error for a call that was not admitted. The call has not run.
type Refusal struct {
	Code api.Code
	// RetryAfter is the time after which the caller should retry. It is random, so
	// that refused callers don't retry at the same time.
	RetryAfter time.Duration
}

// Error returns the refusal's code with the prefix "admission: ".
func (r *Refusal) Error() string { return "admission: " + string(r.Code) }

// Controller holds the waiting calls of all services at one entry, and the usage and
// retry budgets of the teams.
type Controller struct {
	policy   Policy
	rnd      *rand.Rand
	seq      uint64
	services map[string]*service
	teams    map[string]*team
}

// service holds the queues of one service, by team, and the statistics of its run
// times.
type service struct {
	queues map[string][]*Request
	total  int
	slots  int
	// meanRunTime is the moving average of the run times of answered calls; 0 before
	// the first.
	meanRunTime time.Duration
	// deviation is the moving average of the absolute difference of a run time from
	// meanRunTime.
	deviation time.Duration
	// lastCompletion is the time at which a run time was last observed.
	lastCompletion time.Time
	// earliestDeadline is a lower bound of the deadlines of the waiting calls. The
	// queues are searched for late calls only when it shows that there may be one.
	earliestDeadline time.Time
}

// NewController returns a controller without waiting calls. An unknown policy means
// PolicyFair. rnd spreads the retry times of refusals.
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

// SetSlots sets the number of calls of the service that may run at once.
func (c *Controller) SetSlots(service string, slots int) {
	c.service(service).slots = slots
}

// Offer queues a call or refuses it. PolicyFIFO queues every call. PolicyFair refuses
// a call that is not expected to finish before its deadline, a retry beyond the limits
// on retries, and a call whose team's queue is full. A first attempt that meets a full
// queue replaces the newest waiting retry of its team, which is returned as shed and
// must be refused with api.CodeOverloaded.
func (c *Controller) Offer(now time.Time, req *Request) (shed *Request, err *Refusal) {
	s := c.service(req.Service)
	t := c.team(req.Team)
	if c.policy == PolicyFIFO {
		c.enqueue(now, s, req)
		return nil, nil
	}
	if !req.Retry {
		t.budget.deposit()
	}
	if wait := c.estimateWait(now, s, req); now.Add(wait + s.requiredTime(now)).After(req.Deadline) {
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
			return nil, c.refuse(api.CodeQueueFull, c.estimateWait(now, s, req))
		}
		c.remove(s, shed)
	}
	c.enqueue(now, s, req)
	return shed, nil
}

// checkRetry refuses a retry while its team's queue is long or its retry budget is
// used up. Otherwise it takes the retry from the budget and returns nil.
func (c *Controller) checkRetry(now time.Time, s *service, t *team, req *Request) *Refusal {
	if len(s.queues[req.Team]) >= QueueLimit/retryQueueDivisor {
		return c.refuse(api.CodeOverloaded, c.estimateWait(now, s, req))
	}
	if !t.budget.take() {
		return c.refuse(api.CodeRetryBudget, c.estimateWait(now, s, req))
	}
	return nil
}

// Refusal returns the refusal with the given code for a call that was queued and will
// not run. RetryAfter depends on the current estimate of the wait.
func (c *Controller) Refusal(now time.Time, code api.Code, req *Request) *Refusal {
	return c.refuse(code, c.estimateWait(now, c.service(req.Service), req))
}

// refuse returns a refusal whose RetryAfter is evenly distributed between half and one
// and a half times the wait, so that refused callers don't retry at the same time.
func (c *Controller) refuse(code api.Code, wait time.Duration) *Refusal {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	jitter := time.Duration(c.rnd.Int64N(int64(wait)))
	return &Refusal{Code: code, RetryAfter: wait/2 + jitter}
}

// enqueue appends the call to its team's queue.
func (c *Controller) enqueue(now time.Time, s *service, req *Request) {
	c.seq++
	req.seq = c.seq
	c.limitIdleCredit(now, req.Team)
	s.queues[req.Team] = append(s.queues[req.Team], req)
	s.noteDeadline(req.Deadline)
	s.total++
	c.team(req.Team).queued++
}

// estimateWait returns the expected time until a new call gets a slot, or 0 when the
// slots or the run time are not known. It divides the number of calls ahead by the
// rate at which slots become free. The calls ahead are either all waiting calls, or
// those of the call's own team at the team's share of the rate; the smaller estimate
// counts. A team at its upper limit waits until its own calls end.
func (c *Controller) estimateWait(now time.Time, s *service, req *Request) time.Duration {
	ran := s.runTime(now)
	if s.slots == 0 || ran == 0 {
		return 0
	}
	perCall := float64(ran) / float64(s.slots)
	all := float64(s.total) * perCall
	own := float64(len(s.queues[req.Team])) * perCall / c.shareFraction(s, req.Team)
	return time.Duration(max(min(all, own), c.estimateLimitWait(s, req, ran)))
}

// estimateLimitWait returns the expected time in nanoseconds until the team's upper
// limit permits a new call, or 0 when the limit is not known.
func (c *Controller) estimateLimitWait(s *service, req *Request, ran time.Duration) float64 {
	limit := c.team(req.Team).limit
	if limit == 0 {
		return 0
	}
	return float64(len(s.queues[req.Team])) * float64(ran) / float64(limit)
}

// shareFraction returns the team's share as a fraction of the shares of all teams with
// calls that wait for the service.
func (c *Controller) shareFraction(s *service, team string) float64 {
	own := c.team(team).share
	sum := own
	for other, queue := range s.queues {
		if other != team && len(queue) > 0 {
			sum += c.team(other).share
		}
	}
	return own / sum
}

const (
	// runTimeWeight is the weight of one completion in the moving averages of the run
	// time.
	runTimeWeight = 0.1
	// deviationFactor is the number of mean deviations above the mean run time for
	// which a call should have time left. With 2, nine of ten exponentially
	// distributed run times fit.
	deviationFactor = 2
	// runTimeValidity is the time after the last completion for which the run time is
	// used. Without it, an estimate that refuses all calls would never be corrected,
	// since no call would complete.
	runTimeValidity = time.Second
)

// runTime returns the mean run time, or 0 when it is not known or too old.
func (s *service) runTime(now time.Time) time.Duration {
	if now.Sub(s.lastCompletion) > runTimeValidity {
		return 0
	}
	return s.meanRunTime
}

// requiredTime returns the time that a call must have left until its deadline when it
// gets a slot, or 0 when the run time is not known. Since run times vary, a call with
// only the mean left would often finish too late and waste its slot.
func (s *service) requiredTime(now time.Time) time.Duration {
	if s.runTime(now) == 0 {
		return 0
	}
	return s.meanRunTime + deviationFactor*s.deviation
}

// RunTime returns the mean run time of the service, or 0 when no call of it completed
// within the last second.
func (c *Controller) RunTime(now time.Time, service string) time.Duration {
	return c.service(service).runTime(now)
}

// ObserveRunTime adds the run time of an answered call to the estimate for the named
// service.
func (c *Controller) ObserveRunTime(now time.Time, service string, ran time.Duration) {
	s := c.service(service)
	s.lastCompletion = now
	if s.meanRunTime == 0 {
		s.meanRunTime = ran
		return
	}
	delta := ran - s.meanRunTime
	s.meanRunTime += time.Duration(runTimeWeight * float64(delta))
	s.deviation += time.Duration(runTimeWeight * float64(max(delta, -delta)-s.deviation))
}

// TakeRetry takes one retry from the team's retry budget, for a retry that the entry
// itself makes. It reports whether the budget allowed it; with PolicyFIFO it always
// does.
func (c *Controller) TakeRetry(team string) bool {
	return c.policy == PolicyFIFO || c.team(team).budget.take()
}

// WaitingByTeam returns the number of waiting calls of each team that has any.
func (c *Controller) WaitingByTeam() map[string]int {
	out := map[string]int{}
	for name, t := range c.teams {
		if t.queued > 0 {
			out[name] = t.queued
		}
	}
	return out
}

// WaitingOfTeam returns the number of waiting calls of a team for all services.
func (c *Controller) WaitingOfTeam(team string) int { return c.team(team).queued }

// WaitingOfService returns the number of waiting calls for a service.
func (c *Controller) WaitingOfService(service string) int { return c.service(service).total }
