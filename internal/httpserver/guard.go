package httpserver

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
)

const (
	// maxRoomWait bounds the wait of a body for memory. Clients that wait longer for an answer have other
	// processes to turn to.
	maxRoomWait = 2 * time.Second
	// defaultBodyTimeout is the time to receive a body, unless the handler calls Read with another.
	defaultBodyTimeout = 10 * time.Second
	// logInterval is the least time between two log lines about refused clients.
	logInterval = time.Second
)

// Lane is a kind of clients. The bodies of one kind do not take the memory of another.
type Lane string

// Lanes.
const (
	LaneCallers   Lane = "callers"
	LaneWorkers   Lane = "workers"
	LaneOperators Lane = "operators"
)

// lane holds the memory for the bodies of one kind of clients. It has room of its own for small ones.
type lane struct{ small, large *room }

// smallDivisor is the inverse of the share of a lane that small bodies have.
const smallDivisor = 3

func newLane(bytes int64) *lane {
	return &lane{small: newRoom(bytes / smallDivisor), large: newRoom(bytes - bytes/smallDivisor)}
}

// Guard bounds what the clients of the servers of a process take. It has these metrics:
// http_connections, http_connections_evicted_total, http_connections_refused_total,
// http_body_memory_bytes and http_bodies_refused_total.
type Guard struct {
	limits      Limits
	connections *connections
	lanes       map[Lane]*lane
	first       Lane
	refused     metrics.Counter
	logger      zerolog.Logger
}

// NewGuard returns a guard for a process with the limits, whose clients are of the given kinds. Requests
// of other kinds belong to the first.
func NewGuard(l Limits, registry metrics.Registry, logger zerolog.Logger, lanes ...Lane) *Guard {
	g := &Guard{
		limits: l, connections: newConnections(l.maxConnections(), registry), lanes: map[Lane]*lane{}, first: lanes[0],
		refused: metrics.GetOrRegisterCounter("http_bodies_refused_total", registry),
		logger:  logger.Sample(&zerolog.BurstSampler{Burst: 1, Period: logInterval}),
	}
	for _, name := range lanes {
		g.lanes[name] = newLane(l.bodyBytes() / int64(len(lanes)))
	}
	// Registering fails only if another guard has the registry, whose gauges then stay.
	_ = registry.Register("http_connections", metrics.NewFunctionalGauge(func() int64 { return int64(g.connections.count()) }))
	_ = registry.Register("http_body_memory_bytes", metrics.NewFunctionalGauge(g.bodyMemory))
	return g
}

func (g *Guard) bodyMemory() int64 {
	var sum int64
	for _, l := range g.lanes {
		sum += l.small.inUse() + l.large.inUse()
	}
	return sum
}

func (g *Guard) logRefusal() {
	g.logger.Warn().Int64("refused", g.refused.Count()).Int64("body_memory_bytes", g.bodyMemory()).Int("connections", g.connections.count()).
		Msg("no memory for the bodies of all requests")
}

func (g *Guard) lane(name Lane) *lane {
	if l, ok := g.lanes[name]; ok {
		return l
	}
	return g.lanes[g.first]
}

// Options are the limits of one server on each of its requests and connections.
type Options struct {
	// MaxBodyBytes is the largest body that a handler can read, unless it calls Read with another limit.
	// The default is 64 KiB.
	MaxBodyBytes int64
	// HeaderTimeout is the time to receive the head of a request. The default is 3 s.
	HeaderTimeout time.Duration
	// IdleTimeout is the time for which a connection is kept between requests. The default is 3 min.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the head of a request. The default is 16 KiB.
	MaxHeaderBytes int
	// Lane returns the kind of client of a request. The default is the first of the guard.
	Lane func(*http.Request) Lane
}

func (o Options) withDefaults() Options {
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = 64 << 10
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = 3 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 3 * time.Minute
	}
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = 16 << 10
	}
	if o.Lane == nil {
		o.Lane = func(*http.Request) Lane { return "" }
	}
	return o
}

// Server returns a server whose requests have the limits of the options. It must serve listeners of the
// guard.
func (g *Guard) Server(handler http.Handler, o Options) *http.Server {
	o = o.withDefaults()
	return &http.Server{
		Handler: g.guardBodies(handler, o), ReadHeaderTimeout: o.HeaderTimeout, IdleTimeout: o.IdleTimeout, MaxHeaderBytes: o.MaxHeaderBytes,
		ConnState: recordState, ConnContext: withConnection,
	}
}

// guardBodies replaces the body of each request that has one.
func (g *Guard) guardBodies(next http.Handler, o Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.Body != http.NoBody {
			b := g.newBody(w, r, o)
			defer b.close()
			r.Body = b
		}
		next.ServeHTTP(w, r)
	})
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
