package workload

import "fmt"

const (
	// MaxSpecificationBytes bounds the specification that a job passes to its tasks.
	MaxSpecificationBytes = 4000
	// MaxSteps and MaxTasks bound the steps and tasks of one job, and so the memory that it
	// takes in a store. MaxTasks counts the tasks of all its occurrences.
	MaxSteps = 200
	MaxTasks = 20000
	// MaxCPUMilli, MaxMemoryMiB and MaxAccelerators bound what one task requests, and
	// MaxEstimatedMS its declared run time, so that no sum over all tasks overflows.
	MaxCPUMilli     = 1_000_000_000
	MaxMemoryMiB    = 1 << 33
	MaxAccelerators = 1_000_000
	MaxEstimatedMS  = 1_000_000_000
	// maxTimeMS bounds times of day (the year 33658), and maxIntervalMS the interval of a
	// repeated job (31 years), for the same reason.
	maxTimeMS     = 1_000_000_000_000_000
	maxIntervalMS = 1_000_000_000_000
)

// InvalidError says which field of a submission is not valid, and why.
type InvalidError struct {
	// Field is the JSON path of the field.
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "workload: " + e.Field + ": " + e.Reason }

func invalid(field, format string, args ...any) error {
	return &InvalidError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Check returns an *InvalidError for a submission that must be refused: one that fails
// CheckBounds or has a negative number in a step.
func (c *Submit) Check() error {
	if err := c.CheckBounds(); err != nil {
		return err
	}
	for i, s := range c.Steps {
		if s.EstimatedMS < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
			return invalid(fmt.Sprintf("steps[%d]", i), "has a negative number")
		}
	}
	return nil
}

// CheckBounds returns an *InvalidError for a submission that is too large, whose steps
// request negative or excessive amounts or depend on steps that are not earlier, or whose
// repetitions are negative, lack an interval or have too many tasks in all.
func (c *Submit) CheckBounds() error {
	if len(c.Specification) > MaxSpecificationBytes {
		return invalid("specification", "has more than %d bytes", MaxSpecificationBytes)
	}
	if len(c.Steps) == 0 || len(c.Steps) > MaxSteps {
		return invalid("steps", "there are %d, not 1 to %d", len(c.Steps), MaxSteps)
	}
	tasks := 0
	for i := range c.Steps {
		if err := c.Steps[i].checkBounds(i); err != nil {
			return err
		}
		tasks += c.Steps[i].Count
	}
	if tasks > MaxTasks {
		return invalid("steps", "have %d tasks, more than %d", tasks, MaxTasks)
	}
	if c.FirstRunMS < 0 || c.FirstRunMS > maxTimeMS {
		return invalid("first_run_ms", "is not 0 to %d", int64(maxTimeMS))
	}
	if c.IntervalMS < 0 || c.IntervalMS > maxIntervalMS {
		return invalid("interval_ms", "is not 0 to %d", int64(maxIntervalMS))
	}
	if c.Repetitions < 0 || (c.Repetitions > 1 && c.IntervalMS <= 0) {
		return invalid("repetitions", "are negative or have no interval")
	}
	// Divided, since the product may overflow.
	if c.Repetitions > MaxTasks/tasks {
		return invalid("repetitions", "%d times %d tasks are more than %d", c.Repetitions, tasks, MaxTasks)
	}
	return nil
}

func (s *Step) checkBounds(i int) error {
	field := fmt.Sprintf("steps[%d]", i)
	if s.Count <= 0 || s.Count > MaxTasks {
		return invalid(field+".count", "is not 1 to %d", MaxTasks)
	}
	if s.Size.CPUMilli < 0 || s.Size.MemoryMiB < 0 || s.Size.Accelerators < 0 {
		return invalid(field+".size", "asks for a negative amount")
	}
	if !s.Size.Fits(Resources{CPUMilli: MaxCPUMilli, MemoryMiB: MaxMemoryMiB, Accelerators: MaxAccelerators}) {
		return invalid(field+".size", "asks for more than %d milli-cores, %d MiB or %d accelerators", MaxCPUMilli, MaxMemoryMiB, MaxAccelerators)
	}
	if s.EstimatedMS > MaxEstimatedMS {
		return invalid(field+".estimated_ms", "is more than %d", MaxEstimatedMS)
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= i {
			return invalid(field+".after", "%d is not an earlier step", dependency)
		}
	}
	return nil
}
