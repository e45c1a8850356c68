package httpserver

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// Guard bounds what the clients of the servers of a process take. It has the metrics http_connections,
// http_connections_evicted_total and http_connections_refused_total.
type Guard struct {
	limits      Limits
	connections *connections
}

// NewGuard returns a guard for a process with the limits.
func NewGuard(l Limits, registry metrics.Registry) *Guard {
	g := &Guard{limits: l, connections: newConnections(l.maxConnections(), registry)}
	_ = registry.Register("http_connections", metrics.NewFunctionalGauge(func() int64 { return int64(g.connections.count()) }))
	return g
}

// Options are the limits of one server on each of its requests and connections.
type Options struct {
	// HeaderTimeout is the time to receive the head of a request. The default is 3 s.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection is kept between requests. The default is 3 min.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request. The default is 16 KiB.
	MaxHeaderBytes int
}

func (o Options) withDefaults() Options {
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = 3 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 3 * time.Minute
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = 16 << 10
	}
	return o
}

// Server returns a server whose requests have the limits of the options. It must serve listeners of the
// guard.
func (g *Guard) Server(handler http.Handler, o Options) *http.Server {
	o = o.withDefaults()
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: o.HeaderTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState: recordState, ConnContext: withConnection,
	}
}

// Listen listens on a TCP address for clients that need not be trusted, in a process with the limits. The
// kernel keeps a bounded number of bytes that they have sent and the process has not read.
func Listen(address string, l Limits) (net.Listener, error) {
	size := l.receiveBuffer()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			// Accepted connections inherit the size. Without it they work as well.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "httpserver: listen")
}

// Listen is like the function Listen, with the limits of the guard, whose connections it counts.
func (g *Guard) Listen(address string) (net.Listener, error) {
	l, err := Listen(address, g.limits)
	if err != nil {
		return nil, err
	}
	return g.Limit(l), nil
}

// Limit returns a listener whose connections count towards the limit of the guard.
func (g *Guard) Limit(l net.Listener) net.Listener { return &listener{Listener: l, set: g.connections} }

// LimitPeers is like Limit, for a listener to which other processes of the fleet connect. Connections that
// no handler has trusted yet take few of the descriptors that the others need.
func (g *Guard) LimitPeers(l net.Listener) net.Listener {
	return &listener{Listener: l, set: g.connections, maxUntrusted: maxUntrustedPeers}
}
