// Package share ranks teams by weighted dominant resource fairness.
//
// A team's dominant share is the largest fraction that its running work takes of
// the fleet's processors, memory or accelerators, over all pools and queues. The
// package does no I/O; time is a parameter.
package share

import (
	"math"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Window is the time constant of the usage history.
const Window = 10 * time.Second

// historyGain weighs the usage history against what runs now. A gain of 3
// corrects a deviation within a third of the window and does not oscillate,
// since running work is part of the score.
const historyGain = 3

// Policy names a way of ranking teams.
type Policy string

// Policies. PolicyEqual ignores weights, resource kinds and history: the team
// with the fewest running jobs comes first.
const (
	PolicyDRF   Policy = "drf"
	PolicyEqual Policy = "equal"
)

// Usage is one team's use of the fleet at a moment.
type Usage struct {
	Team   string
	Weight int
	// Running is the sum of the sizes of the team's running jobs, and Jobs their number.
	Running fleet.Resources
	Jobs    int
	// Waiting is true while the team has work that its limit allows to start.
	// Only then does the history give it credit, so an idle team saves up nothing.
	Waiting bool
}

// UsageTracker holds the usage history of all teams. It is not safe for concurrent use.
type UsageTracker struct {
	policy Policy
	now    fleet.Time
	begun  bool
	total  fleet.Resources
	last   map[string]Usage
	// order holds the teams in the order given, so that sums are the same in
	// each run.
	order []string
	debt  map[string]float64
}

// New returns accounts without history. An unknown policy means PolicyDRF.
func New(policy Policy) *UsageTracker {
	return &UsageTracker{policy: policy, last: map[string]Usage{}, debt: map[string]float64{}}
}

// Advance accounts for the time since the last call with the usage given then,
// and takes the usage and total capacity from now on.
func (a *UsageTracker) Advance(now fleet.Time, total fleet.Resources, usage []Usage) {
	if a.begun && now > a.now {
		a.integrate(now.Sub(a.now))
	}
	a.now = now
	a.begun = true
	a.total = total
	a.last = make(map[string]Usage, len(usage))
	a.order = make([]string, 0, len(usage))
	for _, u := range usage {
		a.last[u.Team] = u
		a.order = append(a.order, u.Team)
	}
	for team := range a.debt {
		if _, ok := a.last[team]; !ok {
			delete(a.debt, team)
		}
	}
}

// Started counts a job that started after the last call of Advance, so that jobs
// shorter than the time between two calls are accounted for as well.
func (a *UsageTracker) Started(team string, size fleet.Resources) {
	u, ok := a.last[team]
	if !ok {
		return
	}
	u.Running = u.Running.Plus(size)
	u.Jobs++
	a.last[team] = u
}

// integrate decays each team's deviation from its entitlement and adds the
// deviation of the elapsed time.
func (a *UsageTracker) integrate(elapsed time.Duration) {
	keep := math.Exp(-elapsed.Seconds() / Window.Seconds())
	used, weights := a.contended()
	for team, u := range a.last {
		deviation := 0.0
		if u.Waiting && weights > 0 {
			deviation = Dominant(u.Running, a.total) - used*weight(u)/weights
		}
		a.debt[team] = a.debt[team]*keep + deviation*(1-keep)
	}
}

// contended returns the dominant shares and the weights of the waiting teams.
func (a *UsageTracker) contended() (used, weights float64) {
	for _, team := range a.order {
		if u := a.last[team]; u.Waiting {
			used += Dominant(u.Running, a.total)
			weights += weight(u)
		}
	}
	return used, weights
}

// Dominant returns the largest fraction of total that use takes of any resource kind.
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

// Ranking scores teams for one plan, including the work that the plan adds.
type Ranking struct {
	policy Policy
	total  fleet.Resources
	teams  map[string]*standing
}

type standing struct {
	weight  float64
	debt    float64
	running fleet.Resources
	jobs    int
}

// Ranking returns the present standing of all teams.
func (a *UsageTracker) Ranking() *Ranking {
	r := &Ranking{policy: a.policy, total: a.total, teams: make(map[string]*standing, len(a.last))}
	for team, u := range a.last {
		r.teams[team] = &standing{
			weight:  weight(u),
			debt:    historyGain * a.debt[team],
			running: u.Running,
			jobs:    u.Jobs,
		}
	}
	return r
}

// Score returns the team's standing with half of its next job counted as running;
// the team with the lowest score comes first. Without the half, a team's use
// would vary between its share and one job above it, which favours teams whose
// jobs are large for their share.
func (r *Ranking) Score(team string, next fleet.Resources) float64 {
	s := r.standing(team)
	if r.policy == PolicyEqual {
		return float64(s.jobs)
	}
	ahead := Dominant(s.running.Plus(next), r.total)
	return ((Dominant(s.running, r.total)+ahead)/2 + s.debt) / s.weight
}

// Add counts a job of the given size as running.
func (r *Ranking) Add(team string, size fleet.Resources) {
	s := r.standing(team)
	s.running.CPUMilli += size.CPUMilli
	s.running.MemoryMiB += size.MemoryMiB
	s.running.Accelerators += size.Accelerators
	s.jobs++
}

func (r *Ranking) standing(team string) *standing {
	s, ok := r.teams[team]
	if !ok {
		s = &standing{weight: 1}
		r.teams[team] = s
	}
	return s
}
