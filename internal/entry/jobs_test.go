package entry

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
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
	refused := te.mustCall(t, "/v1/queues/nightly/jobs", `{}`, api.HeaderKey, testKey, api.HeaderTimeoutMS, "200")
	require.Equal(t, api.NotRun, refused.verdict)
	require.Positive(t, refused.refusal.RetryAfterMS)
	require.NotEmpty(t, refused.refusal.RequestID)
}
