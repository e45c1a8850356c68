package intake

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// pollInterval is the time between an entry's polls of the leader; after a failed poll
	// it is a fifth of this.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 700 * time.Millisecond
	// readyTimeout is the time without an answer from a leader after which an entry is not
	// ready, so that new connections go to entries that can serve them.
	readyTimeout = 1500 * time.Millisecond
	// sendTimeout is the time without an answer from a leader after which calls are not
	// sent. Two polls have failed by then.
	sendTimeout          = 1100 * time.Millisecond
	contactCheckInterval = 20 * time.Millisecond
	// outOfReachTimeout is the time without an answer from a leader after which calls are
	// refused at once: elections take at most half of it, so the entry is cut off.
	outOfReachTimeout = 2500 * time.Millisecond
	// leaderWaitTimeout bounds the time for which a call that no store has accepted waits
	// for a leader. It is a fifth of the shortest latency target, so that callers still
	// have time to try another entry.
	leaderWaitTimeout = 700 * time.Millisecond
)

// ErrNotRun means that no store has accepted the call, which has not run.
var ErrNotRun = errors.New("intake: the call has not run")

// ErrMayHaveRun means that a store may have accepted the call, whose outcome is unknown.
var ErrMayHaveRun = errors.New("intake: the call may have run")

// Client forwards callers' requests from an entry to the leader. It is safe for concurrent
// use.
type Client struct {
	leader *leader.Client
	seeds  func() []string
	logger zerolog.Logger
	// lastContact is the time of the last answer from a leader, in nanoseconds since
	// started.
	lastContact atomic.Int64
	started     time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// members are the addresses of the stores that the last answer listed.
	members     []string
	contactLost bool
}

// NewClient returns a client that discovers the stores from the addresses that seeds
// returns. It finds no leader until Run is called.
func NewClient(pool *wire.Pool, seeds func() []string, logger zerolog.Logger) *Client {
	c := &Client{leader: leader.NewClient(pool, seeds()), seeds: seeds, logger: logger, started: time.Now()}
	c.lastContact.Store(int64(-readyTimeout))
	return c
}

// Run polls the leader until ctx ends, and returns nil.
func (c *Client) Run(ctx context.Context) error {
	for wait.For(ctx, c.poll(ctx)) {
	}
	return nil
}

// poll asks the leader for the list of stores once, and returns the time until the next poll.
func (c *Client) poll(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var info wire.LeaderInfo
	err := c.leader.Call(ctx, wire.TypeLeader, struct{}{}, &info, 0)
	c.recordPoll(err)
	if err != nil {
		c.leader.SetStores(c.storeAddresses())
		return pollInterval / 5
	}
	c.mu.Lock()
	c.members = nil
	for _, m := range info.Members {
		c.members = append(c.members, m.Address)
	}
	c.mu.Unlock()
	c.leader.SetStores(c.storeAddresses())
	return pollInterval
}

// recordPoll records the result of a poll, and logs when contact with the leader is lost or
// regained.
func (c *Client) recordPoll(err error) {
	if err == nil {
		c.lastContact.Store(int64(time.Since(c.started)))
	}
	lost := !c.Ready()
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost != c.contactLost {
		c.contactLost = lost
		c.logger.Info().Err(err).Bool("lost", lost).Msg("contact with the leader changed")
	}
}

// storeAddresses returns the addresses that the last answer listed, and the seeds.
func (c *Client) storeAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.members...)
	return append(out, c.seeds()...)
}

// Ready reports whether a leader has answered within readyTimeout, 1.5 s.
func (c *Client) Ready() bool {
	return c.inContact(readyTimeout)
}

// Call forwards a call to the leader and returns its reply. It waits at most
// leaderWaitTimeout, 700 ms, for a leader. Once a store may have accepted a submission or
// cancellation, Call repeats it until ctx ends or no leader has answered for readyTimeout,
// 1.5 s, which is safe since the call is idempotent by the job's identifier. Errors wrap
// ErrNotRun or ErrMayHaveRun.
func (c *Client) Call(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	var reply wire.JobCallReply
	firstCtx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	if !c.awaitContact(firstCtx) {
		return reply, errors.Wrap(ErrNotRun, "no contact with a leader")
	}
	err := c.leader.Call(firstCtx, wire.TypeJobCall, call, &reply, 0)
	if err == nil {
		return reply, nil
	}
	if notRun(err) {
		return reply, errors.Wrap(ErrNotRun, err.Error())
	}
	if call.Op == wire.JobStatus || call.Op == wire.JobWaiting {
		return reply, errors.Wrap(ErrMayHaveRun, err.Error())
	}
	return c.resolve(ctx, call, err)
}

// resolve repeats a call that a store may have accepted until a leader answers, contact with
// the leader is lost, or ctx ends. last is the error of the attempt before.
//
// Load pattern: a data centre is cut off while its callers submit. No answer can come until
// it heals; a caller that is told so at once can ask an entry that has a leader.
func (c *Client) resolve(ctx context.Context, call wire.JobCall, last error) (wire.JobCallReply, error) {
	for c.Ready() && ctx.Err() == nil {
		var reply wire.JobCallReply
		attempt, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
		err := c.leader.Call(attempt, wire.TypeJobCall, call, &reply, 0)
		cancel()
		if err == nil {
			return reply, nil
		}
		last = err
		var unavailable *leader.ErrUnavailable
		if !errors.As(err, &unavailable) {
			break
		}
	}
	return wire.JobCallReply{}, errors.Wrap(ErrMayHaveRun, last.Error())
}

// awaitContact waits until a leader has answered within sendTimeout, and returns false if
// ctx ends before or the leader is out of reach. A call that is sent without contact may end
// with an unknown outcome; one that is not sent has certainly not run.
func (c *Client) awaitContact(ctx context.Context) bool {
	for !c.inContact(sendTimeout) {
		if !c.inContact(outOfReachTimeout) || !wait.For(ctx, contactCheckInterval) {
			return false
		}
	}
	return true
}

// inContact reports whether a leader has answered within the given time.
func (c *Client) inContact(limit time.Duration) bool {
	return time.Since(c.started)-time.Duration(c.lastContact.Load()) < limit
}

// notRun reports whether the error shows that no store has accepted the call.
func notRun(err error) bool {
	var unavailable *leader.ErrUnavailable
	if errors.As(err, &unavailable) {
		return unavailable.Unsent
	}
	var body *wire.ErrorBody
	return errors.As(err, &body) && body.Code != wire.CodeUncertain
}
