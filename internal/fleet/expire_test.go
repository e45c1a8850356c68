package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a waiting job whose passed deadline is not noticed, and against
// a search that reports jobs which are final already.
func TestHasOverdueJobSeesQueuedJobsOnly(t *testing.T) {
	s := NewState()
	queued := &Job{ID: "j", State: JobQueued, AcceptedAt: 1000, Spec: JobSpec{DeadlineMS: 500}}
	s.index.queuedJobs = map[string]*Job{"j": queued}
	require.False(t, s.HasOverdueJob(1500))
	require.True(t, s.HasOverdueJob(1501))
	s.index.queuedJobs = nil
	require.False(t, s.HasOverdueJob(1501))
}
