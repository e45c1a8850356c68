package controller

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/retry"
)

// judge turns reported ends into outcomes: whether a failure is permanent, and
// when the job may run again.
func (c *Controller) judge(found []finding) []fleet.JobOutcome {
	pools := c.poolWorkers()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	outcomes := make([]fleet.JobOutcome, 0, len(found))
	for _, f := range found {
		o := fleet.JobOutcome{
			JobID: f.key.JobID, Attempt: f.key.Attempt, Kind: f.kind,
			Result: f.report.Result, Reason: f.report.Reason,
		}
		switch f.kind {
		case fleet.OutcomeFailed:
			c.judgeFailure(&o, f, pools[f.pool], now)
		case fleet.OutcomeNotStarted:
			o.RetryDelayMS = c.backoff(1).Milliseconds()
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// judgeFailure fails a job for good when the evidence speaks against it, and
// otherwise holds it back. During a failure wave there is no verdict.
func (c *Controller) judgeFailure(o *fleet.JobOutcome, f finding, workers []string, now fleet.Time) {
	if !c.blames() {
		return
	}
	wave := c.blame.FailuresCorrelated(workers, now)
	if !wave && c.blame.JobAtFault(f.key.JobID, f.failedOn, len(workers), now) {
		o.Permanent = true
		return
	}
	delay := c.backoff(len(f.failedOn))
	if !c.budget.TakeRetry(f.team) || wave {
		delay = max(delay, retry.WithheldDelay)
	}
	o.RetryDelayMS = delay.Milliseconds()
}

func (c *Controller) backoff(failures int) time.Duration {
	return retry.Backoff(failures, c.rng)
}

// learn records a committed end as evidence. The caller holds mu.
func (c *Controller) learn(f finding, now fleet.Time) {
	delete(c.actions, f.key.JobID)
	switch f.kind {
	case fleet.OutcomeDone:
		c.blame.Succeeded(f.worker, f.key.JobID, now)
	case fleet.OutcomeFailed:
		c.blame.Failed(f.worker, f.key.JobID, now)
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

// commitLost declares the workers lost that have been silent for their lease and
// a margin. A new leader counts the silence from its election.
func (c *Controller) commitLost(ctx context.Context) error {
	c.mu.Lock()
	now := c.log.Now()
	var lost []fleet.Observation
	if now.Sub(c.since) > lease.Task+lease.TaskMargin {
		c.log.Read(func(s *fleet.State) {
			lost = c.silent(s, now)
			for _, o := range lost {
				// A reboot that the system ordered is no failure.
				if s.Status[o.Instance].Phase != fleet.PhaseRebooting {
					c.blame.Lost(o.Instance, now)
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

func (c *Controller) silent(s *fleet.State, now fleet.Time) []fleet.Observation {
	var lost []fleet.Observation
	for _, name := range sortedKeys(s.Status) {
		st := s.Status[name]
		if !st.Seen || st.Lost {
			continue
		}
		last := c.since
		if w := c.workers[name]; w != nil {
			last = w.heardAt
		}
		if now.Sub(last) > lease.Task+lease.TaskMargin {
			lost = append(lost, fleet.Observation{Instance: name, Incarnation: st.Incarnation, Lost: true})
		}
	}
	return lost
}
