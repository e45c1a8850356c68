package history

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	// leaveGrace is how long a leaving backend server may still receive new work.
	leaveGrace = 3 * time.Second
	// withdrawGrace is how long a withdrawn key may still be accepted.
	withdrawGrace = 3 * time.Second
	// inForceLimit is the time within which an accepted change must be in force.
	inForceLimit = 7 * time.Second

	maxExamples = 5
)

// Fleet is the part of the declared configuration that the invariants depend on.
type Fleet struct {
	// Limits maps each team to its upper limit of requests running at the same time.
	Limits map[string]int
	// Budgets maps each pool to the number of instances that may be down by plan at a time.
	Budgets map[string]int
	// PoolOf maps each instance to its pool.
	PoolOf map[string]string
	// PoolOfTarget maps each queue and service to its pool.
	PoolOfTarget map[string]string
}

// Row is the result of checking one invariant.
type Row struct {
	// Number is the number of the invariant, from 1 to 10.
	Number    int
	Invariant string
	// Observed is the number of observations checked. If it is 0, nothing was tested.
	Observed   int
	Violations int
	// Examples describes the first violations, at most five.
	Examples []string
}

func (r *Row) addViolation(format string, args ...any) {
	r.Violations++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// checker holds a recorded history and its indexes.
type checker struct {
	fleet Fleet
	// events are in time order.
	events []Event
	// sends, starts and answers map a request identifier to its events, in time order.
	sends, starts, answers map[string][]Event
}

// Check checks the events against the ten invariants and returns one row for each, in the
// order of their numbers. The events may be in any order.
func Check(fleet Fleet, events []Event) []Row {
	sorted := append([]Event(nil), events...)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].UnixNS < sorted[j].UnixNS })
	c := &checker{fleet: fleet, events: sorted, sends: map[string][]Event{}, starts: map[string][]Event{}, answers: map[string][]Event{}}
	for _, e := range sorted {
		switch e.Kind {
		case Send:
			c.sends[e.RequestID] = append(c.sends[e.RequestID], e)
		case Start:
			c.starts[e.RequestID] = append(c.starts[e.RequestID], e)
		case Answer:
			c.answers[e.RequestID] = append(c.answers[e.RequestID], e)
		}
	}
	return []Row{
		c.budgets(), c.onePool(), c.keys(), c.limits(), c.ownAnswer(),
		c.notRun(), c.atMostOnce(), c.leaving(), c.plannedStops(), c.config(),
	}
}

// span is an interval, in Unix nanoseconds, during which one unit of a limited quantity was
// in use.
type span struct {
	start, end int64
	label      string
}

// maxOverlap returns the largest number of spans that overlap and the time at which that
// number was first reached. A span that ends when another starts does not overlap it.
func maxOverlap(spans []span) (int, int64) {
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, s := range spans {
		edges = append(edges, edge{s.start, 1}, edge{s.end, -1})
	}
	sort.Slice(edges, func(i, j int) bool {
		if edges[i].at != edges[j].at {
			return edges[i].at < edges[j].at
		}
		return edges[i].delta < edges[j].delta
	})
	now, most, when := 0, 0, int64(0)
	for _, e := range edges {
		now += e.delta
		if now > most {
			most, when = now, e.at
		}
	}
	return most, when
}

// endOfHistory returns a time after the last event. It is the end of spans that no event
// closes.
func (c *checker) endOfHistory() int64 {
	if len(c.events) == 0 {
		return 0
	}
	return c.events[len(c.events)-1].UnixNS + 1
}

func (c *checker) budgets() Row {
	row := Row{Number: 1, Invariant: "every availability budget holds"}
	open := map[string]int64{}
	byPool := map[string][]span{}
	closeSpan := func(actor string, at int64) {
		if start, ok := open[actor]; ok {
			pool := c.fleet.PoolOf[actor]
			byPool[pool] = append(byPool[pool], span{start: start, end: at})
			delete(open, actor)
		}
	}
	for _, e := range c.events {
		switch e.Kind {
		case Drain:
			row.Observed++
			if _, ok := open[e.Actor]; !ok {
				open[e.Actor] = e.UnixNS
			}
		case Ready:
			closeSpan(e.Actor, e.UnixNS)
		}
	}
	for actor := range open {
		closeSpan(actor, c.endOfHistory())
	}
	for pool, spans := range byPool {
		if most, _ := maxOverlap(spans); most > c.fleet.Budgets[pool] {
			row.addViolation("pool %s: %d instances down by plan, budget %d", pool, most, c.fleet.Budgets[pool])
		}
	}
	return row
}

