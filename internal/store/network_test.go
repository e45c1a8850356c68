package store

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Guards against messages that waited behind a congested or dead path and are delivered
// seconds later: the receiver would go on supporting a leader that no longer leads, and
// refuse its vote to a new one.
func TestMessagesThatWaitedTooLongAreDropped(t *testing.T) {
	creds := wire.Credentials{Instance: "a", Secret: []byte("secret of the fleet")}
	m := newNodeMetrics(metrics.NewRegistry())
	w := newNetwork(settings.Store{}, 1, wire.NewPool(creds, wire.Mux{}.Handle), m, zerolog.Nop())
	w.setIncarnations(nil)
	defer w.close()
	received := atomic.Int64{}
	addr := servePeer(t, creds, func(context.Context, wire.Request) (any, error) {
		received.Add(1)
		return nil, nil
	})
	q := make(chan queuedMessage, 3)
	q <- queuedMessage{raft.Message{Kind: raft.MsgHeartbeat}, time.Now().Add(-2 * maxQueueTime)}
	q <- queuedMessage{raft.Message{Kind: raft.MsgAppend}, time.Now().Add(-2 * maxQueueTime)}
	q <- queuedMessage{raft.Message{Kind: raft.MsgHeartbeat}, time.Now()}
	w.wg.Add(1)
	go w.deliver(addr, q)
	require.Eventually(t, func() bool { return received.Load() == 1 && len(q) == 0 }, 10*time.Second, time.Millisecond)
	require.EqualValues(t, 2, m.expired.Count())
}

// servePeer accepts connections of peers, and returns the address.
func servePeer(t *testing.T, creds wire.Credentials, handler wire.Handler) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := wire.Accept(w, r, creds, handler)
		if err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}
