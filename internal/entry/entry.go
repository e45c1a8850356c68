// Package entry implements the process samphire-entry: it serves callers, backend
// servers and peers, holds the configuration under a lease from the leading store,
// and routes direct calls to backend servers. It keeps nothing on disk.
package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/httpserver"
	"github.com/samphirefork/samphirefork/internal/httptext"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	tickInterval = 20 * time.Millisecond
	// stopGrace is the time between the end of readiness and the end of accepting
	// connections, in which load balancers stop sending requests.
	stopGrace = time.Second
	// drainTimeout bounds the wait for requests in flight during a planned stop. No
	// call and no wait for a job lasts longer.
	drainTimeout = 75 * time.Second
	// headerTimeout is the time in which the head of a request must arrive.
	headerTimeout = 10 * time.Second
	// maxBodyBytes bounds the bodies of handlers that set no limit of their own.
	maxBodyBytes = 2 << 20
)

// laneOf returns the kind of client of a request by its path.
func laneOf(r *http.Request) httpserver.Lane {
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/step-workers/"), strings.HasPrefix(r.URL.Path, "/v1/announce/"):
		return httpserver.LaneWorkers
	case strings.HasPrefix(r.URL.Path, "/v1/operator/"), strings.HasPrefix(r.URL.Path, "/"+samphireforkv1connect.OperatorName+"/"):
		return httpserver.LaneOperators
	}
	return httpserver.LaneCallers
}

// Options holds the log of an entry and the parts that tests replace: the clock,
// the seed of random choices and the stop grace.
type Options struct {
	// Log receives the log lines of the entry.
	Log zerolog.Logger
	// Clock returns the current time with a monotonic reading. The default is
	// time.Now.
	Clock func() time.Time
	// Seed seeds the random choices of routing and admission.
	Seed uint64
	// StopGrace is the time between the end of readiness and the end of accepting
	// connections during a planned stop. The default is 1 s.
	StopGrace time.Duration
}

// Entry is one entry instance. It serves from Run or Serve until their context
// ends.
type Entry struct {
	settings    settings.Entry
	log         zerolog.Logger
	clock       func() time.Time
	stopGrace   time.Duration
	incarnation string
	peerAddress string
	// onBackendAnnounce may be nil.
	onBackendAnnounce func(instance, incarnation, address string)

	echo     *echo.Echo
	mux      wire.Mux
	creds    wire.Credentials
	pool     *wire.Pool
	leader   *leader.Client
	lease    *leaseState
	sched    *scheduler
	renew    *renewer
	mesh     *mesh
	backends *backendClient
	metrics  *entryMetrics

	// claimSeq numbers the claims of this process; see newClaimOwner.
	claimSeq atomic.Uint64
	// forwardedInFlight counts the running calls that other data centres forwarded.
	forwardedInFlight atomic.Int64
	stopping          atomic.Bool
	// heldJobRequests holds a value for each job query that the leader may hold.
	heldJobRequests chan struct{}
	peerConns       peerConnSet
	// background counts the goroutines that run attempts and record outcomes.
	background sync.WaitGroup
}

// New returns an entry that is not running yet. Further handlers must be mounted on
// Echo and Mux before Run or Serve.
func New(cfg settings.Entry, opts Options) *Entry {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	if opts.StopGrace == 0 {
		opts.StopGrace = stopGrace
	}
	e := &Entry{
		settings:        cfg,
		log:             opts.Log,
		clock:           opts.Clock,
		stopGrace:       opts.StopGrace,
		incarnation:     strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(rand.Uint64(), 36),
		peerAddress:     cfg.PeerAdvertise,
		mux:             wire.Mux{},
		creds:           wire.Credentials{Instance: cfg.Instance, Secret: []byte(cfg.SharedSecret), LocalIP: wire.ListenIP(cfg.PeerListen)},
		lease:           newLeaseState(),
		backends:        newBackendClient(),
		metrics:         newEntryMetrics(),
		heldJobRequests: make(chan struct{}, maxHeldJobRequests),
	}
	if e.peerAddress == "" {
		e.peerAddress = cfg.PeerListen
	}
	e.pool = wire.NewPool(e.creds, e.mux.Handle)
	e.leader = leader.NewClient(e.pool, cfg.Stores)
	rnd := rand.New(rand.NewPCG(opts.Seed, 1))
	e.sched = newScheduler(e.clock, cfg.Instance, cfg.DataCentre, admission.Policy(cfg.Policies["admission"]), e.lease, rnd)
	e.renew = newRenewer(e)
	e.sched.requestRenewal = e.renew.renewNow
	e.mesh = newMesh(e)
	e.mux[wire.TypeRegistration] = e.mesh.handleRegistration
	e.mux[wire.TypeForward] = e.handleForward
	e.mux.RecoverPanics(opts.Log)
	e.echo = e.newEcho()
	return e
}

// Echo returns the router of the HTTP server for callers and backend servers, on
// which further handlers can be mounted before Run or Serve.
func (e *Entry) Echo() *echo.Echo { return e.echo }

// Mux returns the handlers of peer messages by message type, to which handlers of
// further types can be added before Run or Serve.
func (e *Entry) Mux() wire.Mux { return e.mux }

