package share_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/share"
)

// load describes how one team submits work.
type load struct {
	weight    int
	cpu       int64
	memory    int64
	run       time.Duration
	queues    int
	idleUntil time.Duration
}

// simulation simulates one pool of workers that runs the work of teams with full
// queues.
type simulation struct {
	rng     *rand.Rand
	loads   []load
	tracker *share.UsageTracker
	snap    placement.Snapshot
	ends    map[string]fleet.Time
	total   fleet.Resources
	jobs    int
	queued  [][]placement.Job
}

const (
	tick    = 100 * time.Millisecond
	backlog = 150
)

func newSimulation(seed int64, policy share.Policy, workers int, loads []load) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewSource(seed)), loads: loads, tracker: share.New(policy),
		ends: map[string]fleet.Time{}, queued: make([][]placement.Job, len(loads)),
	}
	s.snap.Teams = map[string]placement.Team{}
	for i := range workers {
		w := placement.Worker{
			Name: fmt.Sprintf("w%02d", i), Pool: "p", Rack: fmt.Sprint("r", i/4), DataCentre: fmt.Sprint("d", i%3),
			Capacity: fleet.Resources{CPUMilli: 32000, MemoryMiB: 64000}, Usable: true,
		}
		s.snap.Workers = append(s.snap.Workers, w)
		s.total = s.total.Plus(w.Capacity)
	}
	for i := range loads {
		s.snap.Teams[team(i)] = placement.Team{Limit: 1 << 20}
	}
	return s
}

func team(i int) string { return fmt.Sprintf("t%02d", i) }

// vary returns a random amount between half and one and a half of n.
func (s *simulation) vary(n int64) int64 { return n/2 + s.rng.Int63n(n+1) }

func (s *simulation) fillQueue(i int) {
	l := s.loads[i]
	for s.snap.Now >= fleet.Time(l.idleUntil.Milliseconds()) && len(s.queued[i]) < backlog {
		s.jobs++
		s.queued[i] = append(s.queued[i], placement.Job{
			ID: fmt.Sprintf("j%07d", s.jobs), Team: team(i), Pool: "p", Queue: fmt.Sprint("q", s.rng.Intn(l.queues)),
			Class: fleet.ClassNormal, AcceptedAt: s.snap.Now,
			Size: fleet.Resources{CPUMilli: s.vary(l.cpu), MemoryMiB: s.vary(l.memory)},
		})
	}
}

// step simulates one tick and returns the dominant share that each team used in it.
func (s *simulation) step() []float64 {
	s.snap.Now = s.snap.Now.Add(tick)
	kept := s.snap.Tasks[:0]
	for _, t := range s.snap.Tasks {
		if s.ends[t.JobID] > s.snap.Now {
			kept = append(kept, t)
			continue
		}
		delete(s.ends, t.JobID)
	}
	s.snap.Tasks = kept
	s.snap.Jobs = nil
	for i := range s.loads {
		s.fillQueue(i)
		s.snap.Jobs = append(s.snap.Jobs, s.queued[i]...)
	}
	s.tracker.Advance(s.snap.Now, s.total, s.usage())
	s.snap.Rank = s.tracker.Ranking()
	plan := placement.Compute(placement.PolicyBestFit, s.snap)
	s.snap.Reservations = plan.Reservations
	s.start(plan)
	used := make([]float64, len(s.loads))
	for i, u := range s.usage() {
		used[i] = share.Dominant(u.Running, s.total)
	}
	return used
}

func (s *simulation) usage() []share.Usage {
	all := make([]share.Usage, len(s.loads))
	index := map[string]int{}
	for i, l := range s.loads {
		all[i] = share.Usage{Team: team(i), Weight: l.weight, Waiting: len(s.queued[i]) > 0}
		index[team(i)] = i
	}
	for _, t := range s.snap.Tasks {
		u := &all[index[t.Team]]
		u.Running = u.Running.Plus(t.Size)
		u.Jobs++
	}
	return all
}

func (s *simulation) start(plan placement.Plan) {
	worker := map[string]string{}
	for _, a := range plan.Assignments {
		worker[a.JobID] = a.Worker
	}
	for i, l := range s.loads {
		var left []placement.Job
		for _, j := range s.queued[i] {
			w, ok := worker[j.ID]
			if !ok {
				left = append(left, j)
				continue
			}
			s.snap.Tasks = append(s.snap.Tasks, placement.Task{JobID: j.ID, Worker: w, Team: j.Team, Queue: j.Queue, Class: j.Class, Size: j.Size, StartedAt: s.snap.Now})
			s.tracker.Started(j.Team, j.Size)
			s.ends[j.ID] = s.snap.Now.Add(time.Duration(s.vary(l.run.Milliseconds())) * time.Millisecond)
		}
		s.queued[i] = left
	}
}

