// Package runtimes learns from finished runs how long tasks take, and estimates the run time
// of a task that has not started. It does no I/O and reads no clock, so that replicas which
// record the same runs in the same order hold the same estimates.
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
	// Runs is the number of finished runs on which the estimate rests, with older ones
	// counting less. It is 0 when the estimate is the declared time.
	Runs int
}

// Declared returns the estimate of a task about which nothing was learned.
func Declared(t Task) Estimate {
	ms := max(t.DeclaredMS, 0)
	return Estimate{MedianMS: ms, MeanMS: ms, P90MS: ms}
}
