package history

import "time"

// notRun checks that a request refused as "not run" did not start before the refusal, nor
// after it until the caller sent the request again.
func (c *checker) notRun() Row {
	row := Row{Number: 6, Invariant: "a refusal saying \"not run\" is true"}
	for id, answers := range c.answers {
		for _, a := range answers {
			if a.Verdict != "not_run" {
				continue
			}
			row.Observed++
			until := c.nextSend(id, a.UnixNS)
			for _, s := range c.starts[id] {
				if s.UnixNS < until {
					row.addViolation("request %s started on %s but was refused as not run (%s)", id, s.Actor, a.Code)
				}
			}
		}
	}
	return row
}

// nextSend returns the time of the first send of the request after the given time, or the
// end of the history if it was not sent again. A send that overlaps the refused one may run
// too, so the earliest send counts.
func (c *checker) nextSend(id string, after int64) int64 {
	for _, s := range c.sends[id] {
		if s.UnixNS > after {
			return s.UnixNS
		}
	}
	return c.endOfHistory()
}

func (c *checker) atMostOnce() Row {
	row := Row{Number: 7, Invariant: "a non-idempotent request runs at most once"}
	for id, sends := range c.sends {
		if sends[0].Idempotent {
			continue
		}
		row.Observed++
		if n := len(c.starts[id]); n > 1 {
			row.addViolation("request %s started %d times", id, n)
		}
	}
	return row
}

func (c *checker) leaving() Row {
	row := Row{Number: 8, Invariant: "a leaving backend server receives no new work after a few seconds"}
	left := map[string]int64{}
	for _, e := range c.events {
		switch e.Kind {
		case Leave:
			row.Observed++
			left[e.Actor] = e.UnixNS
		case Ready:
			delete(left, e.Actor)
		case Start:
			at, ok := left[e.Actor]
			if ok && e.UnixNS > at+int64(leaveGrace) {
				row.addViolation("%s started %s %s after it began to leave", e.Actor, e.RequestID, time.Duration(e.UnixNS-at))
			}
		}
	}
	return row
}

// plannedStops checks the requests that were in flight when a process was asked to stop. A
// request sent through a stopped entry must not lose its connection, and a request started
// on a stopped backend server or worker must finish.
func (c *checker) plannedStops() Row {
	row := Row{Number: 9, Invariant: "a planned stop cuts off no request"}
	for _, stop := range c.events {
		if stop.Kind != Terminated {
			continue
		}
		c.checkCallers(&row, stop)
		c.checkRuns(&row, stop)
	}
	return row
}

func (c *checker) checkCallers(row *Row, stop Event) {
	for id, sends := range c.sends {
		for _, s := range sends {
			if s.Entry != stop.Target || s.UnixNS > stop.UnixNS {
				continue
			}
			end, lost := c.endOfSend(id, s)
			if end < stop.UnixNS {
				continue
			}
			row.Observed++
			if lost {
				row.addViolation("request %s lost its connection when %s stopped", id, stop.Target)
			}
		}
	}
}

// endOfSend returns the time of the answer to the send s, or of the loss of its connection,
// and whether the connection was lost. A send with neither counts as in flight until the
// end of the history.
func (c *checker) endOfSend(id string, s Event) (int64, bool) {
	for _, e := range c.events {
		if e.RequestID != id || e.Attempt != s.Attempt || e.UnixNS < s.UnixNS {
			continue
		}
		if e.Kind == Answer || e.Kind == ConnectionLost {
			return e.UnixNS, e.Kind == ConnectionLost
		}
	}
	return c.endOfHistory(), false
}

func (c *checker) checkRuns(row *Row, stop Event) {
	open := map[string]bool{}
	for _, e := range c.events {
		if e.Actor != stop.Target {
			continue
		}
		switch e.Kind {
		case Start:
			if e.UnixNS <= stop.UnixNS {
				open[e.RequestID] = true
			}
		case Finish:
			if open[e.RequestID] && e.UnixNS >= stop.UnixNS {
				row.Observed++
			}
			delete(open, e.RequestID)
		}
	}
	for id := range open {
		row.Observed++
		row.addViolation("request %s on %s was cut off by a planned stop", id, stop.Target)
	}
}

func (c *checker) config() Row {
	row := Row{Number: 10, Invariant: "an accepted configuration is in force within seconds and never reverts"}
	inForce := map[uint64]int64{}
	var accepted []Event
	var newest uint64
	seen := map[string]uint64{}
	for _, e := range c.events {
		switch e.Kind {
		case ChangeAccepted:
			accepted = append(accepted, e)
		case ChangeInForce:
			inForce[e.Revision] = e.UnixNS
			newest = max(newest, e.Revision)
		case RevisionSeen:
			row.Observed++
			if e.Revision < seen[e.Entry] || e.Revision < newest {
				row.addViolation("%s shows revision %d after %d", e.Entry, e.Revision, max(seen[e.Entry], newest))
			}
			seen[e.Entry] = max(seen[e.Entry], e.Revision)
		}
	}
	for _, a := range accepted {
		row.Observed++
		at, ok := inForce[a.Revision]
		if !ok || at-a.UnixNS > int64(inForceLimit) {
			row.addViolation("revision %d was not in force within %s", a.Revision, inForceLimit)
		}
	}
	return row
}
