package fleet

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// stepAttempts is the number of failed attempts of a task after which its job fails.
	stepAttempts = 3
	// A job of steps should be complete within stepStretch times its critical path plus
	// stepLatencyMS milliseconds. The latter is the 6 s within which urgent work starts.
	stepStretch   = 2
	stepLatencyMS = 6000
)

// stepConfig derives the configuration for jobs of steps from the declared queues,
// pools and teams, so that operators declare these once.
func stepConfig(c *Config) workload.Config {
	out := workload.Config{
		Version: int64(c.Revision), Queues: map[string]workload.Queue{},
		Pools: map[string]workload.Pool{}, Teams: map[string]workload.Team{},
	}
	for name, q := range c.Queues {
		out.Queues[name] = workload.Queue{
			Name: name, Pool: q.Pool, Priority: stepPriority(q.Class), MaxAttempts: stepAttempts,
			Stretch: stepStretch, TargetLatencyMS: stepLatencyMS, Open: q.Open,
		}
	}
	for name, p := range c.Pools {
		out.Pools[name] = workload.Pool{Name: name, Spare: p.Spare}
	}
	for name, t := range c.Teams {
		out.Teams[name] = workload.Team{Name: name, Weight: int64(t.Share)}
	}
	return out
}

func stepPriority(class JobClass) int {
	if class == ClassUrgent {
		return 0
	}
	return 1
}
