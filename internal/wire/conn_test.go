package wire

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serve(t *testing.T, creds Credentials, handler Handler) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r, creds, handler)
		if err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

func echoHandler(_ context.Context, req Request) (any, error) {
	var msg JobWaitRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if msg.ID == "quote" {
		return nil, &ErrorBody{Code: CodeBadMessage, Message: "bytes \xff"}
	}
	if msg.ID == "refuse" {
		return nil, &ErrorBody{Code: CodeNotLeader, Leader: "127.0.0.1:1"}
	}
	return msg, nil
}

// Guards against delivering a reply to another caller of the same connection.
func TestCallReturnsItsOwnReply(t *testing.T) {
	creds := Credentials{Instance: "a", Secret: []byte("secret of the fleet")}
	addr := serve(t, creds, echoHandler)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := Dial(ctx, addr, creds, echoHandler)
	require.NoError(t, err)
	defer conn.Close()

	errs := make(chan error, 50)
	for i := range 50 {
		go func() {
			var got JobWaitRequest
			want := strings.Repeat("x", i+1)
			err := conn.Call(ctx, TypeJobWait, JobWaitRequest{ID: want}, &got)
			if err == nil && got.ID != want {
				err = ErrClosed
			}
			errs <- err
		}()
	}
	for range 50 {
		require.NoError(t, <-errs)
	}

	var body *ErrorBody
	err = conn.Call(ctx, TypeJobWait, JobWaitRequest{ID: "refuse"}, nil)
	require.ErrorAs(t, err, &body)
	require.Equal(t, CodeNotLeader, body.Code)
	require.Equal(t, "127.0.0.1:1", body.Leader)

	// An error that quotes bytes which are not UTF-8 must stay readable.
	err = conn.Call(ctx, TypeJobWait, JobWaitRequest{ID: "quote"}, nil)
	require.ErrorAs(t, err, &body)
	require.Equal(t, CodeBadMessage, body.Code)
}

// Guards against accepting a peer that does not know the fleet's secret.
func TestWrongSecretIsRefused(t *testing.T) {
	addr := serve(t, Credentials{Instance: "a", Secret: []byte("one secret")}, echoHandler)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := Dial(ctx, addr, Credentials{Instance: "b", Secret: []byte("another")}, echoHandler)
	require.Error(t, err)
}

// Guards against a panic or an unbounded allocation on untrusted input.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte{0xa2, 0x01, 0x01, 0x02, 0x05})
	f.Add([]byte{0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeFrame(data)
	})
}

// Guards against a caller that keeps waiting after its context has ended, because
// another caller is dialling an address that does not answer.
func TestPoolGetEndsWithItsContext(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	pool := NewPool(Credentials{Instance: "a", Secret: []byte("secret of the fleet")}, echoHandler)
	addr := silent.Addr().String()
	slow, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = pool.Get(slow, addr)
	}()
	held := func() bool { return len(pool.peer(addr).lock) == 1 }
	require.Eventually(t, held, 10*time.Second, time.Millisecond)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Get(cancelled, addr)
	require.ErrorIs(t, err, context.Canceled)
	stop()
	<-ended
}

// Guards against reporting a request as possibly sent although it was still waiting
// for a write that closed the connection.
func TestWaitingRequestIsNotSent(t *testing.T) {
	creds := Credentials{Instance: "a", Secret: []byte("secret of the fleet")}
	addr := serve(t, creds, echoHandler)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := Dial(ctx, addr, creds, echoHandler)
	require.NoError(t, err)
	defer conn.Close()
	conn.writeMu.Lock()
	result := make(chan error, 1)
	go func() { result <- conn.Call(ctx, TypeJobWait, JobWaitRequest{}, nil) }()
	require.Eventually(t, func() bool {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return len(conn.pendingCalls) == 1
	}, 10*time.Second, time.Millisecond)
	conn.cancel()
	conn.writeMu.Unlock()
	require.ErrorIs(t, <-result, ErrNotSent)
}

// Guards against a graceful stop that closes a connection after a request was handled
// but before its reply was written.
func TestRequestIsActiveUntilReplyIsWritten(t *testing.T) {
	creds := Credentials{Instance: "a", Secret: []byte("secret of the fleet")}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var handled atomic.Bool
	conns := make(chan *Conn, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := Accept(w, r, creds, func(context.Context, Request) (any, error) {
			handled.Store(true)
			return nil, nil
		})
		if err == nil {
			conns <- conn
			<-conn.Done()
		}
	}))
	defer srv.Close()
	conn, err := Dial(ctx, strings.TrimPrefix(srv.URL, "http://"), creds, echoHandler)
	require.NoError(t, err)
	defer conn.Close()
	served := <-conns
	served.writeMu.Lock()
	result := make(chan error, 1)
	go func() { result <- conn.Call(ctx, TypeJobWait, JobWaitRequest{}, nil) }()
	require.Eventually(t, handled.Load, 10*time.Second, time.Millisecond)
	require.Equal(t, 1, served.ActiveRequests())
	served.writeMu.Unlock()
	require.NoError(t, <-result)
	require.Eventually(t, func() bool { return served.ActiveRequests() == 0 }, 10*time.Second, time.Millisecond)
}
