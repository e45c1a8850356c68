package wire

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Guards against a message that ends the process of its receiver: a handler that panics
// costs its sender one request, whose outcome counts as unknown, and the connection goes on.
func TestPanickingHandlerCostsOneRequest(t *testing.T) {
	creds := Credentials{Instance: "a", Secret: []byte("secret of the fleet")}
	mux := Mux{
		TypeJobWait: echoHandler,
		TypeRaft:    func(context.Context, Request) (any, error) { panic("malformed") },
		TypePropose: func(context.Context, Request) (any, error) { panic("malformed") },
	}
	mux.RecoverPanics(zerolog.Nop())
	addr := serve(t, creds, mux.Handle)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := Dial(ctx, addr, creds, echoHandler)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.Send(ctx, TypeRaft, JobWaitRequest{}))
	var body *ErrorBody
	require.ErrorAs(t, conn.Call(ctx, TypePropose, JobWaitRequest{}, nil), &body)
	require.Equal(t, CodeInternal, body.Code)
	var got JobWaitRequest
	require.NoError(t, conn.Call(ctx, TypeJobWait, JobWaitRequest{ID: "next"}, &got))
	require.Equal(t, "next", got.ID)
}
