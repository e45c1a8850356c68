package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func evacuations(names ...string) map[string]fleet.Evacuation {
	m := map[string]fleet.Evacuation{}
	for _, name := range names {
		m[name] = fleet.Evacuation{DataCentre: name, Since: 1}
	}
	return m
}

func (s *fakeStore) evacuate(names ...string) {
	s.updateConfig(func(c *fleet.Config) { c.Evacuations = evacuations(names...) })
}

// awaitRevision waits until the entry holds the present configuration of the store.
func (te *testEntry) awaitRevision(t *testing.T, store *fakeStore) {
	store.mu.Lock()
	want := store.config.Revision
	store.mu.Unlock()
	require.Eventually(t, func() bool {
		config, _ := te.lease.view(te.clock())
		return config != nil && config.Revision == want
	}, waitTimeout, time.Millisecond)
}

// schedulerRig is a scheduler of the data centre dc1 with a backend server of one slot, and
// the remote entry "far" in dc2.
type schedulerRig struct {
	*scheduler
	now time.Time
}

func newSchedulerRig(t *testing.T) *schedulerRig {
	r := &schedulerRig{now: time.Unix(1000, 0)}
	l := newLeaseState()
	r.scheduler = newScheduler(func() time.Time { return r.now }, "e1", "dc1", admission.PolicyFair, l, rand.New(rand.NewPCG(1, 2)))
	r.now = r.now.Add(routing.SplitTransition)
	l.config = &fleet.Config{}
	r.announce(1)
	r.updateRemoteCapacity("far", "dc2", map[string]int{"plan": 1}, false)
	return r
}

func (r *schedulerRig) announce(sequence uint64) {
	r.registerBackends([]wire.BackendInfo{{Instance: "b1", Incarnation: "1", Service: "plan", Slots: 1, Connections: 1, Sequence: sequence}})
}

func (r *schedulerRig) evacuate(names ...string) {
	r.lease.config = &fleet.Config{Revision: r.lease.config.Revision + 1, Evacuations: evacuations(names...)}
}

// offer sends a call of an open service and returns its decision, or nil while it waits.
func (r *schedulerRig) offer() (*decision, chan decision) {
	req := &admission.Request{Service: "plan", Deadline: r.now.Add(5 * time.Second)}
	decided, refused := r.enqueue(req)
	if refused != nil {
		return &decision{refused: refused}, nil
	}
	select {
	case d := <-decided:
		return &d, decided
	default:
		return nil, decided
	}
}

// TestEvacuationSendsCallsElsewhere replays a data centre that is evacuated under load while
// the other one has a single free slot. Calls must go there, wait while that slot is in use,
// and be refused at once when nothing is left. The former decision refused every call that
// found the slot in use, since it took the other data centre for one without the service.
func TestEvacuationSendsCallsElsewhere(t *testing.T) {
	r := newSchedulerRig(t)
	local, _ := r.offer()
	require.Equal(t, "b1", local.target.slot.Instance)
	r.releaseTarget("plan", local.target, routing.Unused, 0)
	_, free := r.capacitySummary()
	require.NotEmpty(t, free)
	r.evacuate("dc1")
	_, free = r.capacitySummary()
	require.Empty(t, free, "other data centres would forward calls here")
	far, _ := r.offer()
	require.Equal(t, "far", far.target.forwardAddr)

	former := r.updateSlots(r.now, "plan") == 0 && !r.routes.HasBackend(r.now, "plan")
	require.True(t, former, "the former decision would not refuse this call")
	waiting, decided := r.offer()
	require.Nil(t, waiting)
	r.tick()
	require.Empty(t, decided)
	r.releaseTarget("plan", far.target, routing.Succeeded, time.Millisecond)
	require.Len(t, decided, 1)
	require.Equal(t, "far", (<-decided).target.forwardAddr)

	waiting, decided = r.offer()
	require.Nil(t, waiting)
	r.evacuate("dc1", "dc2")
	require.False(t, r.isUsable(far.target))
	r.tick()
	require.Len(t, decided, 1)
	refused := <-decided
	require.NotNil(t, refused.refused)
	require.Equal(t, api.CodeNoBackend, refused.refused.Code)
	require.Positive(t, refused.refused.RetryAfter)
	now, _ := r.offer()
	require.Equal(t, api.CodeNoBackend, now.refused.Code)
	r.evacuate()
	now, _ = r.offer()
	require.Equal(t, "b1", now.target.slot.Instance)
}

