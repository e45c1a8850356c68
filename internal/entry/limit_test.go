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

func (te *testEntry) runningOf(team string) int {
	te.sched.mu.Lock()
	defer te.sched.mu.Unlock()
	return te.sched.running[team]
}

// Guards against a second attempt that runs besides the first one of a team whose
// only unit the first one still uses, and against the loss of the first answer.
func TestSecondAttemptNeedsUnit(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 1
	te := startEntry(t, store, "e1", "dc1")
	var runs atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		for te.runningOf("red") < 2 && r.Context().Err() == nil {
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

// Guards against a unit that is reused while a backend server may still run the
// call whose connection broke.
func TestBrokenConnectionKeepsUnit(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 1
	te := startEntry(t, store, "e1", "dc1")
	release, finish := context.WithCancel(context.Background())
	defer finish()
	var running, most atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		defer running.Add(-1)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
		<-release.Done()
	})
	call := func() result {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "400")
	}
	require.Equal(t, api.MayHaveRun, call().verdict)
	require.Equal(t, api.NotRun, call().verdict)
	require.EqualValues(t, 1, most.Load())
	finish()
	require.Eventually(t, func() bool { return te.runningOf("red") == 0 }, generous, time.Millisecond)
}

// Guards against a forwarded call that runs under a key that the entry it reaches
// knows to be withdrawn, or without a lease there.
func TestForwardChecksKey(t *testing.T) {
	store, other := newFakeStore(t), newFakeStore(t)
	near := startEntry(t, store, "e1", "dc1")
	far := startEntry(t, other, "e2", "dc2", near.peerAddress)
	far.register(t, "b1", "plan", echoBackend)
	call := func() api.Verdict {
		return near.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "500").verdict
	}
	require.Eventually(t, func() bool { return call() == api.Done }, generous, time.Millisecond)
	other.change(func(c *fleet.Config) {
		key := c.Keys["k1"]
		key.Withdrawn = true
		c.Keys = map[string]fleet.Key{"k1": key}
	})
	require.Eventually(t, func() bool { return call() == api.NotRun }, generous, time.Millisecond)
	other.change(func(c *fleet.Config) { c.Keys = testConfig().Keys })
	require.Eventually(t, func() bool { return call() == api.Done }, generous, time.Millisecond)
	other.setSilent(true)
	require.Eventually(t, func() bool { return call() == api.NotRun }, generous, time.Millisecond)
}
