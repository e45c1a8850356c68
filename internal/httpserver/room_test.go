package httpserver

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// patience bounds the wait for what has to come in the end, on however slow a machine.
const patience = 20 * time.Second

func takeNow(t *testing.T, r *room, bytes int64, evict func()) *claim {
	t.Helper()
	c, err := r.take(t.Context(), bytes, patience, evict)
	require.NoError(t, err)
	return c
}

// takeLater takes room in the background, and returns once the claim waits.
func takeLater(t *testing.T, r *room, bytes int64) <-chan *claim {
	t.Helper()
	granted := make(chan *claim, 1)
	r.mu.Lock()
	before := len(r.waiting)
	r.mu.Unlock()
	go func() {
		if c, err := r.take(t.Context(), bytes, patience, nil); err == nil {
			granted <- c
		}
	}()
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.waiting) > before
	}, patience, time.Millisecond)
	return granted
}

// Guards against small bodies that wait behind large ones, and against room that is not given back.
func TestSmallestClaimGoesFirst(t *testing.T) {
	r := newRoom(100)
	holder := takeNow(t, r, 200, nil)
	require.EqualValues(t, 100, holder.bytes, "a body larger than the room gets all of it")
	large, small := takeLater(t, r, 90), takeLater(t, r, 20)
	r.release(holder)
	first := <-small
	require.Empty(t, large)
	r.release(first)
	r.release(<-large)
	r.release(first)
	require.Zero(t, r.inUse())
}

// Guards against a claim that stays in the room after its client has given up.
func TestWaitEnds(t *testing.T) {
	r := newRoom(10)
	holder := takeNow(t, r, 10, nil)
	_, err := r.take(t.Context(), 10, time.Millisecond, nil)
	require.ErrorIs(t, err, ErrBusy)
	gone, leave := context.WithCancel(t.Context())
	leave()
	_, err = r.take(gone, 10, patience, nil)
	require.ErrorIs(t, err, ErrBusy)
	require.Empty(t, r.waiting)
	r.release(holder)
	require.Zero(t, r.inUse())
}

// Guards against a body without progress that keeps others waiting, against the eviction of one that
// progresses or is being handled, and against any eviction while nobody waits.
func TestStalledClaimsGiveWay(t *testing.T) {
	r := newRoom(30)
	evicted := make(chan string, 3)
	claims := map[string]*claim{}
	for _, name := range []string{"stalled", "progressing", "handled"} {
		claims[name] = takeNow(t, r, 10, func() { evicted <- name })
	}
	require.False(t, r.finish(claims["handled"]))
	time.Sleep(2 * stallTimeout) // the time without progress is what the test is about
	r.receive(claims["stalled"], 1)
	r.receive(claims["progressing"], progressBytes)
	require.Empty(t, evicted)
	granted := takeLater(t, r, 10)
	require.Equal(t, "stalled", <-evicted)
	require.True(t, r.finish(claims["stalled"]))
	r.release(claims["stalled"])
	<-granted
	require.Empty(t, evicted)
}
