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

// TestJobs guards against jobs that are accepted for the wrong team or shown to
// another one, and against a not_run refusal of a submission that a store may have
// received.
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

	store.setUnavailable(true)
	require.Eventually(t, func() bool {
		refused := te.mustCall(t, "/v1/queues/nightly/jobs", `{}`, api.HeaderKey, testKey, api.HeaderTimeoutMS, "200")
		require.NotEqual(t, api.Done, refused.verdict)
		require.Positive(t, refused.refusal.RetryAfterMS)
		require.NotEmpty(t, refused.refusal.RequestID)
		// An attempt that was cancelled by its time limit may have been received.
		return refused.verdict == api.NotRun
	}, waitTimeout, time.Millisecond)
}

// TestEntryWithoutLeaseRefusesJobsAtOnce guards against a submission that keeps its
// caller waiting although the entry has been without the leader for longer than a
// lease.
func TestEntryWithoutLeaseRefusesJobsAtOnce(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	store.setUnavailable(true)
	te.offset.Add(int64(lease.Duration))
	c := te.Echo().NewContext(httptest.NewRequest(http.MethodPost, "/", nil), httptest.NewRecorder())
	_, refusal := te.propose(c, fleet.Command{Submit: &fleet.JobSubmit{ID: "dc1.late"}})
	require.NotNil(t, refusal)
	require.Equal(t, api.NotRun, refusal.Verdict)
	require.Equal(t, api.CodeNoQuorum, refusal.Code)
	require.Positive(t, refusal.RetryAfterMS)
	require.Contains(t, refusal.Message, "no contact", "the submission is refused without asking a store")
}

// TestProposeVerdicts guards against a not_run refusal of a submission that a store
// may have received.
func TestProposeVerdicts(t *testing.T) {
	for unsent, verdict := range map[bool]api.Verdict{true: api.NotRun, false: api.MayHaveRun} {
		refusal := proposeRefusal(&leader.ErrUnavailable{Unsent: unsent, Cause: wire.ErrClosed})
		require.Equal(t, verdict, refusal.Verdict)
		require.Positive(t, refusal.RetryAfterMS)
	}
	refusal := proposeRefusal(&wire.ErrorBody{Code: wire.CodeBadMessage})
	require.Equal(t, api.NotRun, refusal.Verdict)
}

// TestHeldJobRequestsAreBounded guards against so many callers waiting for jobs
// that the connection to the leader has no room left for lease renewals.
func TestHeldJobRequestsAreBounded(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.mustCall(t, "/v1/queues/nightly/jobs", `{"run_time_ms":5}`, api.HeaderKey, testKey, api.HeaderRequestID, "dc1.job")
	for range maxHeldJobRequests {
		te.heldJobRequests <- struct{}{}
	}
	job, refusal := te.waitForJob(t.Context(), "dc1.job", "red", 10*time.Millisecond)
	require.Nil(t, refusal)
	require.Equal(t, fleet.JobQueued, job.State)
	require.Zero(t, store.heldRequests.Load())
	<-te.heldJobRequests
	_, refusal = te.waitForJob(t.Context(), "dc1.job", "red", 200*time.Millisecond)
	require.Nil(t, refusal)
	require.Positive(t, store.heldRequests.Load())
	require.Len(t, te.heldJobRequests, maxHeldJobRequests-1)
}
