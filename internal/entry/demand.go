package entry

import "time"

const (
	// demandPeriod is the time for which a peak of demand keeps its units wanted.
	demandPeriod = 2 * time.Second
	// spareUnits are wanted on top of a recent peak, also for a team without calls
	// here, so that a first call need not wait for a grant.
	spareUnits = 1
)

// demand tracks the recent peak of running and waiting calls by team.
type demand struct {
	since             time.Time
	current, previous map[string]int
}

func newDemand(now time.Time) *demand {
	return &demand{since: now, current: map[string]int{}, previous: map[string]int{}}
}

func (d *demand) note(now time.Time, team string, units int) {
	if now.Sub(d.since) >= demandPeriod {
		d.previous, d.current = d.current, map[string]int{}
		d.since = now
	}
	d.current[team] = max(d.current[team], units)
}

// wanted returns the units to ask for, for each of the teams.
func (d *demand) wanted(now time.Time, teams []string) map[string]int {
	out := make(map[string]int, len(teams))
	for _, team := range teams {
		d.note(now, team, 0)
		peak := max(d.current[team], d.previous[team])
		out[team] = peak + spareUnits
	}
	return out
}
