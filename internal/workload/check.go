package workload

import "fmt"

const (
	// MaxSpecificationBytes bounds the specification that a job passes to its tasks.
	MaxSpecificationBytes = 4000
	// MaxSteps and MaxTasks bound the steps and tasks of one job, and so the memory that it
	// takes in a store.
	MaxSteps = 200
	MaxTasks = 20000
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
// request negative amounts or depend on steps that are not earlier, or whose repetitions
// are negative or lack an interval.
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
	if c.Repetitions < 0 || (c.Repetitions > 1 && c.IntervalMS <= 0) {
		return invalid("repetitions", "are negative or have no interval")
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
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= i {
			return invalid(field+".after", "%d is not an earlier step", dependency)
		}
	}
	return nil
}
