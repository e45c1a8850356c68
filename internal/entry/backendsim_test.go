package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/backendsim"
	"github.com/samphirefork/samphirefork/internal/history"
)

// startBackend runs a simulated backend server. The returned function stops it and
// waits until it has ended.
func startBackend(t *testing.T, te *testEntry, record *history.Writer, faults backendsim.Faults) func() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cfg := backendsim.Config{
		Instance: "sim", Service: "plan", Entries: []string{strings.TrimPrefix(te.url, "http://")},
		Slots: 8, Connections: 64, Mean: time.Millisecond, Distribution: "exponential", Seed: 7,
		Grace: 100 * time.Millisecond, History: record, Faults: faults,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	server := backendsim.New(cfg, listener)
	go func() { done <- server.Run(ctx) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); require.NoError(t, <-done) }) }
	t.Cleanup(stop)
	return stop
}

// TestFaultMix guards, with all faults injected at once, against a wrong answer
// that is delivered, a not_run refusal of a call that ran, a call that runs twice,
// more running calls than slots, and a call that starts after the backend server
// has announced that it leaves.
func TestFaultMix(t *testing.T) {
	te := startEntry(t, newFakeStore(t), "e1", "dc1")
	path := filepath.Join(t.TempDir(), "history.jsonl")
	record, err := history.NewWriter(path, "sim")
	require.NoError(t, err)
	faults := backendsim.Faults{CrossedShare: 0.1, TruncatedShare: 0.1, FailShare: 0.05, DropShare: 0.1, LateShare: 0.02, LateMS: 700}
	stop := startBackend(t, te, record, faults)
	require.Eventually(t, func() bool {
		backends, _ := te.sched.capacitySummary()
		return len(backends) == 1
	}, waitTimeout, time.Millisecond)

	const calls = 200
	verdicts := make([]api.Verdict, calls)
	var wg sync.WaitGroup
	limit := make(chan struct{}, 32)
	for i := range calls {
		wg.Add(1)
		limit <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-limit }()
			id, body := fmt.Sprintf("dc1.c%d", i), fmt.Sprintf("body %d", i)
			for range 2 {
				got, err := te.call(http.MethodPost, "/v1/call/plan", body, api.HeaderKey, testKey,
					api.HeaderRequestID, id, api.HeaderTimeoutMS, "500")
				if err != nil {
					t.Error(err)
					return
				}
				verdicts[i] = got.verdict
				if got.verdict == api.Done && backendsim.CheckAnswer(id, []byte(body), got.body) != nil {
					t.Errorf("%s got a wrong answer", id)
				}
			}
		}()
	}
	wg.Wait()
	stop()
	starts := map[string]int{}
	left := false
	events, err := history.Read(path)
	require.NoError(t, err)
	for _, ev := range events {
		left = left || ev.Kind == history.Leave
		if ev.Kind == history.Start {
			require.False(t, left, "a call started after the backend server announced that it leaves")
			require.LessOrEqual(t, ev.Running, 8)
			starts[ev.RequestID]++
		}
	}
	completed := 0
	for i, verdict := range verdicts {
		n := starts[fmt.Sprintf("dc1.c%d", i)]
		require.LessOrEqual(t, n, 1)
		if verdict == api.NotRun {
			require.Zero(t, n)
		}
		if verdict == api.Done {
			completed++
		}
	}
	require.Positive(t, completed)
}
