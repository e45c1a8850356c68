package dispatch

import (
	"context"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// startMaintenance records the orders of this cycle in one commit and calls the platform in
// the background, so that the cycle does not wait for it. The orders are recorded first: a
// later leader then counts the machines as ones that may be down. The caller holds mu.
func (d *Dispatcher) startMaintenance() {
	mt := d.maintenance
	starting := mt.starting
	mt.starting = nil
	if len(starting) == 0 {
		return
	}
	go func() {
		p := &workload.Progress{}
		for _, m := range starting {
			p.Ordered = append(p.Ordered, m.WaveMachine)
		}
		committed := d.propose(context.Background(), p)
		for _, m := range starting {
			switch {
			case !committed:
				d.finishMaintenanceCall(mt, m, fleet.ErrUncertain)
			case !d.isOrdered(m.WaveMachine):
				d.finishMaintenanceCall(mt, m, ErrNotPermitted)
			default:
				go d.callMaintain(mt, m)
			}
		}
	}()
}

// isOrdered reports whether the order for a machine is recorded.
func (d *Dispatcher) isOrdered(m workload.WaveMachine) bool {
	ordered := false
	d.log.Read(func(s *fleet.State) {
		w, ok := s.Workload.Waves[m.Wave]
		ordered = ok && w.Ordered[m.Machine]
	})
	return ordered
}

func (d *Dispatcher) callMaintain(mt *maintenance, m maintenanceStart) {
	d.mu.Lock()
	ctx, cancel := d.callContext(maintainCallTimeout)
	d.mu.Unlock()
	defer cancel()
	d.finishMaintenanceCall(mt, m, d.provider.Maintain(ctx, m.Machine, m.Wave, m.order))
}

// finishMaintenanceCall applies the result of a call to maintain a machine.
func (d *Dispatcher) finishMaintenanceCall(mt *maintenance, m maintenanceStart, err error) {
	d.logger.Info().Err(err).Int64("wave", m.Wave).Str("machine", m.Machine).Msg("maintenance attempt finished")
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	defer d.Wake()
	refused := d.isRefusedForGood(mt, m.WaveMachine, err, now)
	switch {
	case err == nil:
		d.markDown(mt, m, now)
	case refused:
		d.logger.Info().Err(err).Int64("wave", m.Wave).Str("machine", m.Machine).Msg("wave goes on without a machine")
	case errors.Is(err, ErrFenced):
		mt.fenced = true
		delete(mt.callsInFlight, m.Machine)
		return
	default:
		mt.retryAt[m.Machine] = max(mt.retryAt[m.Machine], now+machineCallRetryMS)
		d.noteFailedOrder(m.Machine, err, now)
		delete(mt.callsInFlight, m.Machine)
		return
	}
	mt.begun = append(mt.begun, m.WaveMachine)
	if !mt.recording {
		mt.recording = true
		go d.recordMaintained(mt)
	}
}

// isRefusedForGood reports whether the answer to an order shows that the machine has no maintenance in
// its wave: it is refused a second time and, if the machine is said not to exist, the platform's
// complete list does not contain it either. A wave that goes on without a machine never comes back
// to it.
func (d *Dispatcher) isRefusedForGood(mt *maintenance, m workload.WaveMachine, err error, now int64) bool {
	if !errors.Is(err, ErrNoMachine) && !errors.Is(err, ErrNotInWave) {
		delete(mt.refusedAt, m)
		return false
	}
	since, known := mt.refusedAt[m]
	if !known {
		since = now
		mt.refusedAt[m] = now
	}
	if now-since >= confirmRefusalMS && (errors.Is(err, ErrNotInWave) || d.latestListLacks(m.Machine, since)) {
		delete(mt.refusedAt, m)
		return true
	}
	mt.retryAt[m.Machine] = now + confirmRefusalMS
	return false
}

// markDown records that the maintenance of a machine has begun. The worker that was there at the
// first order has ended by then. Another one that reports now may be the one after the
// maintenance, since the answer may be late or that to a repetition: it goes on, and must only
// show that it is up.
func (d *Dispatcher) markDown(mt *maintenance, m maintenanceStart, now int64) {
	if w, ok := d.workers[m.endedWorker]; ok {
		w.terminate()
	}
	down := downMachine{answeredAt: now}
	d.log.Read(func(s *fleet.State) { down.returnBy = now + d.maxDownTimeMS(s.Workload, m.Machine) })
	mt.down[m.Machine] = down
}

// recordMaintained commits that the maintenance of machines has begun, those of calls that
// finished during a commit together in the next one. It retries until the commit is known
// or this store no longer leads.
func (d *Dispatcher) recordMaintained(mt *maintenance) {
	for {
		d.mu.Lock()
		begun := mt.begun
		mt.begun = nil
		mt.recording = len(begun) > 0
		d.mu.Unlock()
		if len(begun) == 0 {
			return
		}
		for d.log.Leadership().Leading && !d.propose(context.Background(), &workload.Progress{Begun: begun}) {
		}
		d.mu.Lock()
		for _, m := range begun {
			delete(mt.callsInFlight, m.Machine)
			delete(mt.draining, m.Machine)
			delete(mt.ordered, m.Machine)
		}
		d.mu.Unlock()
		d.Wake()
	}
}
