package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHasOverdueJobSeesQueuedJobsOnly guards against a queued job whose passed deadline is
// not reported, and against a report for jobs that are queued no longer.
func TestHasOverdueJobSeesQueuedJobsOnly(t *testing.T) {
	s := NewState()
	queued := &Job{ID: "j", State: JobQueued, AcceptedAt: 1000, Spec: JobSpec{DeadlineMS: 500}}
	s.index.queuedJobs = map[string]*Job{"j": queued}
	require.False(t, s.HasOverdueJob(1500))
	require.True(t, s.HasOverdueJob(1501))
	s.index.queuedJobs = nil
	require.False(t, s.HasOverdueJob(1501))
}
