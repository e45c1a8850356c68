package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// register adds a new incarnation and terminates the earlier one of its worker.
func (d *Dispatcher) register(w *worker, now int64) {
	d.supersede(d.workers[d.byID[w.Incarnation.ID]])
	d.workers[w.Incarnation] = w
	d.byID[w.Incarnation.ID] = w.Incarnation
	if w.Machine != "" {
		d.occupyMachine(w, now)
	}
}

// occupyMachine makes the worker that of its machine and terminates the earlier one. An earlier
// one with another identifier that still reports is up and keeps the machine, whoever else
// names it: its runs must not start a second time elsewhere. The worker gets no tasks until
// the earlier one is silent.
func (d *Dispatcher) occupyMachine(w *worker, now int64) {
	if other, ok := d.workerOn(w.Machine); ok && other != w {
		if other.isLive(now) && other.Incarnation.ID != w.Incarnation.ID {
			d.logger.Warn().Str("worker", w.Incarnation.ID).Str("machine", w.Machine).Str("live_worker", other.Incarnation.ID).
				Msg("worker gets no tasks yet: another one reports from its machine")
			w.predecessor = other
			return
		}
		d.supersede(other)
	}
	w.predecessor = nil
	d.byMachine[w.Machine] = w.Incarnation
	d.updateMachine(w, now)
}

// hasOutlivedEnd reports whether a worker that counts as ended goes on reporting although its
// lease has expired and nothing has taken its place. Its end was inferred from an answer or a
// list of the platform, and was wrong. It runs nothing any more, so it can register like a
// worker that is not known.
func (d *Dispatcher) hasOutlivedEnd(w *worker, rep Report, now int64) bool {
	return w.terminated && rep.Sequence > w.Sequence && now > w.leaseExpiresAt &&
		d.byID[rep.Incarnation.ID] == rep.Incarnation && d.byMachine[rep.Machine] == rep.Incarnation
}

// supersede terminates a worker incarnation, if there is one, of which a later one reports.
func (d *Dispatcher) supersede(w *worker) {
	if w == nil || w.terminated {
		return
	}
	w.terminateCrashed()
	d.logger.Info().Str("worker", w.Incarnation.ID).Int64("born", w.Incarnation.Born).Msg("worker incarnation terminated: a later one reports")
}

// replaceSilent gives the machines of workers that fell silent to the ones that wait for them.
// The caller holds mu.
func (d *Dispatcher) replaceSilent(now int64) {
	for _, w := range d.workers {
		if w.predecessor != nil && !w.terminated && !w.predecessor.isLive(now) {
			d.occupyMachine(w, now)
		}
	}
}

// isExpected reports whether the sender of a first report is a worker: it belongs to a pool of
// the configuration, or runs, or has ended, tasks of known jobs. The pool of such a worker may
// have been removed. The caller holds mu.
func (d *Dispatcher) isExpected(rep Report) bool {
	expected := false
	d.log.Read(func(s *fleet.State) {
		_, expected = s.Workload.Config.Pools[rep.Pool]
		expected = expected || len(s.Workload.RunsOn(rep.Incarnation)) > 0
		for i := 0; i < len(rep.Running) && !expected; i++ {
			_, _, expected = s.Workload.Task(rep.Running[i].Task)
		}
		for i := 0; i < len(rep.Ended) && !expected; i++ {
			_, _, expected = s.Workload.Task(rep.Ended[i].Task)
		}
	})
	if !expected {
		d.sampledLog.Warn().Str("worker", rep.Incarnation.ID).Str("pool", rep.Pool).Str("machine", rep.Machine).
			Msg("report ignored: its pool is not in the configuration")
	}
	return expected
}

// isSuperseded reports whether a later incarnation of the same worker or machine is known
// whose lease has not expired. The caller holds mu.
func (d *Dispatcher) isSuperseded(rep Report, now int64) bool {
	for _, known := range d.knownIncarnations(rep) {
		other, ok := d.workers[known]
		if ok && known.Born > rep.Incarnation.Born && now < other.leaseExpiresAt {
			other.ignoredReports++
			return true
		}
	}
	return false
}

// knownIncarnations returns the incarnations that registered last with the worker
// identifier and on the machine of the report.
func (d *Dispatcher) knownIncarnations(rep Report) []workload.WorkerIncarnation {
	var incarnations []workload.WorkerIncarnation
	if incarnation, ok := d.byID[rep.Incarnation.ID]; ok {
		incarnations = append(incarnations, incarnation)
	}
	if incarnation, ok := d.byMachine[rep.Machine]; ok && rep.Machine != "" {
		incarnations = append(incarnations, incarnation)
	}
	return incarnations
}

// workerOn returns the worker that registered last on a machine, unless its record was
// removed.
func (d *Dispatcher) workerOn(machine string) (*worker, bool) {
	w, ok := d.workers[d.byMachine[machine]]
	return w, ok
}
