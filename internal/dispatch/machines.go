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
	// listEvery is the time between readings of the platform's list of machines:
	// our own moves and the workers' reports tell what changes between them.
	listEvery   = 5 * time.Second
	listTimeout = 4 * time.Second
	listRetry   = 500 * time.Millisecond
	listCheck   = 250 * time.Millisecond
	// suspectEvery is the time between readings while a worker with tasks is silent: a
	// tenth of the longest lease, and 6 calls for 500 machines.
	suspectEvery = time.Second
	// moveTimeoutMS is the time after which a machine that was moved and is not
	// heard of no longer counts as on its way.
	moveTimeoutMS = 6000
	// moveMarginMS is added to the time of a move into the spare pool.
	moveMarginMS = 100
	moveTimeout  = 3 * time.Second
	// lendTimeoutMS is the time after which a machine that was to run out of work for
	// another pool goes on working: tasks take 1 to 3 s.
	lendTimeoutMS = 4000
	// rateWindowMS is the time over which arriving work is counted: a burst shows
	// within it, and single large jobs don't look like one.
	rateWindowMS = 1000
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
	// changedAt is when a report or an order of ours last told where it is.
	changedAt int64
	// incoming is when it was sent to its pool, until it reports there.
	incoming int64
}

// follow reads the list of machines until ctx ends.
func (d *Dispatcher) follow(ctx context.Context) {
	var last time.Time
	pause := listRetry
	for wait.For(ctx, listCheck) {
		if !d.log.Leadership().Leading {
			continue
		}
		due := pause
		if pause == listEvery && d.suspects() {
			due = suspectEvery
		}
		if time.Since(last) < due {
			continue
		}
		last = time.Now()
		pause = listRetry
		asked := int64(d.log.Now())
		call, cancel := context.WithTimeout(ctx, listTimeout)
		list, err := d.machines.List(call)
		cancel()
		if err != nil {
			d.logger.Warn().Err(err).Msg("the list of machines could not be read")
			continue
		}
		d.takeList(list, asked)
		pause = listEvery
	}
}

// takeList updates the machines by a list that was asked for at the given time.
// What became known since is newer than the list.
func (d *Dispatcher) takeList(list []MachineInfo, asked int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]MachineInfo, len(list))
	for _, info := range list {
		listed[info.Name] = info
		m, ok := d.fleet[info.Name]
		if !ok {
			d.fleet[info.Name] = &machine{MachineInfo: info, changedAt: asked}
			continue
		}
		if m.changedAt < asked && (m.incoming == 0 || asked-m.incoming > moveTimeoutMS) && !d.upkeep.calling[info.Name] {
			m.MachineInfo = info
		}
	}
	d.listed = true
	d.log.Read(func(s *fleet.State) { d.endGone(s.Workload, reading{machines: listed, asked: asked}) })
}

// locate records that a worker life reports from a machine.
func (d *Dispatcher) locate(w *worker, now int64) {
	m, ok := d.fleet[w.Machine]
	if !ok {
		m = &machine{MachineInfo: MachineInfo{Name: w.Machine}}
		d.fleet[w.Machine] = m
	}
	m.Pool, m.Rack, m.DataCentre, m.Labels, m.Capacity, m.Up = w.Pool, w.Rack, w.DataCentre, w.Labels, w.Capacity, true
	m.changedAt = now
	m.incoming = 0
}

// rebalance begins the moves that the demand of the last plan asks for. The
// caller holds mu.
func (d *Dispatcher) rebalance(s *workload.State, now int64) {
	if d.machines == nil || d.upkeep.fenced || !d.listed {
		return
	}
	in := capacity.Input{Demand: d.demand, Spare: sparePool(s)}
	d.passOn(s, &in, now)
	total, machines := workload.Resources{}, int64(0)
	for name, m := range d.fleet {
		total, machines = total.Plus(m.Capacity), machines+1
		if d.arriving(m, in.Spare, now) {
			in.Arrives(m.Pool, m.Labels)
			continue
		}
		in.Machines = append(in.Machines, d.candidate(s, m, name, in.Spare, now))
	}
	if machines == 0 {
		return
	}
	in.Size = workload.Resources{
		CPUMilli: total.CPUMilli / machines, MemoryMiB: total.MemoryMiB / machines, Accelerators: total.Accelerators / machines,
	}
	for _, move := range capacity.Decide(in) {
		if move.Empty {
			d.lending[move.Machine] = loan{pool: move.Pool, since: now}
			d.logger.Info().Str("machine", move.Machine).Str("from", d.fleet[move.Machine].Pool).Str("to", move.Pool).Msg("machine runs out of work for another pool")
			continue
		}
		d.beginMove(move, now)
	}
}

// loan is a machine that gets no new tasks, so that another pool can have it.
type loan struct {
	pool  string
	since int64
}

