// Package controller runs the leader's controllers on the replicated log: it
// turns worker reports into commands and orders, and runs placement, maintenance
// and pool moves.
//
// It acts only while its store leads. What workers announce is kept in memory
// and forgotten when the leader changes.
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

// Keys of Options.Policies. The values are the policies of the packages of these names.
const (
	PolicyShare       = "share"
	PolicyPlacement   = "placement"
	PolicyMaintenance = "maintenance"
	PolicyPoolMove    = "poolmove"
	PolicyRetry       = "retry"
)

// Times of the controllers.
const (
	// unheardAfter is the silence after which a worker gets no new jobs.
	unheardAfter = 3 * time.Second
	// passInterval is the shortest time between two passes, and idleInterval the longest.
	passInterval = 30 * time.Millisecond
	idleInterval = 100 * time.Millisecond
	maxPause     = 250 * time.Millisecond
	// upkeepInterval separates runs of maintenance and pool moves.
	upkeepInterval = 500 * time.Millisecond
	// expireInterval separates searches for old records, and lateInterval bounds the
	// time for which a late job stays queued.
	expireInterval = 5 * time.Second
	lateInterval   = 250 * time.Millisecond
	// memoryInterval is the time for which observations of ended attempts are kept.
	memoryInterval = time.Minute
	// resendAfter is the time after which an order without visible effect is
	// repeated. Workers announce each second.
	resendAfter = 1200 * time.Millisecond
	// restartConfirm is the time for which a new incarnation must be announced,
	// without a word from the committed one, before it is committed. Reports of
	// an earlier process that were overtaken on the way are thus ignored.
	restartConfirm = 800 * time.Millisecond
	// returnConfirm is the same for an incarnation that was replaced before. It is
	// longer than reports are held up without a break.
	returnConfirm = lease.Task + lease.TaskMargin
	// vanishedAfter is the time after which a started task that its worker no
	// longer reports counts as lost.
	vanishedAfter = 5 * time.Second
	// replanAfter bounds the time for which a plan is not repeated while the
	// state stays as it is; throttles and new announcements are not in the state.
	replanAfter = 200 * time.Millisecond
	// proposeTimeout bounds one proposal, so that a lost quorum doesn't hold up
	// the controllers after the next election.
	proposeTimeout = 3 * time.Second
	// maxElements bounds the elements of one command. Names have up to 256 bytes,
	// and a command above 3 MiB is refused by the log.
	maxElements = 2000
	// maxObservations is the same for observations, which list started jobs.
	maxObservations = 250
	// planDuty is the ratio of the pause after a pass to its duration, up to maxPause.
	planDuty = 10
)

// Options configures a controller. The zero value is usable.
type Options struct {
	// Policies selects the policy of each decision package by name.
	Policies map[string]string
	// Seed seeds the jitter of retries.
	Seed   int64
	Logger zerolog.Logger
	// JobUnits returns how many jobs a team may run at present, so that its calls
	// are not starved. Without it, jobs may use the whole limit.
	JobUnits func(s *fleet.State, team string) int
	// ResumesCheckpoints is true when a checkpointed job that is not idempotent
	// is resumed. Otherwise such tasks are never checkpointed, since that would
	// end them without a result.
	ResumesCheckpoints bool
}

// Controller runs the controllers of one store. It is safe for concurrent use.
type Controller struct {
	log  fleet.Log
	opts Options

	mu      sync.Mutex
	term    uint64
	since   fleet.Time
	workers map[string]*worker
	actions map[string]action
	// handled holds final reports that need no further command.
	handled  map[wire.TaskKey]fleet.Time
	reserved []placement.Reservation
	borrowed map[string]int
	shares   *share.UsageTracker
	sizer    *placement.Sizer
	blame    *retry.FailureTracker
	budget   *retry.Budget
	moves    *poolmove.Tracker
	rng      *rand.Rand

	upkeepAt fleet.Time
	expireAt fleet.Time
	lateAt   fleet.Time
	// placedAt and placedIndex are the time and the applied index of the latest plan.
	placedAt    fleet.Time
	placedIndex uint64
	// signalled is the applied index at which held replies were last woken, and
	// acted is true when actions changed since.
	signalled uint64
	acted     bool
	// wake is closed and replaced when orders may have changed.
	wake chan struct{}
	// reported holds a token when a worker report came in.
	reported chan struct{}
}

