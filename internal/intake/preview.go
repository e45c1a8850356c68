package intake

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Preview returns the decision on a new job of a caller that was not refused before, and
// changes nothing. Places that are kept for other callers are not considered.
func Preview(s *workload.State, q workload.Queue, c *workload.Submit, now time.Time) Admission {
	var b backlogs
	none := func() map[string]bool { return nil }
	return Decide(b.backlog(s, q, c.Team, none, now), Request{Tasks: tasksOf(c)})
}
