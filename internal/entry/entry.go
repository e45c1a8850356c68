// Package entry is the runtime of samphire-entry: it serves callers, backend
// servers and peers, holds the leased configuration, and routes calls.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// stopGrace is the time between the end of readiness and the end of
	// accepting, in which load balancers notice.
	stopGrace = time.Second
	// drainTimeout bounds the wait for requests in flight at a planned stop; no
	// call or wait for a job lasts longer.
	drainTimeout = 75 * time.Second
)

// Options are the parts of an entry that tests replace.
type Options struct {
	Log zerolog.Logger
	// Clock returns the time with its monotonic part; the default is time.Now.
	Clock func() time.Time
	// Seed seeds the choices of routing and admission.
	Seed uint64
	// StopGrace replaces the default time between the end of readiness and the
	// end of accepting.
	StopGrace time.Duration
}

// Entry is one entry instance.
type Entry struct {
	set         settings.Entry
	log         zerolog.Logger
	clock       func() time.Time
	stopGrace   time.Duration
	incarnation string
	peerAddress string
	// backendHeard may be nil.
	backendHeard func(instance, incarnation, address string)

	echo     *echo.Echo
	mux      wire.Mux
	creds    wire.Credentials
	pool     *wire.Pool
	leader   *leader.Client
	lease    *holder
	sched    *scheduler
	renew    *renewer
	mesh     *mesh
	backends *backendClient
	metrics  *counters

	owners    atomic.Uint64
	forwarded atomic.Int64
	stopping  atomic.Bool
	jobWaits  chan struct{}
	conns     connSet
	// background counts the goroutines that record outcomes.
	background sync.WaitGroup
}

// New returns an entry that does not run yet. Handlers are mounted on Echo and
// Mux before Run.
func New(set settings.Entry, opts Options) *Entry {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.StopGrace == 0 {
		opts.StopGrace = stopGrace
	}
	e := &Entry{
		set:         set,
		log:         opts.Log,
		clock:       opts.Clock,
		stopGrace:   opts.StopGrace,
		incarnation: strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(rand.Uint64(), 36),
		peerAddress: set.PeerAdvertise,
		mux:         wire.Mux{},
		creds:       wire.Credentials{Instance: set.Instance, Secret: []byte(set.SharedSecret), LocalIP: wire.ListenIP(set.PeerListen)},
		lease:       newHolder(),
		backends:    newBackendClient(),
		metrics:     newCounters(),
		jobWaits:    make(chan struct{}, maxJobWaits),
	}
	if e.peerAddress == "" {
		e.peerAddress = set.PeerListen
	}
	e.pool = wire.NewPool(e.creds, e.mux.Handle)
	e.leader = leader.NewClient(e.pool, set.Stores)
	rnd := rand.New(rand.NewPCG(opts.Seed, 1))
	e.sched = newScheduler(e.clock, set.Instance, admission.Policy(set.Policies["admission"]), e.lease, rnd)
	e.renew = newRenewer(e)
	e.sched.wake = e.renew.wake
	e.mesh = newMesh(e)
	e.mux[wire.TypeRegistration] = e.mesh.serveRegistration
	e.mux[wire.TypeForward] = e.serveForward
	e.echo = e.newEcho()
	return e
}

// Echo returns the HTTP server's router, for further handlers.
func (e *Entry) Echo() *echo.Echo { return e.echo }

// Mux returns the handlers of peer messages, for further types.
func (e *Entry) Mux() wire.Mux { return e.mux }

// Leader returns the client of the leading store.
func (e *Entry) Leader() *leader.Client { return e.leader }

// Pool returns the connections to the other processes.
func (e *Entry) Pool() *wire.Pool { return e.pool }

// Stopping reports whether a planned stop has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// nextOwner returns a name that no other claim of a request has.
func (e *Entry) nextOwner() string {
	return e.set.Instance + "/" + e.incarnation + "/" + strconv.FormatUint(e.owners.Add(1), 10)
}

