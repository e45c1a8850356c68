package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// connection is a connection of a client. It is handled while a request is: between its head or its body
// and its answer. At other times it is waiting for its client, and may be closed for a new connection.
type connection struct {
	net.Conn
	set *connections
	// listener is the one that has accepted the connection.
	listener *listener
	// waitingSince is the time since which the client has sent nothing that was waited for, in
	// nanoseconds since the start of the set, or handled.
	waitingSince atomic.Int64
	// writingSince is the begin of a write that has not ended, likewise, or 0.
	writingSince atomic.Int64
	trusted      atomic.Bool
	// lingers is true if the client may still be sending when the connection is closed.
	lingers atomic.Bool
	closed  sync.Once
}

// handled is the value of connection.waitingSince while a request is handled.
const handled = -1

// connections are the open connections of the clients of a process.
type connections struct {
	max     int
	started time.Time
	evicted metrics.Counter
	refused metrics.Counter

	mu   sync.Mutex
	open map[*connection]struct{}
}

func newConnections(limit int, registry metrics.Registry) *connections {
	return &connections{
		max: limit, started: time.Now(), open: map[*connection]struct{}{},
		evicted: metrics.GetOrRegisterCounter("http_connections_evicted_total", registry),
		refused: metrics.GetOrRegisterCounter("http_connections_refused_total", registry),
	}
}

// now returns the time since the start in nanoseconds; it is positive.
func (s *connections) now() int64 { return int64(time.Since(s.started)) + 1 }

// add registers a connection. At a limit it closes the one that has waited longest for its client, or
// returns nil if all others are handled.
func (s *connections) add(conn net.Conn, l *listener) *connection {
	c := &connection{Conn: conn, set: s, listener: l}
	c.waitingSince.Store(s.now())
	s.mu.Lock()
	var victim *connection
	full := len(s.open) >= s.max
	switch {
	case l.maxUntrusted > 0 && s.untrusted(l) >= l.maxUntrusted:
		full, victim = true, s.longestWaiting(l)
	case full:
		victim = s.longestWaiting(nil)
	}
	if full && victim == nil {
		s.mu.Unlock()
		s.refused.Inc(1)
		return nil
	}
	// Removed here, so that the connections accepted meanwhile choose others.
	delete(s.open, victim)
	s.open[c] = struct{}{}
	s.mu.Unlock()
	if victim != nil {
		s.evicted.Inc(1)
		_ = victim.closeNow()
	}
	return c
}

// untrusted returns the number of connections of the listener that are not trusted.
func (s *connections) untrusted(l *listener) int {
	n := 0
	for c := range s.open {
		if c.listener == l && !c.trusted.Load() {
			n++
		}
	}
	return n
}

// longestWaiting returns the connection that has waited longest for its client, or nil. It is one of the
// listener, unless that is nil.
func (s *connections) longestWaiting(l *listener) *connection {
	var longest *connection
	var since int64
	stalled := s.now() - int64(stalledWrite)
	for c := range s.open {
		if l != nil && c.listener != l {
			continue
		}
		at := c.waitingSince.Load()
		if w := c.writingSince.Load(); at == handled && w > 0 && w < stalled {
			at = w
		}
		if at != handled && !c.trusted.Load() && (longest == nil || at < since) {
			longest, since = c, at
		}
	}
	return longest
}

func (s *connections) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Close implements net.Conn. A client that is still sending gets some time to read its answer: the reset
// that follows a close with unread bytes would discard it.
func (c *connection) Close() error {
	if !c.lingers.CompareAndSwap(true, false) {
		return c.closeNow()
	}
	c.awaitClient()
	if err := c.CloseWrite(); err != nil {
		return c.closeNow()
	}
	end := time.Now().Add(lingerTimeout)
	_ = c.SetReadDeadline(end) // fails only on a closed connection, whose read fails as well
	time.AfterFunc(lingerTimeout, func() { _ = c.closeNow() })
	go func() {
		// At the limit of bytes the timer closes the connection; at any error there is nobody to wait for.
		if n, _ := io.CopyN(io.Discard, c.Conn, lingerBytes); n < lingerBytes {
			_ = c.closeNow()
		}
	}()
	return nil
}

func (c *connection) closeNow() error {
	c.closed.Do(func() {
		c.set.mu.Lock()
		defer c.set.mu.Unlock()
		delete(c.set.open, c)
	})
	return c.Conn.Close()
}

// Write implements net.Conn. A client that does not read its answer loses its connection.
func (c *connection) Write(p []byte) (int, error) {
	if c.trusted.Load() {
		return c.Conn.Write(p)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	c.writingSince.Store(c.set.now())
	defer c.writingSince.Store(0)
	return c.Conn.Write(p)
}

// CloseWrite lets net/http send an answer to the end before it closes a connection with unread bytes.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *connection) awaitClient() { c.waitingSince.Store(c.set.now()) }

func (c *connection) handle() { c.waitingSince.Store(handled) }

// recordState is the ConnState hook of the servers.
func recordState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.handle()
	case http.StateNew, http.StateIdle, http.StateHijacked:
		c.awaitClient()
	}
}

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// Trust marks the connection of a request, which a handler has taken over, as one of a process of the
// fleet. It is never closed for another, has no limits on its writes, and gets a large receive buffer.
func Trust(ctx context.Context) {
	c := connectionOf(ctx)
	if c == nil {
		return
	}
	c.trusted.Store(true)
	_ = c.SetWriteDeadline(time.Time{}) // fails only on a closed connection
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(trustedReceiveBuffer) // without it the connection is slower
	}
}

// listener limits the connections that it accepts.
type listener struct {
	net.Listener
	set *connections
	// maxUntrusted bounds the connections that are not trusted; 0 is no bound of its own.
	maxUntrusted int
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.set.add(conn, l); c != nil {
			return c, nil
		}
		_ = conn.Close()
	}
}
