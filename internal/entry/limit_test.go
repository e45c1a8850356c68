package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
)

func (te *testEntry) runningCalls(team string) int {
	te.sched.mu.Lock()
	defer te.sched.mu.Unlock()
	return te.sched.running[team]
}

// TestSecondAttemptNeedsUnit guards against a second attempt that runs at the same
// time as the first, although the team has only one unit and the first attempt
// still uses it. It also guards against the loss of the answer to the first
// attempt.
func TestSecondAttemptNeedsUnit(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 1
	te := startEntry(t, store, "e1", "dc1")
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		// A test that has failed must not wait for this call.
		for te.runningCalls("red") < 2 && r.Context().Err() == nil && t.Context().Err() == nil {
			wait.For(r.Context(), time.Millisecond)
		}
		echoBackend(w, r)
	}
	te.register(t, "b1", "plan", handler)
	te.register(t, "b2", "plan", handler)
	got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true", api.HeaderTimeoutMS, "2000")
	require.Equal(t, api.Done, got.verdict, string(got.body))
	require.EqualValues(t, 1, runs.Load())
}

// TestBrokenConnectionKeepsUnit guards against the reuse of a unit while a backend
// server may still be running the call whose connection broke.
func TestBrokenConnectionKeepsUnit(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 1
	te := startEntry(t, store, "e1", "dc1")
	release, finish := context.WithCancel(context.Background())
	defer finish()
	var running, maxRunning atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		defer running.Add(-1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		<-release.Done()
	})
	call := func() callResult {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "400")
	}
	require.Equal(t, api.MayHaveRun, call().verdict)
	require.Equal(t, api.NotRun, call().verdict)
	require.EqualValues(t, 1, maxRunning.Load())
	finish()
	require.Eventually(t, func() bool { return te.runningCalls("red") == 0 }, waitTimeout, time.Millisecond)
}

// TestForwardChecksKey guards against a forwarded call that runs although the
// receiving entry knows its key to be withdrawn, or has no valid lease.
func TestForwardChecksKey(t *testing.T) {
	store, other := newFakeStore(t), newFakeStore(t)
	near := startEntry(t, store, "e1", "dc1")
	far := startEntry(t, other, "e2", "dc2", near.peerAddress)
	far.register(t, "b1", "plan", echoBackend)
	call := func() api.Verdict {
		return near.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "500").verdict
	}
	require.Eventually(t, func() bool { return call() == api.Done }, waitTimeout, time.Millisecond)
	other.updateConfig(func(c *fleet.Config) {
		key := c.Keys["k1"]
		key.Withdrawn = true
		c.Keys = map[string]fleet.Key{"k1": key}
	})
	require.Eventually(t, func() bool { return call() == api.NotRun }, waitTimeout, time.Millisecond)
	other.updateConfig(func(c *fleet.Config) { c.Keys = testConfig().Keys })
	require.Eventually(t, func() bool { return call() == api.Done }, waitTimeout, time.Millisecond)
	other.setUnavailable(true)
	require.Eventually(t, func() bool { return call() == api.NotRun }, waitTimeout, time.Millisecond)
}
