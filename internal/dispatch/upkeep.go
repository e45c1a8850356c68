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
	// machineTurnaroundMS is the time that one machine takes from the decision to empty it
	// until it works again: tasks of 1 to 3 s end, and the maintenance of 2 s.
	machineTurnaroundMS = 4500
	// waveTimePercent is the part of a wave's time, in percent, within which it is
	// planned to end; the rest is for changes of leader and workers out of reach.
	waveTimePercent = 60
	// returnTimeoutMS is the time after which a machine that was maintained and is not
	// heard of no longer counts as down for its wave: it was lost since.
	returnTimeoutMS = 15000
	// maintenanceMarginMS is added to the time of a maintenance of a machine that is off.
	maintenanceMarginMS = 500
	maintainCallTimeout = 3 * time.Second
	// machineCallRetryMS is the pause after a call that failed.
	machineCallRetryMS = 400
)

// maintenance follows the maintenance of machines under one leadership. Guarded by the
// dispatcher's mu.
type maintenance struct {
	leadingSince int64
	// draining holds the machines that get no new tasks, by wave.
	draining map[string]int64
	// down holds the life of each machine that was told to begin its maintenance.
	down map[string]downMachine
	// callsInFlight holds the machines for which a call is under way.
	callsInFlight map[string]bool
	retryAt       map[string]int64
	hasReported   map[string]bool
	fenced        bool
}

type downMachine struct {
	incarnation workload.WorkerLife
	// returnBy is when the machine counts as back, if no worker reports from it before.
	returnBy int64
}

func newMaintenance(now int64) *maintenance {
	return &maintenance{
		leadingSince: now, draining: map[string]int64{}, down: map[string]downMachine{},
		callsInFlight: map[string]bool{}, retryAt: map[string]int64{}, hasReported: map[string]bool{},
	}
}

// isReserved tells whether the machine gets no new tasks.
func (mt *maintenance) isReserved(machine string, now int64) bool {
	_, isDraining := mt.draining[machine]
	return isDraining || mt.isDown(machine, now) || mt.callsInFlight[machine]
}

// isDown tells whether the machine is down for its maintenance.
func (mt *maintenance) isDown(machine string, now int64) bool {
	m, ok := mt.down[machine]
	return ok && now < m.returnBy
}

// recordReport records that a life of the machine reports.
func (mt *maintenance) recordReport(machine string, incarnation workload.WorkerLife) {
	mt.hasReported[machine] = true
	if m, ok := mt.down[machine]; ok && m.incarnation != incarnation {
		delete(mt.down, machine)
	}
}

// downCount counts the machines of the wave that are, or may be, down for it.
func (d *Dispatcher) downCount(s *workload.State, w *workload.Wave, now int64) int {
	mt := d.maintenance
	n := 0
	for _, m := range w.Machines {
		ordered := w.Ordered[m] && !w.Begun[m]
		if mt.isDown(m, now) || ordered || mt.callsInFlight[m] || d.mayBeDown(s, w, m, now) {
			n++
		}
	}
	return n
}

// mayBeDown tells whether the maintenance of a machine, begun under an earlier
// leadership, may still go on.
func (d *Dispatcher) mayBeDown(s *workload.State, w *workload.Wave, machine string, now int64) bool {
	_, startedHere := d.maintenance.down[machine]
	if !w.Begun[machine] || d.maintenance.hasReported[machine] || startedHere {
		return false
	}
	return now-d.maintenance.leadingSince < d.maxDownTimeMS(s, machine)
}

