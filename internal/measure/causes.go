package measure

import "strings"

// knownCauses tell, as far as found, why a target may be missed, by part and the
// beginning of the figure's name.
var knownCauses = []struct{ part, prefix, text string }{
	{PartShare, "largest deviation", "small teams still get up to 4% more than their share over the whole time. Looking ahead to " +
		"the next job removed most of the former 16%; a likely rest is the time between the assignment and the start of a " +
		"job, which counts as use and weighs most on short jobs. Not verified by a change."},
	{PartJobs, "job goodput in bursts", "not found. Waiting 1.5 s before other work is disturbed for an urgent job was tried " +
		"and did not help. Runs differ by several percent, so a value near the target may be met or missed."},
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