func (c *checker) onePool() Row {
	row := Row{Number: 2, Invariant: "an instance belongs to exactly one pool"}
	for _, e := range c.events {
		if e.Kind == MembersSeen {
			row.Observed++
			names := append([]string(nil), e.Members...)
			slices.Sort(names)
			if len(slices.Compact(names)) != len(e.Members) {
				row.addViolation("an instance is listed in two pools at %d", e.UnixNS)
			}
		}
		if e.Kind != Start {
			continue
		}
		want, known := c.fleet.PoolOfTarget[c.target(e)]
		if !known {
			continue
		}
		row.Observed++
		if got := c.fleet.PoolOf[e.Actor]; got != want {
			row.addViolation("%s of pool %s ran %s of pool %s", e.Actor, got, e.RequestID, want)
		}
	}
	return row
}

// target returns the queue or service of a start event, taken from the caller's send event
// if there is one.
func (c *checker) target(e Event) string {
	if sends := c.sends[e.RequestID]; len(sends) > 0 {
		return sends[0].Target
	}
	return e.Target
}

func (c *checker) keys() Row {
	row := Row{Number: 3, Invariant: "a withdrawn key stops working within seconds"}
	withdrawn := map[string]int64{}
	for _, e := range c.events {
		switch e.Kind {
		case KeyWithdrawn:
			withdrawn[e.KeyID] = e.UnixNS
		case Send:
			at, ok := withdrawn[e.KeyID]
			if !ok || e.UnixNS < at+int64(withdrawGrace) {
				continue
			}
			row.Observed++
			for _, s := range c.starts[e.RequestID] {
				if s.UnixNS > e.UnixNS {
					row.addViolation("request %s with withdrawn key %s started on %s", e.RequestID, e.KeyID, s.Actor)
				}
			}
		}
	}
	return row
}

// runs returns, for each team, the spans during which its requests ran. The kill of a
// process ends all runs on it.
func (c *checker) runs() map[string][]span {
	type key struct {
		actor, id string
		attempt   int
	}
	open := map[key]Event{}
	byTeam := map[string][]span{}
	finish := func(k key, at int64) {
		s, ok := open[k]
		if !ok {
			return
		}
		delete(open, k)
		team := s.Team
		if sends := c.sends[s.RequestID]; team == "" && len(sends) > 0 {
			team = sends[0].Team
		}
		byTeam[team] = append(byTeam[team], span{start: s.UnixNS, end: at, label: s.RequestID})
	}
	for _, e := range c.events {
		k := key{e.Actor, e.RequestID, e.Attempt}
		switch e.Kind {
		case Start:
			open[k] = e
		case Finish:
			finish(k, e.UnixNS)
		case Killed:
			for other := range open {
				if other.actor == e.Target {
					finish(other, e.UnixNS)
				}
			}
		}
	}
	for k := range open {
		finish(k, c.endOfHistory())
	}
	return byTeam
}

func (c *checker) limits() Row {
	row := Row{Number: 4, Invariant: "no team has more running than its upper limit"}
	for team, spans := range c.runs() {
		limit, ok := c.fleet.Limits[team]
		if !ok {
			continue
		}
		row.Observed += len(spans)
		if most, at := maxOverlap(spans); most > limit {
			row.addViolation("team %s: %d running at %d, limit %d", team, most, at, limit)
		}
	}
	return row
}

func (c *checker) ownAnswer() Row {
	row := Row{Number: 5, Invariant: "a caller receives the whole answer to its own request"}
	for _, e := range c.events {
		if e.Kind != Answer || e.Verdict != "done" {
			continue
		}
		row.Observed++
		if !e.Intact {
			row.addViolation("request %s: %s", e.RequestID, e.Detail)
		}
	}
	return row
}
