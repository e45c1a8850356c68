package measure

import "strings"

// knownCauses tell, as far as found, why a target may be missed, by part and the
// beginning of the figure's name.
var knownCauses = []struct{ part, prefix, text string }{
	{PartShare, "largest deviation", "the team with the smallest share and the largest jobs gets more than its share in " +
		"every run. Likely, but not verified by a change: the ranking compares what teams run before the next job is added, " +
		"which favours large jobs, and so do reservations for jobs that do not fit."},
	{PartJobs, "job goodput in bursts", "not found. Likely, but not verified by a change: urgent jobs preempt normal ones, " +
		"which then run again from the beginning; the baseline preempts nothing."},
}

// cause returns what is known of the cause of a missed target.
func cause(v Value) string {
	for _, c := range knownCauses {
		if c.part == v.Part && strings.HasPrefix(v.Name, c.prefix) {
			return "Cause: " + c.text
		}
	}
	return "Cause not found."
}
