package dispatch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// clockDriftDivisor is the inverse of the fraction by which a lease is extended for a
	// worker whose monotonic clock runs slow. The platform allows up to 2 percent, and
	// 1/0.98 is about 1 + 1/49.
	clockDriftDivisor = 49
	// leaseMarginMS covers the rounding of times to milliseconds.
	leaseMarginMS = 50
	// leaveGraceMS is the time from a worker's leave message until its process has exited.
	leaveGraceMS = 500
	// incarnationRetentionMS is the time since its last heartbeat for which a terminated
	// incarnation is remembered. Its heartbeats may arrive seconds late.
	incarnationRetentionMS = 60_000
	// heartbeatTimeoutMS is the time without a heartbeat after which a worker gets no new
	// tasks, and tasks whose start order was never sent to it are placed on other workers.
	// Workers send a heartbeat at least every 0.9 s while their heartbeats are answered.
	heartbeatTimeoutMS = 1300
	// newLeaderGraceMS is the time in which workers find a new leader: they try the stores
	// in turn, for up to one second each.
	newLeaderGraceMS = 1500
	// responseTimeout bounds the time to the response to a heartbeat. Workers discard a
	// response that takes longer than one second.
	responseTimeout = 700 * time.Millisecond
	// sampledLinesPerSecond bounds the log lines of sampledLog.
	sampledLinesPerSecond = 2
)

// Settings holds the time bounds of a Dispatcher and the name it uses on the platform.
type Settings struct {
	// Lease is how long a worker may go on running tasks without hearing from a leader.
	Lease time.Duration
	// JobRetention is how long the state of an ended job is kept.
	JobRetention time.Duration
	// MaintenanceDuration is how long a machine is down for its maintenance.
	MaintenanceDuration time.Duration
	// MoveDuration is how long a machine takes to move between pools.
	MoveDuration time.Duration
	// Planning selects how tasks are planned and machines moved.
	Planning settings.Planning
	// Holder identifies this instance in the calls to the MachineProvider.
	Holder string
}

// Advisor approves workers for the tasks of a step. Approve returns a ticket for each
// approved worker; a worker that is not in the map is not approved.
type Advisor interface {
	Approve(ctx context.Context, step taskplan.StepRef, workers []workload.WorkerIncarnation) (map[workload.WorkerIncarnation]string, error)
}

// Dispatcher tells the workers which tasks to run while its store is the leader, and has
// machines maintained and moved between pools. A new leader learns about the workers from
// their heartbeats. A Dispatcher is safe for concurrent use.
type Dispatcher struct {
	log      fleet.Log
	settings Settings
	logger   zerolog.Logger
	// sampledLog is a rate-limited copy of logger for lines that may come with every report or cycle.
	sampledLog zerolog.Logger
	meters     meters
	advisor    Advisor
	provider   MachineProvider

	wakeup chan struct{}

	// previewing is held by the one Where that may go on.
	previewing sync.Mutex

	mu   sync.Mutex
	term uint64
	// leadingSince is the cluster time, in milliseconds, at which this leadership began.
	leadingSince int64
	workers      map[workload.WorkerIncarnation]*worker
	// liveWorkers is the number of workers whose last heartbeat is recent.
	liveWorkers int
	// byID and byMachine hold the incarnation that registered last with a worker identifier
	// and on a machine.
	byID      map[string]workload.WorkerIncarnation
	byMachine map[string]workload.WorkerIncarnation
	// terminatedUnseen holds incarnations that never reported to this leader and that the
	// machine list shows to have ended. missingLists counts the complete lists in which the
	// machine of a silent incarnation was missing.
	terminatedUnseen map[workload.WorkerIncarnation]bool
	missingLists     map[workload.WorkerIncarnation]int
	// declaredLost holds the runs that were declared lost, by incarnation; see declareLost.
	declaredLost map[workload.WorkerIncarnation]map[workload.Run]bool
	// failedOn holds, for each task, the workers on which its runs failed, stalled, were
	// too slow or were abandoned.
	failedOn map[workload.TaskRef]map[string]bool
	// busyPools holds the pools in which tasks wait or jobs without long-running steps are
	// active.
	busyPools   map[string]bool
	maintenance *maintenance
	approvals   *approvals
	prunedAt    int64
	// confirmedAt is when a plan was last proposed, with the starts that were reported until then.
	confirmedAt int64
	// machinesByName holds all known machines. machinesListed is true once the platform's
	// machine list was read under this leadership.
	machinesByName map[string]*machine
	machinesListed bool
	// latestList is the latest reading of that list.
	latestList machineList
	// leftOut holds the entries of that list that can't be used, and since when the lists have had them.
	leftOut map[leftOutKey]int64
	demand  map[string]capacity.Demand
	// transfers holds the machines that get no new tasks so that they can move to another
	// pool.
	transfers map[string]transfer
	// emptying holds the machines that get new tasks only if no other can take them.
	emptying map[string]bool
	// emptyingPools is the number of these machines by pool.
	emptyingPools map[string]int
	stalls        *stallTracker
	// previewedAt is the cluster time, in milliseconds, of the latest Where.
	previewedAt int64
	evacuations *evacuations
	// calls is the context of the calls to the platform under this leadership, and endCalls ends
	// it; nil before the first.
	calls    context.Context
	endCalls context.CancelFunc
	// overloaded holds the pools that were overloaded in the latest plan.
	overloaded map[string]bool
}

