package intake

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// fakeLeader is a store that leads. Cut off from the other stores, it accepts calls and
// answers none, and says that it knows no leader. A silent one answers nothing at all.
type fakeLeader struct {
	address  string
	cutOff   atomic.Bool
	silent   atomic.Bool
	accepted atomic.Int64
}

func newFakeLeader(t *testing.T, creds wire.Credentials) *fakeLeader {
	t.Helper()
	l := &fakeLeader{}
	answer := func(reply any) wire.Handler {
		return func(ctx context.Context, req wire.Request) (any, error) {
			if req.Type == wire.TypeJobCall {
				l.accepted.Add(1)
			}
			if l.cutOff.Load() && req.Type == wire.TypeLeader && !l.silent.Load() {
				return nil, &wire.ErrorBody{Code: wire.CodeNotLeader}
			}
			if l.cutOff.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return reply, nil
		}
	}
	mux := wire.Mux{wire.TypeLeader: answer(wire.LeaderInfo{Term: 1}), wire.TypeJobCall: answer(wire.JobCallReply{Verdict: wire.VerdictOK})}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := wire.Accept(w, r, creds, mux.Handle); err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	l.address = strings.TrimPrefix(srv.URL, "http://")
	return l
}

// Guards against callers of a data centre that is cut off who wait for their whole time
// limit: once no leader has answered for a while, neither a call with an unknown outcome nor
// one that was not sent can be helped by waiting.
func TestCallsEndOnceTheLeaderIsOutOfReach(t *testing.T) {
	creds := wire.Credentials{Instance: "entry", Secret: []byte("secret of the fleet")}
	l := newFakeLeader(t, creds)
	pool := wire.NewPool(creds, wire.Mux{}.Handle)
	t.Cleanup(pool.Close)
	c := NewClient(pool, func() []string { return []string{l.address} }, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	require.Eventually(t, c.Ready, 10*time.Second, time.Millisecond)
	submit := wire.JobCall{Op: wire.JobSubmit, Content: &workload.Submit{}}
	_, err := c.Call(ctx, submit)
	require.NoError(t, err)

	l.cutOff.Store(true)
	accepted := l.accepted.Load()
	start := time.Now()
	_, err = c.Call(ctx, submit)
	require.ErrorIs(t, err, ErrMayHaveRun)
	require.Less(t, time.Since(start), readyTimeout+2*leaderWaitTimeout)
	require.Greater(t, l.accepted.Load(), accepted)

	start = time.Now()
	accepted = l.accepted.Load()
	_, err = c.Call(ctx, submit)
	require.ErrorIs(t, err, ErrNotRun)
	require.Less(t, time.Since(start), 2*leaderWaitTimeout)
	require.Equal(t, accepted, l.accepted.Load(), "a call that is refused as not run was not sent")

	require.Eventually(t, func() bool { return c.leaderlessFor() > electionTimeout }, 10*time.Second, time.Millisecond)
	start = time.Now()
	_, err = c.Call(ctx, submit)
	require.ErrorIs(t, err, ErrNotRun)
	require.Less(t, time.Since(start), leaderWaitTimeout/2, "it is known that waiting does not help")
}

// Guards against refusing callers at once while all stores are without power, which may end
// at any moment: a call waits a bounded part of its caller's time, and is sent once a leader
// answers.
func TestCallsWaitForStoresWithoutPower(t *testing.T) {
	creds := wire.Credentials{Instance: "entry", Secret: []byte("secret of the fleet")}
	l := newFakeLeader(t, creds)
	l.cutOff.Store(true)
	l.silent.Store(true)
	pool := wire.NewPool(creds, wire.Mux{}.Handle)
	t.Cleanup(pool.Close)
	c := NewClient(pool, func() []string { return []string{l.address} }, zerolog.Nop())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	submit := wire.JobCall{Op: wire.JobSubmit, Content: &workload.Submit{}}
	start := time.Now()
	_, err := c.Call(ctx, submit)
	require.ErrorIs(t, err, ErrNotRun)
	require.GreaterOrEqual(t, time.Since(start), leaderWaitTimeout)
	require.Zero(t, l.accepted.Load())

	done := make(chan error, 1)
	go func() {
		_, err := c.Call(ctx, submit)
		done <- err
	}()
	require.Eventually(t, func() bool { return c.waiting.Load() == 1 }, 10*time.Second, time.Millisecond)
	l.cutOff.Store(false)
	require.NoError(t, <-done)
}

func TestWaitForLeader(t *testing.T) {
	tests := map[string]struct {
		outlook Outlook
		want    time.Duration
	}{
		"no store answers":              {Outlook{Remaining: 3 * time.Second}, leaderWaitTimeout},
		"an election may be under way":  {Outlook{LeaderlessFor: time.Second, Remaining: 3 * time.Second}, leaderWaitTimeout},
		"the stores elect nobody":       {Outlook{LeaderlessFor: 2 * time.Second, Remaining: 3 * time.Second}, 0},
		"time is left for one more try": {Outlook{Remaining: 600 * time.Millisecond}, 198 * time.Millisecond},
		"most of it in an election":     {Outlook{LeaderlessFor: 1, Remaining: 600 * time.Millisecond}, 402 * time.Millisecond},
		"the deadline has passed":       {Outlook{Remaining: -time.Second}, 0},
		"too many calls wait":           {Outlook{Remaining: 3 * time.Second, Waiting: maxWaitingCalls}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, WaitForLeader(tt.outlook)) })
	}
}

// Guards against rounds with the long time limit that always fall into the time after a failed
// dial in which the pool does not dial again: an overloaded store would never be reached.
func TestProbesReachStoresThatAcceptSlowly(t *testing.T) {
	const acceptTime = 200 * time.Millisecond
	creds := wire.Credentials{Instance: "entry", Secret: []byte("secret of the fleet")}
	lead := func(context.Context, wire.Request) (any, error) { return wire.LeaderInfo{Term: 1}, nil }
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(acceptTime)
		if conn, err := wire.Accept(w, r, creds, lead); err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	for first := range len(probeTimeouts) {
		pool := wire.NewPool(creds, wire.Mux{}.Handle)
		t.Cleanup(pool.Close)
		c := NewClient(pool, func() []string { return []string{strings.TrimPrefix(srv.URL, "http://")} }, zerolog.Nop())
		c.leaderLost, c.probes = true, first
		go func() { _ = c.Run(t.Context()) }()
		require.Eventually(t, c.Ready, 5*time.Second, time.Millisecond, "first round %d", first)
	}
}
