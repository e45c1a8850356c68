package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/capacity"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// listInterval is the time between readings of the platform's list of machines:
	// our own moves and the workers' reports tell what changes between them.
	listInterval      = 5 * time.Second
	listTimeout       = 4 * time.Second
	listRetryInterval = 500 * time.Millisecond
	listPollInterval  = 250 * time.Millisecond
	// silentListInterval is the time between readings while a worker with tasks is silent: a
	// tenth of the longest lease, and 6 calls for 500 machines.
	silentListInterval = time.Second
	// arrivalTimeoutMS is the time after which a machine that was moved and is not
	// heard of no longer counts as on its way.
	arrivalTimeoutMS = 6000
	// moveMarginMS is added to the time of a move into the spare pool.
	moveMarginMS    = 100
	moveCallTimeout = 3 * time.Second
	// transferTimeoutMS is the time after which a machine that was to run out of work for
	// another pool goes on working: tasks take 1 to 3 s.
	transferTimeoutMS = 4000
	// arrivalWindowMS is the time over which arriving work is counted: a burst shows
	// within it, and single large jobs don't look like one.
	arrivalWindowMS = 1000
)

// MachineInfo is one machine as the platform lists it.
type MachineInfo struct {
	Name       string
	Pool       string
	Rack       string
	DataCentre string
	// Labels stay with the machine when it moves.
	Labels   []string
	Capacity workload.Resources
	// Up machines can be moved and maintained. Nothing runs on any other machine.
	Up bool
	// Worker is the identifier of the machine's present worker, empty for none.
	Worker string
}

// MachineProvider is the platform's control of machines. Errors are the Err values of
// this package; after any other error the operation may have been carried out.
type MachineProvider interface {
	// Maintain begins the maintenance of a machine.
	Maintain(ctx context.Context, machine string, wave int64, holder string, token uint64) error
	// Move takes a machine into a pool. Everything on it ends.
	Move(ctx context.Context, machine, pool, holder string, token uint64) error
	// List returns all machines.
	List(ctx context.Context) ([]MachineInfo, error)
}

// machine is what the leader knows of a machine. Guarded by the dispatcher's mu.
type machine struct {
	MachineInfo
	// updatedAt is when a report or an order of ours last told where it is.
	updatedAt int64
	// movedAt is when it was sent to its pool, until it reports there.
	movedAt int64
}

// pollMachines reads the list of machines until ctx ends.
func (d *Dispatcher) pollMachines(ctx context.Context) {
	var last time.Time
	pause := listRetryInterval
	for wait.For(ctx, listPollInterval) {
		if !d.log.Leadership().Leading {
			continue
		}
		due := pause
		if pause == listInterval && d.hasSilentWorkers() {
			due = silentListInterval
		}
		if time.Since(last) < due {
			continue
		}
		last = time.Now()
		pause = listRetryInterval
		asked := int64(d.log.Now())
		call, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := d.provider.List(call)
		cancel()
		if err != nil {
			d.logger.Warn().Err(err).Msg("the list of machines could not be read")
			continue
		}
		d.applyList(list, asked)
		pause = listInterval
	}
}

// applyList updates the machines by a list that was asked for at the given time.
// What became known since is newer than the list.
func (d *Dispatcher) applyList(list []MachineInfo, asked int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]MachineInfo, len(list))
	for _, info := range list {
		listed[info.Name] = info
		m, ok := d.machinesByName[info.Name]
		if !ok {
			d.machinesByName[info.Name] = &machine{MachineInfo: info, updatedAt: asked}
			continue
		}
		if m.updatedAt < asked && (m.movedAt == 0 || asked-m.movedAt > arrivalTimeoutMS) && !d.maintenance.callsInFlight[info.Name] {
			m.MachineInfo = info
		}
	}
	d.machinesListed = true
	d.log.Read(func(s *fleet.State) {
		d.terminateMissing(s.Workload, machineList{machines: listed, requestedAt: asked})
	})
}

