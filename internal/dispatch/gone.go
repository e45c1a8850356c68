package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// absentReads is the number of readings of the list in which a machine is missing
// until it counts as gone: a list of several pages may change between them. Lists
// that lack the machine of a worker that reports, and did so well before the list was
// asked for, are no evidence of absence.
const (
	absentReads = 2
	longKnownMS = 2000
)

// suspects tells whether a worker with tasks is silent, so that the platform's list
// can tell a crash from a cut.
func (d *Dispatcher) suspects() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	found := false
	d.log.Read(func(s *fleet.State) {
		for life := range s.Workload.OccupiedLives() {
			found = found || now-d.silentSince(life) > staleMS && !d.lost(life, now)
		}
	})
	return found
}

// silentSince is when the life was last heard; the begin of the leadership for a
// life that was not heard under it.
func (d *Dispatcher) silentSince(life workload.WorkerLife) int64 {
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
func (d *Dispatcher) endGone(s *workload.State, listed map[string]MachineInfo, asked int64) {
	complete := d.isComplete(listed, asked)
	for life, w := range d.workers {
		if !w.over && d.isGone(life, w.Machine, listed, complete, asked) {
			w.finish()
			d.Wake()
		}
	}
	for life, runs := range s.OccupiedLives() {
		if _, known := d.workers[life]; !known && !d.gone[life] && d.isGone(life, machineOf(runs), listed, complete, asked) {
			d.gone[life] = true
			d.Wake()
		}
	}
}

// isComplete tells whether the list names the machines of all workers that report.
func (d *Dispatcher) isComplete(listed map[string]MachineInfo, asked int64) bool {
	for _, w := range d.workers {
		if w.Machine == "" || !w.reports(asked) || asked-w.joinedAt < longKnownMS {
			continue
		}
		if _, ok := listed[w.Machine]; !ok {
			return false
		}
	}
	return true
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
func (d *Dispatcher) isGone(life workload.WorkerLife, machine string, listed map[string]MachineInfo, complete bool, asked int64) bool {
	silentMS := asked - d.silentSince(life)
	if machine == "" || silentMS <= staleMS {
		delete(d.absent, life)
		return false
	}
	info, found := listed[machine]
	reason := ""
	switch {
	case !found && !complete:
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
		Int64("silent_ms", silentMS).Int64("listed_at", asked).Msg("worker life is over by the platform's list")
	return true
}

// abandon returns the speculative runs on a silent worker that may start elsewhere
// as copies, as long as most other workers are heard: a leader that hears few is
// cut off or has just begun itself.
//
// Load pattern: a data centre is cut off or workers crash without a sign; what runs
// there would wait for the end of the leases.
func (d *Dispatcher) abandon(s *workload.State, life workload.WorkerLife, now int64) []workload.End {
	silentSince := d.since + newLeaderGraceMS
	if w, ok := d.workers[life]; ok {
		silentSince = w.heardAt
	}
	if now-silentSince <= staleMS || !d.hearsMost(s, now) {
		return nil
	}
	var ends []workload.End
	for ref, p := range s.Occupied(life) {
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
	for life := range s.OccupiedLives() {
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
