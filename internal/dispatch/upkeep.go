package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// Errors of Machines. After any other error the operation may have been carried out.
var (
	// ErrFenced means that a later leader has given orders for the machine.
	ErrFenced = errors.New("dispatch: a later leader directs this machine")
	// ErrMachineBusy means that the machine is not up; a later try may succeed.
	ErrMachineBusy = errors.New("dispatch: the machine is busy")
	// ErrNoMachine means that there is no such machine, or that it is not due.
	ErrNoMachine = errors.New("dispatch: no such machine in this wave")
	// ErrThrottled means that the platform takes no call now.
	ErrThrottled = errors.New("dispatch: the platform takes no call now")
)

const (
	// machineTurnMS is the time that one machine takes from the decision to empty it
	// until it works again: tasks of 1 to 3 s end, and the maintenance of 2 s.
	machineTurnMS = 4500
	// waveTimeShare is the part of a wave's time, in percent, within which it is
	// planned to end; the rest is for changes of leader and workers out of reach.
	waveTimeShare = 60
	// backTimeoutMS is the time after which a machine that was maintained and is not
	// heard of no longer counts as down for its wave: it was lost since.
	backTimeoutMS = 15000
	// maintenanceMarginMS is added to the time of a maintenance of a machine that is off.
	maintenanceMarginMS = 500
	maintainTimeout     = 3 * time.Second
	// maintainRetryMS is the pause after a call that failed.
	maintainRetryMS = 400
)

// upkeep follows the maintenance of machines under one leadership. Guarded by the
// dispatcher's mu.
type upkeep struct {
	since int64
	// emptying holds the machines that get no new tasks, by wave.
	emptying map[string]int64
	// down holds the life of each machine that was told to begin its maintenance.
	down map[string]downMachine
	// calling holds the machines for which a call is under way.
	calling map[string]bool
	retryAt map[string]int64
	back    map[string]bool
	fenced  bool
}

type downMachine struct {
	life workload.WorkerLife
	// until is when the machine counts as back, if no worker reports from it before.
	until int64
}

func newUpkeep(now int64) *upkeep {
	return &upkeep{
		since: now, emptying: map[string]int64{}, down: map[string]downMachine{},
		calling: map[string]bool{}, retryAt: map[string]int64{}, back: map[string]bool{},
	}
}

// reserved tells whether the machine gets no new tasks.
func (u *upkeep) reserved(machine string, now int64) bool {
	_, emptying := u.emptying[machine]
	return emptying || u.isDown(machine, now) || u.calling[machine]
}

// isDown tells whether the machine is down for its maintenance.
func (u *upkeep) isDown(machine string, now int64) bool {
	m, ok := u.down[machine]
	return ok && now < m.until
}

// seen records that a life of the machine reports.
func (u *upkeep) seen(machine string, life workload.WorkerLife) {
	u.back[machine] = true
	if m, ok := u.down[machine]; ok && m.life != life {
		delete(u.down, machine)
	}
}

// downCount counts the machines of the wave that are, or may be, down for it.
func (d *Dispatcher) downCount(s *workload.State, w *workload.Wave, now int64) int {
	u := d.upkeep
	n := 0
	for _, m := range w.Machines {
		ordered := w.Ordered[m] && !w.Begun[m]
		if u.isDown(m, now) || ordered || u.calling[m] || d.mayBeDown(s, w, m, now) {
			n++
		}
	}
	return n
}

// mayBeDown tells whether the maintenance of a machine, begun under an earlier
// leadership, may still go on.
func (d *Dispatcher) mayBeDown(s *workload.State, w *workload.Wave, machine string, now int64) bool {
	_, ours := d.upkeep.down[machine]
	if !w.Begun[machine] || d.upkeep.back[machine] || ours {
		return false
	}
	return now-d.upkeep.since < d.downTimeMS(s, machine)
}

// stops advances the waves and returns the runs to stop so that machines become
// empty, and runs that stand still. The caller holds mu.
func (d *Dispatcher) stops(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	if open := d.openWaves(s); len(open) > 0 {
		away := d.awayCounts(s, now)
		for _, number := range open {
			stops = append(stops, d.advanceWave(s, s.Waves[number], away, now)...)
		}
	}
	stops = append(stops, d.evacuate(s, now)...)
	stops = append(stops, d.stalled(s, now)...)
	return append(stops, d.stragglers(s, now)...)
}

func (d *Dispatcher) openWaves(s *workload.State) []int64 {
	var open []int64
	for number, w := range s.Waves {
		if !w.Complete() {
			open = append(open, number)
		}
	}
	slices.Sort(open)
	return open
}

