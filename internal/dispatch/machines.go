package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// arrivalTimeoutMS is the time after a move at which a machine that has not reported no
	// longer counts as in transit.
	arrivalTimeoutMS = 6000
	// moveMarginMS is added to the duration of a move into the spare pool, from which no
	// machine reports.
	moveMarginMS    = 100
	moveCallTimeout = 3 * time.Second
	// transferTimeoutMS is the time after which a machine that was to run empty for another
	// pool gets new tasks again. Tasks take 1 to 3 s.
	transferTimeoutMS = 4000
	// arrivalWindowMS is the time over which arriving work is counted: a burst shows within
	// it, and a single large job doesn't look like one.
	arrivalWindowMS = 1000
)

// MachineInfo describes a machine as the platform lists it.
type MachineInfo struct {
	Name       string
	Pool       string
	Rack       string
	DataCentre string
	// Labels stay with the machine when it moves.
	Labels   []string
	Capacity workload.Resources
	// Up machines can be moved and maintained. Nothing runs on a machine that is not up.
	Up bool
	// Worker is the identifier of the machine's present worker, empty if it has none.
	Worker string
}

// MachineProvider is the platform's interface for machines. Errors are the Err values of
// this package; after any other error the operation may have been carried out.
type MachineProvider interface {
	// Maintain starts the maintenance of a machine that belongs to the wave. Everything on
	// it ends.
	Maintain(ctx context.Context, machine string, wave int64, order MachineOrder) error
	// Move moves a machine to a pool. Everything on it ends.
	Move(ctx context.Context, machine, pool string, order MachineOrder) error
	// List returns all machines.
	List(ctx context.Context) (MachineList, error)
}

// MachineList is the platform's list of machines. Entries may come from other writers.
type MachineList struct {
	Machines []MachineInfo
	// LeftOut holds the entries that can't be used. Any machine may be among them.
	LeftOut []LeftOutEntry
}

// MachineOrder is the authority under which a machine is moved or maintained.
type MachineOrder struct {
	// Holder names the calling instance.
	Holder string
	// Token is the leader's term. Platforms that check it reject the calls of an earlier
	// leader with ErrFenced.
	Token uint64
	// Permitted reports whether the holder still leads and no long-running task is on the machine.
	// The context of the call ends when the holder doesn't lead. Permitted must be called after the last
	// wait before the order is sent, and the order must not be sent if it returns false:
	// the process may have been suspended, and not every platform checks the token.
	Permitted func() bool
}

// machineOrder returns the authority of the present leadership over a machine. The caller holds mu.
func (d *Dispatcher) machineOrder(machine string) MachineOrder {
	term := d.term
	permitted := func() bool { return d.leadsIn(term) && !d.hasLongRunning(machine) }
	return MachineOrder{Holder: d.settings.Holder, Token: term, Permitted: permitted}
}

// hasLongRunning reports whether a long-running task is placed on a machine or reported by its
// worker. A commit whose outcome was unknown may have placed one after an order was decided.
func (d *Dispatcher) hasLongRunning(machine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, found := int64(d.log.Now()), false
	d.log.Read(func(s *fleet.State) {
		found = d.reportsLongRunning(s.Workload, machine, now)
		for _, p := range s.Workload.RunsOn(d.byMachine[machine]) {
			found = found || p.LongRunning
		}
	})
	return found
}

// callContext returns a context for calls to the platform that ends with the leadership. An order
// that a partition holds up must not arrive behind those of the next leader. The caller holds mu.
func (d *Dispatcher) callContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	if d.calls == nil || d.calls.Err() != nil {
		d.calls, d.endCalls = context.WithCancel(context.Background())
	}
	return context.WithTimeout(d.calls, timeout)
}

// endCallsOfFormerLeader ends the calls to the platform once this store no longer leads.
func (d *Dispatcher) endCallsOfFormerLeader() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.endCalls != nil {
		d.endCalls()
	}
}

