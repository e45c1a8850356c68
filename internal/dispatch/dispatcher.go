package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// clockDriftDivisor is the inverse of the share by which a worker's steady
	// clock may be slow: 2 percent, by the platform's pages.
	clockDriftDivisor = 49
	// leaseMarginMS covers the rounding of times to milliseconds.
	leaseMarginMS = 50
	// leaveGraceMS is the time from a worker's goodbye to the end of its process.
	leaveGraceMS = 500
	// incarnationRetentionMS is the time after which a life that is over is forgotten. Its
	// heartbeats may arrive seconds late.
	incarnationRetentionMS = 60_000
	// heartbeatTimeoutMS is the silence after which a worker gets no new tasks, and those that
	// it was not told of go to others. Workers report at least every 0.9 s while
	// their heartbeats are answered.
	heartbeatTimeoutMS = 1300
	// newLeaderGraceMS is the time in which workers find a new leader: they try the
	// stores in turn, up to a second each.
	newLeaderGraceMS = 1500
	// responseTimeout is the longest time to an answer; a worker drops one that takes
	// over a second.
	responseTimeout = 700 * time.Millisecond
)

// Settings are the bounds that the dispatcher keeps.
type Settings struct {
	// Lease is the time for which a worker may go on without hearing from a leader.
	Lease time.Duration
	// JobRetention is the time for which the state of an ended job stays known.
	JobRetention time.Duration
	// MaintenanceDuration is how long a machine is down for its maintenance.
	MaintenanceDuration time.Duration
	// MoveDuration is how long a machine takes to move between pools.
	MoveDuration time.Duration
	// Holder names this instance in orders to the platform.
	Holder string
}

// Advisor approves workers for steps. Approve returns a ticket for each approved worker.
type Advisor interface {
	Approve(ctx context.Context, step taskplan.StepRef, workers []workload.WorkerLife) (map[workload.WorkerLife]string, error)
}

// Dispatcher directs the workers while its store leads. It is safe for
// concurrent use.
type Dispatcher struct {
	log      fleet.Log
	settings Settings
	logger   zerolog.Logger
	meters   meters
	advisor  Advisor
	provider MachineProvider

	wakeup chan struct{}

	mu   sync.Mutex
	term uint64
	// leadingSince is the cluster time at which this leadership began.
	leadingSince int64
	workers      map[workload.WorkerLife]*worker
	// liveWorkers is the number of workers that report.
	liveWorkers int
	byID        map[string]workload.WorkerLife
	byMachine   map[string]workload.WorkerLife
	// terminatedUnseen holds lives that the platform's list shows to have ended before this leader
	// heard them, and absent the readings in which a silent life's machine was missing.
	terminatedUnseen map[workload.WorkerLife]bool
	missingLists     map[workload.WorkerLife]int
	// failedOn holds the workers on which runs of a task failed.
	failedOn    map[workload.TaskRef]map[string]bool
	busyPools   map[string]bool
	maintenance *maintenance
	approvals   *approvals
	prunedAt    int64
	// machinesByName holds the machines by name; listed is true once the platform's list was
	// read under this leadership.
	machinesByName map[string]*machine
	machinesListed bool
	demand         map[string]capacity.Demand
	// transfers holds the machines that run out of work for another pool.
	transfers map[string]transfer
	// estimates outlives a leadership: what it learned stays true.
	estimates *estimates
}

// New returns a dispatcher; Run starts it.
func New(log fleet.Log, s Settings, advisor Advisor, machines MachineProvider, registry metrics.Registry, logger zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		log: log, settings: s, logger: logger, meters: newMeters(registry),
		advisor: advisor, provider: machines, estimates: newEstimates(), wakeup: make(chan struct{}, 1),
	}
	d.reset(0, 0)
	return d
}

// reset forgets what an earlier leadership knew.
func (d *Dispatcher) reset(term uint64, now int64) {
	for _, w := range d.workers {
		w.notify()
	}
	d.term = term
	d.leadingSince = now
	d.workers = map[workload.WorkerLife]*worker{}
	d.byID = map[string]workload.WorkerLife{}
	d.byMachine = map[string]workload.WorkerLife{}
	d.terminatedUnseen = map[workload.WorkerLife]bool{}
	d.missingLists = map[workload.WorkerLife]int{}
	d.failedOn = map[workload.TaskRef]map[string]bool{}
	d.busyPools = map[string]bool{}
	d.maintenance = newMaintenance(now)
	d.approvals = newApprovals()
	d.machinesByName = map[string]*machine{}
	d.machinesListed = false
	d.demand = nil
	d.transfers = map[string]transfer{}
}