func (e *Entry) newEcho() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.POST("/v1/call/:service", e.handleCall)
	router.POST("/v1/queues/:queue/jobs", e.handleSubmit)
	router.GET("/v1/jobs/:id", e.handleGetJob)
	router.POST("/v1/queues/:queue/step-jobs", e.handleSubmitSteps)
	router.GET("/v1/queues/:queue/step-jobs/:id", e.handleGetSteps)
	router.DELETE("/v1/queues/:queue/step-jobs/:id", e.handleCancelSteps)
	router.PUT("/v1/step-workers/:id", e.handleStepReport)
	router.DELETE("/v1/step-workers/:id", e.handleStepLeave)
	router.DELETE("/v1/jobs/:id", e.handleCancel)
	router.POST("/v1/announce/backend", e.handleAnnounceBackend)
	router.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", e.handleReady)
	router.GET("/metrics", e.handleMetrics)
	return router
}

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := net.Listen("tcp", e.set.Listen)
	if err != nil {
		return errors.Wrap(err, "entry: listen")
	}
	peers, err := net.Listen("tcp", e.set.PeerListen)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "entry: listen for peers")
	}
	return e.Serve(ctx, callers, peers)
}

// Serve is Run with listeners that are already open.
func (e *Entry) Serve(ctx context.Context, callers, peers net.Listener) error {
	if e.peerAddress == "" || e.set.PeerAdvertise == "" {
		e.peerAddress = peers.Addr().String()
	}
	work, endWork := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){e.renew.loop, e.renew.urgentLoop, e.mesh.loop, e.tickLoop} {
		loops.Add(1)
		go func() { defer loops.Done(); loop(work) }()
	}
	server := &http.Server{Handler: e.echo, ReadHeaderTimeout: 10 * time.Second}
	peerServer := &http.Server{Handler: http.HandlerFunc(e.acceptPeer), ReadHeaderTimeout: 10 * time.Second}
	failed := make(chan error, 2)
	go func() { failed <- server.Serve(callers) }()
	go func() { failed <- peerServer.Serve(peers) }()
	e.log.Info().Str("listen", callers.Addr().String()).Str("peer_listen", peers.Addr().String()).Msg("entry serves")
	var err error
	select {
	case <-ctx.Done():
		err = e.drain(server)
	case err = <-failed:
		_ = server.Close()
	}
	e.background.Wait()
	endWork()
	loops.Wait()
	e.conns.closeAll()
	_ = peerServer.Close()
	e.pool.Close()
	e.backends.close()
	e.log.Info().Err(err).Msg("entry stopped")
	return err
}

// drain ends readiness, tells the peers, and waits for the requests in flight.
func (e *Entry) drain(server *http.Server) error {
	e.stopping.Store(true)
	e.log.Info().Int("in_flight", e.sched.busy()).Msg("graceful stop begins")
	deadline, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	e.mesh.beat(deadline)
	wait.For(deadline, e.stopGrace)
	if err := server.Shutdown(deadline); err != nil {
		return errors.Wrap(err, "entry: requests in flight did not end")
	}
	for e.forwarded.Load()+int64(e.conns.serving()) > 0 && deadline.Err() == nil {
		wait.For(deadline, tickInterval)
	}
	return nil
}

func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.sched.tick()
			e.backends.forget(e.clock())
		}
	}
}

// handleReady serves GET /readyz: ready with a configuration and settled slots,
// until a planned stop begins. A lapsed lease doesn't end readiness, since a data
// centre that is cut off goes on serving open work.
func (e *Entry) handleReady(c echo.Context) error {
	config, _ := e.lease.view(e.clock())
	switch {
	case e.stopping.Load():
		return c.String(http.StatusServiceUnavailable, "stopping\n")
	case config == nil:
		return c.String(http.StatusServiceUnavailable, "no configuration\n")
	case !e.sched.settled():
		return c.String(http.StatusServiceUnavailable, "slots are being divided\n")
	}
	return c.String(http.StatusOK, "ready\n")
}