// runsToStop advances the waves and returns the runs to stop so that machines become
// empty, and runs that stand still. The caller holds mu.
func (d *Dispatcher) runsToStop(s *workload.State, now int64) []workload.Run {
	var stops []workload.Run
	if open := d.openWaves(s); len(open) > 0 {
		unavailable := d.unavailableCounts(s, now)
		for _, number := range open {
			stops = append(stops, d.advanceWave(s, s.Waves[number], unavailable, now)...)
		}
	}
	stops = append(stops, d.drainStops(s, now)...)
	stops = append(stops, d.stalledRuns(s, now)...)
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
func (d *Dispatcher) advanceWave(s *workload.State, w *workload.Wave, unavailable map[stepKey]int, now int64) []workload.Run {
	if d.maintenance.fenced || d.provider == nil {
		return nil
	}
	limit := max(w.MaxDown, 1)
	d.selectOffMachines(s, w, now)
	d.selectMachines(s, w, min(limit, waveConcurrency(w, now)), now)
	var stops []workload.Run
	for _, m := range w.Machines {
		if d.maintenance.draining[m] != w.Number || w.Begun[m] || d.isMachineInTransit(s, m, now) {
			continue
		}
		incarnation, known := d.byMachine[m]
		if !known && !d.isOff(s, m, now) && now < d.leadingSince+d.leaseBoundMS() {
			continue
		}
		if len(s.Occupied(incarnation)) > 0 {
			stops = append(stops, d.drainMachine(s, incarnation, unavailable, now)...)
			continue
		}
		withinLimit := w.Ordered[m] || d.downCount(s, w, now) < limit
		if withinLimit && now >= d.maintenance.retryAt[m] && !d.maintenance.callsInFlight[m] {
			d.startMaintenance(w, m, incarnation)
		}
	}
	return stops
}

// waveConcurrency is the number of machines to have in hand at once so that the wave
// ends in time.
//
// Load pattern: a wave is due while the queues ask for more than their pools hold,
// so each machine that is away too early costs work.
func waveConcurrency(w *workload.Wave, now int64) int {
	remaining := int64(len(w.Machines) - len(w.Begun))
	end := w.StartedAt + w.DurationMS*waveTimePercent/100
	return int((remaining*machineTurnaroundMS + max(end-now, machineTurnaroundMS) - 1) / max(end-now, machineTurnaroundMS))
}

// selectOffMachines takes the machines that are off: their maintenance costs no work.
func (d *Dispatcher) selectOffMachines(s *workload.State, w *workload.Wave, now int64) {
	for _, m := range w.Machines {
		_, isDraining := d.maintenance.draining[m]
		if !isDraining && !w.Begun[m] && d.isOff(s, m, now) {
			d.maintenance.draining[m] = w.Number
		}
	}
}

// selectMachines takes machines into the wave's hands, those with the fewest tasks
// first. Machines out of reach can't be emptied and don't count.
func (d *Dispatcher) selectMachines(s *workload.State, w *workload.Wave, want int, now int64) {
	inProgress := 0
	var candidates []string
	for _, m := range w.Machines {
		switch _, isDraining := d.maintenance.draining[m]; {
		case w.Ordered[m] && !w.Begun[m] && !isDraining:
			d.maintenance.draining[m] = w.Number
			inProgress++
		case w.Begun[m]:
			if d.maintenance.isDown(m, now) && !d.inSparePool(s, m) {
				inProgress++
			}
		case isDraining && !d.isReachable(m, now):
		case isDraining:
			inProgress++
		default:
			candidates = append(candidates, m)
		}
	}
	slices.SortStableFunc(candidates, func(a, b string) int {
		return d.drainCost(s, a, now) - d.drainCost(s, b, now)
	})
	for _, m := range candidates {
		if inProgress >= want {
			return
		}
		inProgress++
		d.maintenance.draining[m] = w.Number
		d.logger.Info().Int64("wave", w.Number).Str("machine", m).Msg("machine is emptied for maintenance")
	}
}

// isMachineInTransit tells whether the machine was moved and has not reported since.
func (d *Dispatcher) isMachineInTransit(s *workload.State, machine string, now int64) bool {
	m, ok := d.machinesByName[machine]
	return ok && d.inTransit(m, sparePool(s), now)
}

// isOff tells whether the machine is in the spare pool and can be ordered about.
func (d *Dispatcher) isOff(s *workload.State, machine string, now int64) bool {
	return d.inSparePool(s, machine) && d.machinesByName[machine].Up && !d.isMachineInTransit(s, machine, now)
}

// inSparePool tells whether the machine is in the spare pool, where nothing runs.
func (d *Dispatcher) inSparePool(s *workload.State, machine string) bool {
	m, ok := d.machinesByName[machine]
	return ok && m.Pool == sparePool(s)
}

// isReachable tells whether the machine's worker reported a short time ago.
func (d *Dispatcher) isReachable(machine string, now int64) bool {
	w, ok := d.workerOn(machine)
	return ok && w.isLive(now)
}

// unreachableCost puts machines out of reach behind all others.
const unreachableCost = 1 << 20

func (d *Dispatcher) drainCost(s *workload.State, machine string, now int64) int {
	if d.isMachineInTransit(s, machine, now) || !d.isReachable(machine, now) {
		return unreachableCost
	}
	return len(s.Occupied(d.byMachine[machine]))
}

// drainMachine stops the long-running tasks of a machine as far as their steps
// allow; other tasks end by themselves.
func (d *Dispatcher) drainMachine(s *workload.State, incarnation workload.WorkerLife, unavailable map[stepKey]int, now int64) []workload.Run {
	var stops []workload.Run
	for ref, p := range s.Occupied(incarnation) {
		j, _, ok := s.Task(ref)
		if !ok || p.Stopping || !j.Steps[ref.Step].LongRunning {
			continue
		}
		step := &j.Steps[ref.Step]
		key := keyOf(ref)
		others := unavailable[key]
		alreadyUnavailable := !d.isFullyActive(ref, incarnation, now)
		if alreadyUnavailable {
			others--
		}
		if others >= max(step.MaxUnavailable, 1) {
			continue
		}
		if !alreadyUnavailable {
			unavailable[key]++
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

// unavailableCounts counts, for each long-running step, the tasks that are not at work.
func (d *Dispatcher) unavailableCounts(s *workload.State, now int64) map[stepKey]int {
	unavailable := map[stepKey]int{}
	for id, j := range s.Active() {
		for k, o := range j.Occurrences {
			for step := range o.Steps {
				if !j.Steps[step].LongRunning {
					continue
				}
				for i := range o.Steps[step].Tasks {
					t := &o.Steps[step].Tasks[i]
					ref := workload.TaskRef{Job: id, Occurrence: k, Step: step, Index: i}
					if t.Phase != workload.Placed || !d.isFullyActive(ref, t.Worker, now) {
						unavailable[keyOf(ref)]++
					}
				}
			}
		}
	}
	return unavailable
}

// isFullyActive tells whether a fresh report of the worker shows the task at full work.
func (d *Dispatcher) isFullyActive(ref workload.TaskRef, incarnation workload.WorkerLife, now int64) bool {
	w, ok := d.workers[incarnation]
	if !ok || !w.isLive(now) {
		return false
	}
	r, ok := w.running[ref]
	return ok && r.Percent >= fullPace
}

// startMaintenance calls the platform without holding up the cycle.
func (d *Dispatcher) startMaintenance(w *workload.Wave, machine string, incarnation workload.WorkerLife) {
	mt := d.maintenance
	mt.callsInFlight[machine] = true
	term := d.term
	go func() {
		p := &workload.Progress{Ordered: []workload.Maintained{{Wave: w.Number, Machine: machine}}}
		if !d.propose(context.Background(), p) {
			d.finishMaintenanceCall(mt, w.Number, machine, incarnation, fleet.ErrUncertain)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), maintainCallTimeout)
		defer cancel()
		err := d.provider.Maintain(ctx, machine, w.Number, d.settings.Holder, term)
		d.finishMaintenanceCall(mt, w.Number, machine, incarnation, err)
	}()
}

func (d *Dispatcher) finishMaintenanceCall(mt *maintenance, wave int64, machine string, incarnation workload.WorkerLife, err error) {
	d.logger.Info().Err(err).Int64("wave", wave).Str("machine", machine).Msg("maintenance ordered")
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	defer d.Wake()
	switch {
	case err == nil:
		d.log.Read(func(s *fleet.State) {
			mt.down[machine] = downMachine{incarnation: incarnation, returnBy: now + d.maxDownTimeMS(s.Workload, machine)}
		})
		if w, ok := d.workers[incarnation]; ok {
			w.terminate()
		}
	case errors.Is(err, ErrNoMachine):
	case errors.Is(err, ErrFenced):
		mt.fenced = true
		delete(mt.callsInFlight, machine)
		return
	default:
		mt.retryAt[machine] = now + machineCallRetryMS
		delete(mt.callsInFlight, machine)
		return
	}
	go d.recordMaintained(mt, wave, machine)
}

// maxDownTimeMS is how long a machine may be down for its maintenance. One that is off
// reports nothing afterwards, so its time is taken from the platform's bounds.
func (d *Dispatcher) maxDownTimeMS(s *workload.State, machine string) int64 {
	if d.inSparePool(s, machine) {
		return d.settings.MaintenanceDuration.Milliseconds() + maintenanceMarginMS
	}
	return returnTimeoutMS
}

// recordMaintained commits that the maintenance has begun, and repeats until it is known.
func (d *Dispatcher) recordMaintained(mt *maintenance, wave int64, machine string) {
	p := &workload.Progress{Maintained: []workload.Maintained{{Wave: wave, Machine: machine}}}
	for d.log.Leadership().Leading {
		if d.propose(context.Background(), p) {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(mt.callsInFlight, machine)
	delete(mt.draining, machine)
	d.Wake()
}

// WaveState tells whether a wave is known and complete.
func WaveState(s *fleet.State, number int64) (known, complete bool) {
	w, ok := s.Workload.Waves[number]
	return ok, ok && w.Complete()
}
