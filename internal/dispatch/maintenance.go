package dispatch

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// Errors of a MachineProvider. Each stands for a complete answer that names its reason. After any
// other error the operation may have been carried out.
var (
	// ErrFenced means that a later leader has called the platform for this machine.
	ErrFenced = errors.New("dispatch: a later leader controls this machine")
	// ErrMachineBusy means that the machine is not up; a retry may succeed.
	ErrMachineBusy = errors.New("dispatch: the machine is not up")
	// ErrNoMachine means that the machine or the pool does not exist.
	ErrNoMachine = errors.New("dispatch: the machine or the pool does not exist")
	// ErrNotInWave means that the machine is not due in the wave.
	ErrNotInWave = errors.New("dispatch: the machine is not due in this wave")
	// ErrNotPermitted means that the order was not sent, because the caller no longer leads or a
	// long-running task is on the machine.
	ErrNotPermitted = errors.New("dispatch: the order was not sent, its sender no longer leads or a long-running task is on the machine")
	// ErrThrottled means that the platform rejected the call because of its rate limit; a
	// retry may succeed.
	ErrThrottled = errors.New("dispatch: the platform rejected the call because of its rate limit")
)

const (
	// machineTurnaroundMS is the time from the decision to drain a machine until it works
	// again: its tasks of 1 to 3 s end, and the maintenance takes 2 s.
	machineTurnaroundMS = 4500
	// waveTimePercent is the part of a wave's duration within which it is planned to end.
	// The rest is for changes of leader and unreachable workers.
	waveTimePercent = 60
	// returnTimeoutMS is the time from the start of its maintenance after which a machine
	// that has not reported no longer counts as down for its wave: it was lost in the
	// meantime.
	returnTimeoutMS = 15000
	// maintenanceMarginMS is added to the maintenance time of a machine that is off.
	maintenanceMarginMS = 500
	maintainCallTimeout = 3 * time.Second
	// blockedDrainMS is the time after which a machine whose long-running tasks can't stop
	// returns to service, and drainRetryMS the time until it is drained again.
	blockedDrainMS = 6000
	drainRetryMS   = 6000
	// confirmUpMS is the time from an order or a change of leader until a report that is received
	// counts as sent after it. It is longer than most heartbeats take.
	confirmUpMS = 1500
	// confirmRefusalMS is the time after which an order is given once more that was refused for good.
	// Only a second refusal decides that a wave goes on without the machine.
	confirmRefusalMS = 2000
	// machineCallRetryMS is the delay after a failed call to maintain or move a machine.
	machineCallRetryMS = 400
)

// downCount returns the number of machines of the wave that are or may be down for it.
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

// mayBeDown reports whether the maintenance of a machine that was started under an earlier
// leadership may still be in progress.
func (d *Dispatcher) mayBeDown(s *workload.State, w *workload.Wave, machine string, now int64) bool {
	_, startedHere := d.maintenance.down[machine]
	if !w.Begun[machine] || d.maintenance.hasReported[machine] || startedHere {
		return false
	}
	return now-d.maintenance.leadingSince < d.maxDownTimeMS(s, machine)
}

// runsToStop advances the maintenance waves and returns all stops that the gate admits: to drain
// machines and workers, and of runs that are stalled or slow. Maintenance comes last, since only
// it can wait. The caller holds mu.
func (d *Dispatcher) runsToStop(s *workload.State, gate *workload.Interruptions, now int64) []stopDecision {
	stops := d.admitStops(s, gate, stopStalled, d.stalledRuns(s, now), now)
	stops = append(stops, d.admitStops(s, gate, stopWithheld, d.withheldRuns(s), now)...)
	stops = append(stops, d.admitStops(s, gate, stopForDrain, d.drainStops(s, now), now)...)
	stops = append(stops, d.admitStops(s, gate, stopSlow, unforced(d.stragglers(s, now)), now)...)
	for _, number := range d.openWaves(s) {
		stops = append(stops, d.advanceWave(s, s.Waves[number], gate, now)...)
	}
	d.startMaintenance()
	return stops
}

// openWaves returns the numbers of the waves that are not complete, in ascending order.
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

