package intake

import (
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// backlogInterval is the time between computations of the backlog by team and pool: it reads
// each job under way.
const backlogInterval = time.Second

// backlogs holds the jobs under way by team and the work ahead by pool. It is computed only
// while the bounds are nearly reached. It is safe for concurrent use.
type backlogs struct {
	// maxBytes bounds the memory of the jobs under way; 0 is no bound.
	maxBytes int64
	proposed proposed

	mu         sync.Mutex
	computedAt time.Time
	teams      map[string]teamBacklog
	weights    int64
	clearMS    map[string]float64
}

type teamBacklog struct {
	jobs, tasks int
	bytes       int64
}

// backlog returns the backlog for a submission of the team to the queue. waiting returns the
// teams that have refused submissions: they take part in the shares.
func (b *backlogs) backlog(s *workload.State, q workload.Queue, team string, waiting func() map[string]bool, now time.Time) Backlog {
	all, ofTeam := b.proposed.of(team)
	out := Backlog{
		Jobs: len(s.Active()) + all.jobs, Tasks: s.ActiveTasks() + all.tasks, Bytes: s.ActiveBytes() + all.bytes, MaxBytes: b.maxBytes,
		Weight: weightOf(s, team),
	}
	out.Weights = out.Weight
	if !out.isCrowded() {
		return out
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.computedAt) >= backlogInterval {
		b.compute(s, waiting())
		b.computedAt = now
	}
	t, known := b.teams[team]
	t = t.plus(ofTeam)
	out.TeamJobs, out.TeamTasks, out.TeamBytes, out.ClearMS = t.jobs, t.tasks, t.bytes, b.clearMS[q.Pool]
	out.Weights = b.weights
	if !known {
		out.Weights += out.Weight
	}
	return out
}

// compute derives the fields from the state. The caller holds mu.
func (b *backlogs) compute(s *workload.State, waiting map[string]bool) {
	b.teams, b.weights, b.clearMS = map[string]teamBacklog{}, 0, map[string]float64{}
	ahead, running := map[string]float64{}, map[string]float64{}
	for _, j := range s.Active() {
		t := b.teams[j.Team]
		t.jobs++
		t.tasks += j.TotalTasks()
		t.bytes += j.Bytes()
		pool := s.PoolOf(j)
		for _, o := range j.Occurrences {
			for i := range o.Steps {
				work, busy := workOf(s, j, i, &o.Steps[i])
				ahead[pool] += work
				running[pool] += busy
			}
		}
		b.teams[j.Team] = t
	}
	for team := range waiting {
		if _, known := b.teams[team]; !known {
			b.teams[team] = teamBacklog{}
		}
	}
	for team := range b.teams {
		b.weights += weightOf(s, team)
	}
	for pool, work := range ahead {
		if running[pool] > 0 {
			b.clearMS[pool] = work / running[pool]
		}
	}
}

// workOf returns the work that is left of a step, in thousandths of a core times
// milliseconds, and the thousandths of a core that it occupies. Running tasks are half done on
// average. A long-running step has no work that ends.
func workOf(s *workload.State, j *workload.Job, step int, p *workload.StepProgress) (work, running float64) {
	if j.Steps[step].LongRunning || p.Waiting()+p.OnWorkers() == 0 {
		return 0, 0
	}
	cpu := float64(j.Steps[step].Size.CPUMilli)
	running = cpu * float64(p.OnWorkers())
	left := cpu*float64(p.Waiting()) + running/2
	return left * float64(s.ExpectedRun(j, step).MeanMS), running
}

// weightOf returns the weight of a team, at least 1. Submissions to open queues have no team.
func weightOf(s *workload.State, team string) int64 {
	return max(s.Config.Teams[team].Weight, 1)
}
