package entry

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

func crossed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID)+"x")
	_, _ = w.Write([]byte("the answer to another request"))
}

func truncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(100))
	_, _ = w.Write([]byte("half"))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func died(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// late answers only after the caller of the backend server has given up.
func late(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func busy(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set(api.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against the delivery of a wrong answer, and against a second run of a
// non-idempotent call after one that may have run.
func TestFaultyAnswers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		verdict api.Verdict
		code    api.Code
		// retryCode is the code of a repetition of the request.
		retryCode api.Code
	}{
		{"crossed", crossed, api.MayHaveRun, api.CodeAnswerMismatch, api.CodeAnswerMismatch},
		{"truncated", truncated, api.MayHaveRun, api.CodeAnswerTruncated, api.CodeAnswerTruncated},
		{"died", died, api.MayHaveRun, api.CodeBackendFailed, api.CodeBackendFailed},
		{"late", late, api.MayHaveRun, api.CodeTimeout, api.CodeOutcomeUnknown},
		{"busy", busy, api.NotRun, api.CodeNoBackend, api.CodeNoBackend},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			te := startEntry(t, newFakeStore(t), "e1", "dc1")
			var runs atomic.Int64
			te.register(t, "bad", "plan", func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				tc.handler(w, r)
			})
			headers := []string{api.HeaderKey, testKey, api.HeaderTimeoutMS, "400", api.HeaderRequestID, "dc1.a"}
			for _, code := range []api.Code{tc.code, tc.retryCode} {
				got := te.mustCall(t, "/v1/call/plan", "x", headers...)
				require.Equal(t, tc.verdict, got.verdict)
				require.Equal(t, code, got.refusal.Code)
			}
			if tc.verdict == api.MayHaveRun {
				require.EqualValues(t, 1, runs.Load())
			}
			te.register(t, "good", "plan", echoBackend)
			for range 4 {
				got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true")
				require.Equal(t, api.Done, got.verdict, string(got.body))
				require.Equal(t, "x", string(got.body))
			}
		})
	}
}

// Guards against a withdrawn, unknown or missing key that admits work.
func TestKeys(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.register(t, "b1", "plan", echoBackend)
	for key, code := range map[string]api.Code{"": api.CodeKeyMissing, "k1": api.CodeKeyUnknown, "k1.wrong": api.CodeKeyUnknown, "k2.secret": api.CodeKeyUnknown} {
		got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, key)
		require.Equal(t, http.StatusUnauthorized, got.status)
		require.Equal(t, code, got.refusal.Code)
		require.Equal(t, api.NotRun, got.verdict)
	}
	store.change(func(c *fleet.Config) {
		key := c.Keys["k1"]
		key.Withdrawn = true
		c.Keys = map[string]fleet.Key{"k1": key}
	})
	require.Eventually(t, func() bool {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey).refusal.Code == api.CodeKeyWithdrawn
	}, generous, time.Millisecond)
}

// Guards against keyed work under a lapsed lease, and against open work that
// stops with it.
func TestLapsedLease(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.register(t, "b1", "plan", echoBackend)
	te.register(t, "b2", "free", echoBackend)
	store.setSilent(true)
	te.offset.Add(int64(2500 * time.Millisecond))
	require.Eventually(t, func() bool {
		got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey)
		return got.refusal.Code == api.CodeNoLease && got.verdict == api.NotRun && got.refusal.RetryAfterMS > 0
	}, generous, time.Millisecond)
	unmarked := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.m")
	require.Equal(t, api.MayHaveRun, unmarked.verdict, "an earlier attempt elsewhere may have run")
	first := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.n", api.HeaderAttempt, "1")
	require.Equal(t, api.NotRun, first.verdict)
	require.Equal(t, api.Done, te.mustCall(t, "/v1/call/free", "x").verdict)
	store.setSilent(false)
	require.Eventually(t, func() bool {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey).verdict == api.Done
	}, generous, time.Millisecond)
}

// Guards against a second dispatch by a retry that arrives while the first call runs.
func TestRetryJoinsRunningCall(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	release := make(chan struct{})
	var runs atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-release
		echoBackend(w, r)
	})
	results := make(chan result, 2)
	call := func() {
		got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc2.join")
		results <- got
	}
	go call()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, generous, time.Millisecond)
	go call()
	require.Eventually(t, func() bool { return store.claims.Load() >= 3 }, generous, time.Millisecond)
	close(release)
	for range 2 {
		got := <-results
		require.Equal(t, api.Done, got.verdict)
		require.Equal(t, "x", string(got.body))
	}
	require.EqualValues(t, 1, runs.Load())
	other := te.mustCall(t, "/v1/call/plan", "y", api.HeaderKey, testKey, api.HeaderRequestID, "dc2.join")
	require.Equal(t, api.CodeRequestIDReused, other.refusal.Code)
}

