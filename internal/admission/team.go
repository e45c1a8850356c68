package admission

import (
	"math"
	"time"
)

const (
	// usageWindow is the time constant of the exponential decay of a team's usage.
	usageWindow = 10 * time.Second
	// maxIdleCredit is the most, in slot seconds per unit of share, by which the usage
	// of a team that was idle may be below that of the other waiting teams. It keeps
	// such a team from taking all slots until its usage has caught up.
	maxIdleCredit = 0.2
	// defaultRunTime is the run time charged for a call while none of its service has
	// completed.
	defaultRunTime = 10 * time.Millisecond

	// retryRatio is the number of retries that each first attempt adds to a team's
	// retry budget.
	retryRatio = 0.1
	// retryBurst is the maximum of a team's retry budget, and initialRetries its
	// initial value, so that a team with few calls can retry too.
	retryBurst     = 20.0
	initialRetries = 3.0
)

// team is the state of one team at this entry.
type team struct {
	share  float64
	budget retryBudget
	queued int
	// limit is the number of calls of the team that may run at this entry at once; 0
	// means not known.
	limit int
	// usage is the decayed usage at usageAt, in slot seconds per unit of share.
	usage   float64
	usageAt time.Time
	// remoteUnits is the number of the team's units that run through other entries.
	remoteUnits float64
}

// retryBudget is a token bucket of retries that is filled by first attempts.
type retryBudget struct{ units float64 }

func (b *retryBudget) deposit() { b.units = min(b.units+retryRatio, retryBurst) }

func (b *retryBudget) take() bool {
	if b.units < 1 {
		return false
	}
	b.units--
	return true
}

func (c *Controller) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{share: 1, budget: retryBudget{units: initialRetries}}
		c.teams[name] = t
	}
	return t
}

// SetShares sets the shares of the given teams. A share below 1 counts as 1, and a
// team without a share has 1.
func (c *Controller) SetShares(shares map[string]int) {
	for name, share := range shares {
		c.team(name).share = float64(max(share, 1))
	}
}

// SetLimit sets the number of calls of a team that may run at this entry at once; 0
// means not known. The limit affects only the estimates of the wait.
func (c *Controller) SetLimit(team string, limit int) { c.team(team).limit = limit }

// SetRemoteUnits sets, for all teams, the units that run through other entries; a team
// that is not in units has none. They count as usage here, so that a team gains
// nothing by spreading its calls over several entries.
func (c *Controller) SetRemoteUnits(now time.Time, units map[string]int) {
	for name := range units {
		c.team(name)
	}
	for name, t := range c.teams {
		t.decayedUsage(now)
		t.remoteUnits = float64(max(units[name], 0))
	}
}

// decayedUsage updates the usage to now and returns it. It includes the remote units
// since the last update.
func (t *team) decayedUsage(now time.Time) float64 {
	elapsed := now.Sub(t.usageAt).Seconds()
	if t.usageAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	window := usageWindow.Seconds()
	decay := math.Exp(-elapsed / window)
	t.usage = t.usage*decay + t.remoteUnits/t.share*window*(1-decay)
	t.usageAt = now
	return t.usage
}

// charge adds the expected usage of one call to its team when the call gets a slot.
func (c *Controller) charge(now time.Time, s *service, team string) {
	t := c.team(team)
	t.decayedUsage(now)
	cost := s.meanRunTime
	if cost == 0 {
		cost = defaultRunTime
	}
	t.usage += cost.Seconds() / t.share
}

// limitIdleCredit raises the usage of a team without waiting calls, if necessary, so
// that it is no more than maxIdleCredit below the least usage of the waiting teams.
func (c *Controller) limitIdleCredit(now time.Time, team string) {
	t := c.team(team)
	if t.queued > 0 {
		return
	}
	least := math.Inf(1)
	for _, other := range c.teams {
		if other.queued > 0 {
			least = min(least, other.decayedUsage(now))
		}
	}
	if own := t.decayedUsage(now); !math.IsInf(least, 1) {
		t.usage = max(own, least-maxIdleCredit)
	}
}