// TestSilentRemoteIsNotWaitedFor guards against calls that wait for an entry of another data
// centre which has had no free slot for long, or is not heard from any more.
func TestSilentRemoteIsNotWaitedFor(t *testing.T) {
	r := newSchedulerRig(t)
	r.evacuate("dc1")
	far, _ := r.offer()
	require.Equal(t, "far", far.target.forwardAddr)
	for elapsed := time.Duration(0); elapsed < busyRemoteMemory; elapsed += 500 * time.Millisecond {
		r.updateRemoteCapacity("far", "dc2", nil, false)
		require.True(t, r.mayServe(r.now, "plan"))
		r.now = r.now.Add(500 * time.Millisecond)
	}
	r.updateRemoteCapacity("far", "dc2", nil, false)
	refused, _ := r.offer()
	require.Equal(t, api.CodeNoBackend, refused.refused.Code)
	r.updateRemoteCapacity("far", "dc2", map[string]int{"plan": 1}, false)
	far, _ = r.offer()
	require.Equal(t, "far", far.target.forwardAddr)
	r.now = r.now.Add(summaryMaxAge)
	refused, _ = r.offer()
	require.Equal(t, api.CodeNoBackend, refused.refused.Code)
}

// TestEvacuatedDataCentreServesNoCalls guards against a call that an entry sends to a backend
// server of its evacuated data centre, against the loss of one that runs there, and against
// one that waits although no backend server is left.
func TestEvacuatedDataCentreServesNoCalls(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	release, finish := context.WithCancel(context.Background())
	defer finish()
	var runs atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-release.Done()
		echoBackend(w, r)
	})
	running := make(chan callResult, 1)
	go func() {
		got, _ := te.call(http.MethodPost, "/v1/call/plan", "x", api.HeaderKey, testKey)
		running <- got
	}()
	require.Eventually(t, func() bool { return runs.Load() == 1 }, waitTimeout, time.Millisecond)
	store.evacuate("dc1")
	te.awaitRevision(t, store)
	for _, idempotent := range []string{"true", "false"} {
		began := time.Now()
		got := te.mustCall(t, "/v1/call/plan", "y", api.HeaderKey, testKey, api.HeaderIdempotent, idempotent, api.HeaderAttempt, "1",
			api.HeaderRequestID, "dc1.evacuated-"+idempotent)
		require.Equal(t, api.NotRun, got.verdict)
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Positive(t, got.refusal.RetryAfterMS)
		require.Less(t, time.Since(began), 4*time.Second, "the call waited for its time limit")
	}
	finish()
	got := <-running
	require.Equal(t, api.Done, got.verdict)
	require.Equal(t, "x", string(got.body))
	require.EqualValues(t, 1, runs.Load())
	store.evacuate()
	te.awaitRevision(t, store)
	require.Equal(t, api.Done, te.mustCall(t, "/v1/call/plan", "z", api.HeaderKey, testKey).verdict)
}

// TestEvacuationForwardsCalls guards against calls that fail in an evacuated data centre
// although another one has backend servers, and against a forwarded call that runs in an
// evacuated data centre since its sender has not heard of the evacuation.
func TestEvacuationForwardsCalls(t *testing.T) {
	store := newFakeStore(t)
	here := startEntry(t, store, "e1", "dc1")
	far := startEntry(t, store, "e2", "dc2", here.peerAddress)
	here.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
		_, _ = w.Write([]byte("evacuated"))
	})
	far.register(t, "b2", "plan", echoBackend)
	store.evacuate("dc1")
	here.awaitRevision(t, store)
	far.awaitRevision(t, store)
	require.Eventually(t, func() bool {
		got := here.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey, api.HeaderTimeoutMS, "500")
		require.NotEqual(t, "evacuated", string(got.body))
		return got.verdict == api.Done && string(got.body) == "x"
	}, waitTimeout, time.Millisecond)
	result := far.forward(context.Background(), &callRequest{id: "dc1.f", service: "plan", team: "red", keyID: "k1",
		deadline: far.clock().Add(time.Second)}, here.peerAddress)
	require.Equal(t, attemptNotRun, result.status)
}

// TestEvacuationStopsAdmittedCalls guards against a call that is sent to a backend server
// which was chosen before its data centre was evacuated. The call may have waited for the
// ledger meanwhile.
func TestEvacuationStopsAdmittedCalls(t *testing.T) {
	store := newFakeStore(t)
	te := startEntry(t, store, "e1", "dc1")
	var runs atomic.Int64
	te.register(t, "b1", "plan", func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		echoBackend(w, r)
	})
	require.Equal(t, api.Done, te.mustCall(t, "/v1/call/plan", "x", api.HeaderKey, testKey).verdict)
	req := &callRequest{id: "dc1.a", service: "plan", team: "red", key: testKey, keyID: "k1", deadline: te.clock().Add(waitTimeout)}
	target, refusal := te.admit(t.Context(), req)
	require.Nil(t, refusal)
	defer te.sched.releaseUnit(req.team)
	store.evacuate("dc1")
	te.awaitRevision(t, store)
	require.Equal(t, attemptNotRun, te.runIfUsable(t.Context(), req, target, 1).status)
	require.EqualValues(t, 1, runs.Load())
}
