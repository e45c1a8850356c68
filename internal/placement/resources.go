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

// fits reports whether size fits into room.
func fits(size, room fleet.Resources) bool {
	return size.CPUMilli <= room.CPUMilli &&
		size.MemoryMiB <= room.MemoryMiB &&
		size.Accelerators <= room.Accelerators
}

// held returns the room that a task takes, which is less while it is throttled.
// It stays above the bound that the state machine sets on overcommitment.
func held(t Task) fleet.Resources {
	size := t.Size
	if t.Throttled {
		size.CPUMilli = throttledCPU(t)
	}
	return size
}

func throttledCPU(t Task) int64 {
	kept := t.Size.CPUMilli * ThrottledCPUPercent / 100
	return min(t.Size.CPUMilli, max(kept, t.Declared.CPUMilli/fleet.MaxOvercommit))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
