package entry

import (
	"fmt"
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

func answerMismatched(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID)+"x")
	_, _ = w.Write([]byte("the answer to another request"))
}

func answerTruncated(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set("Content-Length", strconv.Itoa(100))
	_, _ = w.Write([]byte("half"))
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// neverAnswer blocks until the entry gives up on the request.
func neverAnswer(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

func refuseBusy(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	w.Header().Set(api.HeaderNotRun, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestFaultyAnswers guards against the delivery of a wrong answer, and against a
// second run of a non-idempotent call after one that may have run.
func TestFaultyAnswers(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		verdict api.Verdict
		code    api.Code
		// retryCode is the code in the answer to a retry of the request.
		retryCode api.Code
	}{
		{"crossed", answerMismatched, api.MayHaveRun, api.CodeAnswerMismatch, api.CodeAnswerMismatch},
		{"truncated", answerTruncated, api.MayHaveRun, api.CodeAnswerTruncated, api.CodeAnswerTruncated},
		{"died", abortConnection, api.MayHaveRun, api.CodeBackendFailed, api.CodeBackendFailed},
		{"late", neverAnswer, api.MayHaveRun, api.CodeTimeout, api.CodeOutcomeUnknown},
		{"busy", refuseBusy, api.NotRun, api.CodeNoBackend, api.CodeNoBackend},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			te := startEntry(t, newFakeStore(t), "e1", "dc1")
			var runs atomic.Int64
			te.register(t, "bad", "plan", func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				tc.handler(w, r)
			})
			id, got := te.callUntilRun(t, &runs)
			require.Equal(t, tc.verdict, got.verdict, "%+v after %d runs", got.refusal, runs.Load())
			require.Equal(t, tc.code, got.refusal.Code, "%+v", got.refusal)
			got = te.callWithShortLimit(t, id)
			require.Equal(t, tc.verdict, got.verdict, "%+v after %d runs", got.refusal, runs.Load())
			require.Equal(t, tc.retryCode, got.refusal.Code, "%+v", got.refusal)
			if tc.verdict == api.MayHaveRun {
				require.EqualValues(t, 1, runs.Load())
			}
			te.register(t, "good", "plan", echoBackend)
			for range 4 {
				got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true")
				require.Equal(t, api.Done, got.verdict, "%s after %d runs", got.body, runs.Load())
				require.Equal(t, "x", string(got.body))
			}
		})
	}
}

// callUntilRun sends calls, each with an identifier of its own, until one has reached the backend
// server, and returns its identifier and answer. A call whose limit passes before, as it may on a
// busy machine, must be answered as not run.
func (te *testEntry) callUntilRun(t *testing.T, runs *atomic.Int64) (id string, got callResult) {
	t.Helper()
	for n := 0; ; n++ {
		id = fmt.Sprintf("dc1.a%d", n)
		got = te.callWithShortLimit(t, id)
		if runs.Load() > 0 {
			return id, got
		}
		require.Equal(t, api.NotRun, got.verdict, "%+v", got.refusal)
	}
}

// callWithShortLimit sends a call that must not run twice, with a time limit of 400 ms.
func (te *testEntry) callWithShortLimit(t *testing.T, id string) callResult {
	t.Helper()
	return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "400", api.HeaderRequestID, id)
}

// TestKeys guards against the admission of a call with a withdrawn, unknown or
// missing key.
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
	store.updateConfig(func(c *fleet.Config) {
		key := c.Keys["k1"]
		key.Withdrawn = true
		c.Keys = map[string]fleet.Key{"k1": key}
	})
	require.Eventually(t, func() bool {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey).refusal.Code == api.CodeKeyWithdrawn
	}, waitTimeout, time.Millisecond)
}

// TestLapsedLease guards against calls with a key that are admitted under an
// expired lease, and against calls to open services that are refused because of it.
func TestLapsedLease(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.register(t, "b1", "plan", echoBackend)
	te.register(t, "b2", "free", echoBackend)
	store.setUnavailable(true)
	te.offset.Add(int64(2500 * time.Millisecond))
	require.Eventually(t, func() bool {
		got := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey)
		return got.refusal.Code == api.CodeNoLease && got.verdict == api.NotRun && got.refusal.RetryAfterMS > 0
	}, waitTimeout, time.Millisecond)
	unmarked := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.m")
	require.Equal(t, api.MayHaveRun, unmarked.verdict, "an earlier attempt elsewhere may have run")
	first := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.n", api.HeaderAttempt, "1")
	require.Equal(t, api.NotRun, first.verdict)
	require.Equal(t, api.Done, te.mustCall(t, "/v1/call/free", "x").verdict)
	store.setUnavailable(false)
	require.Eventually(t, func() bool {
		return te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey).verdict == api.Done
	}, waitTimeout, time.Millisecond)
}

