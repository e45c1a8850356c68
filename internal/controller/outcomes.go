package controller

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/retry"
)

// outcomesOf returns the outcomes to commit for ended attempts. For a failure it
// decides whether the job fails for good, and otherwise when it may run again.
func (c *Controller) outcomesOf(ends []attemptEnd) []fleet.JobOutcome {
	pools := c.poolWorkers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	outcomes := make([]fleet.JobOutcome, 0, len(ends))
	for _, end := range ends {
		o := fleet.JobOutcome{
			JobID: end.key.JobID, Attempt: end.key.Attempt, Kind: end.kind,
			Result: end.report.Result, Reason: end.report.Reason,
		}
		switch end.kind {
		case fleet.OutcomeFailed:
			c.decideFailure(&o, end, pools[end.pool], now)
		case fleet.OutcomeNotStarted:
			o.RetryDelayMS = c.backoff(1).Milliseconds()
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// decideFailure marks a failure as permanent if the failures are attributed to the
// job, and otherwise sets the delay of its retry. During a failure wave no failure is
// permanent and the delay is at least retry.WithheldDelay, as it is for a team
// without retry budget.
func (c *Controller) decideFailure(o *fleet.JobOutcome, end attemptEnd, workers []string, now fleet.Time) {
	if !c.attributesFailures() {
		return
	}
	wave := c.failureTracker.FailuresCorrelated(workers, now)
	if !wave && c.failureTracker.JobAtFault(end.key.JobID, end.failedOn, len(workers), now) {
		o.Permanent = true
		return
	}
	delay := c.backoff(len(end.failedOn))
	if !c.retryBudget.TakeRetry(end.team) || wave {
		delay = max(delay, retry.WithheldDelay)
	}
	o.RetryDelayMS = delay.Milliseconds()
}

// backoff returns the delay of a retry after the given number of failed attempts.
func (c *Controller) backoff(failures int) time.Duration {
	return retry.Backoff(failures, c.rng)
}

// recordEvidence records the committed end of an attempt for the attribution of
// failures. The caller holds mu.
func (c *Controller) recordEvidence(end attemptEnd, now fleet.Time) {
	delete(c.actions, end.key.JobID)
	switch end.kind {
	case fleet.OutcomeDone:
		c.failureTracker.Succeeded(end.worker, end.key.JobID, now)
	case fleet.OutcomeFailed:
		c.failureTracker.Failed(end.worker, end.key.JobID, now)
	}
}

// poolWorkers returns the names of the workers of each pool.
func (c *Controller) poolWorkers() map[string][]string {
	pools := map[string][]string{}
	c.log.Read(func(s *fleet.State) {
		for name, in := range s.Config.Instances {
			if in.Kind == fleet.KindWorker {
				pools[in.Pool] = append(pools[in.Pool], name)
			}
		}
	})
	return pools
}

// commitLost declares instances lost that have not reported for the length of a task
// lease and its margin. A new leader counts this time from its election.
func (c *Controller) commitLost(ctx context.Context) error {
	c.mu.Lock()
	now := c.log.Now()
	var lost []fleet.Observation
	if now.Sub(c.electedAt) > lease.TaskDuration+lease.TaskMargin {
		c.log.Read(func(s *fleet.State) {
			lost = c.lostObservations(s, now)
			for _, o := range lost {
				// A reboot that maintenance ordered does not count as a failure.
				if s.Status[o.Instance].Phase != fleet.PhaseRebooting {
					c.failureTracker.Lost(o.Instance, now)
				}
			}
		})
	}
	c.mu.Unlock()
	if len(lost) == 0 {
		return nil
	}
	_, err := c.propose(ctx, "lost", fleet.Command{Observe: &fleet.Observe{Observations: lost}})
	return err
}

// lostObservations returns the observations that declare instances lost.
func (c *Controller) lostObservations(s *fleet.State, now fleet.Time) []fleet.Observation {
	var lost []fleet.Observation
	for _, name := range sortedKeys(s.Status) {
		st := s.Status[name]
		if !st.Seen || st.Lost {
			continue
		}
		last := c.electedAt
		if w := c.workers[name]; w != nil {
			last = w.lastReportAt
		}
		if now.Sub(last) > lease.TaskDuration+lease.TaskMargin {
			lost = append(lost, fleet.Observation{Instance: name, Incarnation: st.Incarnation, Lost: true})
		}
	}
	return lost
}
