// Package controller runs the control loops of the leading store on the replicated
// log. It turns the reports on workers into commands, answers them with orders, and
// runs placement, maintenance, evacuations, quarantine and pool moves.
//
// A controller acts only while its store leads. It keeps what workers report in
// memory and discards it when the leader changes.
package controller

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/maintenance"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/poolmove"
	"github.com/samphirefork/samphirefork/internal/retry"
	"github.com/samphirefork/samphirefork/internal/share"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Keys of Options.Policies. The values are the policies of the package that has the
// name of the key.
const (
	PolicyShare       = "share"
	PolicyPlacement   = "placement"
	PolicyMaintenance = "maintenance"
	PolicyPoolMove    = "poolmove"
	PolicyRetry       = "retry"
)

const (
	// reportTimeout is the time without a report after which a worker gets no new
	// jobs and no orders.
	reportTimeout = 3 * time.Second
	// passInterval is the shortest pause between two passes.
	passInterval = 30 * time.Millisecond
	// idleInterval is the longest time that the pause is extended by while there is
	// no change of the log and no report.
	idleInterval = 100 * time.Millisecond
	// maxPassPause is the longest pause that follows from passPauseRatio.
	maxPassPause = 250 * time.Millisecond
	// upkeepInterval is the time between two runs of maintenance, evacuations,
	// quarantine and pool moves.
	upkeepInterval = 500 * time.Millisecond
	// expireInterval is the time between two checks for expired records.
	expireInterval = 5 * time.Second
	// deadlineCheckInterval bounds the time for which a job stays queued after its
	// deadline.
	deadlineCheckInterval = 250 * time.Millisecond
	// refusedOutcomeRetention is the time for which a refused outcome is remembered.
	refusedOutcomeRetention = time.Minute
	// resendAfter is the time after which an order without visible effect is sent
	// again. It is longer than the interval of one second at which workers announce
	// themselves.
	resendAfter = 1200 * time.Millisecond
	// restartConfirmDelay is the time for which a new incarnation must report, while
	// the committed one does not, before it is accepted. It keeps delayed reports of
	// an earlier process from being taken for a restart.
	restartConfirmDelay = 800 * time.Millisecond
	// reinstateConfirmDelay applies instead to an incarnation that was replaced
	// before. It is longer than any uninterrupted series of delayed reports.
	reinstateConfirmDelay = lease.TaskDuration + lease.TaskMargin
	// missingTaskTimeout is the time after which a started task that its worker no
	// longer reports is considered lost.
	missingTaskTimeout = 5 * time.Second
	// replanInterval is the time after which placement is planned again although the
	// replicated state has not changed. The state does not include throttling and
	// new reports.
	replanInterval = 200 * time.Millisecond
	// proposeTimeout bounds one proposal, so that a proposal made before the quorum
	// was lost does not block the controller after the next election.
	proposeTimeout = 3 * time.Second
	// maxCommandElements is the largest number of elements of one command. Names
	// have up to 256 bytes, and the log refuses commands above 3 MiB.
	maxCommandElements = 2000
	// maxCommandObservations is the limit for observations, which are larger as each
	// lists started jobs.
	maxCommandObservations = 250
	// passPauseRatio is the ratio of the pause after a pass to the duration of the
	// pass. It limits the load that the controller causes, as far as maxPassPause
	// allows.
	passPauseRatio = 10
)

// Options configures a controller. The zero value is valid.
type Options struct {
	// Policies maps the Policy constants to the names of policies. A missing or
	// empty policy means the default. CheckPolicies validates the map.
	Policies map[string]string
	// Seed is the seed of the jitter of retry delays.
	Seed int64
	// Logger receives failed passes and refused commands.
	Logger zerolog.Logger
	// JobUnits returns the number of jobs that a team may run at present, which
	// leaves part of its limit to its calls. If nil, jobs may use the whole limit.
	JobUnits func(s *fleet.State, team string) int
	// ResumesCheckpoints is true if jobs that are not idempotent are resumed from
	// their checkpoints. If false, such tasks are never checkpointed, since that
	// would end them without a result.
	ResumesCheckpoints bool
}

// Controller runs the control loops of one store. It is safe for concurrent use.
type Controller struct {
	log  fleet.Log
	opts Options

	// mu guards all fields below.
	mu   sync.Mutex
	term uint64
	// electedAt is the time at which the controller noticed the present term.
	electedAt fleet.Time
	// workers holds the reporting instances by name.
	workers map[string]*worker
	// actions holds the pending actions by job.
	actions map[string]action
	// refusedOutcomes holds the attempts whose outcome the state machine refused,
	// with the time of the refusal. They are not proposed again.
	refusedOutcomes map[wire.TaskKey]fleet.Time
	reservations    []placement.Reservation
	// borrowedWorkers holds the balance of moves of each pool, see poolmove.Pool.
	borrowedWorkers map[string]int
	shares          *share.UsageTracker
	sizer           *placement.Sizer
	failureTracker  *retry.FailureTracker
	retryBudget     *retry.Budget
	poolMoves       *poolmove.Tracker
	rng             *rand.Rand

	lastUpkeepAt        fleet.Time
	lastExpireAt        fleet.Time
	lastDeadlineCheckAt fleet.Time
	// lastPlacementAt and lastPlacementIndex are the time and the applied index of
	// the latest placement plan.
	lastPlacementAt    fleet.Time
	lastPlacementIndex uint64
	// signalledIndex is the applied index at which held replies were last woken.
	signalledIndex uint64
	// actionsChanged is true if actions changed since then.
	actionsChanged bool
	// ordersChanged is closed and replaced when orders may have changed.
	ordersChanged chan struct{}
	// reportReceived has a capacity of one and is filled by each report, to wake Run.
	reportReceived chan struct{}
}

