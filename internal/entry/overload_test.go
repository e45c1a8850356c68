package entry

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
)

// TestRecoveryAfterFreeze guards against a backend server that stays ejected, and
// against calls that are still refused as too late, after it was unresponsive and
// recovered.
func TestRecoveryAfterFreeze(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	var frozen atomic.Bool
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			neverAnswer(w, r)
			return
		}
		echoBackend(w, r)
	})
	call := func() api.Verdict {
		got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true", api.HeaderTimeoutMS, "200")
		return got.verdict
	}
	require.Equal(t, api.Done, call())
	frozen.Store(true)
	results := make(chan api.Verdict, 30)
	for range cap(results) {
		go func() { results <- call() }()
	}
	for range cap(results) {
		require.NotEqual(t, api.Done, <-results)
	}
	frozen.Store(false)
	require.Eventually(t, func() bool { return call() == api.Done }, waitTimeout, time.Millisecond)
}
