package leader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
)

var creds = wire.Credentials{Instance: "test", Secret: []byte("secret of the fleet")}

// startStore starts a server that answers peers with handler, and returns its address.
func startStore(t *testing.T, handler wire.Handler) string {
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

func newClient(t *testing.T, stores ...string) *Client {
	t.Helper()
	pool := wire.NewPool(creds, wire.Mux{}.Handle)
	t.Cleanup(pool.Close)
	return NewClient(pool, stores)
}

func callJobWait(ctx context.Context, c *Client) (wire.JobWaitRequest, error) {
	var reply wire.JobWaitRequest
	err := c.Call(ctx, wire.TypeJobWait, wire.JobWaitRequest{ID: "j"}, &reply, 0)
	return reply, err
}

// Guards against a client that keeps using a store that does not lead, or that ignores
// the leader named by that store.
func TestFollowsRedirection(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	leaderAddr := startStore(t, func(context.Context, wire.Request) (any, error) {
		return wire.JobWaitRequest{ID: "from the leader"}, nil
	})
	followerAddr := startStore(t, func(context.Context, wire.Request) (any, error) {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: leaderAddr}
	})
	reply, err := callJobWait(ctx, newClient(t, followerAddr))
	require.NoError(t, err)
	require.Equal(t, "from the leader", reply.ID)
}

// Guards against reporting that no store can have carried out a request although one
// has received it and not refused it, and against the reverse.
func TestUnavailableSaysWhetherARequestWasSent(t *testing.T) {
	silent := startStore(t, func(ctx context.Context, _ wire.Request) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	refuses := startStore(t, func(context.Context, wire.Request) (any, error) {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader}
	})
	tests := map[string]struct {
		store  string
		unsent bool
	}{
		"no store there":      {"127.0.0.1:1", true},
		"store does not lead": {refuses, true},
		"store is silent":     {silent, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
			defer cancel()
			_, err := callJobWait(ctx, newClient(t, tt.store))
			var unavailable *ErrUnavailable
			require.ErrorAs(t, err, &unavailable)
			require.Equal(t, tt.unsent, unavailable.Unsent)
		})
	}
}

// Guards against endlessly repeating a request that no store will ever accept.
func TestFinalErrorEndsTheCall(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	bad := startStore(t, func(context.Context, wire.Request) (any, error) {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage}
	})
	_, err := callJobWait(ctx, newClient(t, bad))
	var body *wire.ErrorBody
	require.ErrorAs(t, err, &body)
	require.Equal(t, wire.CodeBadMessage, body.Code)
}

// Guards against reporting that a request was not carried out because its repetition was
// refused, although the store of an earlier attempt received it and did not answer, or the
// handler of the store failed halfway.
func TestRefusalAfterAnUnknownOutcomeIsNotUnsent(t *testing.T) {
	var calls atomic.Int64
	silentThenRefuses := func(ctx context.Context, _ wire.Request) (any, error) {
		if calls.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage}
	}
	fails := func(context.Context, wire.Request) (any, error) { return nil, errors.New("failed halfway") }
	for name, handler := range map[string]wire.Handler{"lost answer": silentThenRefuses, "failed handler": fails} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, err := callJobWait(ctx, newClient(t, startStore(t, handler)))
			var unavailable *ErrUnavailable
			require.ErrorAs(t, err, &unavailable)
			require.False(t, unavailable.Unsent)
		})
	}
}