// advanceWave drains machines and starts their maintenance, and returns the runs to stop
// for it. A new leader does not know what a machine runs until its worker has reported or
// the leases of the earlier leader have expired.
func (d *Dispatcher) advanceWave(s *workload.State, w *workload.Wave, gate *workload.Interruptions, now int64) []stopDecision {
	if d.maintenance.fenced || d.provider == nil {
		return nil
	}
	limit := max(w.MaxDown, 1)
	d.resumeOrdered(w)
	d.selectOffMachines(s, w, now)
	if d.allPoolsReporting(s, now) {
		d.selectMachines(s, w, min(limit, waveConcurrency(w, d.machinesToDrain(s, w, now), now)), now)
	}
	down := d.downCount(s, w, now)
	var stops []stopDecision
	for _, m := range w.Machines {
		if d.maintenance.draining[m] != w.Number || w.Begun[m] || d.isMachineInTransit(s, m, now) {
			continue
		}
		incarnation, known := d.byMachine[m]
		if !known && !d.isOff(s, m, now) && now < d.leadingSince+d.leaseBoundMS() {
			continue
		}
		if len(s.RunsOn(incarnation)) > 0 {
			toStop := d.drainMachine(s, incarnation, gate, now)
			stops = append(stops, toStop...)
			d.suspendBlockedDrain(w, m, len(toStop) == 0 && onlyLongRunning(s.RunsOn(incarnation)), now)
			continue
		}
		if d.reportsLongRunning(s, m, now) {
			continue
		}
		withinLimit := w.Ordered[m] || down < limit
		if !withinLimit || now < d.maintenance.retryAt[m] || d.maintenance.callsInFlight[m] {
			continue
		}
		if !w.Ordered[m] {
			down++
		}
		d.orderMaintenance(w, m, incarnation)
	}
	return stops
}

// resumeOrdered reserves the machines whose maintenance an earlier leader may have ordered: the
// order may be on its way, and would end what is placed there.
func (d *Dispatcher) resumeOrdered(w *workload.Wave) {
	for _, m := range w.Machines {
		if _, isDraining := d.maintenance.draining[m]; !isDraining && w.Ordered[m] && !w.Begun[m] {
			d.maintenance.draining[m] = w.Number
		}
	}
}

// orderMaintenance adds a machine to those whose maintenance this cycle starts. The first order
// ends the worker that is on the machine now. If an earlier leader gave it, that worker is not
// known: the present one may be the one after the maintenance.
func (d *Dispatcher) orderMaintenance(w *workload.Wave, m string, incarnation workload.WorkerIncarnation) {
	mt := d.maintenance
	if _, orderedHere := mt.ordered[m]; !orderedHere {
		mt.ordered[m] = workload.WorkerIncarnation{}
		if !w.Ordered[m] {
			mt.ordered[m] = incarnation
		}
	}
	mt.callsInFlight[m] = true
	d.logMachineRuns(m).Int64("wave", w.Number).Msg("maintenance is ordered")
	mt.starting = append(mt.starting, maintenanceStart{WaveMachine: workload.WaveMachine{Wave: w.Number, Machine: m}, endedWorker: mt.ordered[m], order: d.machineOrder(m)})
}

// waveConcurrency returns the number of machines to drain at once so that the given number is
// done when the wave ends. It is as low as possible: a wave may be due while the queues need more
// than their pools have, and then each machine taken too early costs work.
func waveConcurrency(w *workload.Wave, machines int, now int64) int {
	end := w.StartedAt + w.DurationMS*waveTimePercent/100
	return int((int64(machines)*machineTurnaroundMS + max(end-now, machineTurnaroundMS) - 1) / max(end-now, machineTurnaroundMS))
}

// machinesToDrain returns the number of machines of the wave that may run tasks and whose
// maintenance has not begun. Those that are off take no part in a pool's work.
func (d *Dispatcher) machinesToDrain(s *workload.State, w *workload.Wave, now int64) int {
	n := 0
	for _, m := range w.Machines {
		if !w.Begun[m] && !d.isOff(s, m, now) {
			n++
		}
	}
	return n
}

// selectOffMachines selects the machines that are off: their maintenance costs no work.
func (d *Dispatcher) selectOffMachines(s *workload.State, w *workload.Wave, now int64) {
	for _, m := range w.Machines {
		_, isDraining := d.maintenance.draining[m]
		if !isDraining && !w.Begun[m] && d.isOff(s, m, now) {
			d.maintenance.draining[m] = w.Number
		}
	}
}