// TestRetryJoinsRunningCall guards against a second dispatch by a retry that
// arrives while the first call runs.
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
	results := make(chan callResult, 2)
	call := func() {
		got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc2.join")
		results <- got
	}
	go call()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, waitTimeout, time.Millisecond)
	go call()
	require.Eventually(t, func() bool { return store.claims.Load() >= 3 }, waitTimeout, time.Millisecond)
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

// TestGracefulStop guards against a planned stop that interrupts a running or
// waiting call.
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
	results := make(chan callResult, calls)
	for range calls {
		go func() {
			got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey)
			results <- got
		}()
	}
	require.Eventually(t, func() bool { return runs.Load() == 8 && te.sched.queued() == 4 }, waitTimeout, time.Millisecond)
	te.stop()
	require.Eventually(t, te.Stopping, waitTimeout, time.Millisecond)
	close(release)
	for range calls {
		require.Equal(t, api.Done, (<-results).verdict)
	}
	require.NoError(t, <-te.done)
}

// TestLimitGrant guards against more running calls of a team than its limit grant.
func TestLimitGrant(t *testing.T) {
	store := newFakeStore(t)
	store.grant = 2
	te := startEntry(t, store, "e1", "dc1")
	var running, maxRunning atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		maxRunning.Store(max(maxRunning.Load(), running.Add(1)))
		echoBackend(w, r)
		running.Add(-1)
	})
	results := make(chan callResult, 40)
	for range cap(results) {
		go func() {
			got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderIdempotent, "true")
			results <- got
		}()
	}
	for range cap(results) {
		require.Equal(t, api.Done, (<-results).verdict)
	}
	require.LessOrEqual(t, maxRunning.Load(), int64(2))
}

// TestForward guards against calls that fail although another data centre has free
// slots.
func TestForward(t *testing.T) {
	store := newFakeStore(t)
	near := startEntry(t, store, "e1", "dc1")
	far := startEntry(t, store, "e2", "dc2", near.peerAddress)
	far.register(t, "b1", "plan", echoBackend)
	require.Eventually(t, func() bool {
		got := near.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "500")
		return got.verdict == api.Done && string(got.body) == "x"
	}, waitTimeout, time.Millisecond)
}

// TestMeshSharesBackends guards against a second entry of a data centre that does
// not learn of the backend servers, and against two entries that each use all slots
// of one.
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
		}, waitTimeout, time.Millisecond)
	}
}

// TestLedgerUnreachable guards against a wrong verdict when the ledger can't be
// reached.
func TestLedgerUnreachable(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	te.settings.Ledgers = map[string]string{"dc1": "127.0.0.1:1"}
	te.register(t, "b1", "plan", echoBackend)
	first := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.1", api.HeaderAttempt, "1")
	require.Equal(t, api.NotRun, first.verdict)
	unknown := te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderRequestID, "dc1.2")
	require.Equal(t, api.MayHaveRun, unknown.verdict)
	require.Positive(t, unknown.refusal.RetryAfterMS)
}

// TestDispatchNeedsHeldClaim guards against a dispatch by an entry whose claim
// expired while the call waited.
func TestDispatchNeedsHeldClaim(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	held := claim{homeAddr: store.addr, id: "dc1.z", owner: "nobody"}
	req := &callRequest{open: true, deadline: te.clock().Add(time.Second)}
	require.NotNil(t, te.recordDispatch(req, held))
}

// TestLostClaimMayHaveRun guards against a not_run refusal from an entry whose
// claim was taken over by an attempt that ran.
func TestLostClaimMayHaveRun(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	req := &callRequest{id: "dc1.y", open: true, deadline: te.clock().Add(waitTimeout)}
	held, answer := te.claim(t.Context(), req)
	require.Nil(t, answer)
	refusal := refusalToAnswer(api.RetryLater(api.CodeDeadlineUnreachable, "too late", time.Second))
	require.Equal(t, string(api.NotRun), te.finishClaim(held, refusal).Verdict)
	other, answer := te.claim(t.Context(), req)
	require.Nil(t, answer)
	require.Nil(t, te.recordDispatch(req, other))
	require.Equal(t, string(api.MayHaveRun), te.finishClaim(held, refusal).Verdict)
}

// TestLateAnswerIsKept guards against the loss of an answer that arrives after the
// time limit of the call, and against a slot that is reused while its call is still
// running.
func TestLateAnswerIsKept(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	release := make(chan struct{})
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		<-release
		echoBackend(w, r)
	})
	headers := []string{api.HeaderKey, testKey, api.HeaderTimeoutMS, "1000", api.HeaderRequestID, "dc1.late"}
	first := te.mustCall(t, "/v1/call/plan", "x", headers...)
	require.Equal(t, api.MayHaveRun, first.verdict)
	_, free := te.sched.capacitySummary()
	require.Equal(t, 7, free["plan"])
	require.Equal(t, 1, te.sched.inFlight())
	close(release)
	require.Eventually(t, func() bool {
		got := te.mustCall(t, "/v1/call/plan", "x", headers...)
		return got.verdict == api.Done && string(got.body) == "x"
	}, waitTimeout, time.Millisecond)
	require.Zero(t, te.sched.inFlight())
}
