package dispatch

import (
	"cmp"
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// modelWorker behaves as the platform's documentation describes a worker.
type modelWorker struct {
	r    *rig
	id   string
	born int64
	rack string
	// machine is that of the worker; empty stands for m- and its id.
	machine string
	// dataCentre is that of the worker; cold is how much longer it says that it is slow.
	dataCentre string
	cold       time.Duration
	up         bool
	downAt     int64
	draining   bool
	// drained is true when a draining worker may leave at any time.
	drained bool
	// drainsUntil is the least time until which a draining worker goes on; 0 stands for a minute.
	drainsUntil int64
	failsAll    bool
	// failsAtOnce makes each run that starts end failed after rigFailMS.
	failsAtOnce bool
	stalls      bool
	// slowdown multiplies the duration of each task; 0 means the normal duration.
	slowdown int64
	// capacity is the processor capacity in millicores. It may shrink and grow.
	capacity int64
	// maxResponse is the size in bytes from which on a response does not arrive; 0 stands for
	// rigMaxResponse. lastTaken is when a response last arrived.
	maxResponse int
	// maxEnds is the number of ended runs that a report lists at most; 0 stands for rigMaxEnds.
	maxEnds        int
	lastTaken      int64
	sequence       int64
	highestTerm    uint64
	leaseRemaining int64
	running        map[workload.TaskRef]*modelRun
	// lostStarts holds the tasks whose start was in the last lost response.
	lostStarts map[workload.TaskRef]bool
	// refused holds the highest run of each task that was stopped or ended on this worker.
	refused map[workload.TaskRef]int
	ended   []EndedTask
	lastEnd int64
	// lapsedEnd is the number of the last end when the lease expired. Ends up to it are not
	// relied on once the leader has counted the worker as lost.
	lapsedEnd int64
}

type modelRun struct {
	run       int
	remaining int64
	total     int64
	stopping  int64
	// failsIn is the time after which the run fails; 0 stands for never.
	failsIn int64
}

func (r *rig) addWorker(id, rack string) *modelWorker {
	w := &modelWorker{r: r, id: id, rack: rack}
	w.restart()
	r.workers = append(r.workers, w)
	return w
}

// restart starts a new incarnation, which knows nothing of the earlier one.
func (w *modelWorker) restart() {
	*w = modelWorker{
		r: w.r, id: w.id, rack: w.rack, machine: w.machine, dataCentre: w.dataCentre, born: w.r.now, up: true, capacity: rigCPU,
		running: map[workload.TaskRef]*modelRun{}, refused: map[workload.TaskRef]int{},
	}
}

func (w *modelWorker) crash() {
	w.up, w.downAt = false, w.r.now
	for ref := range w.lostStarts {
		w.r.crashCounts[ref]++
	}
	for ref := range w.running {
		if !w.lostStarts[ref] {
			w.r.crashCounts[ref]++
		}
	}
	w.lostStarts = nil
	w.running = map[workload.TaskRef]*modelRun{}
}

func (w *modelWorker) tasks() []workload.TaskRef {
	var refs []workload.TaskRef
	for ref := range w.running {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].String() < refs[j].String() })
	return refs
}

func (w *modelWorker) work(ms int64) {
	if !w.up {
		return
	}
	w.leaseRemaining -= ms * 98 / 100 // the worker's clock is 2 percent slow
	if w.leaseRemaining <= 0 {
		w.lapsedEnd = w.lastEnd
	}
	for _, ref := range w.tasks() {
		run := w.running[ref]
		switch {
		case w.leaseRemaining <= 0:
			w.end(ref, workload.OutcomeLapsed)
		case run.stopping > 0:
			run.stopping -= ms
			if run.stopping <= 0 {
				w.end(ref, workload.OutcomeStopped)
			}
		case run.failsIn > 0 && run.failsIn <= ms:
			w.end(ref, workload.OutcomeFailed)
		case run.failsIn > 0:
			run.failsIn -= ms
		case w.stalls:
		default:
			run.remaining -= ms / max(w.slowdown, 1)
			if run.remaining <= 0 && !w.longRunning(ref) {
				w.end(ref, w.outcome())
			}
		}
	}
}

func (w *modelWorker) longRunning(ref workload.TaskRef) bool {
	j, ok := w.r.state.Workload.Jobs[ref.Job]
	return ok && ref.Step < len(j.Steps) && j.Steps[ref.Step].LongRunning
}

func (w *modelWorker) outcome() workload.Outcome {
	if w.failsAll {
		return workload.OutcomeFailed
	}
	return workload.OutcomeDone
}

func (w *modelWorker) end(ref workload.TaskRef, how workload.Outcome) {
	run := w.running[ref].run
	delete(w.running, ref)
	w.refused[ref] = max(w.refused[ref], run)
	w.lastEnd++
	w.ended = append(w.ended, EndedTask{Run: workload.Run{Task: ref, Run: run}, Number: w.lastEnd, Outcome: how})
}