// New returns a Dispatcher, whose cycles begin with Run. advisor and machines may be nil:
// then no step gets an approval, and no machine is maintained or moved.
func New(log fleet.Log, s Settings, advisor Advisor, machines MachineProvider, registry metrics.Registry, logger zerolog.Logger) *Dispatcher {
	d := &Dispatcher{
		log: log, settings: s, logger: logger, meters: newMeters(registry),
		sampledLog: logger.Sample(&zerolog.BurstSampler{Burst: sampledLinesPerSecond, Period: time.Second}),
		advisor:    advisor, provider: machines, wakeup: make(chan struct{}, 1),
		stalls: newStallTracker(registry), evacuations: newEvacuations(registry),
	}
	d.reset(0, 0)
	return d
}

// reset discards what is known from an earlier leadership.
func (d *Dispatcher) reset(term uint64, now int64) {
	for _, w := range d.workers {
		w.notify()
	}
	if d.endCalls != nil {
		d.endCalls()
	}
	d.term = term
	d.leadingSince = now
	d.workers = map[workload.WorkerIncarnation]*worker{}
	d.byID = map[string]workload.WorkerIncarnation{}
	d.byMachine = map[string]workload.WorkerIncarnation{}
	d.terminatedUnseen = map[workload.WorkerIncarnation]bool{}
	d.missingLists = map[workload.WorkerIncarnation]int{}
	d.declaredLost = map[workload.WorkerIncarnation]map[workload.Run]bool{}
	d.failedOn = map[workload.TaskRef]map[string]bool{}
	d.busyPools = map[string]bool{}
	d.maintenance = newMaintenance(now)
	d.approvals = newApprovals()
	d.machinesByName = map[string]*machine{}
	d.machinesListed = false
	d.latestList, d.leftOut = machineList{}, nil
	d.demand = nil
	d.transfers = map[string]transfer{}
	d.emptying, d.emptyingPools = nil, nil
	d.overloaded = map[string]bool{}
	d.stalls.clear()
	d.evacuations.clear()
}

// Wake requests a cycle now instead of at the next tick. It does not block.
func (d *Dispatcher) Wake() {
	select {
	case d.wakeup <- struct{}{}:
	default:
	}
}