// leadsIn reports whether this store leads in the given term.
func (d *Dispatcher) leadsIn(term uint64) bool {
	l := d.log.Leadership()
	return l.Leading && l.Term == term
}

// machine is what the leader knows of a machine. Guarded by Dispatcher.mu.
type machine struct {
	MachineInfo
	// updatedAt is the cluster time, in milliseconds, at which a report or a move last told
	// the machine's pool, or the machine was first listed.
	updatedAt int64
	// movedAt is the cluster time at which the machine was moved to its pool, and 0 once it
	// has reported from there.
	movedAt int64
	// listedAt is the cluster time at which the latest list that names the machine was requested, 0 if
	// there is none.
	listedAt int64
}

// rebalance starts the moves that the demand of the last plan calls for. The caller holds
// mu.
func (d *Dispatcher) rebalance(s *workload.State, now int64) {
	if d.provider == nil || d.maintenance.fenced || !d.machinesListed {
		return
	}
	reporting := d.reportingPools(s, now)
	in := capacity.Input{
		Demand: d.knownDemand(s, reporting), Spare: sparePool(s), KeepSurplus: d.keepsSurplus(),
	}
	d.completeTransfers(s, &in, now)
	total, machines := workload.Resources{}, int64(0)
	for name, m := range d.machinesByName {
		total, machines = total.Plus(m.Capacity), machines+1
		if d.inTransit(m, in.Spare, now) {
			if !s.Evacuated(m.DataCentre) {
				in.AddIncoming(m.Pool, m.Labels)
			}
			continue
		}
		candidate := d.moveCandidate(s, m, name, in.Spare, now)
		if !reporting[m.Pool] {
			candidate.IdleMS, candidate.Tasks = -1, 0
		}
		in.Machines = append(in.Machines, candidate)
	}
	if machines == 0 {
		return
	}
	in.MachineCapacity = workload.Resources{
		CPUMilli: total.CPUMilli / machines, MemoryMiB: total.MemoryMiB / machines, Accelerators: total.Accelerators / machines,
	}
	d.setEmptying(capacity.Emptying(in))
	for _, move := range capacity.Decide(in) {
		if move.WaitUntilIdle {
			d.transfers[move.Machine] = transfer{pool: move.Pool, since: now}
			d.logger.Info().Str("machine", move.Machine).Str("from", d.machinesByName[move.Machine].Pool).Str("to", move.Pool).Msg("machine gets no new tasks and then moves to another pool")
			continue
		}
		d.startMove(move, now)
	}
}

func (d *Dispatcher) keepsSurplus() bool {
	return d.settings.Planning.SurplusMachines == settings.SurplusKept
}

// setEmptying records the machines that get new tasks only if no other can take them, and logs
// when the first machine of a pool is emptied and when the last one is not any more.
func (d *Dispatcher) setEmptying(names []string) {
	before, pools := d.emptyingPools, map[string]int{}
	d.emptying = make(map[string]bool, len(names))
	for _, name := range names {
		d.emptying[name] = true
		pools[d.machinesByName[name].Pool]++
	}
	d.emptyingPools = pools
	d.meters.emptying.Update(int64(len(names)))
	for pool, machines := range pools {
		if before[pool] == 0 {
			d.logger.Info().Str("pool", pool).Int("machines", machines).Msg("pool has more machines than it needs and empties some")
		}
	}
	for pool := range before {
		if pools[pool] == 0 {
			d.logger.Info().Str("pool", pool).Msg("pool empties no machines any more")
		}
	}
}

// transfer is a machine that gets no new tasks and moves to another pool once it runs
// nothing.
type transfer struct {
	pool  string
	since int64
}

