package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// absentReads is the number of readings of the list in which a machine is missing
	// until it counts as gone: a list of several pages may change between them.
	absentReads = 2
	// longKnownMS is how long a worker must have reported for its machine to be on a
	// list that is complete: a machine may be new.
	longKnownMS = 2000
)

// reading is one reading of the platform's list of machines.
type reading struct {
	machines map[string]MachineInfo
	// asked is the cluster time at which it was asked for: what it shows is not older.
	asked int64
	// complete is true when it names the machines of the workers that report. Only
	// then a machine that is missing may be gone.
	complete bool
}

// suspects tells whether a worker with tasks is silent, so that the platform's list
// can tell a crash from a cut.
func (d *Dispatcher) suspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	found := false
	d.log.Read(func(s *fleet.State) {
		for life := range s.Workload.RunsByWorker() {
			found = found || now-d.silentSince(life) > staleMS && !d.lost(life, now)
		}
	})
	return found
}

// silentSince is when the life was last heard; the begin of the leadership for a
// life that was not heard under it.
func (d *Dispatcher) silentSince(life workload.WorkerIncarnation) int64 {
	if w, ok := d.workers[life]; ok {
		return w.heardAt
	}
	return d.since
}

// endGone ends the silent lives that a list, asked for after their silence began,
// shows to be gone. The caller holds mu.
//
// Load pattern: a part of a pool crashes without a sign, at times together with the
// leader; what ran there would wait for the end of the leases, 10 s.
func (d *Dispatcher) endGone(s *workload.State, r reading) {
	r.complete = d.isComplete(r)
	for life, w := range d.workers {
		if !w.over && d.isGone(life, w.Machine, r) {
			w.finish()
			d.Wake()
		}
	}
	for life, runs := range s.RunsByWorker() {
		if _, known := d.workers[life]; !known && !d.gone[life] && d.isGone(life, machineOf(runs), r) {
			d.gone[life] = true
			d.Wake()
		}
	}
}

// isComplete tells whether the list names the machines of all workers that report,
// of which there must be one.
func (d *Dispatcher) isComplete(r reading) bool {
	checked := 0
	for _, w := range d.workers {
		if w.Machine == "" || !w.reports(r.asked) || r.asked-w.joinedAt < longKnownMS {
			continue
		}
		checked++
		if _, ok := r.machines[w.Machine]; !ok {
			return false
		}
	}
	return checked > 0
}

func machineOf(runs map[workload.TaskRef]*workload.Placement) string {
	for _, p := range runs {
		return p.Machine
	}
	return ""
}

// isGone judges one life by the list. A machine that is up with the life's own
// worker may be cut off, and a worker that restarted under its identifier reports
// by itself.
func (d *Dispatcher) isGone(life workload.WorkerIncarnation, machine string, r reading) bool {
	silentMS := r.asked - d.silentSince(life)
	if machine == "" || silentMS <= staleMS {
		delete(d.absent, life)
		return false
	}
	info, found := r.machines[machine]
	reason := ""
	switch {
	case !found && !r.complete:
		return false
	case !found:
		d.absent[life]++
		if d.absent[life] < absentReads {
			return false
		}
		reason = "its machine is not listed"
	case !info.Up:
		reason = "its machine is not up"
	case info.Worker != "" && info.Worker != life.ID:
		reason = "its machine has another worker"
	default:
		delete(d.absent, life)
		return false
	}
	d.logger.Info().Str("worker", life.ID).Int64("born", life.Born).Str("machine", machine).Str("reason", reason).
		Int64("silent_ms", silentMS).Int64("listed_at", r.asked).Msg("worker life is over by the platform's list")
	return true
}

// abandon returns the speculative runs on a silent worker that may start elsewhere
// as copies. It is asked only while most workers are heard: a leader that hears few
// is cut off or has just begun itself.
//
// Load pattern: a data centre is cut off or workers crash without a sign; what runs
// there would wait for the end of the leases.
func (d *Dispatcher) abandon(s *workload.State, life workload.WorkerIncarnation, now int64) []workload.End {
	silentSince := d.silentSince(life)
	if _, heard := d.workers[life]; !heard {
		silentSince += newLeaderGraceMS
	}
	if now-silentSince <= staleMS {
		return nil
	}
	var ends []workload.End
	for ref, p := range s.RunsOn(life) {
		j, _, ok := s.Task(ref)
		if ok && !p.Stopping && j.Steps[ref.Step].Speculative && !j.Steps[ref.Step].Gang {
			d.noteFailure(ref, life.ID)
			ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: life, Outcome: workload.OutcomeAbandoned})
		}
	}
	return ends
}

// hearsMost tells whether more than half of the workers that are known or should
// run something reported a short time ago.
func (d *Dispatcher) hearsMost(s *workload.State, now int64) bool {
	heard, known := 0, 0
	for life := range s.RunsByWorker() {
		if _, ok := d.workers[life]; !ok {
			known++
		}
	}
	for _, w := range d.workers {
		if w.over {
			continue
		}
		known++
		if w.reports(now) {
			heard++
		}
	}
	return heard > known/2
}
