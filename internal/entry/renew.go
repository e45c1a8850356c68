package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// renewHold is the time for which the leader may hold a reply while nothing
	// changes.
	renewHold = 400 * time.Millisecond
	// renewTimeout bounds one renewal request. The lease would expire during a
	// longer one.
	renewTimeout = 1500 * time.Millisecond
	// urgentRenewInterval is the shortest time between renewals that request more
	// units.
	urgentRenewInterval = 100 * time.Millisecond
	renewRetryInterval  = 50 * time.Millisecond
)

// renewer renews the lease and the limit grants.
type renewer struct {
	entry *Entry
	mu    sync.Mutex
	seq   uint64
	// urgent has a value when a renewal that requests more units is due.
	urgent chan struct{}
}

func newRenewer(e *Entry) *renewer {
	return &renewer{entry: e, urgent: make(chan struct{}, 1)}
}

// renewNow triggers an urgent renewal. It does not block.
func (r *renewer) renewNow() {
	select {
	case r.urgent <- struct{}{}:
	default:
	}
}

// loop renews continuously until ctx ends.
func (r *renewer) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.renew(ctx, renewHold) {
			wait.For(ctx, renewRetryInterval)
		}
	}
}

// urgentLoop renews immediately, beside the request that the leader holds, whenever
// more units are wanted.
func (r *renewer) urgentLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.urgent:
			r.renew(ctx, 0)
			wait.For(ctx, urgentRenewInterval)
		}
	}
}

// newRequest builds the next renewal request. The sequence and the wanted units are
// taken under one lock, so that a later sequence never carries older units.
func (r *renewer) newRequest(hold time.Duration) wire.RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entry
	r.seq++
	config, _ := e.lease.view(e.clock())
	wanted, used := e.sched.wantedUnits(config)
	last := e.lease.beginRenewal(e.clock(), r.seq, wanted)
	return wire.RenewRequest{
		Instance:    e.settings.Instance,
		DataCentre:  e.settings.DataCentre,
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

// renew makes one renewal and reports whether its reply was accepted. hold is the
// time for which the leader may hold the reply.
func (r *renewer) renew(ctx context.Context, hold time.Duration) bool {
	e := r.entry
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	msg := r.newRequest(hold)
	sent := e.clock()
	var reply wire.RenewReply
	if err := e.leader.Call(ctx, wire.TypeRenew, msg, &reply, hold); err != nil {
		e.lease.endRenewal(msg.Sequence, sent, nil)
		e.metrics.renewFailures.Inc(1)
		e.log.Debug().Err(err).Msg("lease renewal failed")
		return false
	}
	before, _ := e.lease.view(sent)
	if !e.lease.endRenewal(msg.Sequence, sent, &reply) {
		return false
	}
	e.mesh.updateFromLeader(reply.Entries)
	if config, _ := e.lease.view(e.clock()); config != nil {
		e.sched.applyRenewal(config, e.lease.teamCalls(), reply.Draining)
		r.logEvacuations(before, config)
	}
	return true
}

// logEvacuations logs the evacuated data centres when they differ from those before. Two
// renewals at the same time may both log a change.
func (r *renewer) logEvacuations(before, now *fleet.Config) {
	if before == nil {
		before = &fleet.Config{}
	}
	if !maps.Equal(before.Evacuations, now.Evacuations) {
		r.entry.log.Info().Strs("data_centres", slices.Sorted(maps.Keys(now.Evacuations))).Uint64("revision", uint64(now.Revision)).
			Msg("evacuated data centres have changed")
	}
}