// advanceWave empties machines and begins their maintenance. What a machine runs
// is not known under a new leadership until its worker has reported, or until the
// leases of the earlier one have run out.
func (d *Dispatcher) advanceWave(s *workload.State, w *workload.Wave, away map[stepKey]int, now int64) []workload.Run {
	if d.upkeep.fenced || d.machines == nil {
		return nil
	}
	limit := max(w.MaxDown, 1)
	d.chooseOff(s, w, now)
	d.chooseMachines(s, w, min(limit, waveWidth(w, now)), now)
	var stops []workload.Run
	for _, m := range w.Machines {
		if d.upkeep.emptying[m] != w.Number || w.Begun[m] || d.onItsWay(s, m, now) {
			continue
		}
		life, known := d.byMachine[m]
		if !known && !d.isOff(s, m, now) && now < d.since+d.leaseBoundMS() {
			continue
		}
		if len(s.Occupied(life)) > 0 {
			stops = append(stops, d.emptyMachine(s, life, away, now)...)
			continue
		}
		mayGo := w.Ordered[m] || d.downCount(s, w, now) < limit
		if mayGo && now >= d.upkeep.retryAt[m] && !d.upkeep.calling[m] {
			d.beginMaintenance(w, m, life)
		}
	}
	return stops
}

// waveWidth is the number of machines to have in hand at once so that the wave
// ends in time.
//
// Load pattern: a wave is due while the queues ask for more than their pools hold,
// so each machine that is away too early costs work.
func waveWidth(w *workload.Wave, now int64) int {
	left := int64(len(w.Machines) - len(w.Begun))
	end := w.StartedAt + w.DurationMS*waveTimeShare/100
	return int((left*machineTurnMS + max(end-now, machineTurnMS) - 1) / max(end-now, machineTurnMS))
}

// chooseOff takes the machines that are off: their maintenance costs no work.
func (d *Dispatcher) chooseOff(s *workload.State, w *workload.Wave, now int64) {
	for _, m := range w.Machines {
		_, taken := d.upkeep.emptying[m]
		if !taken && !w.Begun[m] && d.isOff(s, m, now) {
			d.upkeep.emptying[m] = w.Number
		}
	}
}

// chooseMachines takes machines into the wave's hands, those with the fewest tasks
// first. Machines out of reach can't be emptied and don't count.
func (d *Dispatcher) chooseMachines(s *workload.State, w *workload.Wave, want int, now int64) {
	taken := 0
	var rest []string
	for _, m := range w.Machines {
		switch _, taking := d.upkeep.emptying[m]; {
		case w.Ordered[m] && !w.Begun[m] && !taking:
			d.upkeep.emptying[m] = w.Number
			taken++
		case w.Begun[m]:
			if d.upkeep.isDown(m, now) && !d.inSparePool(s, m) {
				taken++
			}
		case taking && !d.inReach(m, now):
		case taking:
			taken++
		default:
			rest = append(rest, m)
		}
	}
	slices.SortStableFunc(rest, func(a, b string) int {
		return d.emptyingCost(s, a, now) - d.emptyingCost(s, b, now)
	})
	for _, m := range rest {
		if taken >= want {
			return
		}
		taken++
		d.upkeep.emptying[m] = w.Number
		d.logger.Info().Int64("wave", w.Number).Str("machine", m).Msg("machine is emptied for maintenance")
	}
}

// onItsWay tells whether the machine was moved and has not reported since.
func (d *Dispatcher) onItsWay(s *workload.State, machine string, now int64) bool {
	m, ok := d.fleet[machine]
	return ok && d.arriving(m, sparePool(s), now)
}

// isOff tells whether the machine is in the spare pool and can be ordered about.
func (d *Dispatcher) isOff(s *workload.State, machine string, now int64) bool {
	return d.inSparePool(s, machine) && d.fleet[machine].Up && !d.onItsWay(s, machine, now)
}

// inSparePool tells whether the machine is in the spare pool, where nothing runs.
func (d *Dispatcher) inSparePool(s *workload.State, machine string) bool {
	m, ok := d.fleet[machine]
	return ok && m.Pool == sparePool(s)
}

// inReach tells whether the machine's worker reported a short time ago.
func (d *Dispatcher) inReach(machine string, now int64) bool {
	w, ok := d.workerOn(machine)
	return ok && w.reports(now)
}

// unreachableCost puts machines out of reach behind all others.
const unreachableCost = 1 << 20

func (d *Dispatcher) emptyingCost(s *workload.State, machine string, now int64) int {
	if d.onItsWay(s, machine, now) || !d.inReach(machine, now) {
		return unreachableCost
	}
	return len(s.Occupied(d.byMachine[machine]))
}

