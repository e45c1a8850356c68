package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/ledger"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	testKey     = "k1.secret"
	testSecret  = "secret of the test fleet"
	waitTimeout = 20 * time.Second
)

// fakeStore is a leading store with a real ledger and a configuration that tests
// can change.
type fakeStore struct {
	addr   string
	ledger *ledger.Ledger
	claims atomic.Int64

	mu     sync.Mutex
	config fleet.Config
	grant  int
	// unavailable makes the store refuse requests as if it did not lead.
	unavailable bool
	jobs        map[string]*fleet.Job
	// heldRequests counts the job queries with a hold time.
	heldRequests atomic.Int64
	entries      []wire.EntryInfo
}

func testConfig() fleet.Config {
	sum := sha256.Sum256([]byte("secret"))
	return fleet.Config{
		Revision: 1,
		Teams:    map[string]fleet.Team{"red": {Name: "red", Share: 1, Limit: 100}},
		Keys:     map[string]fleet.Key{"k1": {ID: "k1", Team: "red", SecretSHA256: hex.EncodeToString(sum[:])}},
		Services: map[string]fleet.Service{
			"plan": {Name: "plan", TimeoutMS: 5000},
			"free": {Name: "free", Open: true, TimeoutMS: 5000},
		},
		Queues: map[string]fleet.Queue{"nightly": {Name: "nightly"}},
	}
}

// startPeer serves a mux as another process of the fleet and returns its address.
func startPeer(t testing.TB, name string, mux wire.Mux) string {
	creds := wire.Credentials{Instance: name, Secret: []byte(testSecret)}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := wire.Accept(w, r, creds, mux.Handle); err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func newFakeStore(t testing.TB) *fakeStore {
	led, err := ledger.Open(t.TempDir(), ledger.Options{FirstStart: true})
	require.NoError(t, err)
	t.Cleanup(func() { _ = led.Close() })
	s := &fakeStore{ledger: led, config: testConfig(), grant: 100, jobs: map[string]*fleet.Job{}}
	mux := wire.Mux{wire.TypeRenew: s.renew, wire.TypePropose: s.propose, wire.TypeJobWait: s.jobWait, wire.TypeStalled: s.stalled}
	led.Register(mux)
	claim := mux[wire.TypeLedgerClaim]
	mux[wire.TypeLedgerClaim] = func(ctx context.Context, req wire.Request) (any, error) {
		s.claims.Add(1)
		return claim(ctx, req)
	}
	s.addr = startPeer(t, "store", mux)
	return s
}

func (s *fakeStore) renew(_ context.Context, req wire.Request) (any, error) {
	var msg wire.RenewRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader}
	}
	reply := wire.RenewReply{Term: 1, LeaseMS: 2000, Revision: s.config.Revision, Grants: map[string]int{}, Entries: s.entries}
	for team, wanted := range msg.Wanted {
		reply.Grants[team] = min(wanted, s.grant)
	}
	if msg.Revision != s.config.Revision {
		config := s.config
		reply.Config = &config
	}
	return reply, nil
}

func (s *fakeStore) propose(_ context.Context, req wire.Request) (any, error) {
	var msg wire.ProposeRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader}
	}
	if sub := msg.Command.Submit; sub != nil {
		s.jobs[sub.ID] = &fleet.Job{ID: sub.ID, Team: sub.Team, Queue: sub.Queue, State: fleet.JobQueued}
		return wire.ProposeReply{Result: fleet.Result{Job: s.jobs[sub.ID]}}, nil
	}
	job := s.jobs[msg.Command.Cancel.ID]
	job.State = fleet.JobCancelled
	return wire.ProposeReply{Result: fleet.Result{Job: job}}, nil
}

func (s *fakeStore) jobWait(_ context.Context, req wire.Request) (any, error) {
	var msg wire.JobWaitRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if msg.WaitMS > 0 {
		s.heldRequests.Add(1)
	}
	return wire.JobWaitReply{Job: s.jobs[msg.ID]}, nil
}

// updateConfig changes the configuration and increments its revision.
func (s *fakeStore) updateConfig(f func(*fleet.Config)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.config)
	s.config.Revision++
}

func (s *fakeStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// testEntry is a running entry whose clock can be advanced.
type testEntry struct {
	*Entry
	url    string
	offset atomic.Int64
	stop   context.CancelFunc
	done   chan error
}

func startEntry(t testing.TB, store *fakeStore, name, dataCentre string, peers ...string) *testEntry {
	te := &testEntry{done: make(chan error, 1)}
	set := settings.Entry{
		Common:  settings.Common{Instance: name, DataCentre: dataCentre, SharedSecret: testSecret},
		Stores:  []string{store.addr},
		Ledgers: map[string]string{"dc1": store.addr, "dc2": store.addr},
		Peers:   peers,
	}
	clock := func() time.Time { return time.Now().Add(time.Duration(te.offset.Load())) }
	te.Entry = New(set, Options{Log: zerolog.Nop(), Clock: clock, Seed: 1, StopGrace: time.Millisecond})
	// Skip the time during which a new entry uses no slots.
	te.offset.Store(int64(4 * time.Second))
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	peerListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	te.peerAddress = peerListener.Addr().String()
	te.url = "http://" + callers.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	te.stop = stop
	go func() { te.done <- te.Serve(ctx, callers, peerListener); close(te.done) }()
	t.Cleanup(func() { stop(); <-te.done })
	te.awaitReady(t)
	return te
}

func (te *testEntry) awaitReady(t testing.TB) {
	require.Eventually(t, func() bool {
		resp, err := http.Get(te.url + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, waitTimeout, time.Millisecond)
}

// register starts a backend server and announces it until the test ends.
func (te *testEntry) register(t testing.TB, instance, service string, handler http.HandlerFunc) {
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	info := wire.BackendInfo{Instance: instance, Incarnation: "1", Service: service, Slots: 8, Connections: 64}
	info.Address = strings.TrimPrefix(srv.URL, "http://")
	body, err := json.Marshal(info)
	require.NoError(t, err)
	announce := func() int {
		resp, err := http.Post(te.url+"/v1/announce/backend", "application/json", bytes.NewReader(body))
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, announce())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			wait.For(ctx, 500*time.Millisecond)
			announce()
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// callResult is an answer as the caller receives it.
type callResult struct {
	status  int
	verdict api.Verdict
	body    []byte
	refusal api.Refusal
}

func (te *testEntry) call(method, path string, body string, headers ...string) (callResult, error) {
	req, err := http.NewRequest(method, te.url+path, strings.NewReader(body))
	if err != nil {
		return callResult{}, err
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{}, err
	}
	defer resp.Body.Close()
	out := callResult{status: resp.StatusCode, verdict: api.Verdict(resp.Header.Get(api.HeaderVerdict))}
	out.body, err = io.ReadAll(resp.Body)
	_ = json.Unmarshal(out.body, &out.refusal)
	return out, err
}

func (te *testEntry) mustCall(t testing.TB, path, body string, headers ...string) callResult {
	t.Helper()
	out, err := te.call(http.MethodPost, path, body, headers...)
	require.NoError(t, err)
	return out
}

// echoBackend answers with the body of the request.
func echoBackend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(api.HeaderRequestID, r.Header.Get(api.HeaderRequestID))
	_, _ = w.Write(body)
}
