package control

import "time"

// turnLength is the time after which the units that can't be divided evenly go
// to the next in turn.
const turnLength = 2 * time.Second

// demand is what the jobs and the calls of one team ask of its limit.
type demand struct {
	limit int
	// running and queued count jobs.
	running int
	queued  int
	// silent counts the units of entries that don't renew, which nobody may use.
	silent int
	calls  []callDemand
	turn   int64
}

// callDemand is what one entry wants and holds for calls.
type callDemand struct {
	wanted  int
	granted int
}

// division is the part of a team's limit for each entry and for jobs.
type division struct {
	calls []int
	jobs  int
}

// divide divides a team's limit. When everything fits, each entry gets what it
// wants with some headroom, and jobs may use the rest. Otherwise jobs and calls
// have a right to one half each, and whatever one side does not ask for goes to
// the other; an odd unit changes sides every turn. The part of the calls is
// divided between entries with equal parts for those that want more than that.
func divide(d demand) division {
	total := max(0, d.limit-d.silent)
	calls := 0
	for _, c := range d.calls {
		calls += c.wanted
	}
	jobs := d.running + d.queued
	if jobs+calls <= total {
		return relaxed(d, total, total-jobs-calls)
	}
	half := total / 2
	if total%2 == 1 && d.turn%2 == 0 {
		half++
	}
	part := min(calls, max(half, total-jobs))
	return division{
		calls: fill(min(part, max(0, total-d.running)), d.calls, d.turn),
		jobs:  total - part,
	}
}

// relaxed gives headroom out of the spare units. A grant that is larger than
// wanted stays within bounds, so that small changes in demand cost no commit.
func relaxed(d demand, total, spare int) division {
	out := division{calls: make([]int, len(d.calls)), jobs: total}
	for i, c := range d.calls {
		goal := c.wanted + c.wanted/2
		if c.wanted > 0 && c.granted >= c.wanted && c.granted <= 2*c.wanted+8 {
			goal = c.granted
		}
		extra := min(goal-c.wanted, spare)
		spare -= extra
		out.calls[i] = c.wanted + extra
		out.jobs -= out.calls[i]
	}
	return out
}

// fill divides units by max-min fairness. Single units that remain go round.
func fill(units int, calls []callDemand, turn int64) []int {
	got := make([]int, len(calls))
	for {
		open := unsatisfied(calls, got)
		if units == 0 || len(open) == 0 {
			return got
		}
		each := units / len(open)
		if each == 0 {
			for k := range units {
				got[open[(int(turn%int64(len(open)))+k)%len(open)]]++
			}
			return got
		}
		for _, i := range open {
			n := min(each, calls[i].wanted-got[i])
			got[i] += n
			units -= n
		}
	}
}

func unsatisfied(calls []callDemand, got []int) []int {
	var open []int
	for i, c := range calls {
		if got[i] < c.wanted {
			open = append(open, i)
		}
	}
	return open
}
