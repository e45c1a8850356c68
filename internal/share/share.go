// Package share ranks teams by weighted dominant resource fairness.
//
// A team's dominant share is the largest fraction that its running work takes of the
// fleet's processors, memory or accelerators, over all pools and queues. A team that
// used more or less than its share in the last seconds is ranked lower or higher, so
// that shares hold over HistoryWindow. The package does no I/O; time is a parameter.
package share

import (
	"math"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// HistoryWindow is the time constant of the exponential decay of the usage history.
const HistoryWindow = 10 * time.Second

// historyGain is the weight of the usage history relative to the running work. A gain
// of 3 corrects a deviation within a third of HistoryWindow. It does not cause
// oscillation, since running work is part of the score.
const historyGain = 3

// Policy selects how teams are ranked. Its values are used in settings.
type Policy string

// Policies. PolicyDRF is weighted dominant resource fairness. PolicyEqual is the
// baseline: the team with the fewest running jobs comes first, without regard to weights,
// sizes and history.
const (
	PolicyDRF   Policy = "drf"
	PolicyEqual Policy = "equal"
)

// Usage is a team's use of the fleet at one time.
type Usage struct {
	Team string
	// Weight is the team's weight; a value below 1 counts as 1.
	Weight int
	// Running is the sum of the sizes of the team's running jobs, and Jobs their
	// number.
	Running fleet.Resources
	Jobs    int
	// Waiting is true while the team has work that its upper limit allows to start.
	// The history records deviations only while it is true, so that an idle team saves
	// up no claim.
	Waiting bool
}

// UsageTracker holds the current usage of all teams and the history of its deviation
// from their shares. It is not safe for concurrent use.
type UsageTracker struct {
	policy Policy
	now    fleet.Time
	// advanced is true after the first call of Advance.
	advanced bool
	total    fleet.Resources
	// usage holds the usage given to the last call of Advance, and jobs started since.
	usage map[string]Usage
	// teamOrder holds the teams in the order in which they were given, so that
	// floating-point sums are the same in each run.
	teamOrder []string
	// excess holds, by team, the decayed mean of the dominant share in use above the
	// team's fair share; it is negative for a team that used less.
	excess map[string]float64
}

// New returns a tracker without teams and history. An unknown policy means PolicyDRF.
func New(policy Policy) *UsageTracker {
	return &UsageTracker{policy: policy, usage: map[string]Usage{}, excess: map[string]float64{}}
}

// Advance adds the time since the previous call to the history, with the usage given
// then, and sets the usage and the total capacity that hold from now on. Teams that
// are not in usage are removed.
func (t *UsageTracker) Advance(now fleet.Time, total fleet.Resources, usage []Usage) {
	if t.advanced && now > t.now {
		t.integrate(now.Sub(t.now))
	}
	t.now = now
	t.advanced = true
	t.total = total
	t.usage = make(map[string]Usage, len(usage))
	t.teamOrder = make([]string, 0, len(usage))
	for _, u := range usage {
		t.usage[u.Team] = u
		t.teamOrder = append(t.teamOrder, u.Team)
	}
	for team := range t.excess {
		if _, ok := t.usage[team]; !ok {
			delete(t.excess, team)
		}
	}
}

// Started adds a job that started after the last call of Advance to the team's usage,
// so that a job counts even if it ends before the next call. A team that was not given
// to Advance is ignored.
func (t *UsageTracker) Started(team string, size fleet.Resources) {
	u, ok := t.usage[team]
	if !ok {
		return
	}
	u.Running = u.Running.Plus(size)
	u.Jobs++
	t.usage[team] = u
}

// integrate decays each team's excess and adds its deviation from the fair share
// during the elapsed time. The fair share is the team's part, by weight, of what all
// waiting teams use.
func (t *UsageTracker) integrate(elapsed time.Duration) {
	decay := math.Exp(-elapsed.Seconds() / HistoryWindow.Seconds())
	used, weights := t.waitingTotals()
	for team, u := range t.usage {
		deviation := 0.0
		if u.Waiting && weights > 0 {
			deviation = Dominant(u.Running, t.total) - used*weight(u)/weights
		}
		t.excess[team] = t.excess[team]*decay + deviation*(1-decay)
	}
}

// waitingTotals returns the sums of the dominant shares and of the weights of the
// waiting teams.
func (t *UsageTracker) waitingTotals() (used, weights float64) {
	for _, team := range t.teamOrder {
		if u := t.usage[team]; u.Waiting {
			used += Dominant(u.Running, t.total)
			weights += weight(u)
		}
	}
	return used, weights
}

// Dominant returns the dominant share: the largest fraction, over all resource kinds,
// of total that use takes.
func Dominant(use, total fleet.Resources) float64 {
	share := fraction(use.CPUMilli, total.CPUMilli)
	share = max(share, fraction(use.MemoryMiB, total.MemoryMiB))
	return max(share, fraction(use.Accelerators, total.Accelerators))
}

func fraction(use, total int64) float64 {
	if use <= 0 || total <= 0 {
		return 0
	}
	return float64(use) / float64(total)
}

func weight(u Usage) float64 {
	return float64(max(u.Weight, 1))
}

// Ranking scores the teams while a plan is computed, and includes the work that the
// plan adds. It is independent of later changes of its UsageTracker.
type Ranking struct {
	policy Policy
	total  fleet.Resources
	teams  map[string]*teamState
}

// teamState is what a team's score is computed from.
type teamState struct {
	weight  float64
	excess  float64
	running fleet.Resources
	jobs    int
}

// Ranking returns a ranking for the current usage and history.
func (t *UsageTracker) Ranking() *Ranking {
	r := &Ranking{policy: t.policy, total: t.total, teams: make(map[string]*teamState, len(t.usage))}
	for team, u := range t.usage {
		r.teams[team] = &teamState{
			weight:  weight(u),
			excess:  historyGain * t.excess[team],
			running: u.Running,
			jobs:    u.Jobs,
		}
	}
	return r
}

// Score returns the team's score; the team with the lowest one comes first. The score
// counts half of the team's next job as running. Otherwise a team's usage would vary
// between its share and one job more, which favours teams whose jobs are large
// relative to their share. With PolicyEqual, the score is the number of running jobs.
func (r *Ranking) Score(team string, next fleet.Resources) float64 {
	s := r.team(team)
	if r.policy == PolicyEqual {
		return float64(s.jobs)
	}
	withNext := Dominant(s.running.Plus(next), r.total)
	return ((Dominant(s.running, r.total)+withNext)/2 + s.excess) / s.weight
}

// Add adds a job of the given size to the team's running work.
func (r *Ranking) Add(team string, size fleet.Resources) {
	s := r.team(team)
	s.running.CPUMilli += size.CPUMilli
	s.running.MemoryMiB += size.MemoryMiB
	s.running.Accelerators += size.Accelerators
	s.jobs++
}

func (r *Ranking) team(team string) *teamState {
	s, ok := r.teams[team]
	if !ok {
		s = &teamState{weight: 1}
		r.teams[team] = s
	}
	return s
}
