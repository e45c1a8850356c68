// Package httpbody reads HTTP request bodies with a size limit and a timeout, so that
// a client that sends its body slowly or not at all cannot hold a connection open
// indefinitely.
package httpbody

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by Read, to be tested with errors.Is. Both occur before the request is
// handled.
var (
	// ErrTooLarge reports a body above the size limit.
	ErrTooLarge = errors.New("the body is too large")
	// ErrIncomplete, wrapped with the cause, reports a body that did not arrive in full
	// before the timeout, or a connection that failed.
	ErrIncomplete = errors.New("the body is cut short")
)

// Read returns the body of r. It returns ErrTooLarge if the body exceeds limit bytes,
// and ErrIncomplete if it does not arrive in full within timeout. On success, the read
// deadline of the connection is cleared: the HTTP server reads from the connection in
// the background while the request is handled, and a deadline that expired then would
// cancel the request.
func Read(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	controller := http.NewResponseController(w)
	if err := setReadDeadline(controller, time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.WithMessage(ErrIncomplete, err.Error())
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, setReadDeadline(controller, time.Time{})
}

// setReadDeadline sets the read deadline of the connection. Response writers without
// deadlines, such as httptest.ResponseRecorder, are left unchanged.
func setReadDeadline(controller *http.ResponseController, deadline time.Time) error {
	if err := controller.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.WithMessage(ErrIncomplete, err.Error())
	}
	return nil
}
