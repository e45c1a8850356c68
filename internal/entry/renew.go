package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// renewHold is the time for which the leader may hold a reply without news.
	renewHold = 400 * time.Millisecond
	// renewTimeout bounds one renewal; a lease would not outlast a longer one.
	renewTimeout = 1500 * time.Millisecond
	// urgentSpacing is the shortest time between renewals for more units.
	urgentSpacing = 100 * time.Millisecond
	retrySpacing  = 50 * time.Millisecond
)

// renewer keeps the lease and the limit grants renewed.
type renewer struct {
	entry *Entry
	mu    sync.Mutex
	seq   uint64
	// urgent has a value while a team wants more units than it has.
	urgent chan struct{}
}

func newRenewer(e *Entry) *renewer {
	return &renewer{entry: e, urgent: make(chan struct{}, 1)}
}

func (r *renewer) wake() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// loop renews until ctx ends.
func (r *renewer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.once(ctx, renewHold) {
			wait.For(ctx, retrySpacing)
		}
	}
}

// urgentLoop renews at once, besides the held request, when units are wanted.
func (r *renewer) urgentLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.urgent:
			r.once(ctx, 0)
			wait.For(ctx, urgentSpacing)
		}
	}
}

// request builds the next request. Sequence and wanted units are taken together,
// so that a later sequence never carries older units.
func (r *renewer) request(hold time.Duration) wire.RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry
	r.seq++
	config, _ := e.lease.view(e.clock())
	wanted, used := e.sched.wanted(config)
	last := e.lease.begin(e.clock(), r.seq, wanted)
	return wire.RenewRequest{
		Instance:    e.set.Instance,
		DataCentre:  e.set.DataCentre,
		Incarnation: e.incarnation,
		Sequence:    r.seq,
		PeerAddress: e.peerAddress,
		Revision:    last.revision,
		Term:        last.term,
		Granted:     last.granted,
		Wanted:      wanted,
		Used:        used,
		HoldMS:      hold.Milliseconds(),
	}
}

// once makes one renewal and reports whether its reply was accepted.
func (r *renewer) once(ctx context.Context, hold time.Duration) bool {
	e := r.entry
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	msg := r.request(hold)
	sent := e.clock()
	var reply wire.RenewReply
	if err := e.leader.Call(ctx, wire.TypeRenew, msg, &reply, hold); err != nil {
		e.lease.end(msg.Sequence, sent, nil)
		e.metrics.renewFailures.Inc(1)
		e.log.Debug().Err(err).Msg("renewal failed")
		return false
	}
	if !e.lease.end(msg.Sequence, sent, &reply) {
		return false
	}
	e.mesh.named(reply.Entries)
	if config, _ := e.lease.view(e.clock()); config != nil {
		e.sched.takeReply(config, e.lease.teamCalls(), reply.Draining)
	}
	return true
}
