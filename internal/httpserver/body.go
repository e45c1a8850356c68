package httpserver

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Errors of reading the body of a request, to be tested with errors.Is. The request was not handled.
var (
	// ErrTooLarge reports a body above the size limit. A body whose declared length is above it is not
	// read.
	ErrTooLarge = errors.New("httpserver: the body is too large")
	// ErrIncomplete, wrapped with the cause, reports a body that did not arrive in full in its time, or a
	// connection that failed.
	ErrIncomplete = errors.New("httpserver: the body is cut short")
)

const (
	// smallBytes is the size up to which bodies have room of their own, so that they do not wait for
	// larger ones.
	smallBytes = 16 << 10
	// handlingFactor is the memory that a request takes while it is handled, as a multiple of its body:
	// its buffers, the decoded message and its encoded copy for other processes. minClaimBytes is the
	// least.
	handlingFactor = 8
	minClaimBytes  = 4 << 10
)

// body is the body of a request. Whoever reads it, also a handler that knows nothing of this package,
// reads no more than there is room for. The room is held until the handler returns.
type body struct {
	io.ReadCloser
	guard    *Guard
	lane     *lane
	conn     *connection
	control  *http.ResponseController
	header   http.Header
	ctx      context.Context
	cancel   context.CancelFunc
	declared int64

	limit    int64
	deadline time.Time
	received int64
	// room and claim are nil until the first read.
	room  *room
	claim *claim
	// err is the result of each further read: io.EOF, or the error that ended the reading.
	err error
}

// newBody returns the body of r, with the limits of the server.
func (g *Guard) newBody(w http.ResponseWriter, r *http.Request, o Options) *body {
	ctx, cancel := context.WithCancel(r.Context())
	b := &body{
		ReadCloser: r.Body, guard: g, lane: g.lane(o.Lane(r)), conn: connectionOf(r.Context()), control: http.NewResponseController(w),
		header: w.Header(), ctx: ctx, cancel: cancel, declared: r.ContentLength, limit: o.MaxBodyBytes,
	}
	b.setDeadline(time.Now().Add(defaultBodyTimeout))
	return b
}

// setDeadline sets the time by which the body must have been read. Response writers without deadlines,
// such as httptest.ResponseRecorder, are left unchanged.
func (b *body) setDeadline(at time.Time) {
	b.deadline = at
	_ = b.control.SetReadDeadline(at) // fails only on a closed connection, whose next read fails as well
}

// evict makes the present and each later read fail.
func (b *body) evict() {
	b.cancel()
	_ = b.control.SetReadDeadline(time.Now()) // as in setDeadline
}

// Read implements io.Reader. Errors wrap ErrTooLarge, ErrIncomplete or ErrBusy.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if err := b.takeRoom(); err != nil {
		return 0, b.fail(err)
	}
	// One byte more than allowed shows that the body is too large.
	if most := b.nextBound() - b.received; int64(len(p)) > most {
		p = p[:most]
	}
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	b.room.receive(b.claim, n)
	if b.conn != nil && n > 0 {
		b.conn.awaitClient()
	}
	switch {
	case b.received > b.limit:
		return 0, b.fail(ErrTooLarge)
	case err == io.EOF:
		return n, b.end()
	case err != nil:
		return n, b.fail(b.cause(err))
	}
	return n, nil
}

// nextBound returns the number of bytes that may be received before more room must be taken.
func (b *body) nextBound() int64 {
	if b.room == b.lane.small && b.declared < 0 {
		return min(smallBytes, b.limit+1)
	}
	return b.limit + 1
}

// takeRoom takes room for the declared length before the first byte is read. A body of unknown length
// takes room for a small one, and once that is full for the largest.
func (b *body) takeRoom() error {
	switch {
	case b.declared > b.limit:
		return ErrTooLarge
	case b.claim == nil && b.declared >= 0 && b.declared > smallBytes:
		return b.take(b.lane.large, b.declared)
	case b.claim == nil && b.declared >= 0:
		return b.take(b.lane.small, b.declared)
	case b.claim == nil:
		return b.take(b.lane.small, min(smallBytes, b.limit))
	case b.received < b.nextBound():
		return nil
	}
	return b.take(b.lane.large, b.limit)
}

// take replaces the claim of the body.
func (b *body) take(r *room, bytes int64) error {
	if b.conn != nil {
		b.conn.awaitClient()
	}
	wait := min(time.Until(b.deadline)/2, maxRoomWait)
	c, err := r.take(b.ctx, max(bytes*handlingFactor, minClaimBytes), wait, b.evict)
	if err != nil {
		return err
	}
	b.releaseRoom()
	b.room, b.claim = r, c
	return nil
}

// cause returns the error for one of the connection.
func (b *body) cause(err error) error {
	if b.room.finish(b.claim) {
		return ErrBusy
	}
	return errors.WithMessage(ErrIncomplete, err.Error())
}

// end handles the end of the body. The read deadline is cleared: the server reads from the connection in
// the background while the request is handled, and a deadline that expired then would cancel the request.
func (b *body) end() error {
	if b.room.finish(b.claim) {
		return b.fail(ErrBusy)
	}
	if b.conn != nil {
		b.conn.handle()
	}
	b.err = io.EOF
	b.setDeadline(time.Time{})
	return io.EOF
}

// fail gives back the room at once and makes the server close the connection after the answer, without
// reading the rest of the body.
func (b *body) fail(err error) error {
	b.err = err
	b.header.Set("Connection", "close")
	_ = b.control.SetReadDeadline(time.Now()) // as in setDeadline
	b.releaseRoom()
	if b.conn != nil {
		b.conn.lingers.Store(true)
		b.conn.handle()
	}
	if errors.Is(err, ErrBusy) {
		b.guard.refused.Inc(1)
		b.guard.logRefusal()
	}
	return err
}

func (b *body) releaseRoom() {
	if b.claim != nil {
		b.room.release(b.claim)
	}
}

// close is called when the handler has returned. It limits the time in which net/http discards what the
// handler has not read.
func (b *body) close() {
	b.cancel()
	b.releaseRoom()
	if b.err == nil {
		_ = b.control.SetReadDeadline(time.Now().Add(drainTimeout)) // as in setDeadline
		if b.conn != nil {
			b.conn.awaitClient()
		}
	}
}

// Read returns the body of r. It returns ErrTooLarge if the body exceeds limit bytes, ErrIncomplete if it
// does not arrive in full within timeout, and ErrBusy if the process has no memory for it.
func Read(r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	b, ok := r.Body.(*body)
	if !ok {
		return readUnguarded(r, limit)
	}
	b.limit = limit
	b.setDeadline(time.Now().Add(timeout))
	if b.declared > limit {
		return nil, b.fail(ErrTooLarge)
	}
	return b.readAll()
}

// readAll returns the body. The buffer of a body whose length is declared is allocated once.
func (b *body) readAll() ([]byte, error) {
	if err := b.takeRoom(); err != nil {
		return nil, b.fail(err)
	}
	if b.declared < 0 {
		return io.ReadAll(b)
	}
	data := make([]byte, b.declared)
	n, err := io.ReadFull(b, data)
	if err == nil {
		_, err = b.Read(make([]byte, 1))
	}
	if err != nil && err != io.EOF {
		return nil, err
	}
	return data[:n], nil
}

// readUnguarded reads the body of a request that no server of this package has received.
func readUnguarded(r *http.Request, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	switch {
	case err != nil:
		return nil, errors.WithMessage(ErrIncomplete, err.Error())
	case int64(len(data)) > limit:
		return nil, ErrTooLarge
	}
	return data, nil
}
