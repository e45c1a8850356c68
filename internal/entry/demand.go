package entry

import "time"

const (
	// demandWindow is the shortest time for which a peak of demand keeps its units
	// requested. Peaks are tracked for the current and the previous window.
	demandWindow = 2 * time.Second
	// spareUnits are requested in addition to the recent peak, also for a team
	// without calls at this entry, so that its first call need not wait for a
	// grant.
	spareUnits = 1
)

// demand tracks the recent peak of running and waiting calls of each team.
type demand struct {
	windowStart       time.Time
	current, previous map[string]int
}

func newDemand(now time.Time) *demand {
	return &demand{windowStart: now, current: map[string]int{}, previous: map[string]int{}}
}

// record notes that a team has the given number of running and waiting calls.
func (d *demand) record(now time.Time, team string, units int) {
	if now.Sub(d.windowStart) >= demandWindow {
		d.previous, d.current = d.current, map[string]int{}
		d.windowStart = now
	}
	d.current[team] = max(d.current[team], units)
}

// wantedUnits returns the units to request for each of the teams.
func (d *demand) wantedUnits(now time.Time, teams []string) map[string]int {
	out := make(map[string]int, len(teams))
	for _, team := range teams {
		d.record(now, team, 0)
		peak := max(d.current[team], d.previous[team])
		out[team] = peak + spareUnits
	}
	return out
}
