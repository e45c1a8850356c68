// Package leader implements a client of the store that leads the replicated log. It
// finds the leader, follows redirections, and repeats failed requests until the
// caller's context ends.
//
// Every request sent through it must be idempotent by an identifier of its own, since
// a request whose reply was lost is sent again.
package leader

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// attemptTimeout bounds one attempt at one store, so that a store that does not
	// respond does not use up the caller's time.
	attemptTimeout = 700 * time.Millisecond
	retryDelay     = 20 * time.Millisecond
	// minAttemptTime is the time that must be left for a further attempt. An attempt
	// that is cut off by the context would turn the result "not sent" into an unknown
	// outcome.
	minAttemptTime = 50 * time.Millisecond
)

// ErrUnavailable is returned if no leader answered before the context ended, or if a
// store refused a repetition of a request whose earlier attempt may have been carried
// out. If Unsent is true, no store can have carried out the request; otherwise one may
// have. Cause is the error of the last attempt.
type ErrUnavailable struct {
	Unsent bool
	Cause  error
}

// Error implements error.
func (e *ErrUnavailable) Error() string {
	return "leader: no answer: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *ErrUnavailable) Unwrap() error { return e.Cause }

// Repeatable is a request that tells the store when an earlier attempt may have been carried out.
// The answer to a repetition is judged by a later state: a key or a queue may be gone that the first
// attempt still had.
type Repeatable interface {
	// AsRepetition returns the request marked as a repetition of one that was first sent the given
	// time ago.
	AsRepetition(after time.Duration) any
}

// Client sends requests to the leader. It is safe for concurrent use.
type Client struct {
	pool   *wire.Pool
	stores []string

	mu      sync.Mutex
	current string
	next    int
}

// NewClient returns a client that looks for the leader at the given peer addresses of
// stores, of which there must be at least one.
func NewClient(pool *wire.Pool, stores []string) *Client {
	return &Client{pool: pool, stores: stores}
}

// Call sends req to the leader and decodes the reply into resp. hold is the time for
// which the leader may hold its reply; it extends the time limit of each attempt. A Repeatable
// request is marked once an earlier attempt may have been carried out.
//
// The error is an *ErrUnavailable if the time left in ctx is not enough for a further
// attempt. An error that a repetition can't resolve is returned at once: a
// *wire.ErrorBody with another code than CodeNotLeader, CodeUncertain, CodeBusy or
// CodeInternal, or wire.ErrTooLarge. After such an error no store has carried out the
// request. If a store may have, because the outcome of an earlier attempt is unknown or
// its handler failed, the error is an *ErrUnavailable instead, with Unsent false and
// that error as its Cause.
func (c *Client) Call(ctx context.Context, t wire.Type, req, resp any, hold time.Duration) error {
	start := time.Now()
	unsent := true
	var last error
	for {
		addr := c.target()
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout+hold)
		err := c.pool.Call(attempt, addr, t, req, resp)
		cancel()
		if err == nil {
			return nil
		}
		last = err
		refused, final := c.handleError(addr, err)
		unsent = unsent && refused
		if final && unsent {
			return err
		}
		if final {
			return &ErrUnavailable{Unsent: false, Cause: err}
		}
		if !wait.ForAttempt(ctx, retryDelay, minAttemptTime) {
			return &ErrUnavailable{Unsent: unsent, Cause: last}
		}
		if r, ok := req.(Repeatable); ok && !unsent {
			req = r.AsRepetition(time.Since(start))
		}
	}
}

// handleError chooses the store for the next attempt. refused is true if the store
// certainly did not carry out the request in this attempt, and final if a repetition is
// pointless.
func (c *Client) handleError(addr string, err error) (refused, final bool) {
	var body *wire.ErrorBody
	if errors.As(err, &body) {
		switch body.Code {
		case wire.CodeNotLeader:
			c.redirect(addr, body.Leader)
			return true, false
		case wire.CodeUncertain:
			c.redirect(addr, body.Leader)
			return false, false
		case wire.CodeBusy:
			return true, false
		case wire.CodeInternal:
			return false, true
		default:
			return true, true
		}
	}
	if errors.Is(err, wire.ErrTooLarge) {
		return true, true
	}
	c.redirect(addr, "")
	return errors.Is(err, wire.ErrNotSent), false
}

// target returns the leader, or the next of the stores in turn if the leader is not
// known.
func (c *Client) target() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == "" {
		c.current = c.stores[c.next%len(c.stores)]
		c.next++
	}
	return c.current
}

// redirect replaces the target addr by to, or by the next store if to is empty. It
// does nothing if another call has already replaced addr.
func (c *Client) redirect(addr, to string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current == addr {
		c.current = to
	}
}

// Use makes addr the target of the next attempts: the store there has said that it leads.
func (c *Client) Use(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = addr
}

// SetStores replaces the peer addresses of the stores that are asked while the leader
// is not known. An empty list is ignored.
func (c *Client) SetStores(stores []string) {
	if len(stores) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stores = stores
}