// action is what is to be done with a running attempt. It is sent as an order until
// it takes effect.
type action struct {
	key  wire.TaskKey
	kind placement.Action
	// since is the time at which the action was first decided.
	since fleet.Time
}

// New returns a controller on a log. It takes reports at once, and commits changes
// only in Run or Pass.
func New(log fleet.Log, opts Options) *Controller {
	c := &Controller{
		log:            log,
		opts:           opts,
		ordersChanged:  make(chan struct{}),
		reportReceived: make(chan struct{}, 1),
	}
	c.reset(0, 0)
	return c
}

// reset discards everything that was observed in earlier terms.
func (c *Controller) reset(term uint64, now fleet.Time) {
	c.term = term
	c.electedAt = now
	c.workers = map[string]*worker{}
	c.actions = map[string]action{}
	c.refusedOutcomes = map[wire.TaskKey]fleet.Time{}
	c.reservations = nil
	c.borrowedWorkers = map[string]int{}
	c.shares = share.New(share.Policy(c.opts.Policies[PolicyShare]))
	c.sizer = placement.NewSizer()
	c.failureTracker = retry.NewFailureTracker()
	c.retryBudget = retry.NewBudget()
	c.poolMoves = poolmove.New(poolmove.Policy(c.opts.Policies[PolicyPoolMove]))
	c.rng = rand.New(rand.NewSource(c.opts.Seed))
	c.lastUpkeepAt = now
	c.lastExpireAt = now
	c.lastPlacementIndex = 0
}

// leading returns the leadership and whether this store leads. It resets the
// controller at the start of a new term. The caller holds mu.
func (c *Controller) leading() (fleet.Leadership, bool) {
	l := c.log.Leadership()
	if l.Leading && l.Term != c.term {
		c.reset(l.Term, c.log.Now())
	}
	return l, l.Leading
}

// Run makes passes until the context ends, and returns the error of the context.
// After a failed pass it continues with the next one.
func (c *Controller) Run(ctx context.Context) error {
	for {
		changed := c.log.Changed()
		began := time.Now()
		if err := c.Pass(ctx); err != nil && !transient(err) {
			// The next leader would fail in the same way, so stopping the store
			// would only make the log unavailable as well.
			c.opts.Logger.Error().Err(err).Msg("controller pass failed; continuing with the next pass")
		}
		pause := max(passInterval, min(passPauseRatio*time.Since(began), maxPassPause))
		if !wait.For(ctx, pause) {
			return ctx.Err()
		}
		timer := time.NewTimer(idleInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.reportReceived:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// transient reports whether the error is one of a proposal that can succeed in a
// later pass, possibly of another leader.
func transient(err error) bool {
	return errors.Is(err, fleet.ErrNotLeader) || errors.Is(err, fleet.ErrUncertain) ||
		errors.Is(err, context.DeadlineExceeded)
}

// Pass does all work that is due once, or nothing if this store does not lead. It
// returns the first error of a proposal and leaves the remaining work to a later
// pass.
func (c *Controller) Pass(ctx context.Context) error {
	steps := []func(context.Context) error{
		c.commitReports, c.commitLost, c.place, c.upkeep, c.expire,
	}
	for _, step := range steps {
		c.mu.Lock()
		_, leading := c.leading()
		c.mu.Unlock()
		if !leading {
			return nil
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	c.wakeHeldReplies()
	return nil
}

// propose commits a command and logs the parts of it that the state machine refused.
// The name of the command appears in the log only.
func (c *Controller) propose(ctx context.Context, command string, cmd fleet.Command) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := c.log.Propose(ctx, cmd)
	if err != nil {
		c.opts.Logger.Debug().Err(err).Str("command", command).Msg("failed to propose command")
		return res, err
	}
	if res.Refusal != nil {
		c.opts.Logger.Warn().Err(res.Refusal).Str("command", command).Msg("state machine refused command")
	}
	for i, ref := range res.Rejected {
		c.opts.Logger.Debug().Int("element", i).Err(&ref).Str("command", command).Msg("state machine refused an element of a command")
	}
	return res, nil
}

// wakeHeldReplies wakes the calls of Report that hold their reply, if orders may have
// changed since it last did so.
func (c *Controller) wakeHeldReplies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.appliedIndex()
	if applied == c.signalledIndex && !c.actionsChanged {
		return
	}
	c.signalledIndex = applied
	c.actionsChanged = false
	close(c.ordersChanged)
	c.ordersChanged = make(chan struct{})
}

// appliedIndex returns the log index up to which commands have been applied.
func (c *Controller) appliedIndex() uint64 {
	var index uint64
	c.log.Read(func(s *fleet.State) { index = s.Applied })
	return index
}

func (c *Controller) maintenancePolicy() maintenance.Policy {
	return maintenance.Policy(c.opts.Policies[PolicyMaintenance])
}

// attributesFailures reports whether the retry policy attributes failures to jobs and
// workers.
func (c *Controller) attributesFailures() bool {
	return retry.Policy(c.opts.Policies[PolicyRetry]) != retry.PolicyImmediate
}