// Guards against a planned stop that interrupts a running or waiting request.
func TestGracefulStop(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	release := make(chan struct{})
	var runs atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-release
		echoBackend(w, r)
	})
	const calls = 12
	results := make(chan result, calls)
	for range calls {
		go func() {
			got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey)
			results <- got
		}()
	}
	require.Eventually(t, func() bool { return runs.Load() == 8 && te.sched.queued() == 4 }, generous, time.Millisecond)
	te.stop()
	require.Eventually(t, te.Stopping, generous, time.Millisecond)
	close(release)
	for range calls {
		require.Equal(t, api.Done, (<-results).verdict)
	}
	require.NoError(t, <-te.done)
}

// Guards against more running calls of a team than its limit grant.
func TestLimitGrant(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 2
	te := startEntry(t, store, "e1", "dc1")
	var running, most atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), running.Add(1)))
		echoBackend(w, r)
		running.Add(-1)
	})
	results := make(chan result, 40)
	for range cap(results) {
		go func() {
			got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true")
			results <- got
		}()
	}
	for range cap(results) {
		require.Equal(t, api.Done, (<-results).verdict)
	}
	require.LessOrEqual(t, most.Load(), int64(2))
}

// Guards against calls that fail although another data centre has free slots.
func TestForward(t *testing.T) {
	store := newFakeStore(t)
	near := startEntry(t, store, "e1", "dc1")
	far := startEntry(t, store, "e2", "dc2", near.peerAddress)
	far.register(t, "b1", "plan", echoBackend)
	require.Eventually(t, func() bool {
		got := near.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "500")
		return got.verdict == api.Done && string(got.body) == "x"
	}, generous, time.Millisecond)
}

// Guards against a second entry of a data centre that does not hear of the
// backend servers, or that both use all slots of one.
func TestMeshSharesBackends(t *testing.T) {
	store := newFakeStore(t)
	one := startEntry(t, store, "e1", "dc1")
	two := startEntry(t, store, "e2", "dc1", one.peerAddress)
	one.register(t, "b1", "plan", echoBackend)
	for _, te := range []*testEntry{one, two} {
		require.Eventually(t, func() bool {
			te.sched.mu.Lock()
			defer te.sched.mu.Unlock()
			total, _ := te.sched.routes.Capacity(te.clock(), "plan")
			return total == 4
		}, generous, time.Millisecond)
	}
}

// Guards against a wrong verdict when the ledger can't be reached.
func TestLedgerUnreachable(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.set.Ledgers = map[string]string{"dc1": "127.0.0.1:1"}
	te.register(t, "b1", "plan", echoBackend)
	first := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.1", api.HeaderAttempt, "1")
	require.Equal(t, api.NotRun, first.verdict)
	unknown := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.2")
	require.Equal(t, api.MayHaveRun, unknown.verdict)
	require.Positive(t, unknown.refusal.RetryAfterMS)
}

// Guards against a dispatch by an entry whose claim lapsed while the call waited.
func TestDispatchNeedsHeldClaim(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	held := claim{home: store.addr, id: "dc1.z", owner: "nobody"}
	req := &callRequest{open: true, deadline: te.clock().Add(time.Second)}
	require.NotNil(t, te.beforeDispatch(req, held))
}

// Guards against a refusal as not_run from an entry whose claim was taken over by
// an attempt that ran.
func TestLostClaimMayHaveRun(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	req := &callRequest{id: "dc1.y", open: true, deadline: te.clock().Add(generous)}
	held, answer := te.claim(t.Context(), req)
	require.Nil(t, answer)
	refusal := asAnswer(api.RetryLater(api.CodeDeadlineUnreachable, "too late", time.Second))
	require.Equal(t, string(api.NotRun), te.finish(held, refusal).Verdict)
	other, answer := te.claim(t.Context(), req)
	require.Nil(t, answer)
	require.Nil(t, te.beforeDispatch(req, other))
	require.Equal(t, string(api.MayHaveRun), te.finish(held, refusal).Verdict)
}

// Guards against the loss of an answer that arrived after the caller's time
// limit, and against a slot that is given away while its call still runs.
func TestLateAnswerIsKept(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	release := make(chan struct{})
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoBackend(w, r)
	})
	headers := []string{api.HeaderKey, testKey, api.HeaderTimeoutMS, "100", api.HeaderRequestID, "dc1.late"}
	first := te.mustCall(t, "/v1/call/plan", "x", headers...)
	require.Equal(t, api.MayHaveRun, first.verdict)
	_, free := te.sched.summary()
	require.Equal(t, 7, free["plan"])
	require.Equal(t, 1, te.sched.busy())
	close(release)
	require.Eventually(t, func() bool {
		got := te.mustCall(t, "/v1/call/plan", "x", headers...)
		return got.verdict == api.Done && string(got.body) == "x"
	}, generous, time.Millisecond)
	require.Zero(t, te.sched.busy())
}
