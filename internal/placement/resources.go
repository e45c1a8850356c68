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
func held(t Task) fleet.Resources {
	size := t.Size
	if t.Throttled {
		size.CPUMilli = size.CPUMilli * ThrottledCPUPercent / 100
	}
	return size
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