// emptyMachine stops the long-running tasks of a machine as far as their steps
// allow; other tasks end by themselves.
func (d *Dispatcher) emptyMachine(s *workload.State, life workload.WorkerLife, away map[stepKey]int, now int64) []workload.Run {
	var stops []workload.Run
	for ref, p := range s.Occupied(life) {
		j, _, ok := s.Task(ref)
		if !ok || p.Stopping || !j.Steps[ref.Step].LongRunning {
			continue
		}
		step := &j.Steps[ref.Step]
		key := keyOf(ref)
		others := away[key]
		absent := !d.atWork(ref, life, now)
		if absent {
			others--
		}
		if others >= max(step.MaxUnavailable, 1) {
			continue
		}
		if !absent {
			away[key]++
		}
		stops = append(stops, workload.Run{Task: ref, Run: p.Run})
	}
	return stops
}

// stepKey names a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

func keyOf(ref workload.TaskRef) stepKey { return stepKey{ref.Job, ref.Occurrence, ref.Step} }

// awayCounts counts, for each long-running step, the tasks that are not at work.
func (d *Dispatcher) awayCounts(s *workload.State, now int64) map[stepKey]int {
	away := map[stepKey]int{}
	for id, j := range s.Active() {
		for k, o := range j.Occurrences {
			for step := range o.Steps {
				if !j.Steps[step].LongRunning {
					continue
				}
				for i := range o.Steps[step].Tasks {
					t := &o.Steps[step].Tasks[i]
					ref := workload.TaskRef{Job: id, Occurrence: k, Step: step, Index: i}
					if t.Phase != workload.Placed || !d.atWork(ref, t.Worker, now) {
						away[keyOf(ref)]++
					}
				}
			}
		}
	}
	return away
}

// atWork tells whether a fresh report of the worker shows the task at full work.
func (d *Dispatcher) atWork(ref workload.TaskRef, life workload.WorkerLife, now int64) bool {
	w, ok := d.workers[life]
	if !ok || !w.reports(now) {
		return false
	}
	r, ok := w.running[ref]
	return ok && r.Percent >= fullPace
}

// beginMaintenance calls the platform without holding up the cycle.
func (d *Dispatcher) beginMaintenance(w *workload.Wave, machine string, life workload.WorkerLife) {
	u := d.upkeep
	u.calling[machine] = true
	term := d.term
	go func() {
		p := &workload.Progress{Ordered: []workload.Maintained{{Wave: w.Number, Machine: machine}}}
		if !d.propose(context.Background(), p) {
			d.maintained(u, w.Number, machine, life, fleet.ErrUncertain)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), maintainTimeout)
		defer cancel()
		err := d.machines.Maintain(ctx, machine, w.Number, d.settings.Holder, term)
		d.maintained(u, w.Number, machine, life, err)
	}()
}

func (d *Dispatcher) maintained(u *upkeep, wave int64, machine string, life workload.WorkerLife, err error) {
	d.logger.Info().Err(err).Int64("wave", wave).Str("machine", machine).Msg("maintenance ordered")
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	defer d.Wake()
	switch {
	case err == nil:
		d.log.Read(func(s *fleet.State) {
			u.down[machine] = downMachine{life: life, until: now + d.downTimeMS(s.Workload, machine)}
		})
		if w, ok := d.workers[life]; ok {
			w.finish()
		}
	case errors.Is(err, ErrNoMachine):
	case errors.Is(err, ErrFenced):
		u.fenced = true
		delete(u.calling, machine)
		return
	default:
		u.retryAt[machine] = now + maintainRetryMS
		delete(u.calling, machine)
		return
	}
	go d.recordMaintained(u, wave, machine)
}

// downTimeMS is how long a machine may be down for its maintenance. One that is off
// reports nothing afterwards, so its time is taken from the platform's bounds.
func (d *Dispatcher) downTimeMS(s *workload.State, machine string) int64 {
	if d.inSparePool(s, machine) {
		return d.settings.MaintenanceDuration.Milliseconds() + maintenanceMarginMS
	}
	return backTimeoutMS
}

// recordMaintained commits that the maintenance has begun, and repeats until it is known.
func (d *Dispatcher) recordMaintained(u *upkeep, wave int64, machine string) {
	p := &workload.Progress{Maintained: []workload.Maintained{{Wave: wave, Machine: machine}}}
	for d.log.Leadership().Leading {
		if d.propose(context.Background(), p) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(u.calling, machine)
	delete(u.emptying, machine)
	d.Wake()
}

// WaveState tells whether a wave is known and complete.
func WaveState(s *fleet.State, number int64) (known, complete bool) {
	w, ok := s.Workload.Waves[number]
	return ok, ok && w.Complete()
}