// worstDeviation simulates 10 s and returns the largest relative deviation of a team's
// usage from its share.
func (s *simulation) worstDeviation() float64 {
	sums := make([]float64, len(s.loads))
	all, weights := 0.0, 0
	for range int(share.HistoryWindow / tick) {
		for i, u := range s.step() {
			sums[i] += u
			all += u
		}
	}
	for _, l := range s.loads {
		weights += l.weight
	}
	worst := 0.0
	for i, l := range s.loads {
		worst = max(worst, math.Abs(sums[i]/all*float64(weights)/float64(l.weight)-1))
	}
	return worst
}

// randomLoads returns teams that differ in weight, job size, run time and number of
// queues.
func randomLoads(rng *rand.Rand) []load {
	loads := make([]load, 6)
	for i := range loads {
		loads[i] = load{
			weight: 1 + rng.Intn(4),
			cpu:    500 + rng.Int63n(3500),
			memory: 500 + rng.Int63n(6000),
			run:    time.Duration(200+rng.Intn(3000)) * time.Millisecond,
			queues: 1 + rng.Intn(4),
		}
	}
	return loads
}

// A team must not get more than its share by larger or longer jobs, nor by using more
// queues.
func TestSharesConverge(t *testing.T) {
	for seed := range int64(4) {
		rng := rand.New(rand.NewSource(seed))
		s := newSimulation(seed, share.PolicyDRF, 24, randomLoads(rng))
		s.worstDeviation()
		for w := range 4 {
			worst := s.worstDeviation()
			t.Logf("seed %d window %d: largest deviation %.4f", seed, w, worst)
			require.Less(t, worst, 0.05)
		}
	}
}

// The policy must do better than its baseline: an equal split, which ignores weights,
// sizes and history, must deviate in the same simulation.
func TestEqualSplitDeviates(t *testing.T) {
	worst := map[share.Policy]float64{}
	for _, policy := range []share.Policy{share.PolicyDRF, share.PolicyEqual} {
		s := newSimulation(1, policy, 24, randomLoads(rand.New(rand.NewSource(1))))
		s.worstDeviation()
		worst[policy] = s.worstDeviation()
	}
	t.Logf("largest deviation: %v", worst)
	require.Less(t, worst[share.PolicyDRF], 0.05)
	require.Greater(t, worst[share.PolicyEqual], 0.05)
}

// The share of an idle team must be used by others, and must return to the team soon
// and without compensation for the idle time.
func TestIdleShareGoesAroundAndReturns(t *testing.T) {
	loads := []load{
		{weight: 1, cpu: 2000, memory: 2000, run: time.Second, queues: 1},
		{weight: 1, cpu: 2000, memory: 2000, run: time.Second, queues: 1, idleUntil: 20 * time.Second},
	}
	s := newSimulation(3, share.PolicyDRF, 12, loads)
	s.worstDeviation()
	require.Greater(t, s.step()[0], 0.9, "the idle share is not used")
	s.worstDeviation()
	for range 20 {
		s.step()
	}
	require.Less(t, s.worstDeviation(), 0.05)
}

// A team's score must rise when it uses more, and must be lower with a higher weight.
func TestScoreOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := fleet.Resources{CPUMilli: 1000, MemoryMiB: 1000, Accelerators: 10}
		use := fleet.Resources{
			CPUMilli:     rapid.Int64Range(1, 500).Draw(t, "cpu"),
			MemoryMiB:    rapid.Int64Range(1, 500).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 5).Draw(t, "accelerators"),
		}
		light := rapid.IntRange(1, 10).Draw(t, "weight")
		a := share.New(share.PolicyDRF)
		a.Advance(0, total, []share.Usage{
			{Team: "light", Weight: light, Running: use, Waiting: true},
			{Team: "heavy", Weight: light + 1, Running: use, Waiting: true},
		})
		r := a.Ranking()
		require.Less(t, r.Score("heavy", fleet.Resources{}), r.Score("light", fleet.Resources{}))
		before := r.Score("light", fleet.Resources{})
		r.Add("light", use)
		require.Greater(t, r.Score("light", fleet.Resources{}), before)
	})
}

func BenchmarkRanking(b *testing.B) {
	a := share.New(share.PolicyDRF)
	var usage []share.Usage
	for i := range 240 {
		usage = append(usage, share.Usage{Team: team(i), Weight: 1 + i%5, Waiting: true, Running: fleet.Resources{CPUMilli: int64(i)}})
	}
	total := fleet.Resources{CPUMilli: 1 << 20}
	now := fleet.Time(0)
	for b.Loop() {
		now += 100
		a.Advance(now, total, usage)
		r := a.Ranking()
		for i := range 240 {
			r.Score(team(i), fleet.Resources{})
		}
	}
}
