// Package runtimes learns from finished runs how long tasks take, and estimates the run time
// of a task that has not started. It does no I/O and reads no clock, and computes in
// integers, so that replicas which record the same runs in the same order hold the same
// estimates.
//
// The load that it answers: declared run times that are off by up to a factor of ten, tasks
// of which a few take several times as long as the others, and queues whose declarations
// are accurate beside others whose declarations are worthless.
package runtimes

// Task is what is known of a task before it runs.
type Task struct {
	Queue string
	// DeclaredMS is the run time that the submission declares, in milliseconds.
	DeclaredMS int64
	// CPUMilli is the requested processor time, in thousandths of a core.
	CPUMilli int64
}

// Estimate is the expected distribution of the run time of a task.
type Estimate struct {
	// MedianMS, MeanMS and P90MS are the median, the mean and the 0.9 quantile of the run
	// time, in milliseconds.
	MedianMS, MeanMS, P90MS int64
	// Runs is the number of finished runs of the queue on which the estimate rests, with
	// older ones counting less. It is 0 when the estimate is the declared time.
	Runs int
}

const (
	// maxRunTimeMS bounds recorded run times and what is believed of declared ones. It is
	// one day.
	maxRunTimeMS = 24 * 3600 * 1000
	// priorRuns is the number of runs from which a level counts more than the one above it.
	priorRuns = 32
	// coldRuns is the number of runs of a queue up to which the mean is not taken below the
	// declared time: the first runs to end are the short ones.
	coldRuns = 512
)

// Declared returns the estimate of a task about which nothing was learned.
func Declared(t Task) Estimate {
	ms := max(t.DeclaredMS, 0)
	return Estimate{MedianMS: ms, MeanMS: ms, P90MS: ms}
}

// Estimate returns the expected run time of the task.
func (t *Table) Estimate(task Task) Estimate {
	runTimes := t.group(queueKey(task, kindRunTime))
	if runTimes == nil {
		return Declared(task)
	}
	declared := min(max(task.DeclaredMS, 0), maxRunTimeMS)
	estimate := Estimate{MedianMS: declared, MeanMS: declared, P90MS: declared}
	byQueue := runTimes.estimate(ratioOne)
	if ratios := t.group(queueKey(task, kindRatio)); ratios != nil && declared > 0 && ratios.narrowerThan(runTimes) {
		byQueue = ratios.estimate(declared)
	}
	if declared == 0 {
		estimate = byQueue
	}
	estimate = estimate.mixedWith(byQueue, runTimes.runs())
	if declared > 0 {
		for _, k := range [...]key{classKey(task), sizeKey(task)} {
			if g := t.group(k); g != nil {
				estimate = estimate.mixedWith(g.estimate(declared), g.runs())
			}
		}
	}
	if runTimes.runs() < coldRuns {
		estimate.MeanMS = max(estimate.MeanMS, declared)
	}
	estimate.Runs = int(runTimes.runs())
	return estimate
}

// Record adds a finished run. A run time that is not positive or longer than a day is
// ignored.
func (t *Table) Record(task Task, runMS int64) {
	if runMS <= 0 || runMS > maxRunTimeMS {
		return
	}
	t.Records++
	t.record(queueKey(task, kindRunTime), runMS)
	declared := min(task.DeclaredMS, maxRunTimeMS)
	if declared <= 0 {
		return
	}
	ratio := runMS * ratioOne / declared
	t.record(queueKey(task, kindRatio), ratio)
	t.record(classKey(task), ratio)
	t.record(sizeKey(task), ratio)
}

// mixedWith returns the mean of e, which counts as priorRuns runs, and of an estimate from
// the given number of runs.
func (e Estimate) mixedWith(o Estimate, runs int64) Estimate {
	mix := func(prior, learned int64) int64 { return (prior*priorRuns + learned*runs) / (priorRuns + runs) }
	return Estimate{MedianMS: mix(e.MedianMS, o.MedianMS), MeanMS: mix(e.MeanMS, o.MeanMS), P90MS: mix(e.P90MS, o.P90MS)}
}
