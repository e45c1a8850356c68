// Package workerlink connects an entry with the workers of its data centre. It
// receives their announcements, reports them to the leader, and sends the leader's
// orders to them through an OrderSender.
//
// A Manager makes no decisions about jobs. It renews the leases of tasks: for queues
// that stop their tasks on a partition, only as far as the leader has acknowledged the
// worker's announcements; for other queues, by the entry's own contact with the
// worker.
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
	// orderTTL bounds the age of an order, counted from the moment when this entry
	// requested it. orderTTL+orderTimeout must stay below
	// lease.TaskDuration+lease.TaskMargin, so that an order delayed by a frozen entry
	// cannot reach a worker that has since been declared lost.
	orderTTL     = 2 * time.Second
	orderTimeout = 2 * time.Second

	reportTimeout = 2 * time.Second
	// reportInterval is the time between two reports, in which announcements are
	// collected; it is short compared with the lease. If a task ends, the next report
	// is sent after as little as minReportInterval, since the task's capacity stays
	// unused until the leader knows that it has ended.
	reportInterval    = 100 * time.Millisecond
	minReportInterval = 20 * time.Millisecond
	// orderHold is how long the leader may hold the reply to a request for orders.
	orderHold  = 500 * time.Millisecond
	retryDelay = 100 * time.Millisecond
	// maxOrdersPerWorker bounds the orders that are being sent to one worker. The
	// bound is per worker, so that workers that do not answer do not delay the orders
	// and reports of others.
	maxOrdersPerWorker = 8
	// inactiveTimeout is the time without announcements after which a worker is
	// removed.
	inactiveTimeout = time.Minute
)

// Announcement is the message in which a worker states that it is alive and what state
// its tasks are in.
type Announcement struct {
	wire.WorkerState
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64 `json:"sequence"`
}

// AnnounceReply renews the leases of a worker's tasks for LeaseMS milliseconds.
type AnnounceReply struct {
	LeaseMS int64 `json:"lease_ms"`
	// LeaderSequence is the sequence of the newest announcement of this incarnation
	// that the leader has acknowledged. The leases of tasks that stop on a partition
	// count from the moment when the worker sent this announcement.
	LeaderSequence uint64 `json:"leader_sequence"`
}

// ErrRefused is returned if a worker refuses an order, such as one for an earlier
// incarnation.
var ErrRefused = errors.New("workerlink: worker refused the order")

// OrderSender sends orders to workers.
type OrderSender interface {
	// Send sends an order to the worker at address (an IP address and a port) and
	// returns nil once the worker has accepted it, or ErrRefused if it refuses. It may
	// be called concurrently.
	Send(ctx context.Context, address string, order wire.Order) error
}

// Caller sends requests to the leader. *leader.Client implements it.
type Caller interface {
	Call(ctx context.Context, t wire.Type, req, resp any, hold time.Duration) error
}

// Manager tracks the workers that announce themselves to one entry. It is safe for
// concurrent use.
type Manager struct {
	entry  string
	leader Caller
	sender OrderSender
	log    zerolog.Logger

	mu      sync.Mutex
	workers map[string]*worker
	// pending holds the latest announcement of each worker that has not been reported.
	pending map[string]Announcement
	// backends holds the announcements of backend servers since the last request for
	// orders.
	backends   map[string]wire.WorkerState
	inProgress map[orderKey]struct{}
	// term is the highest term in a reply of a leader.
	term uint64
	wake chan struct{}
	// taskEnded shortens the wait between two reports.
	taskEnded chan struct{}
	// orderSlots holds, by worker, a semaphore of maxOrdersPerWorker.
	orderSlots map[string]chan struct{}
	orders     sync.WaitGroup
}

type worker struct {
	last     Announcement
	lastSeen time.Time
	// acknowledged is the highest sequence that the leader has acknowledged.
	acknowledged uint64
}

// orderKey identifies an order, so that a repeated order is not sent while the first
// is in progress.
type orderKey struct {
	worker string
	kind   wire.OrderKind
	task   wire.TaskKey
}

// NewManager returns a manager for the entry on the named instance. Reports and orders
// are exchanged with the leader only while Run runs.
func NewManager(entry string, leader Caller, sender OrderSender, log zerolog.Logger) *Manager {
	return &Manager{
		entry:      entry,
		leader:     leader,
		sender:     sender,
		log:        log,
		workers:    map[string]*worker{},
		pending:    map[string]Announcement{},
		backends:   map[string]wire.WorkerState{},
		inProgress: map[orderKey]struct{}{},
		wake:       make(chan struct{}, 1),
		taskEnded:  make(chan struct{}, 1),
		orderSlots: map[string]chan struct{}{},
	}
}

