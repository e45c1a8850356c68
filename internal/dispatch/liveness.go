package dispatch

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// missingListsThreshold is the number of lists that must lack a machine before it
	// counts as gone: a list is read in several pages and may change between them.
	missingListsThreshold = 2
	// minReportingMS is how long a worker must have reported before a list without its
	// machine counts as incomplete: a machine may be new.
	minReportingMS = 2000
	// maxAbandonedRuns is the number of abandoned runs of a task whose ends are unknown from
	// which on no further copy starts.
	maxAbandonedRuns = 1
)

// machineList is one reading of the platform's list of machines.
type machineList struct {
	machines map[string]MachineInfo
	// requestedAt is the cluster time at which the list was requested, in milliseconds. The
	// list is at least as recent.
	requestedAt int64
	// leftOutSince is the time since which the lists have had each of the entries that can't be used; 0
	// if there are none.
	leftOutSince int64
	// complete is true when the list contains the machines of all workers that report. Only then may a
	// missing machine be gone.
	complete bool
}

// provesAbsence reports whether the list shows that the machine is gone. An entry that can't be used may
// be its own, unless an earlier list has had both.
func (d *Dispatcher) provesAbsence(l *machineList, machine string) bool {
	if _, found := l.machines[machine]; found || !l.complete {
		return false
	}
	m, known := d.machinesByName[machine]
	return l.leftOutSince == 0 || known && m.listedAt >= l.leftOutSince
}

// latestListLacks reports whether the latest list shows that there is no such machine at a time after
// since.
func (d *Dispatcher) latestListLacks(machine string, since int64) bool {
	return d.latestList.requestedAt > since && d.provesAbsence(&d.latestList, machine)
}

// needsFreshList reports whether a decision waits for a new reading of the machine list.
func (d *Dispatcher) needsFreshList() bool {
	d.mu.Lock()
	waits := len(d.maintenance.refusedAt) > 0
	d.mu.Unlock()
	return waits || d.hasSilentWorkers()
}

// hasSilentWorkers reports whether a worker with tasks is silent and may still run them, so
// that the platform's list can tell a crash from a network partition.
func (d *Dispatcher) hasSilentWorkers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := int64(d.log.Now())
	found := false
	d.log.Read(func(s *fleet.State) {
		for incarnation, runs := range s.Workload.RunsByWorker() {
			found = found || now-d.silentSince(incarnation) > heartbeatTimeoutMS && !d.isLost(incarnation, machineOf(runs), now)
		}
	})
	return found
}

// silentSince returns the time of the last heartbeat of an incarnation, or the start of
// this leadership if there was none under it.
func (d *Dispatcher) silentSince(incarnation workload.WorkerIncarnation) int64 {
	if w, ok := d.workers[incarnation]; ok {
		return w.lastReportAt
	}
	return d.leadingSince
}

// terminateMissing terminates the silent incarnations that a list, requested after they
// fell silent, shows to have ended. The caller holds mu.
//
// Part of a pool may crash without notice, sometimes together with the leader. Without the
// list, the tasks that ran there would wait 10 s for the leases to expire.
func (d *Dispatcher) terminateMissing(s *workload.State, list machineList) {
	list.complete = d.isComplete(list)
	d.latestList = list
	for incarnation, w := range d.workers {
		if !w.terminated && d.isTerminatedByList(incarnation, w.Machine, w.Pool, list) {
			w.terminateCrashed()
			d.Wake()
		}
	}
	for incarnation, runs := range s.RunsByWorker() {
		if _, known := d.workers[incarnation]; !known && !d.terminatedUnseen[incarnation] && d.isTerminatedByList(incarnation, machineOf(runs), "", list) {
			d.terminatedUnseen[incarnation] = true
			d.Wake()
		}
	}
}

// isComplete reports whether the list contains the machines of all workers that have been
// reporting for a while, of which there must be at least one.
func (d *Dispatcher) isComplete(list machineList) bool {
	checked := 0
	for _, w := range d.workers {
		if w.Machine == "" || !w.isLive(list.requestedAt) || list.requestedAt-w.firstReportAt < minReportingMS {
			continue
		}
		checked++
		if _, ok := list.machines[w.Machine]; !ok {
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

// isTerminatedByList reports whether the list shows that an incarnation has ended. Its pool is
// empty if it is not known. A machine that is up with this worker may only be cut off from the
// network, and a worker that restarted with the same identifier registers by itself.
func (d *Dispatcher) isTerminatedByList(incarnation workload.WorkerIncarnation, machine, pool string, list machineList) bool {
	silentMS := list.requestedAt - d.silentSince(incarnation)
	if machine == "" || silentMS <= heartbeatTimeoutMS {
		delete(d.missingLists, incarnation)
		return false
	}
	info, found := list.machines[machine]
	reason := ""
	switch {
	case !found && !d.provesAbsence(&list, machine):
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
	case pool != "" && info.Pool != pool:
		reason = "its machine is in another pool"
	default:
		delete(d.missingLists, incarnation)
		return false
	}
	d.logger.Info().Str("worker", incarnation.ID).Int64("born", incarnation.Born).Str("machine", machine).Str("reason", reason).
		Int64("silent_ms", silentMS).Int64("listed_at", list.requestedAt).Msg("worker incarnation terminated by the platform's list")
	return true
}

// abandonedRuns returns the speculative runs on a silent worker of which copies may start
// elsewhere. It is called only while most workers report: a leader that hears few is cut
// off itself or has just begun to lead.
//
// When a data centre is cut off or workers crash without notice, the tasks that run there
// would otherwise wait for the leases to expire. A task gets at most one copy
// until the end of its first run is known, since it may have crashed its worker.
func (d *Dispatcher) abandonedRuns(s *workload.State, incarnation workload.WorkerIncarnation, now int64) []workload.End {
	silentSince := d.silentSince(incarnation)
	if _, heard := d.workers[incarnation]; !heard {
		silentSince += newLeaderGraceMS
	}
	if now-silentSince <= heartbeatTimeoutMS {
		return nil
	}
	var ends []workload.End
	for ref, p := range s.RunsOn(incarnation) {
		j, t, ok := s.Task(ref)
		mayCopy := ok && !p.Stopping && p.CrashScore == 0 && len(t.Abandoned) < maxAbandonedRuns
		if mayCopy && j.Steps[ref.Step].Speculative && !j.Steps[ref.Step].Gang {
			d.recordFailure(ref, incarnation.ID)
			ends = append(ends, workload.End{Task: ref, Run: p.Run, Worker: incarnation, Outcome: workload.OutcomeAbandoned})
		}
	}
	return ends
}

// hearsMajority reports whether more than half of the workers are live. It also counts
// workers that should run tasks and have not reported to this leader.
func (d *Dispatcher) hearsMajority(s *workload.State, now int64) bool {
	heard, known := 0, 0
	for incarnation := range s.RunsByWorker() {
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
