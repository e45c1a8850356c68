package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Guards against jobs that are accepted for the wrong team or shown to another
// one, and against a false not_run when a submission may have been taken.
func TestJobs(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	got := te.mustCall(t, "/v1/queues/nightly/jobs", `{"run_time_ms":5}`, api.HeaderKey, testKey, api.HeaderRequestID, "dc1.job")
	require.Equal(t, http.StatusAccepted, got.status, string(got.body))
	var job fleet.Job
	require.NoError(t, json.Unmarshal(got.body, &job))
	require.Equal(t, "red", job.Team)

	shown, err := te.call(http.MethodGet, "/v1/jobs/dc1.job?wait_ms=0", "", api.HeaderKey, testKey)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, shown.status)
	hidden, err := te.call(http.MethodGet, "/v1/jobs/dc1.job", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, hidden.status)

	require.Equal(t, http.StatusUnauthorized, te.mustCall(t, "/v1/queues/nightly/jobs", `{}`).status)
	require.Equal(t, http.StatusNotFound, te.mustCall(t, "/v1/queues/none/jobs", `{}`, api.HeaderKey, testKey).status)

	cancelled, err := te.call(http.MethodDelete, "/v1/jobs/dc1.job", "", api.HeaderKey, testKey)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, cancelled.status)
	require.Contains(t, string(cancelled.body), `"ran":"no"`)

	store.setSilent(true)
	require.Eventually(t, func() bool {
		refused := te.mustCall(t, "/v1/queues/nightly/jobs", `{}`, api.HeaderKey, testKey, api.HeaderTimeoutMS, "200")
		require.NotEqual(t, api.Done, refused.verdict)
		require.Positive(t, refused.refusal.RetryAfterMS)
		require.NotEmpty(t, refused.refusal.RequestID)
		// An attempt that the time limit cut off may have been taken.
		return refused.verdict == api.NotRun
	}, generous, time.Millisecond)
}

// Guards against a submission that keeps its caller waiting although the entry
// has been without the leader for longer than a lease.
func TestCutOffEntryRefusesJobsAtOnce(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	store.setSilent(true)
	te.offset.Add(int64(lease.Duration))
	c := te.Echo().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), httptest.NewRecorder())
	_, refusal := te.propose(c, fleet.Command{Submit: &fleet.JobSubmit{ID: "dc1.late"}})
	require.NotNil(t, refusal)
	require.Equal(t, api.NotRun, refusal.Verdict)
	require.Equal(t, api.CodeNoQuorum, refusal.Code)
	require.Positive(t, refusal.RetryAfterMS)
	require.Contains(t, refusal.Message, "no contact", "refused before any attempt")
}

// Guards against not_run for a submission that a store may have taken.
func TestProposeVerdicts(t *testing.T) {
	for unsent, verdict := range map[bool]api.Verdict{true: api.NotRun, false: api.MayHaveRun} {
		refusal := proposeRefusal(&leader.ErrUnavailable{Unsent: unsent, Cause: wire.ErrClosed})
		require.Equal(t, verdict, refusal.Verdict)
		require.Positive(t, refusal.RetryAfterMS)
	}
	refusal := proposeRefusal(&wire.ErrorBody{Code: wire.CodeBadMessage})
	require.Equal(t, api.NotRun, refusal.Verdict)
}

// Guards against callers that wait for jobs in such numbers that the connection to
// the leader has no room left for the renewal of the lease.
func TestHeldJobRequestsAreBounded(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.mustCall(t, "/v1/queues/nightly/jobs", `{"run_time_ms":5}`, api.HeaderKey, testKey, api.HeaderRequestID, "dc1.job")
	for range maxJobWaits {
		te.jobWaits <- struct{}{}
	}
	job, refusal := te.waitJob(t.Context(), "dc1.job", "red", 10*time.Millisecond)
	require.Nil(t, refusal)
	require.Equal(t, fleet.JobQueued, job.State)
	require.Zero(t, store.held.Load())
	<-te.jobWaits
	_, refusal = te.waitJob(t.Context(), "dc1.job", "red", 200*time.Millisecond)
	require.Nil(t, refusal)
	require.Positive(t, store.held.Load())
	require.Len(t, te.jobWaits, maxJobWaits-1)
}
