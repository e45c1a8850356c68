package workload

import "maps"

// WithJob returns a state that has one more job, as if it were submitted at cluster time now
// in milliseconds, and the job. It returns false if the queue does not exist. The result is
// for planning only: it shares all but the active jobs with s, so it must not be applied to,
// nor used after s changes. s.Jobs does not get the job.
func (s *State) WithJob(c *Submit, now int64) (*State, *Job, bool) {
	q, ok := s.Config.Queues[c.Queue]
	if !ok {
		return nil, nil, false
	}
	overlay := *s
	overlay.now = max(s.now, now)
	overlay.active = maps.Clone(s.active)
	j := overlay.newJob(c, q, 0)
	overlay.addActive(j)
	return &overlay, j, true
}
