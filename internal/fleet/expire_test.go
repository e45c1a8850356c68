package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a waiting job whose passed deadline is not noticed, and against
// a search that reports jobs which are final already.
func TestHasLateSeesWaitingJobsOnly(t *testing.T) {
	s := NewState()
	waiting := &Job{ID: "j", State: JobQueued, AcceptedAt: 1000, Spec: JobSpec{DeadlineMS: 500}}
	s.index.waiting = map[string]*Job{"j": waiting}
	require.False(t, s.HasOverdueJob(1500))
	require.True(t, s.HasOverdueJob(1501))
	s.index.waiting = nil
	require.False(t, s.HasOverdueJob(1501))
}
