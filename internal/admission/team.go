package admission

import (
	"math"
	"time"
)

const (
	// usageWindow is the decay time of the usage that the fair order compares.
	usageWindow = 10 * time.Second
	// catchUp bounds, in slot seconds per unit of share, the advantage that a team
	// gains over the others by having been idle.
	catchUp = 0.2
	// assumedRunTime is charged for a call before any call of its service completed.
	assumedRunTime = 10 * time.Millisecond

	// retryShare is the part of a team's first attempts that may be retries.
	retryShare = 0.1
	// retryBurst bounds the saved-up retries of a team; a team with few calls
	// starts with retryStart.
	retryBurst = 20.0
	retryStart = 3.0
)

// team is what the controller knows of one team.
type team struct {
	share  float64
	budget budget
	queued int
	// limit is the number of the team's calls that may run at once here; 0 is unknown.
	limit int
	// usage is decayed slot seconds over share, valid at usageAt.
	usage   float64
	usageAt time.Time
	// elsewhere is the number of the team's units that run through other entries.
	elsewhere float64
}

// budget counts the retries that a team may still make.
type budget struct{ units float64 }

func (b *budget) deposit() { b.units = min(b.units+retryShare, retryBurst) }

func (b *budget) take() bool {
	if b.units < 1 {
		return false
	}
	b.units--
	return true
}

func (c *Controller) team(name string) *team {
	t, ok := c.teams[name]
	if !ok {
		t = &team{share: 1, budget: budget{units: retryStart}}
		c.teams[name] = t
	}
	return t
}

// SetShares sets the shares of the teams; a share below 1 counts as 1.
func (c *Controller) SetShares(shares map[string]int) {
	for name, share := range shares {
		c.team(name).share = float64(max(share, 1))
	}
}

// SetLimit sets the number of calls of a team that may run at once here.
func (c *Controller) SetLimit(name string, limit int) { c.team(name).limit = limit }

// SetRemoteUnits sets the units of each team that run through other entries. They
// count as usage here, so a team gains nothing by spreading calls over entries.
func (c *Controller) SetRemoteUnits(now time.Time, units map[string]int) {
	for name := range units {
		c.team(name)
	}
	for name, t := range c.teams {
		t.used(now)
		t.elsewhere = float64(max(units[name], 0))
	}
}

// used returns the usage at now, adding what ran elsewhere since the last call.
func (t *team) used(now time.Time) float64 {
	elapsed := now.Sub(t.usageAt).Seconds()
	if t.usageAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	window := usageWindow.Seconds()
	decay := math.Exp(-elapsed / window)
	t.usage = t.usage*decay + t.elsewhere/t.share*window*(1-decay)
	t.usageAt = now
	return t.usage
}

// charge adds the expected use of a slot when a call gets one.
func (c *Controller) charge(now time.Time, s *service, name string) {
	t := c.team(name)
	t.used(now)
	cost := s.mean
	if cost == 0 {
		cost = assumedRunTime
	}
	t.usage += cost.Seconds() / t.share
}

// activate bounds the advantage of a team that had nothing waiting.
func (c *Controller) activate(now time.Time, name string) {
	t := c.team(name)
	if t.queued > 0 {
		return
	}
	least := math.Inf(1)
	for _, other := range c.teams {
		if other.queued > 0 {
			least = min(least, other.used(now))
		}
	}
	if own := t.used(now); !math.IsInf(least, 1) {
		t.usage = max(own, least-catchUp)
	}
}