// updateMachine records that a worker life reports from a machine.
func (d *Dispatcher) updateMachine(w *worker, now int64) {
	m, ok := d.machinesByName[w.Machine]
	if !ok {
		m = &machine{MachineInfo: MachineInfo{Name: w.Machine}}
		d.machinesByName[w.Machine] = m
	}
	m.Pool, m.Rack, m.DataCentre, m.Labels, m.Capacity, m.Up = w.Pool, w.Rack, w.DataCentre, w.Labels, w.Capacity, true
	m.updatedAt = now
	m.movedAt = 0
}

// rebalance begins the moves that the demand of the last plan asks for. The
// caller holds mu.
func (d *Dispatcher) rebalance(s *workload.State, now int64) {
	if d.provider == nil || d.maintenance.fenced || !d.machinesListed {
		return
	}
	in := capacity.Input{Demand: d.demand, Spare: sparePool(s)}
	d.completeTransfers(s, &in, now)
	total, machines := workload.Resources{}, int64(0)
	for name, m := range d.machinesByName {
		total, machines = total.Plus(m.Capacity), machines+1
		if d.inTransit(m, in.Spare, now) {
			in.Arrives(m.Pool, m.Labels)
			continue
		}
		in.Machines = append(in.Machines, d.moveCandidate(s, m, name, in.Spare, now))
	}
	if machines == 0 {
		return
	}
	in.Size = workload.Resources{
		CPUMilli: total.CPUMilli / machines, MemoryMiB: total.MemoryMiB / machines, Accelerators: total.Accelerators / machines,
	}
	for _, move := range capacity.Decide(in) {
		if move.Empty {
			d.transfers[move.Machine] = transfer{pool: move.Pool, since: now}
			d.logger.Info().Str("machine", move.Machine).Str("from", d.machinesByName[move.Machine].Pool).Str("to", move.Pool).Msg("machine runs out of work for another pool")
			continue
		}
		d.startMove(move, now)
	}
}

// transfer is a machine that gets no new tasks, so that another pool can have it.
type transfer struct {
	pool  string
	since int64
}

// completeTransfers moves the lent machines that have run out of work, and counts the others
// as incoming.
func (d *Dispatcher) completeTransfers(s *workload.State, in *capacity.Input, now int64) {
	for name, l := range d.transfers {
		w, known := d.workerOn(name)
		switch {
		case !known || w.terminated || now-l.since > transferTimeoutMS:
			delete(d.transfers, name)
		case w.hasRuns(s):
			in.Arrives(l.pool, w.Labels)
		default:
			delete(d.transfers, name)
			d.startMove(capacity.Move{Machine: name, Pool: l.pool}, now)
			in.Arrives(l.pool, w.Labels)
		}
	}
}

// drainableTasks counts the tasks of a machine that could be emptied: none of them is
// long-running.
func drainableTasks(runs map[workload.TaskRef]*workload.Placement) int {
	for _, p := range runs {
		if p.LongRunning {
			return 0
		}
	}
	return len(runs)
}

// inTransit tells whether the machine was moved and is not in its pool yet. A worker
// reports its arrival; a machine that is off reports nothing.
func (d *Dispatcher) inTransit(m *machine, spare string, now int64) bool {
	if m.movedAt == 0 {
		return false
	}
	if m.Pool == spare {
		return now-m.movedAt < d.settings.MoveDuration.Milliseconds()+moveMarginMS
	}
	return now-m.movedAt < arrivalTimeoutMS
}

func sparePool(s *workload.State) string {
	for name, p := range s.Config.Pools {
		if p.Spare {
			return name
		}
	}
	return ""
}

func (d *Dispatcher) moveCandidate(s *workload.State, m *machine, name, spare string, now int64) capacity.Machine {
	c := capacity.Machine{Name: name, Pool: m.Pool, Rack: m.Rack, Labels: m.Labels, IdleMS: -1}
	_, inTransfer := d.transfers[name]
	if inTransfer || d.maintenance.isReserved(name, now) || now < d.maintenance.retryAt[name] {
		return c
	}
	w, known := d.workerOn(name)
	if m.Pool == spare {
		c.Off = m.Up && (!known || w.terminated) && len(s.Occupied(d.byMachine[name])) == 0
		return c
	}
	if !known || w.Draining || !w.isLive(now) {
		return c
	}
	if w.hasRuns(s) {
		c.Tasks = drainableTasks(s.Occupied(w.Incarnation))
		return c
	}
	c.IdleMS = now - w.idleSince
	return c
}

