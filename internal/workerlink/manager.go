// Package workerlink connects an entry instance with the workers of its data
// centre: it takes their announcements, reports them to the leader, and carries
// out the leader's orders through the port Driver.
//
// A Manager decides nothing about jobs. It renews task leases: those of queues
// that stop on a partition only as far as the leader has acknowledged the
// worker's announcements, the others by its own contact with the worker.
package workerlink

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// orderTTL bounds the age of an order, counted from the moment this entry
	// asked for it. With orderTimeout it stays below lease.TaskDuration+lease.TaskMargin, so an
	// order that a frozen entry held back can't reach a worker that was given up since.
	orderTTL     = 2 * time.Second
	orderTimeout = 2 * time.Second

	reportTimeout = 2 * time.Second
	// reportSpacing is the least time between two reports, in which announcements
	// collect; it is short against the lease. A finished task ends the wait after
	// finishSpacing, since its room stays empty until the leader hears of it.
	reportSpacing = 100 * time.Millisecond
	finishSpacing = 20 * time.Millisecond
	orderHold     = 500 * time.Millisecond
	retryDelay    = 100 * time.Millisecond
	// maxOrders bounds the orders in progress at one worker. It is a bound for each
	// worker, so that workers that don't answer hold up no orders or reports of others.
	maxOrders   = 8
	forgetAfter = time.Minute
)

// Announcement is a worker's statement that it is alive, with its tasks.
type Announcement struct {
	wire.WorkerState
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// AnnounceReply renews the leases of a worker's tasks.
type AnnounceReply struct {
	LeaseMS int64 `json:"lease_ms"`
	// LeaderSequence is the newest announcement of this incarnation that the
	// leader has acknowledged; tasks that stop on a partition are leased from
	// the moment the worker sent it.
	LeaderSequence uint64 `json:"leader_sequence"`
}

// ErrRefused is a worker's refusal of an order, such as one for an earlier incarnation.
var ErrRefused = errors.New("workerlink: worker refused the order")

// OrderSender carries out one order at a worker's address.
type OrderSender interface {
	Send(ctx context.Context, address string, order wire.Order) error
}

// Caller sends requests to the leader; *leader.Client implements it.
type Caller interface {
	Call(ctx context.Context, t wire.Type, req, resp any, hold time.Duration) error
}

// Manager holds the workers that announce themselves to one entry.
type Manager struct {
	entry  string
	leader Caller
	driver OrderSender
	log    zerolog.Logger

	mu       sync.Mutex
	workers  map[string]*worker
	pending  map[string]Announcement
	backends map[string]wire.WorkerState
	carrying map[orderKey]struct{}
	term     uint64
	wake     chan struct{}
	finished chan struct{}
	slots    map[string]chan struct{}
	orders   sync.WaitGroup
}

type worker struct {
	last   Announcement
	heard  time.Time
	leader uint64
}

type orderKey struct {
	worker string
	kind   wire.OrderKind
	task   wire.TaskKey
}

// NewManager returns a manager for the named entry.
func NewManager(entry string, leader Caller, driver OrderSender, log zerolog.Logger) *Manager {
	return &Manager{
		entry:    entry,
		leader:   leader,
		driver:   driver,
		log:      log,
		workers:  map[string]*worker{},
		pending:  map[string]Announcement{},
		backends: map[string]wire.WorkerState{},
		carrying: map[orderKey]struct{}{},
		wake:     make(chan struct{}, 1),
		finished: make(chan struct{}, 1),
		slots:    map[string]chan struct{}{},
	}
}

// Announce takes a worker's announcement and returns the renewal of its leases.
// An announcement that was overtaken by a later one of its incarnation is ignored.
func (m *Manager) Announce(a Announcement) AnnounceReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	w := m.workers[a.Instance]
	if w == nil || w.last.Incarnation != a.Incarnation {
		w = &worker{}
		m.workers[a.Instance] = w
	}
	if a.Sequence > w.last.Sequence {
		w.last = a
		w.heard = time.Now()
		m.pending[a.Instance] = a
		signal(m.wake)
		if a.ended() {
			signal(m.finished)
		}
	}
	return AnnounceReply{LeaseMS: lease.TaskDuration.Milliseconds(), LeaderSequence: w.leader}
}

// AnnounceBackend takes a backend server's announcement, of which the leader
// learns the instance and the incarnation with the next request for orders.
func (m *Manager) AnnounceBackend(instance, incarnation, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends[instance] = wire.WorkerState{Instance: instance, Incarnation: incarnation, Address: address}
}

func (m *Manager) takeBackends() []wire.WorkerState {
	m.mu.Lock()
	defer m.mu.Unlock()
	states := slices.Collect(maps.Values(m.backends))
	clear(m.backends)
	return states
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run reports announcements and fetches orders until ctx ends, then waits for
// the orders in progress.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.reportLoop(ctx) })
	loops.Go(func() { m.orderLoop(ctx) })
	loops.Wait()
	m.orders.Wait()
}