// passOn moves the lent machines that have run out of work, and counts the others
// as incoming.
func (d *Dispatcher) passOn(s *workload.State, in *capacity.Input, now int64) {
	for name, l := range d.lending {
		w, known := d.workerOn(name)
		switch {
		case !known || w.over || now-l.since > lendTimeoutMS:
			delete(d.lending, name)
		case w.busy(s):
			in.Arrives(l.pool, w.Labels)
		default:
			delete(d.lending, name)
			d.beginMove(capacity.Move{Machine: name, Pool: l.pool}, now)
			in.Arrives(l.pool, w.Labels)
		}
	}
}

// loanable counts the tasks of a machine that could be emptied: none of them is
// long-running.
func loanable(runs map[workload.TaskRef]*workload.Placement) int {
	for _, p := range runs {
		if p.LongRunning {
			return 0
		}
	}
	return len(runs)
}

// arriving tells whether the machine was moved and is not in its pool yet. A worker
// reports its arrival; a machine that is off reports nothing.
func (d *Dispatcher) arriving(m *machine, spare string, now int64) bool {
	if m.incoming == 0 {
		return false
	}
	if m.Pool == spare {
		return now-m.incoming < d.settings.MoveDuration.Milliseconds()+moveMarginMS
	}
	return now-m.incoming < moveTimeoutMS
}

func sparePool(s *workload.State) string {
	for name, p := range s.Config.Pools {
		if p.Spare {
			return name
		}
	}
	return ""
}

func (d *Dispatcher) candidate(s *workload.State, m *machine, name, spare string, now int64) capacity.Machine {
	c := capacity.Machine{Name: name, Pool: m.Pool, Rack: m.Rack, Labels: m.Labels, IdleMS: -1}
	_, lent := d.lending[name]
	if lent || d.upkeep.reserved(name, now) || now < d.upkeep.retryAt[name] {
		return c
	}
	w, known := d.workerOn(name)
	if m.Pool == spare {
		c.Off = m.Up && (!known || w.over) && len(s.Occupied(d.byMachine[name])) == 0
		return c
	}
	if !known || w.Draining || !w.reports(now) {
		return c
	}
	if w.busy(s) {
		c.Tasks = loanable(s.Occupied(w.Incarnation))
		return c
	}
	c.IdleMS = now - w.idleSince
	return c
}

// noteIdle follows since when workers run nothing.
func (d *Dispatcher) noteIdle(s *workload.State, now int64) {
	for life, w := range d.workers {
		if len(s.Occupied(life)) > 0 {
			w.idleSince = now
		}
	}
}

// beginMove orders a move without holding up the cycle.
func (d *Dispatcher) beginMove(move capacity.Move, now int64) {
	u := d.upkeep
	u.calling[move.Machine] = true
	term := d.term
	d.logger.Info().Str("machine", move.Machine).Str("from", d.fleet[move.Machine].Pool).Str("to", move.Pool).
		Interface("demand", d.demand[move.Pool]).Msg("machine moves")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		err := d.machines.Move(ctx, move.Machine, move.Pool, d.settings.Holder, term)
		d.moved(u, move, err)
	}()
}

func (d *Dispatcher) moved(u *upkeep, move capacity.Move, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	delete(u.calling, move.Machine)
	if d.upkeep != u {
		return
	}
	if err != nil {
		d.logger.Warn().Err(err).Str("machine", move.Machine).Str("to", move.Pool).Msg("move failed")
		u.retryAt[move.Machine] = now + maintainRetryMS
		if errors.Is(err, ErrFenced) {
			u.fenced = true
		}
		return
	}
	if w, ok := d.workerOn(move.Machine); ok {
		w.finish()
	}
	m := d.fleet[move.Machine]
	m.Pool = move.Pool
	m.changedAt = now
	m.incoming = now
	d.Wake()
}

// noteDemand keeps what arrives in each pool, what its long-running tasks hold,
// what the plan found no room for, and which pools have jobs under way.
func (d *Dispatcher) noteDemand(s *workload.State, plan taskplan.Plan, now int64) {
	demand, busy := map[string]capacity.Demand{}, map[string]bool{}
	for _, j := range s.Active() {
		pool := s.PoolOf(j)
		busy[pool] = busy[pool] || !longRunning(j)
		at := demand[pool]
		at.HeldMilli += heldMilli(j)
		if now-j.AcceptedAt < rateWindowMS {
			at.RateMilli += d.estimates.work(j) / rateWindowMS
		}
		demand[pool] = at
	}
	for life, runs := range s.OccupiedLives() {
		if w, ok := d.workers[life]; ok {
			at := demand[w.Pool]
			at.UsedMilli += usedMilli(runs)
			demand[w.Pool] = at
		}
	}
	for pool, u := range plan.Unplaced {
		busy[pool] = true
		at := demand[pool]
		at.Need = d.need(pool, u.Need)
		at.Labels = map[string]capacity.Need{}
		for label, need := range u.Labels {
			at.Labels[label] = d.need(pool, need)
		}
		demand[pool] = at
	}
	d.demand, d.busy = demand, busy
}

// need scales the work that a plan found no room for to the time that it is known to
// take.
func (d *Dispatcher) need(pool string, n capacity.Need) capacity.Need {
	n.WorkMilliMS = d.estimates.scale(pool, n.WorkMilliMS)
	return n
}

func longRunning(j *workload.Job) bool {
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
