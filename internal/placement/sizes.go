package placement

import (
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Rules of the correction of sizes.
const (
	// raiseSamples samples in a row must exceed the declared size before more
	// room is charged, and lowerSamples stay below before less is.
	raiseSamples = 2
	lowerSamples = 5
	// groupTasks is the number of measured tasks of a team and queue that
	// correct the sizes of its waiting jobs.
	groupTasks = 3
	// headroomPercent is added to observed use that is below the declared size.
	headroomPercent = 25
	// minSizePercent is the least part of a declared size that is charged.
	minSizePercent = 100 / fleet.MaxOvercommit
	// maxSizePercent bounds the size charged to a waiting job.
	maxSizePercent = 150
	// groupWeight is the weight of the latest task in the mean of its group.
	groupWeight = 0.2
	sampleAge   = time.Minute
	// sampleSpacing is the shortest time between two samples of an attempt.
	// Workers announce each change of any task, so reports can be milliseconds apart.
	sampleSpacing = 500 * time.Millisecond
)

// Sizer corrects declared sizes by observed usage. Usage is reported with a lag
// and starts low, so no single sample changes a size. It is not safe for
// concurrent use.
type Sizer struct {
	tasks  map[wire.TaskKey]*measured
	groups map[groupKey]*groupSize
}

type measured struct {
	samples []fleet.Resources
	counted bool
	at      fleet.Time
}

// groupSize is the mean use of the tasks of a team and queue in percent of the
// declared size.
type groupSize struct {
	tasks       int
	cpu, memory float64
	at          fleet.Time
}

// NewSizer returns a sizer without samples.
func NewSizer() *Sizer {
	return &Sizer{tasks: map[wire.TaskKey]*measured{}, groups: map[groupKey]*groupSize{}}
}

// Observe takes one sample of the usage of an attempt. A report without any usage
// is no sample, since workers report usage with a lag.
func (z *Sizer) Observe(key wire.TaskKey, team, queue string, declared, usage fleet.Resources, now fleet.Time) {
	if usage == (fleet.Resources{}) {
		return
	}
	m := z.tasks[key]
	if m == nil {
		m = &measured{}
		z.tasks[key] = m
	} else if now.Sub(m.at) < sampleSpacing {
		return
	}
	m.at = now
	m.samples = append(m.samples, usage)
	if len(m.samples) > lowerSamples {
		m.samples = m.samples[1:]
	}
	if len(m.samples) == lowerSamples && !m.counted {
		m.counted = true
		z.group(team, queue).count(declared, peak(m.samples), now)
	}
}

func (z *Sizer) group(team, queue string) *groupSize {
	k := groupKey{team: team, queue: queue}
	g := z.groups[k]
	if g == nil {
		g = &groupSize{}
		z.groups[k] = g
	}
	return g
}

func (g *groupSize) count(declared, used fleet.Resources, now fleet.Time) {
	weight := groupWeight
	if g.tasks < groupTasks {
		weight = 1 / float64(g.tasks+1)
	}
	g.tasks++
	g.at = now
	g.cpu += weight * (100*ratio(used.CPUMilli, declared.CPUMilli) - g.cpu)
	g.memory += weight * (100*ratio(used.MemoryMiB, declared.MemoryMiB) - g.memory)
}

// TaskSize returns the room to charge for a running attempt. Accelerators are
// never corrected, since a task holds them whole.
func (z *Sizer) TaskSize(key wire.TaskKey, declared fleet.Resources) fleet.Resources {
	m := z.tasks[key]
	if m == nil {
		return declared
	}
	size := declared
	n := len(m.samples)
	if n >= raiseSamples {
		low := lowest(m.samples[n-raiseSamples:])
		size.CPUMilli = max(size.CPUMilli, low.CPUMilli)
		size.MemoryMiB = max(size.MemoryMiB, low.MemoryMiB)
	}
	if n == lowerSamples {
		high := peak(m.samples)
		size.CPUMilli = lowered(size.CPUMilli, high.CPUMilli)
		size.MemoryMiB = lowered(size.MemoryMiB, high.MemoryMiB)
	}
	return size
}

// lowered returns the charge for a declared amount whose observed peak is below it.
func lowered(declared, high int64) int64 {
	charge := high * (100 + headroomPercent) / 100
	floor := (declared*minSizePercent + 99) / 100
	return min(declared, max(charge, floor))
}

// JobSize returns the room to charge for a waiting job, by the use of earlier
// tasks of its team and queue.
func (z *Sizer) JobSize(team, queue string, declared fleet.Resources) fleet.Resources {
	g := z.groups[groupKey{team: team, queue: queue}]
	if g == nil || g.tasks < groupTasks {
		return declared
	}
	size := declared
	size.CPUMilli = scaled(declared.CPUMilli, g.cpu)
	size.MemoryMiB = scaled(declared.MemoryMiB, g.memory)
	return size
}

func scaled(declared int64, percent float64) int64 {
	if percent <= 100 {
		return lowered(declared, int64(percent*float64(declared)/100))
	}
	return int64(min(percent, maxSizePercent) * float64(declared) / 100)
}

// RemoveExpired removes attempts without recent samples and groups without recent tasks.
func (z *Sizer) RemoveExpired(now fleet.Time) {
	for key, m := range z.tasks {
		if now.Sub(m.at) > sampleAge {
			delete(z.tasks, key)
		}
	}
	for key, g := range z.groups {
		if now.Sub(g.at) > time.Hour {
			delete(z.groups, key)
		}
	}
}

func peak(samples []fleet.Resources) fleet.Resources {
	high := fleet.Resources{}
	for _, s := range samples {
		high.CPUMilli = max(high.CPUMilli, s.CPUMilli)
		high.MemoryMiB = max(high.MemoryMiB, s.MemoryMiB)
	}
	return high
}

func lowest(samples []fleet.Resources) fleet.Resources {
	low := samples[0]
	for _, s := range samples[1:] {
		low.CPUMilli = min(low.CPUMilli, s.CPUMilli)
		low.MemoryMiB = min(low.MemoryMiB, s.MemoryMiB)
	}
	return low
}
