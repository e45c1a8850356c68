package fleet

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// stepAttempts is how many runs of a task may fail before its job fails.
	stepAttempts = 3
	// stepStretch times the longest chain of work, and stepLatencyMS more, is the
	// time within which a job of steps should be complete. Urgent work starts within 6 s.
	stepStretch   = 2
	stepLatencyMS = 6000
)

// stepConfig derives what admits jobs of steps from the declared queues, pools and
// teams, so that there is one configuration.
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
