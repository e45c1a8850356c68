package placement

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Parameters of Sizer.
const (
	// raiseSamples is the number of consecutive samples above the declared size after
	// which a task is charged more, and lowerSamples the number below it after which
	// the task is charged less.
	raiseSamples = 2
	lowerSamples = 5
	// minGroupTasks is the number of measured tasks of a team and queue that is needed
	// to correct the sizes of its waiting jobs.
	minGroupTasks = 3
	// headroomPercent is added to the observed usage when it is below the declared
	// size.
	headroomPercent = 25
	// minSizePercent is the smallest charge, in percent of the declared size. The
	// state machine limits the declared sizes on a worker to fleet.MaxOvercommit times
	// its processors and memory.
	minSizePercent = 100 / fleet.MaxOvercommit
	// maxSizePercent is the largest charge for a waiting job, in percent of its
	// declared size.
	maxSizePercent = 150
	// groupMeanWeight is the weight of the latest task in the moving average of its
	// group.
	groupMeanWeight = 0.2
	// sampleMaxAge is the time without a sample after which an attempt is removed.
	sampleMaxAge = time.Minute
	// sampleSpacing is the minimum time between two samples of an attempt. Workers
	// report each change of any task, so reports can be milliseconds apart.
	sampleSpacing = 500 * time.Millisecond
)

// Sizer corrects the declared sizes of jobs by the observed usage of their tasks.
// Usage is reported with a delay and starts low, so no single sample changes a size.
// It is not safe for concurrent use.
type Sizer struct {
	tasks  map[wire.TaskKey]*taskSamples
	groups map[teamQueue]*groupUsage
}

// taskSamples holds the latest samples of an attempt, oldest first.
type taskSamples struct {
	samples []fleet.Resources
	// inGroupMean is true once the attempt counts in the mean of its group.
	inGroupMean  bool
	lastSampleAt fleet.Time
}

// groupUsage is the mean of the peak usage of the tasks of a team and queue, in
// percent of the declared size.
type groupUsage struct {
	taskCount                 int
	cpuPercent, memoryPercent float64
	lastTaskAt                fleet.Time
}

// NewSizer returns a sizer without samples.
func NewSizer() *Sizer {
	return &Sizer{tasks: map[wire.TaskKey]*taskSamples{}, groups: map[teamQueue]*groupUsage{}}
}

// Observe adds a sample of the usage of an attempt. It ignores zero usage, which a
// worker reports while it has not measured any yet, and samples that follow the
// previous one within 500 ms.
func (s *Sizer) Observe(key wire.TaskKey, team, queue string, declared, usage fleet.Resources, now fleet.Time) {
	if usage == (fleet.Resources{}) {
		return
	}
	m := s.tasks[key]
	if m == nil {
		m = &taskSamples{}
		s.tasks[key] = m
	} else if now.Sub(m.lastSampleAt) < sampleSpacing {
		return
	}
	m.lastSampleAt = now
	m.samples = append(m.samples, usage)
	if len(m.samples) > lowerSamples {
		m.samples = m.samples[1:]
	}
	if len(m.samples) == lowerSamples && !m.inGroupMean {
		m.inGroupMean = true
		s.group(team, queue).addTask(declared, maxUsage(m.samples), now)
	}
}

func (s *Sizer) group(team, queue string) *groupUsage {
	k := teamQueue{team: team, queue: queue}
	g := s.groups[k]
	if g == nil {
		g = &groupUsage{}
		s.groups[k] = g
	}
	return g
}

// addTask adds a task's peak usage to the mean. The first tasks have equal weights.
func (g *groupUsage) addTask(declared, used fleet.Resources, now fleet.Time) {
	weight := groupMeanWeight
	if g.taskCount < minGroupTasks {
		weight = 1 / float64(g.taskCount+1)
	}
	g.taskCount++
	g.lastTaskAt = now
	g.cpuPercent += weight * (100*ratio(used.CPUMilli, declared.CPUMilli) - g.cpuPercent)
	g.memoryPercent += weight * (100*ratio(used.MemoryMiB, declared.MemoryMiB) - g.memoryPercent)
}

// TaskSize returns the resources to charge for a running attempt. The number of
// accelerators is never corrected, since a task holds them exclusively.
func (s *Sizer) TaskSize(key wire.TaskKey, declared fleet.Resources) fleet.Resources {
	m := s.tasks[key]
	if m == nil {
		return declared
	}
	size := declared
	n := len(m.samples)
	if n >= raiseSamples {
		low := minUsage(m.samples[n-raiseSamples:])
		size.CPUMilli = max(size.CPUMilli, low.CPUMilli)
		size.MemoryMiB = max(size.MemoryMiB, low.MemoryMiB)
	}
	if n == lowerSamples {
		high := maxUsage(m.samples)
		size.CPUMilli = reducedCharge(size.CPUMilli, high.CPUMilli)
		size.MemoryMiB = reducedCharge(size.MemoryMiB, high.MemoryMiB)
	}
	return size
}

// reducedCharge returns the charge for a declared amount with the given peak usage:
// the peak with headroom, but at least the minimum and at most the declared amount.
func reducedCharge(declared, high int64) int64 {
	charge := high * (100 + headroomPercent) / 100
	floor := (declared*minSizePercent + 99) / 100
	return min(declared, max(charge, floor))
}

// JobSize returns the resources to charge for a waiting job, by the usage of earlier
// tasks of its team and queue. With too few of them, it is the declared size.
func (s *Sizer) JobSize(team, queue string, declared fleet.Resources) fleet.Resources {
	g := s.groups[teamQueue{team: team, queue: queue}]
	if g == nil || g.taskCount < minGroupTasks {
		return declared
	}
	size := declared
	size.CPUMilli = scaledCharge(declared.CPUMilli, g.cpuPercent)
	size.MemoryMiB = scaledCharge(declared.MemoryMiB, g.memoryPercent)
	return size
}

// scaledCharge returns the charge for a declared amount when the mean usage is the
// given percentage of it.
func scaledCharge(declared int64, percent float64) int64 {
	if percent <= 100 {
		return reducedCharge(declared, int64(percent*float64(declared)/100))
	}
	return int64(min(percent, maxSizePercent) * float64(declared) / 100)
}

// RemoveExpired removes attempts without a sample for a minute and groups without a
// measured task for an hour.
func (s *Sizer) RemoveExpired(now fleet.Time) {
	for key, m := range s.tasks {
		if now.Sub(m.lastSampleAt) > sampleMaxAge {
			delete(s.tasks, key)
		}
	}
	for key, g := range s.groups {
		if now.Sub(g.lastTaskAt) > time.Hour {
			delete(s.groups, key)
		}
	}
}

// maxUsage returns the largest processor and memory usage in the samples.
func maxUsage(samples []fleet.Resources) fleet.Resources {
	high := fleet.Resources{}
	for _, s := range samples {
		high.CPUMilli = max(high.CPUMilli, s.CPUMilli)
		high.MemoryMiB = max(high.MemoryMiB, s.MemoryMiB)
	}
	return high
}

// minUsage returns the smallest processor and memory usage in the samples.
func minUsage(samples []fleet.Resources) fleet.Resources {
	low := samples[0]
	for _, s := range samples[1:] {
		low.CPUMilli = min(low.CPUMilli, s.CPUMilli)
		low.MemoryMiB = min(low.MemoryMiB, s.MemoryMiB)
	}
	return low
}