func (m *Manager) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
		}
		batch := m.takePending()
		if len(batch) == 0 {
			continue
		}
		if rest := m.report(ctx, batch); len(rest) > 0 {
			m.putBack(rest)
			wait.For(ctx, retryDelay)
			continue
		}
		m.space(ctx)
	}
}

// space keeps reports apart.
func (m *Manager) space(ctx context.Context) {
	wait.For(ctx, finishSpacing)
	timer := time.NewTimer(reportSpacing - finishSpacing)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.finished:
	case <-timer.C:
	}
}

// ended reports whether a task of the announcement has ended.
func (a Announcement) ended() bool {
	return slices.ContainsFunc(a.Tasks, func(t wire.TaskReport) bool {
		return t.State != wire.TaskRunning && t.State != wire.TaskThrottled
	})
}

// report sends announcements in as many reports as needed, and returns those that
// did not reach the leader.
func (m *Manager) report(ctx context.Context, batch []Announcement) []Announcement {
	for len(batch) > 0 {
		states, rest := fill(batch)
		sent := batch[:len(states)]
		req := wire.WorkerReport{Entry: m.entry, Workers: states}
		if err := m.exchange(ctx, req, func() { m.acknowledge(sent) }); err != nil {
			return batch
		}
		batch = rest
	}
	return nil
}

func (m *Manager) orderLoop(ctx context.Context) {
	for ctx.Err() == nil {
		req := wire.WorkerReport{Entry: m.entry, Workers: m.takeBackends(), HoldMS: orderHold.Milliseconds()}
		if err := m.exchange(ctx, req, func() {}); err != nil {
			wait.For(ctx, retryDelay)
		}
		m.forgetSilent()
	}
}

// exchange sends one report, runs acknowledged when the leader has it, and
// starts the orders of the reply.
func (m *Manager) exchange(ctx context.Context, req wire.WorkerReport, acknowledged func()) error {
	hold := time.Duration(req.HoldMS) * time.Millisecond
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout+hold)
	defer cancel()
	asked := time.Now()
	var reply wire.WorkerOrders
	if err := m.leader.Call(callCtx, wire.TypeWorkerReport, req, &reply, hold); err != nil {
		return err
	}
	if !m.acceptTerm(reply.Term) {
		return nil
	}
	acknowledged()
	for _, order := range reply.Orders {
		m.start(ctx, order, asked.Add(hold+orderTTL))
	}
	return nil
}

// acceptTerm rejects replies of a leader that has been replaced.
func (m *Manager) acceptTerm(term uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term < m.term {
		return false
	}
	m.term = term
	return true
}

func (m *Manager) takePending() []Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch := make([]Announcement, 0, len(m.pending))
	for _, a := range m.pending {
		batch = append(batch, a)
	}
	clear(m.pending)
	return batch
}

// putBack returns announcements that did not reach the leader, except those
// that a later one has replaced.
func (m *Manager) putBack(batch []Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range batch {
		if _, newer := m.pending[a.Instance]; !newer {
			m.pending[a.Instance] = a
		}
	}
	signal(m.wake)
}

func (m *Manager) acknowledge(batch []Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range batch {
		w := m.workers[a.Instance]
		if w != nil && w.last.Incarnation == a.Incarnation {
			w.leader = max(w.leader, a.Sequence)
		}
	}
}

// start carries out one order in its own goroutine, unless the same order is in
// progress. An order for a worker that does not announce itself here is left to
// the leader, which repeats it through the right entry.
func (m *Manager) start(ctx context.Context, order wire.Order, expires time.Time) {
	key := orderKey{worker: order.Worker, kind: order.Kind, task: order.Task}
	m.mu.Lock()
	w := m.workers[order.Worker]
	_, busy := m.carrying[key]
	usable := w != nil && !busy && w.last.Incarnation == order.Incarnation
	if !usable {
		m.mu.Unlock()
		return
	}
	address := w.last.Address
	m.carrying[key] = struct{}{}
	slots := m.slots[order.Worker]
	if slots == nil {
		slots = make(chan struct{}, maxOrders)
		m.slots[order.Worker] = slots
	}
	m.mu.Unlock()

	m.orders.Go(func() {
		defer m.finish(key)
		m.carry(ctx, slots, address, order, expires)
	})
}

func (m *Manager) carry(ctx context.Context, slots chan struct{}, address string, order wire.Order, expires time.Time) {
	expired := time.NewTimer(time.Until(expires))
	defer expired.Stop()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-expired.C:
		return
	case <-ctx.Done():
		return
	}
	if time.Now().After(expires) {
		return
	}
	orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := m.driver.Send(orderCtx, address, order)
	if err != nil {
		m.log.Debug().Err(err).Str("worker", order.Worker).Str("order", string(order.Kind)).
			Str("request_id", order.Task.JobID).Msg("order was not carried out")
	}
}

func (m *Manager) finish(key orderKey) {
	m.mu.Lock()
	delete(m.carrying, key)
	m.mu.Unlock()
}

// forgetSilent drops workers that no longer announce themselves here.
func (m *Manager) forgetSilent() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, w := range m.workers {
		if time.Since(w.heard) > forgetAfter {
			delete(m.workers, name)
			delete(m.slots, name)
		}
	}
}
