package control

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// TestRegister guards against a handler that is registered for the wrong message type,
// and against a reply that loses content on the wire.
func TestRegister(t *testing.T) {
	b := newTestServer(t, 10)
	mux := wire.Mux{}
	b.Register(mux)
	creds := wire.Credentials{Instance: "e1", Secret: []byte("secret of the fleet")}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := wire.Accept(w, r, creds, mux.Handle); err == nil {
			<-conn.Done()
		}
	}))
	defer srv.Close()
	pool := wire.NewPool(creds, wire.Mux{}.Handle)
	defer pool.Close()
	call := func(typ wire.Type, req, resp any) {
		addr := strings.TrimPrefix(srv.URL, "http://")
		require.NoError(t, pool.Call(context.Background(), addr, typ, req, resp))
	}

	var full, delta wire.RenewReply
	call(wire.TypeRenew, b.request("e1", 0, 4, 0, 0), &full)
	require.Equal(t, 6, full.Grants["a"], "4 wanted and headroom")
	var proposed wire.ProposeReply
	call(wire.TypePropose, wire.ProposeRequest{Command: b.changeCommand(fleet.ChangeItem{WithdrawKey: "k"})}, &proposed)
	call(wire.TypeRenew, b.request("e1", full.Revision, 4, 0, 6), &delta)
	got, ok := full.Config.WithDelta(delta.Delta)
	require.True(t, ok)
	var status wire.StatusReply
	call(wire.TypeStatus, wire.StatusRequest{Detail: true}, &status)
	require.Equal(t, status.Config, got)
	require.Equal(t, proposed.Result.Revision, got.Revision)
	var job wire.JobWaitReply
	call(wire.TypeJobWait, wire.JobWaitRequest{ID: "unknown"}, &job)
	require.Nil(t, job.Job)
}