// action is an order for a running attempt.
type action struct {
	key   wire.TaskKey
	kind  placement.Action
	since fleet.Time
}

// New returns a controller on a log. It does nothing until Run.
func New(log fleet.Log, opts Options) *Controller {
	c := &Controller{
		log:      log,
		opts:     opts,
		wake:     make(chan struct{}),
		reported: make(chan struct{}, 1),
	}
	c.reset(0, 0)
	return c
}

// reset forgets everything that was observed under an earlier leader.
func (c *Controller) reset(term uint64, now fleet.Time) {
	c.term = term
	c.since = now
	c.workers = map[string]*worker{}
	c.actions = map[string]action{}
	c.handled = map[wire.TaskKey]fleet.Time{}
	c.reserved = nil
	c.borrowed = map[string]int{}
	c.shares = share.New(share.Policy(c.opts.Policies[PolicyShare]))
	c.sizer = placement.NewSizer()
	c.blame = retry.NewFailureTracker()
	c.budget = retry.NewBudget()
	c.moves = poolmove.New(poolmove.Policy(c.opts.Policies[PolicyPoolMove]))
	c.rng = rand.New(rand.NewSource(c.opts.Seed))
	c.upkeepAt = now
	c.expireAt = now
	c.placedIndex = 0
}

// leading reports whether this store leads, and resets what was observed under
// another term. The caller holds mu.
func (c *Controller) leading() (fleet.Leadership, bool) {
	l := c.log.Leadership()
	if l.Leading && l.Term != c.term {
		c.reset(l.Term, c.log.Now())
	}
	return l, l.Leading
}

// Run acts until the context ends, and returns the context's error. A failed pass
// is repeated.
func (c *Controller) Run(ctx context.Context) error {
	for {
		changed := c.log.Changed()
		began := time.Now()
		if err := c.Pass(ctx); err != nil && !transient(err) {
			// The next leader would fail in the same way, so ending the store
			// would only take the log down as well.
			c.opts.Logger.Error().Err(err).Msg("a pass of the controllers failed")
		}
		pause := max(passInterval, min(planDuty*time.Since(began), maxPause))
		if !wait.For(ctx, pause) {
			return ctx.Err()
		}
		timer := time.NewTimer(idleInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-c.reported:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// transient reports whether a failed proposal is repeated by a later pass.
func transient(err error) bool {
	return errors.Is(err, fleet.ErrNotLeader) || errors.Is(err, fleet.ErrUncertain) ||
		errors.Is(err, context.DeadlineExceeded)
}

// Pass does once all work that is due. It returns the first error of a proposal;
// the rest of the work waits for a later pass.
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
	c.signal()
	return nil
}

// propose commits a command and logs what the state machine refused of it.
func (c *Controller) propose(ctx context.Context, what string, cmd fleet.Command) (fleet.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := c.log.Propose(ctx, cmd)
	if err != nil {
		c.opts.Logger.Debug().Err(err).Str("command", what).Msg("proposal failed")
		return res, err
	}
	if res.Refusal != nil {
		c.opts.Logger.Warn().Err(res.Refusal).Str("command", what).Msg("command was refused")
	}
	for i, ref := range res.Rejected {
		c.opts.Logger.Debug().Int("element", i).Err(&ref).Str("command", what).Msg("element was refused")
	}
	return res, nil
}

// signal wakes held replies when orders may have changed.
func (c *Controller) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	applied := c.applied()
	if applied == c.signalled && !c.acted {
		return
	}
	c.signalled = applied
	c.acted = false
	close(c.wake)
	c.wake = make(chan struct{})
}

func (c *Controller) applied() uint64 {
	var index uint64
	c.log.Read(func(s *fleet.State) { index = s.Applied })
	return index
}

func (c *Controller) maintenancePolicy() maintenance.Policy {
	return maintenance.Policy(c.opts.Policies[PolicyMaintenance])
}

func (c *Controller) blames() bool {
	return retry.Policy(c.opts.Policies[PolicyRetry]) != retry.PolicyImmediate
}
