package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// missingListsThreshold is the number of readings of the list in which a machine is missing
	// until it counts as gone: a list of several pages may change between them.
	missingListsThreshold = 2
	// minReportingMS is how long a worker must have reported for its machine to be on a
	// list that is complete: a machine may be new.
	minReportingMS = 2000
)

// machineList is one machineList of the platform's list of machines.
type machineList struct {
	machines map[string]MachineInfo
	// requestedAt is the cluster time at which it was requestedAt for: what it shows is not older.
	requestedAt int64
	// complete is true when it names the machines of the workers that report. Only
	// then a machine that is missing may be gone.
	complete bool
}

// hasSilentWorkers tells whether a worker with tasks is silent, so that the platform's list
// can tell a crash from a cut.
func (d *Dispatcher) hasSilentWorkers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	found := false
	d.log.Read(func(s *fleet.State) {
		for incarnation := range s.Workload.OccupiedLives() {
			found = found || now-d.silentSince(incarnation) > heartbeatTimeoutMS && !d.isLost(incarnation, now)
		}
	})
	return found
}

// silentSince is when the life was last heard; the begin of the leadership for a
// life that was not heard under it.
func (d *Dispatcher) silentSince(incarnation workload.WorkerLife) int64 {
	if w, ok := d.workers[incarnation]; ok {
		return w.lastReportAt
	}
	return d.leadingSince
}

// terminateMissing ends the silent lives that a list, asked for after their silence began,
// shows to be gone. The caller holds mu.
//
// Load pattern: a part of a pool crashes without a sign, at times together with the
// leader; what ran there would wait for the end of the leases, 10 s.
func (d *Dispatcher) terminateMissing(s *workload.State, r machineList) {
	r.complete = d.isComplete(r)
	for incarnation, w := range d.workers {
		if !w.terminated && d.isTerminatedByList(incarnation, w.Machine, r) {
			w.terminate()
			d.Wake()
		}
	}
	for incarnation, runs := range s.OccupiedLives() {
		if _, known := d.workers[incarnation]; !known && !d.terminatedUnseen[incarnation] && d.isTerminatedByList(incarnation, machineOf(runs), r) {
			d.terminatedUnseen[incarnation] = true
			d.Wake()
		}
	}
}

// isComplete tells whether the list names the machines of all workers that report,
// of which there must be one.
func (d *Dispatcher) isComplete(r machineList) bool {
	checked := 0
	for _, w := range d.workers {
		if w.Machine == "" || !w.isLive(r.requestedAt) || r.requestedAt-w.firstReportAt < minReportingMS {
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

// isTerminatedByList judges one life by the list. A machine that is up with the life's own
// worker may be cut off, and a worker that restarted under its identifier reports
// by itself.
func (d *Dispatcher) isTerminatedByList(incarnation workload.WorkerLife, machine string, r machineList) bool {
	silentMS := r.requestedAt - d.silentSince(incarnation)
	if machine == "" || silentMS <= heartbeatTimeoutMS {
		delete(d.missingLists, incarnation)
		return false
	}
	info, found := r.machines[machine]
	reason := ""
	switch {
	case !found && !r.complete:
		return false
	case !found:
		d.missingLists[incarnation]++
		if d.missingLists[incarnation] < missingListsThreshold {
			return false
		}
		reason = "its machine is not listed"
	case !info.Up:
		reason = "its machine is not up"
	case info.Worker != "" && info.Worker != incarnation.ID:
		reason = "its machine has another worker"
	default:
		delete(d.missingLists, incarnation)
		return false
	}
	d.logger.Info().Str("worker", incarnation.ID).Int64("born", incarnation.Born).Str("machine", machine).Str("reason", reason).
		Int64("silent_ms", silentMS).Int64("listed_at", r.requestedAt).Msg("worker life is over by the platform's list")
	return true
}

// abandonedRuns returns the speculative runs on a silent worker that may start elsewhere
// as copies. It is asked only while most workers are heard: a leader that hears few
// is cut off or has just begun itself.
//
// Load pattern: a data centre is cut off or workers crash without a sign; what runs
// there would wait for the end of the leases.
func (d *Dispatcher) abandonedRuns(s *workload.State, incarnation workload.WorkerLife, now int64) []workload.End {
	silentSince := d.silentSince(incarnation)
	if _, heard := d.workers[incarnation]; !heard {
		silentSince += newLeaderGraceMS
	}
	if now-silentSince <= heartbeatTimeoutMS {
		return nil
	}
	var ends []workload.End
	for ref, p := range s.Occupied(incarnation) {
		j, _, ok := s.Task(ref)
		if ok && !p.Stopping && j.Steps[ref.Step].Speculative && !j.Steps[ref.Step].Gang {
			d.recordFailure(ref, incarnation.ID)
			ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: incarnation, Outcome: workload.OutcomeAbandoned})
		}
	}
	return ends
}

// hearsMajority tells whether more than half of the workers that are known or should
// run something reported a short time ago.
func (d *Dispatcher) hearsMajority(s *workload.State, now int64) bool {
	heard, known := 0, 0
	for incarnation := range s.OccupiedLives() {
		if _, ok := d.workers[incarnation]; !ok {
			known++
		}
	}
	for _, w := range d.workers {
		if w.terminated {
			continue
		}
		known++
		if w.isLive(now) {
			heard++
		}
	}
	return heard > known/2
}
