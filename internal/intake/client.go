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
	// pollInterval is the time between an entry's looks for the leader.
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 700 * time.Millisecond
	// contactLimit is the time without a leader after which an entry is not ready,
	// so that new connections go to entries that can serve.
	contactLimit = 1500 * time.Millisecond
	// sendLimit is the time without an answer of a leader after which calls are not
	// sent: two polls were missed.
	sendLimit    = 1100 * time.Millisecond
	contactCheck = 20 * time.Millisecond
	// refuseAfter bounds the wait for a leader of a call that no store has taken. It
	// is a fifth of the shortest latency target, within which callers can turn to
	// another entry.
	refuseAfter = 700 * time.Millisecond
)

// ErrNotRun means that no store has taken the call: it has not run.
var ErrNotRun = errors.New("intake: no leader in reach, the call was not taken")

// ErrMayHaveRun means that a store may have taken the call.
var ErrMayHaveRun = errors.New("intake: the outcome of the call is not known")

// Client forwards callers' requests from an entry to the leader.
type Client struct {
	leader *leader.Client
	seeds  func() []string
	logger zerolog.Logger
	// contact is the time of the last answer of a leader, in nanoseconds since started.
	contact atomic.Int64
	started time.Time

	mu      sync.Mutex
	members []string
	lost    bool
}

// NewClient returns a client that finds the stores by the seeds.
func NewClient(pool *wire.Pool, seeds func() []string, logger zerolog.Logger) *Client {
	c := &Client{leader: leader.NewClient(pool, seeds()), seeds: seeds, logger: logger, started: time.Now()}
	c.contact.Store(int64(-contactLimit))
	return c
}

// Run follows the leader until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	for wait.For(ctx, c.poll(ctx)) {
	}
	return nil
}

func (c *Client) poll(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var info wire.LeaderInfo
	err := c.leader.Call(ctx, wire.TypeLeader, struct{}{}, &info, 0)
	c.note(err)
	if err != nil {
		c.leader.SetStores(c.known())
		return pollInterval / 5
	}
	c.mu.Lock()
	c.members = nil
	for _, m := range info.Members {
		c.members = append(c.members, m.Address)
	}
	c.mu.Unlock()
	c.leader.SetStores(c.known())
	return pollInterval
}

// note records contact with the leader, and logs when it is lost or regained.
func (c *Client) note(err error) {
	if err == nil {
		c.contact.Store(int64(time.Since(c.started)))
	}
	lost := !c.Ready()
	c.mu.Lock()
	defer c.mu.Unlock()
	if lost != c.lost {
		c.lost = lost
		c.logger.Info().Err(err).Bool("lost", lost).Msg("contact with the leader changed")
	}
}

// known returns the members that the last leader named and the seeds.
func (c *Client) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]string(nil), c.members...)
	return append(out, c.seeds()...)
}

// Ready tells whether a leader answered a short time ago.
func (c *Client) Ready() bool {
	return c.inContact(contactLimit)
}

// Call forwards a call. It waits for a leader only shortly; once a store may have
// taken the call it is repeated until ctx ends, since it is idempotent by its
// job's identifier.
func (c *Client) Call(ctx context.Context, call wire.JobCall) (wire.JobCallReply, error) {
	var reply wire.JobCallReply
	first, cancel := context.WithTimeout(ctx, refuseAfter)
	defer cancel()
	if !c.awaitContact(first) {
		return reply, errors.Wrap(ErrNotRun, "no contact with a leader")
	}
	err := c.leader.Call(first, wire.TypeJobCall, call, &reply, 0)
	if err == nil {
		return reply, nil
	}
	if unsent(err) {
		return reply, errors.Wrap(ErrNotRun, err.Error())
	}
	if call.Op == wire.JobStatus || call.Op == wire.JobWaiting {
		return reply, errors.Wrap(ErrMayHaveRun, err.Error())
	}
	if err = c.leader.Call(ctx, wire.TypeJobCall, call, &reply, 0); err != nil {
		return reply, errors.Wrap(ErrMayHaveRun, err.Error())
	}
	return reply, nil
}

// awaitContact waits until a leader has answered lately. A call that is sent into
// silence would have an unknown outcome, where a refusal is certain.
func (c *Client) awaitContact(ctx context.Context) bool {
	for !c.inContact(sendLimit) {
		if !wait.For(ctx, contactCheck) {
			return false
		}
	}
	return true
}

func (c *Client) inContact(limit time.Duration) bool {
	return time.Since(c.started)-time.Duration(c.contact.Load()) < limit
}

func unsent(err error) bool {
	var unavailable *leader.ErrUnavailable
	if errors.As(err, &unavailable) {
		return unavailable.Unsent
	}
	var body *wire.ErrorBody
	return errors.As(err, &body) && body.Code != wire.CodeUncertain
}