// leaseBoundMS is the longest time from the receipt of a heartbeat until the lease of its
// worker has expired, in milliseconds.
func (d *Dispatcher) leaseBoundMS() int64 {
	lease := d.settings.Lease.Milliseconds()
	return lease + lease/clockDriftDivisor + leaseMarginMS
}

// checkLeadership returns the cluster time in milliseconds, or a NotLeaderError. In a new
// term it resets the dispatcher first. The caller holds mu.
func (d *Dispatcher) checkLeadership() (int64, error) {
	l := d.log.Leadership()
	if !l.Leading {
		return 0, &NotLeaderError{Leader: l.Leader}
	}
	now := int64(d.log.Now())
	if l.Term != d.term {
		d.reset(l.Term, now)
		d.logger.Info().Uint64("term", l.Term).Msg("dispatch: leadership acquired; workers register with their next heartbeat")
	}
	return now, nil
}

// HandleReport processes a heartbeat and returns the orders for its worker. It holds the
// response for at most 0.7 s: until the ended runs of the report are recorded or, for a
// worker that has nothing to do, until it gets work. A report that is out of date, because
// a later one or a later incarnation of the worker came first, gets orders without a lease.
// HandleReport returns an *InvalidReportError for a report that no worker sends, and a
// NotLeaderError unless this store has led from the receipt of the report to the response.
func (d *Dispatcher) HandleReport(ctx context.Context, rep Report) (Orders, error) {
	if err := rep.Validate(); err != nil {
		return Orders{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	taken, err := d.takeReport(rep)
	if err != nil {
		return Orders{}, err
	}
	if taken.worker == nil {
		d.meters.stale.Inc(1)
		return Orders{Term: taken.term}, nil
	}
	d.meters.heartbeats.Inc(1)
	d.holdResponse(ctx, taken.worker, taken.hasEnds)
	return d.composeOrders(taken.worker, taken.term, taken.at)
}

// takenReport is a report that was processed but not answered yet.
type takenReport struct {
	// worker is nil if the report is out of date.
	worker *worker
	// term and at are the term and the cluster time at the receipt of the report.
	term    uint64
	at      int64
	hasEnds bool
}

// takeReport processes a report. It unlocks mu also when a malformed report makes it panic.
func (d *Dispatcher) takeReport(rep Report) (takenReport, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil {
		return takenReport{}, err
	}
	taken := takenReport{worker: d.acceptReport(rep, now), term: d.term, at: now}
	w := taken.worker
	if w == nil {
		return taken, nil
	}
	d.log.Read(func(s *fleet.State) {
		w.pendingEnds = append(w.pendingEnds, w.neverStarted(s.Workload)...)
	})
	taken.hasEnds = len(w.pendingEnds) > 0
	if taken.hasEnds || w.Draining {
		d.Wake()
	}
	return taken, nil
}

// acceptReport registers or updates the worker of a report. It returns nil for a report
// that is out of date: its incarnation is terminated or has sent a later report, or a later
// incarnation is known. A terminated incarnation that still reports registers again once its
// lease has expired. It also returns nil if the report names another pool, machine or
// data centre than the earlier ones of its incarnation, or comes from no worker that is
// expected: only another writer can send those. The caller holds mu.
func (d *Dispatcher) acceptReport(rep Report, now int64) *worker {
	w, ok := d.workers[rep.Incarnation]
	if ok && d.hasOutlivedEnd(w, rep, now) {
		d.logger.Warn().Str("worker", rep.Incarnation.ID).Int64("born", rep.Incarnation.Born).Str("machine", rep.Machine).
			Int64("silent_ms", now-w.lastReportAt).Msg("worker that counted as ended still reports and registers again")
		delete(d.workers, rep.Incarnation)
		ok = false
	}
	if ok && (w.terminated || rep.Sequence <= w.Sequence) {
		return nil
	}
	if ok && (rep.Pool != w.Pool || rep.Machine != w.Machine || rep.DataCentre != w.DataCentre) {
		d.sampledLog.Warn().Str("worker", rep.Incarnation.ID).Str("pool", rep.Pool).Str("machine", rep.Machine).
			Str("known_pool", w.Pool).Str("known_machine", w.Machine).Str("reported_data_centre", rep.DataCentre).Str("known_data_centre", w.DataCentre).
			Msg("report ignored: it names another pool, machine or data centre than its worker")
		return nil
	}
	if !ok {
		if d.isSuperseded(rep, now) || !d.isExpected(rep) {
			return nil
		}
		w = newWorker(rep)
		maps.Copy(w.revoked, d.declaredLost[rep.Incarnation])
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
	if now-w.mayHaveEndedAt > confirmUpMS {
		w.mayHaveEndedAt = 0
	}
	if d.byMachine[w.Machine] == w.Incarnation {
		d.maintenance.recordReport(w.Machine, now)
	}
	// The response may grant a lease that begins when this report was sent. The expiry is
	// recorded now, because runs may be placed on the worker before the response leaves.
	w.leaseExpiresAt = max(w.leaseExpiresAt, now+d.leaseBoundMS())
	return w
}

// HandleLeave processes the leave message of a worker, whose process exits within 0.5 s:
// its lease is shortened. The message names no incarnation and may arrive seconds late,
// when a new incarnation uses the identifier. A worker drains before it leaves, so one that
// does not drain, or has announced that it goes on draining, only counts as silent until it
// reports again. An unknown worker is ignored. HandleLeave returns a NotLeaderError when this
// store does not lead.
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
	drained := w.Draining && w.drainRemainingMS(now) <= leaveGraceMS
	if drained {
		w.leaseExpiresAt = min(w.leaseExpiresAt, now+leaveGraceMS)
	} else {
		w.lastReportAt = min(w.lastReportAt, now-heartbeatTimeoutMS-1)
	}
	d.logger.Info().Str("worker", id).Int64("born", incarnation.Born).Bool("drained", drained).Msg("worker leaves")
	d.Wake()
	return nil
}

// holdResponse waits until the ended runs of the worker are recorded or, when it has
// nothing to do, until it gets work, and at most until ctx ends. A busy worker is not held:
// it can report that a run has ended only after the response that it waits for.
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
	d.log.Read(func(s *fleet.State) { idle = len(s.Workload.RunsOn(w.Incarnation)) == 0 })
	return idle
}

// composeOrders composes the response to a heartbeat. It checks the leadership last, so
// that a process that was suspended extends no lease.
func (d *Dispatcher) composeOrders(w *worker, term uint64, receivedAt int64) (Orders, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.term != term || d.workers[w.Incarnation] != w {
		return Orders{}, &NotLeaderError{Leader: d.log.Leadership().Leader}
	}
	now := int64(d.log.Now())
	held := time.Duration(now-receivedAt) * time.Millisecond
	o := Orders{Term: term, Lease: d.settings.Lease, AckedEnds: w.recordedEnd}
	budget := w.delivery.budget()
	d.log.Read(func(s *fleet.State) {
		o.Starts, o.Stops = w.reconcile(s.Workload, d.leadingSince)
		o.Stops = d.stopsToSend(s.Workload, w, o.Stops, budget, now)
		o.Paces = w.paceOrders(s.Workload, budget, receivedAt)
		o.Starts = separateSuspects(s.Workload, o.Starts)
		planned := len(o.Starts)
		o.Starts = w.withholdUnfitting(s.Workload, o.Starts, d.leadingSince)
		o.Starts = w.withholdEvacuated(s.Workload, o.Starts, d.leadingSince)
		if len(o.Starts) < planned {
			d.Wake()
		}
		o.Starts = w.admitStarts(budget, o.Starts)
		w.recordSent(s.Workload, o.Starts, o.Stops, now)
		o.Retry = d.heartbeatInterval(w, s.Workload, len(o.Starts) > 0, budget.exhausted, held)
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