// Wake makes the next cycle come soon.
func (d *Dispatcher) Wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// leaseBoundMS is the longest time from the receipt of a heartbeat until its
// worker's lease has run out.
func (d *Dispatcher) leaseBoundMS() int64 {
	lease := d.settings.Lease.Milliseconds()
	return lease + lease/clockDriftDivisor + leaseMarginMS
}

// checkLeadership checks the leadership and begins a new term. The caller holds mu.
func (d *Dispatcher) checkLeadership() (int64, error) {
	l := d.log.Leadership()
	if !l.Leading {
		return 0, &NotLeaderError{Leader: l.Leader}
	}
	now := int64(d.log.Now())
	if l.Term != d.term {
		d.reset(l.Term, now)
		d.logger.Info().Uint64("term", l.Term).Msg("dispatch: leadership begins, workers are unknown")
	}
	return now, nil
}

// HandleReport takes a heartbeat and returns the orders that answer it. It may hold the
// answer of a worker that has nothing to do, at most answerWithin.
func (d *Dispatcher) HandleReport(ctx context.Context, rep Report) (Orders, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	d.mu.Lock()
	now, err := d.checkLeadership()
	if err != nil {
		d.mu.Unlock()
		return Orders{}, err
	}
	term := d.term
	w := d.acceptReport(rep, now)
	if w == nil {
		d.mu.Unlock()
		d.meters.stale.Inc(1)
		return Orders{Term: term}, nil
	}
	d.meters.heartbeats.Inc(1)
	d.log.Read(func(s *fleet.State) { w.pendingEnds = append(w.pendingEnds, w.neverStarted(s.Workload)...) })
	hasEnds := len(w.pendingEnds) > 0
	needsCycle := hasEnds || w.Draining
	d.mu.Unlock()
	if needsCycle {
		d.Wake()
	}
	d.holdResponse(ctx, w, hasEnds)
	return d.composeOrders(w, term, now)
}

// acceptReport finds the worker of a report and updates it, or returns nil for a report
// that was overtaken. The caller holds mu.
func (d *Dispatcher) acceptReport(rep Report, now int64) *worker {
	w, ok := d.workers[rep.Incarnation]
	if ok && (w.terminated || rep.Sequence <= w.Sequence) {
		return nil
	}
	if !ok {
		if d.isSuperseded(rep, now) {
			return nil
		}
		w = newWorker(rep)
		w.idleSince, w.firstReportAt = now, now
		d.register(w, now)
		d.logger.Info().Str("worker", rep.Incarnation.ID).Int64("born", rep.Incarnation.Born).Str("machine", rep.Machine).
			Str("pool", rep.Pool).Str("rack", rep.Rack).Int("running", len(rep.Running)).Msg("worker joins")
		d.Wake()
	}
	if rep.Draining && !w.Draining {
		d.logger.Info().Str("worker", rep.Incarnation.ID).Dur("remaining", rep.DrainRemaining).Msg("worker drains")
	}
	w.update(rep, now)
	// The answer may grant a lease from the sending of this report on. The bound
	// holds before the answer leaves: runs are placed on the worker until then.
	w.leaseExpiresAt = max(w.leaseExpiresAt, now+d.leaseBoundMS())
	return w
}

// isSuperseded tells whether a later life of the same worker or machine is known and
// in contact. The caller holds mu.
func (d *Dispatcher) isSuperseded(rep Report, now int64) bool {
	for _, known := range d.knownIncarnations(rep) {
		other, ok := d.workers[known]
		if ok && known.Born > rep.Incarnation.Born && now < other.leaseExpiresAt {
			return true
		}
	}
	return false
}