// selectMachines selects machines to drain until want are in progress, those with the
// fewest tasks first. Unreachable machines can't be drained and don't count.
func (d *Dispatcher) selectMachines(s *workload.State, w *workload.Wave, want int, now int64) {
	inProgress := 0
	var candidates []string
	for _, m := range w.Machines {
		switch _, isDraining := d.maintenance.draining[m]; {
		case w.Begun[m]:
			if d.maintenance.isDown(m, now) && !d.inSparePool(s, m) {
				inProgress++
			}
		case isDraining && !d.isReachable(m, now):
		case isDraining:
			inProgress++
		case now >= d.maintenance.retryAt[m]:
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
		d.logger.Info().Int64("wave", w.Number).Str("machine", m).Msg("machine is drained for maintenance")
	}
}

// isMachineInTransit reports whether the named machine was moved and is not in its pool
// yet.
func (d *Dispatcher) isMachineInTransit(s *workload.State, machine string, now int64) bool {
	m, ok := d.machinesByName[machine]
	return ok && d.inTransit(m, sparePool(s), now)
}

// isOff reports whether the machine is off in the spare pool and can be moved or
// maintained.
func (d *Dispatcher) isOff(s *workload.State, machine string, now int64) bool {
	return d.inSparePool(s, machine) && d.machinesByName[machine].Up && !d.isMachineInTransit(s, machine, now)
}

// inSparePool reports whether the machine is in the spare pool, where nothing runs.
func (d *Dispatcher) inSparePool(s *workload.State, machine string) bool {
	m, ok := d.machinesByName[machine]
	return ok && m.Pool == sparePool(s)
}

// isReachable reports whether the machine's worker is live.
func (d *Dispatcher) isReachable(machine string, now int64) bool {
	w, ok := d.workerOn(machine)
	return ok && w.isLive(now)
}

// unreachableCost sorts unreachable machines after all others.
const unreachableCost = 1 << 20

// drainCost returns the number of tasks on the machine, which is the cost of draining it.
func (d *Dispatcher) drainCost(s *workload.State, machine string, now int64) int {
	if d.isMachineInTransit(s, machine, now) || !d.isReachable(machine, now) {
		return unreachableCost
	}
	return len(s.RunsOn(d.byMachine[machine]))
}

// drainMachine returns the stops of the machine's long-running tasks that the gate admits. Other
// tasks end by themselves.
func (d *Dispatcher) drainMachine(s *workload.State, incarnation workload.WorkerIncarnation, gate *workload.Interruptions, now int64) []stopDecision {
	var runs []workload.Run
	for ref, p := range s.RunsOn(incarnation) {
		if p.LongRunning && !p.Stopping {
			runs = append(runs, workload.Run{Task: ref, Run: p.Run})
		}
	}
	return d.admitStops(s, gate, stopForMaintenance, unforced(runs), now)
}

// suspendBlockedDrain returns a machine to service whose drain is blocked for too long.
//
// Another task of a step may wait for just this machine, because no other has the required
// label or room. As long as it waits, MaxUnavailable lets none of the machine's own tasks of the
// step stop, and a machine that only drains runs nothing else.
func (d *Dispatcher) suspendBlockedDrain(w *workload.Wave, machine string, blocked bool, now int64) {
	mt := d.maintenance
	if !blocked || w.Ordered[machine] {
		delete(mt.blockedSince, machine)
		return
	}
	since, known := mt.blockedSince[machine]
	if !known {
		mt.blockedSince[machine] = now
		return
	}
	if now-since < blockedDrainMS {
		return
	}
	delete(mt.blockedSince, machine)
	delete(mt.draining, machine)
	mt.retryAt[machine] = now + drainRetryMS
	d.logger.Info().Int64("wave", w.Number).Str("machine", machine).Int64("blocked_ms", now-since).
		Msg("drain for maintenance is suspended, the machine's long-running tasks can't stop")
}

// onlyLongRunning reports whether all runs are long-running and none is stopping.
func onlyLongRunning(runs map[workload.TaskRef]*workload.Placement) bool {
	for _, p := range runs {
		if !p.LongRunning || p.Stopping {
			return false
		}
	}
	return true
}

// stepKey identifies a step of an occurrence.
type stepKey struct {
	job              string
	occurrence, step int
}

func keyOf(ref workload.TaskRef) stepKey { return stepKey{ref.Job, ref.Occurrence, ref.Step} }

// maxDownTimeMS returns how long a machine may be down for its maintenance. A machine that
// is off does not report its return, so the platform's time for a maintenance is used.
func (d *Dispatcher) maxDownTimeMS(s *workload.State, machine string) int64 {
	if d.inSparePool(s, machine) {
		return d.settings.MaintenanceDuration.Milliseconds() + maintenanceMarginMS
	}
	return returnTimeoutMS
}

// WaveState reports whether the maintenance wave with this number is known, and whether it
// is complete: the maintenance of all its machines has started or found them gone.
func WaveState(s *fleet.State, number int64) (known, complete bool) {
	w, ok := s.Workload.Waves[number]
	return ok, ok && w.Complete()
}
