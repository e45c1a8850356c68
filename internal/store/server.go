package store

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/metricstext"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	readHeaderTimeout = 2 * time.Second
	shutdownTimeout   = 2 * time.Second
)

// Component is a service that runs in the process of a store besides the replicated log,
// such as the control server or the request ledger.
type Component interface {
	// Register adds the message handlers of the component. NewServer calls it, before any
	// message arrives.
	Register(mux wire.Mux)
	// Run runs the component until ctx ends. An error stops the whole process.
	Run(ctx context.Context) error
}

// Server accepts connections of peers, serves the HTTP paths /healthz, /readyz and
// /metrics, and runs the node and the components of the process.
type Server struct {
	node       *Node
	components []Component
	mux        wire.Mux
	creds      wire.Credentials
	log        zerolog.Logger
	guard      *httpserver.Guard
	http       *http.Server
	stopping   atomic.Bool

	mu     sync.Mutex
	closed bool
	conns  map[*wire.Conn]struct{}
}

// NewServer returns a server for the node and the other components of the process.
func NewServer(node *Node, guard *httpserver.Guard, registry metrics.Registry, log zerolog.Logger, components ...Component) *Server {
	s := &Server{
		node:       node,
		components: components,
		mux:        wire.Mux{wire.TypeRaft: node.Handle, wire.TypeMembership: node.Handle},
		creds:      credentials(node.cfg),
		log:        log,
		conns:      map[*wire.Conn]struct{}{},
	}
	for _, p := range components {
		p.Register(s.mux)
	}
	s.mux.RecoverPanics(log)
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.GET(wire.Path, s.acceptPeer)
	e.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", metricstext.Handler(registry))
	if guard == nil {
		guard = httpserver.NewGuard(httpserver.ProcessLimits(), registry, log, httpserver.LaneOperators)
	}
	s.guard = guard
	s.http = guard.Server(e, httpserver.Options{HeaderTimeout: readHeaderTimeout})
	return s
}

// Run serves on the listener until ctx ends, and then returns nil. If the node, a
// component or the listener fails, it stops and returns that error. It closes the
// connections of peers only after the node has transferred its leadership.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	start := func(run func(context.Context) error) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := run(ctx); err != nil {
				cancel(err)
			}
		}()
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := s.http.Serve(s.guard.LimitPeers(listener)); !errors.Is(err, http.ErrServerClosed) {
			cancel(errors.Wrap(err, "store: serve"))
		}
	}()
	start(s.node.Run)
	for _, p := range s.components {
		start(p.Run)
	}
	<-ctx.Done()
	s.stopping.Store(true)
	wg.Wait()
	s.close()
	<-served
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

func (s *Server) close() {
	s.mu.Lock()
	s.closed = true
	open := make([]*wire.Conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn().Err(err).Msg("HTTP server was not shut down cleanly")
	}
}

func (s *Server) acceptPeer(c echo.Context) error {
	conn, err := wire.Accept(c.Response(), c.Request(), s.creds, s.mux.Handle)
	if err != nil {
		s.log.Warn().Err(err).Str("remote", c.Request().RemoteAddr).Msg("connection of a peer refused")
		return nil
	}
	httpserver.Trust(c.Request().Context())
	if !s.add(conn) {
		conn.Close()
		return nil
	}
	<-conn.Done()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	return nil
}

func (s *Server) add(conn *wire.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// ready handles /readyz: it answers 200 while this store knows a leader and is not
// stopping, otherwise 503.
func (s *Server) ready(c echo.Context) error {
	if s.stopping.Load() {
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	}
	if s.node.Leadership().Leader == "" {
		return c.String(http.StatusServiceUnavailable, "no leader\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