func (d *Dispatcher) knownIncarnations(rep Report) []workload.WorkerLife {
	var incarnations []workload.WorkerLife
	if incarnation, ok := d.byID[rep.Incarnation.ID]; ok {
		incarnations = append(incarnations, incarnation)
	}
	if incarnation, ok := d.byMachine[rep.Machine]; ok && rep.Machine != "" {
		incarnations = append(incarnations, incarnation)
	}
	return incarnations
}

// workerOn returns the latest life that reported from a machine, unless it is
// forgotten.
func (d *Dispatcher) workerOn(machine string) (*worker, bool) {
	w, ok := d.workers[d.byMachine[machine]]
	return w, ok
}

// register records a new life, which ends the earlier ones of its worker and machine.
func (d *Dispatcher) register(w *worker, now int64) {
	for _, known := range d.knownIncarnations(w.Report) {
		if other := d.workers[known]; other != nil && !other.terminated {
			other.terminated = true
			d.logger.Info().Str("worker", known.ID).Int64("born", known.Born).Msg("worker life is over: a later one reports")
		}
	}
	d.workers[w.Incarnation] = w
	d.byID[w.Incarnation.ID] = w.Incarnation
	if w.Machine != "" {
		d.byMachine[w.Machine] = w.Incarnation
		d.maintenance.recordReport(w.Machine, w.Incarnation)
		d.updateMachine(w, now)
	}
}

// HandleLeave takes the goodbye of a worker, whose process ends soon after it.
func (d *Dispatcher) HandleLeave(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil {
		return err
	}
	incarnation, ok := d.byID[id]
	if !ok {
		return nil
	}
	w := d.workers[incarnation]
	w.Draining = true
	w.leaseExpiresAt = min(w.leaseExpiresAt, now+leaveGraceMS)
	d.logger.Info().Str("worker", id).Msg("worker leaves")
	d.Wake()
	return nil
}

// holdResponse waits until the worker's ends are recorded, or, when it has nothing to do,
// until it gets work. A busy worker is answered at once: it reports an end only
// after the answer that it waits for.
func (d *Dispatcher) holdResponse(ctx context.Context, w *worker, hasEnds bool) {
	for {
		if !d.shouldHold(w, hasEnds) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
	}
}

func (d *Dispatcher) shouldHold(w *worker, hasEnds bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.terminated || d.workers[w.Incarnation] != w {
		return false
	}
	if hasEnds {
		return w.recordedEnd < w.queuedEnd || len(w.pendingEnds) > 0
	}
	if len(w.running) > 0 || w.Draining {
		return false
	}
	idle := true
	d.log.Read(func(s *fleet.State) { idle = len(s.Workload.Occupied(w.Incarnation)) == 0 })
	return idle
}

// composeOrders composes the orders. The leadership is checked last, so that a process
// that was suspended extends no lease.
func (d *Dispatcher) composeOrders(w *worker, term uint64, receivedAt int64) (Orders, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.workers[w.Incarnation] != w {
		return Orders{}, &NotLeaderError{Leader: d.log.Leadership().Leader}
	}
	o := Orders{Term: term, Lease: d.settings.Lease, AckedEnds: w.recordedEnd}
	d.log.Read(func(s *fleet.State) {
		o.Starts, o.Stops = w.reconcile(s.Workload)
		w.recordStartsSent(s.Workload, o.Starts)
		o.Paces = w.paceOrders(s.Workload, receivedAt)
		o.Retry = d.heartbeatInterval(w, s.Workload, len(o.Starts) > 0)
	})
	l := d.log.Leadership()
	if !l.Leading || l.Term != term {
		return Orders{}, &NotLeaderError{Leader: l.Leader}
	}
	d.logOrders(w, o)
	return o, nil
}

func (d *Dispatcher) logOrders(w *worker, o Orders) {
	for _, s := range o.Starts {
		d.logger.Debug().Str("task", s.Task.String()).Int("run", s.Run.Run).Str("worker", w.Incarnation.ID).Msg("start ordered")
	}
	for _, s := range o.Stops {
		d.logger.Debug().Str("task", s.Task.String()).Int("run", s.Run).Str("worker", w.Incarnation.ID).Msg("stop ordered")
	}
	d.meters.starts.Inc(int64(len(o.Starts)))
	d.meters.stops.Inc(int64(len(o.Stops)))
}