// updateIdleTimes follows since when workers run nothing.
func (d *Dispatcher) updateIdleTimes(s *workload.State, now int64) {
	for incarnation, w := range d.workers {
		if len(s.Occupied(incarnation)) > 0 {
			w.idleSince = now
		}
	}
}

// startMove orders a move without holding up the cycle.
func (d *Dispatcher) startMove(move capacity.Move, now int64) {
	mt := d.maintenance
	mt.callsInFlight[move.Machine] = true
	term := d.term
	d.logger.Info().Str("machine", move.Machine).Str("from", d.machinesByName[move.Machine].Pool).Str("to", move.Pool).
		Interface("demand", d.demand[move.Pool]).Msg("machine moves")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), moveCallTimeout)
		defer cancel()
		err := d.provider.Move(ctx, move.Machine, move.Pool, d.settings.Holder, term)
		d.finishMove(mt, move, err)
	}()
}

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
		if errors.Is(err, ErrFenced) {
			mt.fenced = true
		}
		return
	}
	if w, ok := d.workerOn(move.Machine); ok {
		w.terminate()
	}
	m := d.machinesByName[move.Machine]
	m.Pool = move.Pool
	m.updatedAt = now
	m.movedAt = now
	d.Wake()
}

// updateDemand keeps what arrives in each pool, what its long-running tasks hold,
// what the plan found no room for, and which pools have jobs under way.
func (d *Dispatcher) updateDemand(s *workload.State, plan taskplan.Plan, now int64) {
	demand, busy := map[string]capacity.Demand{}, map[string]bool{}
	for _, j := range s.Active() {
		pool := s.PoolOf(j)
		busy[pool] = busy[pool] || !hasLongRunningStep(j)
		poolDemand := demand[pool]
		poolDemand.HeldMilli += heldMilli(j)
		if now-j.AcceptedAt < arrivalWindowMS {
			poolDemand.RateMilli += d.estimates.jobWork(j) / arrivalWindowMS
		}
		demand[pool] = poolDemand
	}
	for incarnation, runs := range s.OccupiedLives() {
		if w, ok := d.workers[incarnation]; ok {
			poolDemand := demand[w.Pool]
			poolDemand.UsedMilli += usedMilli(runs)
			demand[w.Pool] = poolDemand
		}
	}
	for pool, u := range plan.Unplaced {
		busy[pool] = true
		poolDemand := demand[pool]
		poolDemand.Need = d.correctNeed(pool, u.Need)
		poolDemand.Labels = map[string]capacity.Need{}
		for label, need := range u.Labels {
			poolDemand.Labels[label] = d.correctNeed(pool, need)
		}
		demand[pool] = poolDemand
	}
	d.demand, d.busyPools = demand, busy
}

// correctNeed scales the work that a plan found no room for to the time that it is known to
// take.
func (d *Dispatcher) correctNeed(pool string, n capacity.Need) capacity.Need {
	n.WorkMilliMS = d.estimates.scale(pool, n.WorkMilliMS)
	return n
}

func hasLongRunningStep(j *workload.Job) bool {
	return slices.ContainsFunc(j.Steps, func(step workload.Step) bool { return step.LongRunning })
}

// usedMilli is what the runs that end by themselves occupy.
func usedMilli(runs map[workload.TaskRef]*workload.Placement) int64 {
	used := int64(0)
	for _, p := range runs {
		if !p.LongRunning {
			used += p.Occupies.CPUMilli
		}
	}
	return used
}

// heldMilli is the processor time that the job's long-running tasks hold.
func heldMilli(j *workload.Job) int64 {
	held := int64(0)
	for i := range j.Steps {
		if step := &j.Steps[i]; step.LongRunning && !step.FillsIdle {
			held += int64(step.Count) * step.Size.CPUMilli
		}
	}
	return held
}
