package placement

import "github.com/samphirefork/samphirefork/internal/fleet"

func add(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		CPUMilli:     a.CPUMilli + b.CPUMilli,
		MemoryMiB:    a.MemoryMiB + b.MemoryMiB,
		Accelerators: a.Accelerators + b.Accelerators,
	}
}

func sub(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		CPUMilli:     a.CPUMilli - b.CPUMilli,
		MemoryMiB:    a.MemoryMiB - b.MemoryMiB,
		Accelerators: a.Accelerators - b.Accelerators,
	}
}

// fits reports whether free covers size in each resource kind.
func fits(size, free fleet.Resources) bool {
	return size.CPUMilli <= free.CPUMilli &&
		size.MemoryMiB <= free.MemoryMiB &&
		size.Accelerators <= free.Accelerators
}

// allocated returns the resources that a task takes from its worker. A throttled task
// takes fewer processors, but not so few that plans exceed the state machine's limit
// on overcommitment.
func allocated(t Task) fleet.Resources {
	size := t.Size
	if t.Throttled {
		size.CPUMilli = throttledCPU(t)
	}
	return size
}

// throttledCPU returns the processors, in thousandths, that a task keeps when
// throttled.
func throttledCPU(t Task) int64 {
	kept := t.Size.CPUMilli * ThrottledCPUPercent / 100
	return min(t.Size.CPUMilli, max(kept, t.Declared.CPUMilli/fleet.MaxOvercommit))
}

// ratio returns part/whole, or 0 without a whole.
func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// isLarge reports whether a job takes more than a quarter of a worker in any resource
// kind.
func isLarge(size, capacity fleet.Resources) bool {
	return 4*size.CPUMilli > capacity.CPUMilli || 4*size.MemoryMiB > capacity.MemoryMiB ||
		4*size.Accelerators > capacity.Accelerators
}
