package store

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	peerQueueMessages = 1024
	dialTimeout       = 500 * time.Millisecond
	// maxQueueTime is the time in the queue after which a message is dropped instead of
	// sent: the shortest election timeout. By then the core has sent newer ones, and old
	// heartbeats would make the receiver support a leader that no longer leads.
	maxQueueTime = 500 * time.Millisecond
)

// envelope carries a message of the consensus core. Address is the sender's, so that a
// new member can answer before it knows the membership.
type envelope struct {
	Address string       `cbor:"1,keyasint"`
	Message raft.Message `cbor:"2,keyasint"`
	// Incarnation is the sender's. Peers holds the incarnations that the sender has recorded
	// for other members.
	Incarnation uint64            `cbor:"3,keyasint"`
	Peers       map[uint64]uint64 `cbor:"4,keyasint,omitempty"`
}

// network sends messages in order through one queue per peer. Messages to a full queue
// and those that have waited for too long are dropped: the core sends again what is still
// needed.
type network struct {
	advertised  string
	incarnation uint64
	// peerIncarnations maps other members to their incarnations.
	peerIncarnations atomic.Pointer[map[uint64]uint64]
	pool             *wire.Pool
	metrics          nodeMetrics
	log              zerolog.Logger
	ctx              context.Context
	cancel           context.CancelFunc
	wg               sync.WaitGroup

	// The fields below are used only by the loop. configuredAddresses holds the addresses in
	// the settings, which differ between stores if their connections are proxied.
	configuredAddresses map[uint64]string
	addresses           map[uint64]string
	queues              map[string]chan queuedMessage
}

// queuedMessage is a message that waits to be sent since queuedAt.
type queuedMessage struct {
	raft.Message
	queuedAt time.Time
}

func newNetwork(cfg settings.Store, incarnation uint64, pool *wire.Pool, m nodeMetrics, log zerolog.Logger) *network {
	ctx, cancel := context.WithCancel(context.Background())
	w := &network{
		advertised: cfg.Advertise, incarnation: incarnation, pool: pool, metrics: m, log: log, ctx: ctx, cancel: cancel,
		configuredAddresses: map[uint64]string{}, addresses: map[uint64]string{}, queues: map[string]chan queuedMessage{},
	}
	for _, member := range cfg.Members {
		w.configuredAddresses[member.ID] = member.Address
	}
	return w
}

// setIncarnations sets the incarnations that are sent with each message.
func (w *network) setIncarnations(incarnations map[uint64]uint64) {
	known := maps.Clone(incarnations)
	w.peerIncarnations.Store(&known)
}

// recordAddress records the address of a member that the settings may not contain.
func (w *network) recordAddress(id uint64, address string) {
	if address != "" {
		w.addresses[id] = address
	}
}

func (w *network) send(messages []raft.Message) {
	for _, m := range messages {
		address, ok := w.configuredAddresses[m.To]
		if !ok {
			address, ok = w.addresses[m.To]
		}
		if !ok {
			continue
		}
		select {
		case w.queue(address) <- queuedMessage{m, time.Now()}:
		default:
			w.metrics.dropped.Inc(1)
		}
	}
}

func (w *network) queue(address string) chan queuedMessage {
	q, ok := w.queues[address]
	if !ok {
		q = make(chan queuedMessage, peerQueueMessages)
		w.queues[address] = q
		w.wg.Add(1)
		go w.deliver(address, q)
	}
	return q
}

func (w *network) deliver(address string, q <-chan queuedMessage) {
	defer w.wg.Done()
	reachable := true
	for {
		select {
		case <-w.ctx.Done():
			return
		case m := <-q:
			if time.Since(m.queuedAt) > maxQueueTime {
				w.metrics.expired.Inc(1)
				continue
			}
			err := w.sendOne(address, m.Message)
			if reachable != (err == nil) {
				reachable = err == nil
				w.log.Info().Err(err).Str("peer", address).Bool("reached", reachable).Msg("reachability of a peer store changed")
			}
		}
	}
}

func (w *network) sendOne(address string, m raft.Message) error {
	ctx, cancel := context.WithTimeout(w.ctx, dialTimeout)
	defer cancel()
	conn, err := w.pool.Get(ctx, address)
	if err == nil {
		err = conn.Send(w.ctx, wire.TypeRaft, envelope{Address: w.advertised, Message: m, Incarnation: w.incarnation, Peers: *w.peerIncarnations.Load()})
	}
	if err != nil {
		w.metrics.dropped.Inc(1)
	}
	return err
}

func (w *network) close() {
	w.cancel()
	w.pool.Close()
	w.wg.Wait()
}
