package control

import "time"

// rotationInterval is how often the units that are left over by an even division pass
// to the next recipient.
const rotationInterval = 2 * time.Second

// demand is what the jobs and calls of one team request from the team's limit. All
// numbers are in units, of which each running job or call uses one.
type demand struct {
	limit int
	// running and queued are the numbers of running and queued jobs.
	running int
	queued  int
	// reserved is the number of units granted to processes that no longer renew.
	// Nobody else may use them until they are released.
	reserved int
	// calls has one element for each process that may hold a lease.
	calls []callDemand
	// rotation counts rotation intervals. It determines who receives units left over
	// by an even division.
	rotation int64
}

// callDemand is what one process of an entry wants and has been granted for calls.
type callDemand struct {
	wanted  int
	granted int
}

// division is the result of divideLimit: the units for the calls of each process, in
// the order of demand.calls, and the units for jobs.
type division struct {
	calls []int
	jobs  int
}

// divideLimit divides a team's limit between its jobs and the calls of each process.
// If the total demand fits, each process gets what it wants plus headroom, and jobs
// may use the rest. Otherwise jobs and calls are entitled to half of the units each,
// and units that one side does not request go to the other; an odd unit alternates
// between them by rotation. The units for calls are divided between the processes by
// max-min fairness.
func divideLimit(d demand) division {
	total := max(0, d.limit-d.reserved)
	calls := 0
	for _, c := range d.calls {
		calls += c.wanted
	}
	jobs := d.running + d.queued
	if jobs+calls <= total {
		return divideWithHeadroom(d, total, total-jobs-calls)
	}
	half := total / 2
	if total%2 == 1 && d.rotation%2 == 0 {
		half++
	}
	callUnits := min(calls, max(half, total-jobs))
	return division{
		calls: divideMaxMin(min(callUnits, max(0, total-d.running)), d.calls, d.rotation),
		jobs:  total - callUnits,
	}
}

// divideWithHeadroom gives each process what it wants and headroom of up to half as
// much, as far as the spare units allow. A grant that is larger than wanted is kept
// while it is at most 2*wanted+8, so that small changes in demand need no commit.
func divideWithHeadroom(d demand, total, spare int) division {
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

// divideMaxMin divides units by max-min fairness. If fewer units remain than processes
// want more, rotation determines which of them get one.
func divideMaxMin(units int, calls []callDemand, rotation int64) []int {
	allocated := make([]int, len(calls))
	for {
		unsatisfied := unsatisfiedCalls(calls, allocated)
		if units == 0 || len(unsatisfied) == 0 {
			return allocated
		}
		each := units / len(unsatisfied)
		if each == 0 {
			for k := range units {
				allocated[unsatisfied[(int(rotation%int64(len(unsatisfied)))+k)%len(unsatisfied)]]++
			}
			return allocated
		}
		for _, i := range unsatisfied {
			n := min(each, calls[i].wanted-allocated[i])
			allocated[i] += n
			units -= n
		}
	}
}

func unsatisfiedCalls(calls []callDemand, allocated []int) []int {
	var unsatisfied []int
	for i, c := range calls {
		if allocated[i] < c.wanted {
			unsatisfied = append(unsatisfied, i)
		}
	}
	return unsatisfied
}