// Announce records a worker's announcement and returns the renewal of its task leases.
// An announcement that was overtaken by a later one of the same incarnation is
// ignored, but also gets a reply.
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
		w.lastSeen = time.Now()
		m.pending[a.Instance] = a
		signal(m.wake)
		if a.hasEndedTask() {
			signal(m.taskEnded)
		}
	}
	return AnnounceReply{LeaseMS: lease.TaskDuration.Milliseconds(), LeaderSequence: w.acknowledged}
}

// AnnounceBackend records a backend server's announcement. The next request for orders
// passes it to the leader.
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

// signal wakes the receiver of c, unless a signal is already pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run reports announcements and requests orders until ctx ends. It returns after all
// orders in progress have ended.
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
			m.requeue(rest)
			wait.For(ctx, retryDelay)
			continue
		}
		m.waitBetweenReports(ctx)
	}
}

// waitBetweenReports waits for reportInterval, or for at least minReportInterval if a
// task ends.
func (m *Manager) waitBetweenReports(ctx context.Context) {
	wait.For(ctx, minReportInterval)
	timer := time.NewTimer(reportInterval - minReportInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.taskEnded:
	case <-timer.C:
	}
}

// hasEndedTask reports whether a task of the announcement has ended.
func (a Announcement) hasEndedTask() bool {
	return slices.ContainsFunc(a.Tasks, func(t wire.TaskReport) bool {
		return t.State != wire.TaskRunning && t.State != wire.TaskThrottled
	})
}

// report sends announcements in as many reports as needed, and returns those for which
// no leader answered.
func (m *Manager) report(ctx context.Context, batch []Announcement) []Announcement {
	for len(batch) > 0 {
		states, rest := nextReport(batch)
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
		m.removeInactive()
	}
}

// exchange sends one report, calls acknowledged once the leader has answered it, and
// starts the orders in the reply. A reply of a leader that has been replaced is
// ignored and is no error.
func (m *Manager) exchange(ctx context.Context, req wire.WorkerReport, acknowledged func()) error {
	hold := time.Duration(req.HoldMS) * time.Millisecond
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout+hold)
	defer cancel()
	requestedAt := time.Now()
	var reply wire.WorkerOrders
	if err := m.leader.Call(callCtx, wire.TypeWorkerReport, req, &reply, hold); err != nil {
		return err
	}
	if !m.acceptTerm(reply.Term) {
		return nil
	}
	acknowledged()
	for _, order := range reply.Orders {
		m.startOrder(ctx, order, requestedAt.Add(hold+orderTTL))
	}
	return nil
}

// acceptTerm reports whether a reply is from the latest leader that this entry knows
// of.
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

// requeue makes announcements pending again, except those that a later announcement
// has replaced.
func (m *Manager) requeue(batch []Announcement) {
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
			w.acknowledged = max(w.acknowledged, a.Sequence)
		}
	}
}

// startOrder sends an order in a new goroutine, unless the same order is already in
// progress. An order for a worker that does not announce itself to this entry is
// dropped; the leader repeats it through the right entry.
func (m *Manager) startOrder(ctx context.Context, order wire.Order, expires time.Time) {
	key := orderKey{worker: order.Worker, kind: order.Kind, task: order.Task}
	m.mu.Lock()
	w := m.workers[order.Worker]
	_, busy := m.inProgress[key]
	usable := w != nil && !busy && w.last.Incarnation == order.Incarnation
	if !usable {
		m.mu.Unlock()
		return
	}
	address := w.last.Address
	m.inProgress[key] = struct{}{}
	slots := m.orderSlots[order.Worker]
	if slots == nil {
		slots = make(chan struct{}, maxOrdersPerWorker)
		m.orderSlots[order.Worker] = slots
	}
	m.mu.Unlock()

	m.orders.Go(func() {
		defer m.finishOrder(key)
		m.sendOrder(ctx, slots, address, order, expires)
	})
}

// sendOrder waits for a free slot of the worker and sends the order, unless it expires
// first.
func (m *Manager) sendOrder(ctx context.Context, slots chan struct{}, address string, order wire.Order, expires time.Time) {
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
	err := m.sender.Send(orderCtx, address, order)
	if err != nil {
		m.log.Debug().Err(err).Str("worker", order.Worker).Str("order", string(order.Kind)).
			Str("request_id", order.Task.JobID).Msg("failed to deliver order to worker")
	}
}

func (m *Manager) finishOrder(key orderKey) {
	m.mu.Lock()
	delete(m.inProgress, key)
	m.mu.Unlock()
}

// removeInactive removes the workers that have not announced themselves for
// inactiveTimeout.
func (m *Manager) removeInactive() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, w := range m.workers {
		if time.Since(w.lastSeen) > inactiveTimeout {
			delete(m.workers, name)
			delete(m.orderSlots, name)
		}
	}
}
