package entry

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
)

// Guards against requests with text that no store can decode: they must be refused at once as
// not run, not retried until their time limit and answered as if there were no leader.
func TestUnreadableTextIsRefused(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	cases := map[string]struct {
		method, path, body string
		headers            []string
	}{
		"id of a job":             {http.MethodGet, "/v1/jobs/dc1.%FF", "", nil},
		"id of a cancellation":    {http.MethodDelete, "/v1/jobs/dc1.%FF", "", nil},
		"id of a worker":          {http.MethodPut, "/v1/step-workers/w%FF", `{"life":{"id":"w"},"pool":"p","sequence":1}`, nil},
		"id of a leaving worker":  {http.MethodDelete, "/v1/step-workers/w%FF", "", nil},
		"queue":                   {http.MethodPost, "/v1/queues/%FF/jobs", "{}", nil},
		"query":                   {http.MethodGet, api.PathStalled + "?queue=%FF", "", nil},
		"key":                     {http.MethodPost, "/v1/call/plan", "x", []string{api.HeaderKey, "k\xff"}},
		"content type":            {http.MethodPost, "/v1/call/free", "x", []string{api.HeaderContentType, "a/b; c=\xff"}},
		"body of a job":           {http.MethodPost, "/v1/queues/nightly/jobs", "{\"payload\":\"\xff\"}", nil},
		"body of an announcement": {http.MethodPost, "/v1/announce/backend", "{\"instance\":\"\xff\"}", nil},
	}
	for name, tt := range cases {
		headers := tt.headers
		if len(headers) == 0 {
			headers = []string{api.HeaderKey, testKey}
		}
		got, err := te.call(tt.method, tt.path, tt.body, headers...)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusBadRequest, got.status, "%s: %s", name, got.body)
		require.Equal(t, api.NotRun, got.verdict, name)
	}
}

// Guards against a ready answer that is lost because the ledger can't record its content type.
func TestAnswerWithUnreadableContentTypeIsDelivered(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	te.register(t, "odd", "plan", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderContentType, "text/plain; name=\xff")
		echoBackend(w, r)
	})
	headers := []string{api.HeaderKey, testKey, api.HeaderRequestID, "dc1.odd"}
	for range 2 {
		got := te.mustCall(t, "/v1/call/plan", "x", headers...)
		require.Equal(t, api.Done, got.verdict, string(got.body))
		require.Equal(t, "x", string(got.body))
	}
}
