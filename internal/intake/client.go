package intake

import (
	"context"
	"slices"
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
	// pollInterval is the time between an entry's polls of the leader. After a failed poll
	// it probes all stores.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 700 * time.Millisecond
	// readyTimeout is the time without an answer from a leader after which an entry is not
	// ready, so that new connections go to entries that can serve them.
	readyTimeout = 1500 * time.Millisecond
	// sendTimeout is the time without an answer from a leader after which calls are not
	// sent. Two polls have failed by then.
	sendTimeout          = 1100 * time.Millisecond
	contactCheckInterval = 20 * time.Millisecond
	// maxRemaining stands for the time that a caller without a deadline waits.
	maxRemaining = time.Minute
)

// ErrNotRun means that no store has accepted the call, which has not run.
var ErrNotRun = errors.New("intake: the call has not run")

// ErrMayHaveRun means that a store may have accepted the call, whose outcome is unknown.
var ErrMayHaveRun = errors.New("intake: the call may have run")

// Client forwards callers' requests from an entry to the leader. It is safe for concurrent
// use.
type Client struct {
	pool   *wire.Pool
	leader *leader.Client
	seeds  func() []string
	logger zerolog.Logger
	// lastContact is the time of the last answer from a leader, in nanoseconds since
	// started.
	lastContact atomic.Int64
	started     time.Time
	// leaderlessSince is the time, in nanoseconds since started, from which on stores have
	// answered that they know no leader, or 0.
	leaderlessSince atomic.Int64
	// waiting is the number of calls that wait for a leader.
	waiting atomic.Int64
	// leaderLost is true after a failed poll, and probes the number of rounds of probes. Only
	// Run uses them.
	leaderLost bool
	probes     int

	// mu guards the fields below.
	mu sync.Mutex
	// members are the addresses of the stores that the last answer listed, and hints those
	// that stores have named as the leader since.
	members     []string
	hints       []string
	contactLost bool
}

// NewClient returns a client that discovers the stores from the addresses that seeds
// returns. It finds no leader until Run is called.
func NewClient(pool *wire.Pool, seeds func() []string, logger zerolog.Logger) *Client {
	c := &Client{pool: pool, leader: leader.NewClient(pool, seeds()), seeds: seeds, logger: logger, started: time.Now()}
	c.lastContact.Store(int64(-readyTimeout))
	return c
}

// Run polls the leader until ctx ends, and returns nil.
func (c *Client) Run(ctx context.Context) error {
	for wait.For(ctx, c.poll(ctx)) {
	}
	return nil
}

// poll asks the leader for the list of stores once, or all stores for the leader if the last
// poll failed, and returns the time until the next poll.
func (c *Client) poll(ctx context.Context) time.Duration {
	ask := c.askLeader
	if c.leaderLost {
		ask = c.probe
	}
	err := ask(ctx)
	c.leaderLost = err != nil
	c.recordPoll(err)
	c.leader.SetStores(c.storeAddresses())
	if err != nil {
		return probeInterval
	}
	return pollInterval
}

func (c *Client) askLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var info wire.LeaderInfo
	if err := c.leader.Call(ctx, wire.TypeLeader, struct{}{}, &info, 0); err != nil {
		return err
	}
	c.setMembers(info.Members)
	return nil
}

// setMembers records the stores that a leader has listed.
func (c *Client) setMembers(members []wire.MemberInfo) {
	c.leaderlessSince.Store(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members, c.hints = nil, nil
	for _, m := range members {
		c.members = append(c.members, m.Address)
	}
}

// maxHints bounds the addresses that stores have named as the leader.
const maxHints = 5

// addHint records a leader that a store has named and that may be no known store.
func (c *Client) addHint(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address != "" && len(c.hints) < maxHints && !slices.Contains(c.hints, address) {
		c.hints = append(c.hints, address)
	}
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

// storeAddresses returns the addresses that the last answers listed, and the seeds.
func (c *Client) storeAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append(slices.Clone(c.members), c.hints...)
	return append(out, c.seeds()...)
}

// Ready reports whether a leader has answered within readyTimeout, 1.5 s.
func (c *Client) Ready() bool {
	return c.inContact(readyTimeout)
}

// Call forwards a call to the leader and returns its reply. It waits at most
// leaderWaitTimeout, 700 ms, for a leader, and as long for its answer. Once a store may have
// accepted a submission or cancellation, Call repeats it until ctx ends or no leader has
// answered for readyTimeout, 1.5 s, which is safe since the call is idempotent by the job's
// identifier. Errors wrap ErrNotRun or ErrMayHaveRun.
func (c *Client) Call(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	var reply wire.JobCallReply
	if !c.awaitContact(ctx) {
		return reply, errors.Wrap(ErrNotRun, "no contact with a leader")
	}
	start := time.Now()
	firstCtx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	err := c.leader.Call(firstCtx, wire.TypeJobCall, call, &reply, 0)
	if err == nil {
		return resolved(reply)
	}
	if notRun(err) {
		return reply, errors.Wrap(ErrNotRun, err.Error())
	}
	if call.Op == wire.JobStatus || call.Op == wire.JobWaiting {
		return reply, errors.Wrap(ErrMayHaveRun, err.Error())
	}
	return c.resolve(ctx, call, start, err)
}

// resolve repeats a call that a store may have accepted, marked as a repetition, until a leader
// answers, contact with the leader is lost, or ctx ends. start is the time of the first attempt, and
// last the error of the attempt before.
//
// Load pattern: a data centre is cut off while its callers submit. No answer can come until
// it heals; a caller that is told so at once can ask an entry that has a leader.
func (c *Client) resolve(ctx context.Context, call wire.JobCall, start time.Time, last error) (wire.JobCallReply, error) {
	for c.Ready() && ctx.Err() == nil {
		var reply wire.JobCallReply
		attempt, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
		err := c.leader.Call(attempt, wire.TypeJobCall, call.AsRepetition(time.Since(start)), &reply, 0)
		cancel()
		if err == nil {
			return resolved(reply)
		}
		last = err
		var unavailable *leader.ErrUnavailable
		if !errors.As(err, &unavailable) {
			break
		}
	}
	return wire.JobCallReply{}, errors.Wrap(ErrMayHaveRun, last.Error())
}

// resolved returns the reply, or ErrMayHaveRun for one that leaves the outcome open.
func resolved(reply wire.JobCallReply) (wire.JobCallReply, error) {
	if reply.Verdict == wire.VerdictUnresolved {
		return wire.JobCallReply{}, errors.Wrap(ErrMayHaveRun, reply.Detail)
	}
	return reply, nil
}

// awaitContact waits until a leader has answered within sendTimeout, as long as
// WaitForLeader says, and reports whether one has. A call that is sent without contact may
// end with an unknown outcome; one that is not sent has certainly not run.
func (c *Client) awaitContact(ctx context.Context) bool {
	if c.inContact(sendTimeout) {
		return true
	}
	start := time.Now()
	remaining := maxRemaining
	if deadline, ok := ctx.Deadline(); ok {
		remaining = deadline.Sub(start)
	}
	waiting := int(c.waiting.Add(1))
	defer c.waiting.Add(-1)
	for !c.inContact(sendTimeout) {
		limit := WaitForLeader(Outlook{LeaderlessFor: c.leaderlessFor(), Remaining: remaining, Waiting: waiting - 1})
		if time.Since(start) >= limit || !wait.For(ctx, contactCheckInterval) {
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