// completeTransfers moves the machines that run nothing any more, drops transfers that take
// too long, and counts the others as arriving in their new pool.
func (d *Dispatcher) completeTransfers(s *workload.State, in *capacity.Input, now int64) {
	for name, t := range d.transfers {
		w, known := d.workerOn(name)
		switch {
		case !known || w.terminated || w.Pool == t.pool || now-t.since > transferTimeoutMS || s.Evacuated(w.DataCentre):
			delete(d.transfers, name)
		case w.hasRuns(s):
			in.AddIncoming(t.pool, w.Labels)
		default:
			delete(d.transfers, name)
			d.startMove(capacity.Move{Machine: name, Pool: t.pool}, now)
			in.AddIncoming(t.pool, w.Labels)
		}
	}
}

// drainableTasks returns the number of tasks on a machine if all of them end by themselves,
// and 0 if one is long-running.
func drainableTasks(runs map[workload.TaskRef]*workload.Placement) int {
	for _, p := range runs {
		if p.LongRunning {
			return 0
		}
	}
	return len(runs)
}

// inTransit reports whether a machine was moved and is not in its pool yet. A worker
// reports its arrival; a machine in the spare pool is off and reports nothing.
func (d *Dispatcher) inTransit(m *machine, spare string, now int64) bool {
	if m.movedAt == 0 {
		return false
	}
	if m.Pool == spare {
		return now-m.movedAt < d.settings.MoveDuration.Milliseconds()+moveMarginMS
	}
	return now-m.movedAt < arrivalTimeoutMS
}

// sparePool returns the name of the spare pool, empty if there is none.
func sparePool(s *workload.State) string {
	for name, p := range s.Config.Pools {
		if p.Spare {
			return name
		}
	}
	return ""
}

// moveCandidate describes a machine for the decision about moves. A machine that must not
// move is neither idle nor off and has no tasks to wait for.
func (d *Dispatcher) moveCandidate(s *workload.State, m *machine, name, spare string, now int64) capacity.Machine {
	c := capacity.Machine{Name: name, Pool: m.Pool, Rack: m.Rack, Labels: m.Labels, IdleMS: -1, Evacuated: s.Evacuated(m.DataCentre)}
	_, inTransfer := d.transfers[name]
	if inTransfer || d.maintenance.isReserved(name, now) || now < d.maintenance.retryAt[name] {
		return c
	}
	w, known := d.workerOn(name)
	if m.Pool == spare {
		c.Off = m.Up && (!known || w.terminated) && len(s.RunsOn(d.byMachine[name])) == 0
		return c
	}
	if !known || w.Draining || !w.isLive(now) {
		return c
	}
	if w.hasRuns(s) {
		c.Tasks = drainableTasks(s.RunsOn(w.Incarnation))
		return c
	}
	c.IdleMS = now - w.idleSince
	return c
}

// updateIdleTimes records the time at which workers last ran something.
func (d *Dispatcher) updateIdleTimes(s *workload.State, now int64) {
	for incarnation, w := range d.workers {
		if len(s.RunsOn(incarnation)) > 0 {
			w.idleSince = now
		}
	}
}

// startMove calls the platform in the background, so that the cycle does not wait for it.
func (d *Dispatcher) startMove(move capacity.Move, now int64) {
	mt := d.maintenance
	mt.callsInFlight[move.Machine] = true
	order := d.machineOrder(move.Machine)
	d.logMachineRuns(move.Machine).Str("from", d.machinesByName[move.Machine].Pool).Str("to", move.Pool).
		Interface("demand", d.demand[move.Pool]).Msg("machine moves")
	ctx, cancel := d.callContext(moveCallTimeout)
	go func() {
		defer cancel()
		err := d.provider.Move(ctx, move.Machine, move.Pool, order)
		d.finishMove(mt, move, err)
	}()
}

