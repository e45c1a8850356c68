// Package httpbody reads the bodies of HTTP requests within a size and a time, so
// that a body that trickles in does not hold its connection for ever.
package httpbody

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of Read. After both the request has not been handled.
var (
	ErrTooLarge = errors.New("the body is too large")
	ErrCutShort = errors.New("the body is cut short")
)

// Read returns a body of at most limit bytes that arrives within a time. The time
// limit is taken back before it returns: the server watches the connection with
// reads while the request is handled, and a limit that passes then would end it.
func Read(w http.ResponseWriter, r *http.Request, limit int64, within time.Duration) ([]byte, error) {
	deadline := http.NewResponseController(w)
	if err := set(deadline, time.Now().Add(within)); err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, errors.WithMessage(ErrCutShort, err.Error())
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, set(deadline, time.Time{})
}

// set sets the read deadline, where the connection has one; the recorders of tests
// have none.
func set(c *http.ResponseController, t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.WithMessage(ErrCutShort, err.Error())
	}
	return nil
}