// Leader returns the client for requests to the leading store.
func (e *Entry) Leader() *leader.Client { return e.leader }

// Pool returns the pool of connections to other processes of the fleet.
func (e *Entry) Pool() *wire.Pool { return e.pool }

// Stopping reports whether a planned stop has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// newClaimOwner returns an owner name that no other claim of a request has.
func (e *Entry) newClaimOwner() string {
	return e.settings.Instance + "/" + e.incarnation + "/" + strconv.FormatUint(e.claimSeq.Add(1), 10)
}

func (e *Entry) newEcho() *echo.Echo {
	router := echo.New()
	router.HideBanner = true
	router.HidePort = true
	router.Use(httptext.Require(e.refuseText, api.HeaderKey, api.HeaderRequestID, api.HeaderContentType))
	router.POST("/v1/call/:service", e.handleCall)
	router.POST("/v1/queues/:queue/jobs", e.handleSubmit)
	router.GET("/v1/jobs/:id", e.handleGetJob)
	router.GET(api.PathStalled, e.handleStalled)
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

// refuseText answers a request whose text no store could decode. It has not run, and neither
// has an earlier attempt with the same text.
func (e *Entry) refuseText(c echo.Context, err error) error {
	return e.respond(c, "", refusalToAnswer(api.Refuse(http.StatusBadRequest, api.CodeBadRequest, err.Error())))
}

// Run listens at the addresses in the settings and serves until ctx ends. Then it
// stops gracefully: it ends readiness, still accepts requests for
// Options.StopGrace, and waits for the requests in flight. It returns an error if
// it can't listen, if serving fails, or if requests of callers have not ended 75 s
// after ctx.
func (e *Entry) Run(ctx context.Context) error {
	limits := httpserver.ProcessLimits()
	callers, err := httpserver.Listen(e.settings.Listen, limits)
	if err != nil {
		return errors.Wrap(err, "entry: listen for callers")
	}
	peers, err := httpserver.Listen(e.settings.PeerListen, limits)
	if err != nil {
		_ = callers.Close()
		return errors.Wrap(err, "entry: listen for peers")
	}
	return e.Serve(ctx, callers, peers)
}

// Serve is like Run, but uses listeners that are already open. It closes them.
func (e *Entry) Serve(ctx context.Context, callers, peers net.Listener) error {
	if e.peerAddress == "" || e.settings.PeerAdvertise == "" {
		e.peerAddress = peers.Addr().String()
	}
	loopCtx, stopLoops := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){e.renew.loop, e.renew.urgentLoop, e.mesh.loop, e.tickLoop} {
		loops.Add(1)
		go func() { defer loops.Done(); loop(loopCtx) }()
	}
	guard := httpserver.NewGuard(httpserver.ProcessLimits(), e.metrics.registry, e.log, httpserver.LaneCallers, httpserver.LaneWorkers, httpserver.LaneOperators)
	server := guard.Server(e.echo, httpserver.Options{HeaderTimeout: headerTimeout, MaxBodyBytes: maxBodyBytes, Lane: laneOf})
	peerServer := guard.Server(http.HandlerFunc(e.acceptPeer), httpserver.Options{HeaderTimeout: headerTimeout})
	serveErr := make(chan error, 2)
	go func() { serveErr <- server.Serve(guard.Limit(callers)) }()
	go func() { serveErr <- peerServer.Serve(guard.LimitPeers(peers)) }()
	e.log.Info().Str("listen", callers.Addr().String()).Str("peer_listen", peers.Addr().String()).Msg("entry is serving")
	var err error
	select {
	case <-ctx.Done():
		err = e.drain(server)
	case err = <-serveErr:
		_ = server.Close()
	}
	e.background.Wait()
	stopLoops()
	loops.Wait()
	e.peerConns.closeAll()
	_ = peerServer.Close()
	e.pool.Close()
	e.backends.close()
	e.log.Info().Err(err).Msg("entry stopped")
	return err
}

// drain ends readiness, informs the peers, and waits for the requests in flight,
// all within drainTimeout. It returns an error if requests of callers have not
// ended by then.
func (e *Entry) drain(server *http.Server) error {
	e.stopping.Store(true)
	e.log.Info().Int("in_flight", e.sched.inFlight()).Msg("graceful stop started")
	deadline, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	e.mesh.sendHeartbeats(deadline)
	wait.For(deadline, e.stopGrace)
	if err := server.Shutdown(deadline); err != nil {
		return errors.Wrap(err, "entry: requests in flight did not end within the drain timeout")
	}
	for e.forwardedInFlight.Load()+int64(e.peerConns.inFlight()) > 0 && deadline.Err() == nil {
		wait.For(deadline, tickInterval)
	}
	return nil
}

// tickLoop runs the periodic work of the scheduler and the backend client until ctx
// ends.
func (e *Entry) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.sched.tick()
			e.backends.closeIdle(e.clock())
		}
	}
}

// handleReady serves GET /readyz. An entry is ready once it has a configuration and
// its slots are settled, until a planned stop begins. An expired lease does not end
// readiness, since the entries of a partitioned data centre continue to serve calls
// to open services.
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