// finishMove applies the result of a move. mt is the maintenance of the leadership that
// started it. A worker that reports from the new pool is one after the move: the answer may be
// late, or say that an earlier order has moved the machine.
func (d *Dispatcher) finishMove(mt *maintenance, move capacity.Move, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	delete(mt.callsInFlight, move.Machine)
	if d.maintenance != mt {
		return
	}
	if err != nil {
		d.logger.Warn().Err(err).Str("machine", move.Machine).Str("to", move.Pool).Msg("move failed")
		mt.retryAt[move.Machine] = now + machineCallRetryMS
		d.noteFailedOrder(move.Machine, err, now)
		if errors.Is(err, ErrFenced) {
			mt.fenced = true
		}
		return
	}
	w, known := d.workerOn(move.Machine)
	if known && !w.terminated && w.Pool == move.Pool {
		return
	}
	if known {
		w.terminate()
	}
	m := d.machinesByName[move.Machine]
	m.Pool = move.Pool
	m.updatedAt = now
	m.movedAt = now
	d.Wake()
}

// noteFailedOrder records that the worker of a machine may have ended, unless the error of an order
// for the machine shows that it was not carried out. Until the worker reports again, it gets no
// tasks: they would count as ones that crash their workers.
func (d *Dispatcher) noteFailedOrder(machine string, err error, now int64) {
	for _, refusal := range []error{ErrFenced, ErrMachineBusy, ErrNoMachine, ErrNotInWave, ErrNotPermitted, ErrThrottled} {
		if errors.Is(err, refusal) {
			return
		}
	}
	if w, known := d.workerOn(machine); known {
		w.mayHaveEndedAt = now
	}
}

// updateDemand computes the demand of each pool: the rate of arriving work, what
// long-running and other tasks use, and the work that found no room in the plan. It also
// records which pools are busy.
func (d *Dispatcher) updateDemand(s *workload.State, plan taskplan.Plan, now int64) {
	demand, busy := map[string]capacity.Demand{}, map[string]bool{}
	for _, j := range s.Active() {
		pool := s.PoolOf(j)
		busy[pool] = busy[pool] || !hasLongRunningStep(j)
		poolDemand := demand[pool]
		held := heldBy(j)
		poolDemand.HeldMilli += held.CPUMilli
		poolDemand.HeldMemoryMiB += held.MemoryMiB
		if now-j.AcceptedAt < arrivalWindowMS {
			poolDemand.RateMilli += jobWork(s, j) / arrivalWindowMS
		}
		demand[pool] = poolDemand
	}
	for incarnation, runs := range s.RunsByWorker() {
		if w, ok := d.workers[incarnation]; ok {
			poolDemand := demand[w.Pool]
			used := usedBy(runs)
			poolDemand.UsedMilli += used.CPUMilli
			poolDemand.UsedMemoryMiB += used.MemoryMiB
			demand[w.Pool] = poolDemand
		}
	}
	for pool, u := range plan.Unplaced {
		busy[pool] = true
		poolDemand := demand[pool]
		poolDemand.UnmetDemand, poolDemand.Labels = u.UnmetDemand, u.Labels
		demand[pool] = poolDemand
	}
	d.demand, d.busyPools = demand, busy
}

func hasLongRunningStep(j *workload.Job) bool {
	return slices.ContainsFunc(j.Steps, func(step workload.Step) bool { return step.LongRunning })
}

// usedBy returns what the runs that end by themselves occupy.
func usedBy(runs map[workload.TaskRef]*workload.Placement) workload.Resources {
	var used workload.Resources
	for _, p := range runs {
		if !p.LongRunning {
			used = used.Plus(p.Occupies)
		}
	}
	return used
}

// heldBy returns what the job's long-running tasks ask for.
func heldBy(j *workload.Job) workload.Resources {
	var held workload.Resources
	for i := range j.Steps {
		step := &j.Steps[i]
		if !step.LongRunning || step.FillsIdle {
			continue
		}
		held.CPUMilli += int64(step.Count) * step.Size.CPUMilli
		held.MemoryMiB += int64(step.Count) * step.Size.MemoryMiB
	}
	return held
}
