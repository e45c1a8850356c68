package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// minSpeedSpanMS is the shortest time between two reports of a run from which its speed is
	// computed.
	minSpeedSpanMS = 400
	// speedMarkMS is the time after which a later report becomes the start of the span, so that
	// the speed of a run follows that of its worker within twice this time.
	speedMarkMS = 500
	// minMarkedPercent is the least progress in the span for which its speed is precise enough.
	// Else the speed is that since the first report.
	minMarkedPercent = 3
	// unknownRunMS stands for the run time of a task for which none is declared or learned.
	unknownRunMS = 1000
)

// mark is the progress of a run at the time of a report.
type mark struct {
	percent int
	at      int64
}

// measuredRun is a run whose speed is known.
type measuredRun struct {
	run workload.Run
	// speedPercent is the expected run time of the task in percent of the time that it takes
	// at the present speed.
	speedPercent int64
	// remainingMS is the time that the run still needs at the present speed.
	remainingMS int64
	// expectedMS is the expected run time of the task.
	expectedMS int64
}

// observe updates the progress with a report.
func (p *runProgress) observe(reached int, now int64) {
	if p.percent != reached {
		p.percent, p.changedAt = reached, now
	}
	if now-p.latest.at >= speedMarkMS {
		p.earlier, p.latest = p.latest, mark{reached, now}
	}
}

// totalMS returns the time that the whole task takes at the present speed, or 0 if that is
// not known.
func (p *runProgress) totalMS(reached int, now int64) int64 {
	from := p.earlier
	if reached-from.percent < minMarkedPercent {
		from = p.first
	}
	span, done := now-from.at, int64(reached-from.percent)
	if span < minSpeedSpanMS || done <= 0 {
		return 0
	}
	return max(span*percent/done, 1)
}

// measuredRuns returns the worker's runs that end by themselves and have made progress for
// long enough to measure it.
func measuredRuns(s *workload.State, incarnation workload.WorkerIncarnation, w *worker) []measuredRun {
	var out []measuredRun
	occupied := s.RunsOn(incarnation)
	for ref, r := range w.running {
		p, ok := occupied[ref]
		if !ok || p.Run != r.Run.Run || p.Stopping || p.LongRunning {
			continue
		}
		seen := w.progress[r.Run]
		total := seen.totalMS(r.Percent, w.lastReportAt)
		j, _, known := s.Task(ref)
		if total == 0 || !known || j.Steps[ref.Step].FillsIdle || j.Steps[ref.Step].Gang {
			continue
		}
		expected := s.ExpectedRun(j, ref.Step).MedianMS
		if expected <= 0 {
			expected = unknownRunMS
		}
		out = append(out, measuredRun{
			run: r.Run, speedPercent: max(expected*percent/total, 1), remainingMS: int64(percent-r.Percent) * total / percent, expectedMS: expected,
		})
	}
	return out
}

// isSlow reports whether the run is slow, given the median of the speeds in its pool.
func (r measuredRun) isSlow(medianSpeed int64) bool {
	return r.speedPercent*percent < slowSpeedPercent*medianSpeed
}

// stepOnWorker identifies the tasks of a step that run on one worker.
type stepOnWorker struct {
	worker *worker
	step   workload.TaskRef
}

// stepOf returns the reference of the task's step: that of its first task.
func stepOf(ref workload.TaskRef) workload.TaskRef {
	ref.Index = 0
	return ref
}

// poolSpeeds holds the speeds of the measured runs of a pool.
type poolSpeeds struct {
	runs map[*worker][]measuredRun
	// median is the median of the speeds of the runs, or 0 if too few workers are measured.
	median int64
	// steps holds the steps of the runs by worker, and whether nearly all of their runs there
	// are slow. workers is the number of workers by step, and slowWorkers that of those on which
	// they are.
	steps                map[stepOnWorker]bool
	workers, slowWorkers map[workload.TaskRef]int
}

func newPoolSpeeds(runs map[*worker][]measuredRun) *poolSpeeds {
	p := &poolSpeeds{runs: runs, steps: map[stepOnWorker]bool{}, workers: map[workload.TaskRef]int{}, slowWorkers: map[workload.TaskRef]int{}}
	measured := 0
	var speeds []int64
	for _, onWorker := range runs {
		if len(onWorker) >= minRunsForSpeed {
			measured++
		}
		for _, r := range onWorker {
			speeds = append(speeds, r.speedPercent)
		}
	}
	if measured >= minWorkersForMedian {
		p.median = median(speeds)
	}
	for w, onWorker := range runs {
		p.addSteps(w, onWorker)
	}
	return p
}

func (p *poolSpeeds) addSteps(w *worker, onWorker []measuredRun) {
	total, slow := map[workload.TaskRef]int{}, map[workload.TaskRef]int{}
	for _, r := range onWorker {
		step := stepOf(r.run.Task)
		total[step]++
		if r.isSlow(p.median) {
			slow[step]++
		}
	}
	for step, n := range total {
		isSlow := slow[step]*percent >= slowRunsPercent*n
		p.steps[stepOnWorker{w, step}] = isSlow
		p.workers[step]++
		if isSlow {
			p.slowWorkers[step]++
		}
	}
}

// workerEvidence is what the runs on a worker show: of how many steps they are, on how many of
// these nearly all are slow, and whether one of the slow steps is faster on other workers.
type workerEvidence struct {
	runs, steps, slowSteps int
	confirmed              bool
}

// evidence returns what the worker's runs show, without tasks that are known to take long on
// any worker, or were slow on as many workers as they may be moved between.
//
// The declared time holds for all tasks of a step, so that they are slow together if it is
// wrong. A step that is slow on other workers too shows nothing about this one.
func (p *poolSpeeds) evidence(w *worker) workerEvidence {
	e := workerEvidence{runs: len(p.runs[w])}
	counted := map[workload.TaskRef]bool{}
	for _, r := range p.runs[w] {
		step := stepOf(r.run.Task)
		slow := p.steps[stepOnWorker{w, step}]
		if counted[step] || w.progress[r.run].takesLong || r.run.Run >= moveRunLimit || slow && p.slowWorkers[step] > 1 {
			continue
		}
		counted[step] = true
		e.steps++
		if slow {
			e.slowSteps++
			e.confirmed = e.confirmed || p.workers[step] > 1
		}
	}
	return e
}

// isSlow reports whether nearly all steps are slow, and either one of them is faster on other
// workers or they are too many to be declared wrongly by chance.
func (e workerEvidence) isSlow() bool {
	enough := e.slowSteps >= minStepsForSpeed || e.confirmed && e.runs >= minRunsForSpeed
	return enough && e.slowSteps*percent >= slowRunsPercent*e.steps
}

// isSound reports whether most steps run at the speed of the pool.
func (e workerEvidence) isSound() bool { return 2*e.slowSteps < e.steps }

// markLongTasks marks the slow runs of a sound worker as tasks that take long on any worker.
// They are measured for long enough that the speed of the runs beside them is of the same time.
func (p *poolSpeeds) markLongTasks(w *worker) {
	for _, r := range p.runs[w] {
		seen := w.progress[r.run]
		if r.isSlow(p.median) && w.lastReportAt-seen.first.at >= 2*speedMarkMS {
			seen.takesLong = true
			w.progress[r.run] = seen
		}
	}
}