// report returns the worker's next heartbeat.
func (w *modelWorker) report() Report {
	w.sequence++
	maxEnds := cmp.Or(w.maxEnds, rigMaxEnds)
	rep := Report{
		Incarnation: workload.WorkerIncarnation{ID: w.id, Born: w.born}, Machine: cmp.Or(w.machine, "m-"+w.id), Pool: rigPool, Rack: w.rack, DataCentre: w.dataCentre,
		Capacity: workload.Resources{CPUMilli: w.capacity, MemoryMiB: 1 << 20}, Sequence: w.sequence, Draining: w.draining,
		ColdRemaining: w.cold, Ended: append([]EndedTask(nil), w.ended[:min(len(w.ended), maxEnds)]...), MoreEnds: len(w.ended) >= maxEnds,
	}
	switch {
	case w.drainsUntil > 0:
		rep.DrainRemaining = time.Duration(max(w.drainsUntil-w.r.now, 0)) * time.Millisecond
	case !w.drained:
		rep.DrainRemaining = time.Minute
	}
	for _, ref := range w.tasks() {
		run := w.running[ref]
		percent := int(100 - 100*run.remaining/run.total)
		if w.longRunning(ref) && run.remaining <= 0 {
			percent = 100
		}
		rep.Running = append(rep.Running, RunningTask{Run: workload.Run{Task: ref, Run: run.run}, Percent: min(percent, 100)})
	}
	return rep
}

// heartbeat sends a report to a store and applies the orders, unless the response is lost.
func (w *modelWorker) heartbeat(store int, lost bool) {
	if !w.up {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	orders, err := w.r.dispatchers[store].HandleReport(ctx, w.report())
	data, encodeErr := json.Marshal(orders)
	if encodeErr != nil {
		panic(encodeErr)
	}
	lost = lost || len(data) > cmp.Or(w.maxResponse, rigMaxResponse)
	if err == nil && !lost {
		w.lastTaken = w.r.now
		w.applyOrders(orders)
	}
	if err == nil && lost {
		w.lostStarts = map[workload.TaskRef]bool{}
		for _, s := range orders.Starts {
			w.lostStarts[s.Task] = true
		}
	}
}

// applyOrders carries out orders as a worker does.
func (w *modelWorker) applyOrders(o Orders) {
	if o.Term < w.highestTerm {
		return
	}
	w.highestTerm = o.Term
	w.dropAckedEnds(o.AckedEnds)
	if o.Lease > 0 {
		w.leaseRemaining = max(w.leaseRemaining, o.Lease.Milliseconds())
	}
	for _, s := range o.Stops {
		w.stop(s)
	}
	if o.Lease == 0 {
		return
	}
	for _, s := range o.Starts {
		if w.up {
			w.start(s)
		}
	}
}

func (w *modelWorker) dropAckedEnds(upTo int64) {
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > upTo {
			kept = append(kept, e)
		} else if e.Outcome == workload.OutcomeDone && e.Number > w.lapsedEnd {
			w.r.recordDone(e.Task)
		}
	}
	w.ended = kept
}

func (w *modelWorker) stop(s workload.Run) {
	w.refused[s.Task] = max(w.refused[s.Task], s.Run)
	if run, ok := w.running[s.Task]; ok && run.run <= s.Run && run.stopping == 0 {
		run.stopping = rigStopDurationMS
	}
}

func (w *modelWorker) start(s StartOrder) {
	ref := s.Task
	if _, runs := w.running[ref]; runs || s.Run.Run <= w.refused[ref] {
		return
	}
	if w.r.state.Workload.Evacuated(w.dataCentre) {
		w.r.recordViolation("%s run %d starts on %s, whose data centre %s is evacuated", ref, s.Run.Run, w.id, w.dataCentre)
	}
	job := w.r.state.Workload.Jobs[ref.Job]
	speculative := job != nil && ref.Step < len(job.Steps) && job.Steps[ref.Step].Speculative
	if at, done := w.r.firstDoneAt[ref]; done && (!speculative || w.r.now-at > rigLateCopyMS) {
		w.r.recordViolation("%s run %d starts on %s after a run was done", ref, s.Run.Run, w.id)
	}
	for _, other := range w.r.workers {
		if run, runs := other.running[ref]; other != w && other.up && runs && !speculative {
			w.r.recordViolation("%s run %d starts on %s while run %d is on %s", ref, s.Run.Run, w.id, run.run, other.id)
		}
	}
	used := int64(0)
	for other := range w.running {
		used += w.r.state.Workload.Jobs[other.Job].Steps[other.Step].Size.CPUMilli
	}
	if job != nil && ref.Step < len(job.Steps) && used+job.Steps[ref.Step].Size.CPUMilli > w.capacity {
		w.r.recordViolation("%s exceeds the capacity of %s", ref, w.id)
	}
	w.r.startCounts[ref]++
	w.r.begun[s.Run] = true
	work := int64(rigTaskMS)
	if ref.Step > 0 {
		work = rigLongTaskMS
	}
	work *= max(w.r.factors[ref], 1)
	w.running[ref] = &modelRun{run: s.Run.Run, remaining: work, total: work}
	if w.failsAtOnce {
		w.running[ref].failsIn = rigFailMS
	}
	if w.r.crashing[ref] {
		w.crash()
	}
}
