package operator_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/operator"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// unreadBody is a body that its process can't read.
type unreadBody struct{ err error }

func (b unreadBody) Read([]byte) (int, error) { return 0, b.err }

func (unreadBody) Close() error { return nil }

// Guards against an order that counts as not carried out because its repetition could not be read.
func TestUnreadOrderLeavesTheOutcomeOpen(t *testing.T) {
	path, handler := operator.NewHandler(leader.NewClient(wire.NewPool(wire.Credentials{}, nil), nil), operator.Options{Token: token})
	for _, err := range []error{httpserver.ErrBusy, httpserver.ErrIncomplete} {
		r := httptest.NewRequest(http.MethodPost, path+"Apply", unreadBody{err})
		r.Header.Set("Authorization", "Bearer "+token)
		r.Header.Set("Content-Type", "application/json")
		answer := httptest.NewRecorder()
		handler.ServeHTTP(answer, r)
		require.Contains(t, answer.Body.String(), operator.CodeOutcomeUnknown)
		require.Contains(t, answer.Body.String(), `"deadline_exceeded"`)
	}
}
