package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

// maintenance tracks the waves of machine maintenance, and the calls to the platform, under
// one leadership. Times are cluster time in milliseconds. Guarded by Dispatcher.mu.
type maintenance struct {
	leadingSince int64
	// draining holds the machines that get no new tasks, with the number of their wave.
	draining map[string]int64
	// blockedSince holds the draining machines on which only long-running tasks remain that
	// can't stop now.
	blockedSince map[string]int64
	// down holds the machines that were told to start their maintenance.
	down map[string]downMachine
	// ordered holds the machines whose maintenance was ordered under this leadership, with the
	// incarnation that the first order ends. It is zero if an earlier leader gave that order.
	ordered map[string]workload.WorkerIncarnation
	// callsInFlight holds the machines for which a call to the platform is in flight.
	callsInFlight map[string]bool
	// retryAt is the earliest time of the next call for a machine, after a failed one.
	retryAt map[string]int64
	// refusedAt holds when the order for a machine of a wave was first refused for good.
	refusedAt map[workload.WaveMachine]int64
	// hasReported holds the machines from which a report was received that was sent under this
	// leadership.
	hasReported map[string]bool
	// fenced is true after ErrFenced: a later leader calls the platform, so this one stops.
	fenced bool
	// starting holds the machines whose maintenance this cycle starts.
	starting []maintenanceStart
	// begun holds the machines whose maintenance has begun and is not recorded yet, and
	// recording is true while they are being recorded.
	begun     []workload.WaveMachine
	recording bool
}

// maintenanceStart is a machine whose maintenance is to start.
type maintenanceStart struct {
	workload.WaveMachine
	// endedWorker is the incarnation that was on the machine at the first order for it, zero if it
	// is not known.
	endedWorker workload.WorkerIncarnation
	order       MachineOrder
}

// downMachine is a machine under maintenance.
type downMachine struct {
	// answeredAt is the time of the answer that its maintenance has begun, and returnBy when it
	// counts as back even if no worker has reported from it.
	answeredAt, returnBy int64
}

func newMaintenance(now int64) *maintenance {
	return &maintenance{
		leadingSince: now, draining: map[string]int64{}, blockedSince: map[string]int64{}, down: map[string]downMachine{},
		ordered:       map[string]workload.WorkerIncarnation{},
		callsInFlight: map[string]bool{}, retryAt: map[string]int64{}, refusedAt: map[workload.WaveMachine]int64{}, hasReported: map[string]bool{},
	}
}

// isReserved reports whether the machine gets no new tasks.
func (mt *maintenance) isReserved(machine string, now int64) bool {
	_, isDraining := mt.draining[machine]
	return isDraining || mt.isDown(machine, now) || mt.callsInFlight[machine]
}

// isDown reports whether the machine is down for its maintenance.
func (mt *maintenance) isDown(machine string, now int64) bool {
	m, ok := mt.down[machine]
	return ok && now < m.returnBy
}

// recordReport records a report of the worker of a machine. It shows that the machine is back if
// it was sent after the maintenance began, and a heartbeat may arrive late: one that is received
// confirmUpMS after the answer, or after this leadership began, counts as sent after it.
func (mt *maintenance) recordReport(machine string, now int64) {
	if now-mt.leadingSince > confirmUpMS {
		mt.hasReported[machine] = true
	}
	if m, ok := mt.down[machine]; ok && now-m.answeredAt > confirmUpMS {
		delete(mt.down, machine)
	}
}
