package placement

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/share"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// randomSnapshot returns a snapshot whose tasks fit their workers.
func randomSnapshot(rng *rand.Rand, workers, tasks, jobs, teams int) Snapshot {
	s := Snapshot{Now: 100_000, Teams: map[string]Team{}}
	free := make([]fleet.Resources, workers)
	pools := max(1, workers/95)
	for i := range workers {
		free[i] = fleet.Resources{CPUMilli: 32000, MemoryMiB: 64000, Accelerators: int64(i%4) * 2}
		s.Workers = append(s.Workers, Worker{
			Name: fmt.Sprintf("w%04d", i), Incarnation: "1", Pool: fmt.Sprint("p", i%pools),
			Rack: fmt.Sprint("r", i/4), DataCentre: fmt.Sprint("d", i%3), Capacity: free[i], Usable: rng.Intn(10) > 0,
		})
	}
	for i := range teams {
		s.Teams[fmt.Sprint("t", i)] = Team{Limit: 1 + rng.Intn(2*(tasks+jobs)/teams+1)}
	}
	for i := range tasks {
		w := rng.Intn(workers)
		size := randomSize(rng)
		if !fits(size, free[w]) {
			continue
		}
		free[w] = sub(free[w], size)
		name := fmt.Sprint("t", rng.Intn(teams))
		t := s.Teams[name]
		t.Units++
		t.Limit = max(t.Limit, t.Units)
		s.Teams[name] = t
		s.Tasks = append(s.Tasks, Task{
			JobID: fmt.Sprintf("r%05d", i), Worker: s.Workers[w].Name, Team: name, Queue: "q", Class: randomClass(rng),
			Size: size, Declared: size, Idempotent: rng.Intn(2) == 0, NoCheckpoint: rng.Intn(4) == 0,
		})
	}
	for i := range jobs {
		s.Jobs = append(s.Jobs, Job{
			ID: fmt.Sprintf("j%05d", i), Team: fmt.Sprint("t", rng.Intn(teams)), Queue: "q", Pool: fmt.Sprint("p", rng.Intn(pools)),
			Class: randomClass(rng), Size: randomSize(rng), AcceptedAt: fleet.Time(rng.Intn(90_000)),
		})
	}
	return s
}

func randomSize(rng *rand.Rand) fleet.Resources {
	size := fleet.Resources{CPUMilli: 100 + rng.Int63n(8000), MemoryMiB: 100 + rng.Int63n(16000)}
	if rng.Intn(8) == 0 {
		size.Accelerators = 1 + rng.Int63n(3)
	}
	return size
}

func randomClass(rng *rand.Rand) fleet.JobClass {
	return []fleet.JobClass{fleet.ClassNormal, fleet.ClassNormal, fleet.ClassUrgent, fleet.ClassWatch}[rng.Intn(4)]
}

func newRanker(s Snapshot) Ranker {
	a := share.New(share.PolicyDRF)
	usage := []share.Usage{}
	for name := range s.Teams {
		usage = append(usage, share.Usage{Team: name, Weight: 1, Waiting: true})
	}
	a.Advance(s.Now, fleet.Resources{CPUMilli: 1 << 20, MemoryMiB: 1 << 21, Accelerators: 100}, usage)
	return a.Ranking()
}

// A plan must not exceed a worker's capacity or a team's limit, use an unusable
// worker, assign a job twice, or stop a task that must not be stopped.
func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		s := randomSnapshot(rng, 1+rng.Intn(12), rng.Intn(60), rng.Intn(60), 1+rng.Intn(4))
		s.Rank = newRanker(s)
		policy := rapid.SampledFrom([]Policy{PolicyBestFit, PolicyFirstFit}).Draw(t, "policy")
		plan := Compute(policy, s)
		checkAssignments(t, s, plan)
		checkPreemptions(t, s, plan)
	})
}

func checkAssignments(t *rapid.T, s Snapshot, plan Plan) {
	free := map[string]fleet.Resources{}
	workers := map[string]Worker{}
	for _, w := range s.Workers {
		workers[w.Name], free[w.Name] = w, w.Capacity
	}
	for _, k := range s.Tasks {
		free[k.Worker] = sub(free[k.Worker], allocated(k))
	}
	jobs := map[string]Job{}
	for _, j := range s.Jobs {
		jobs[j.ID] = j
	}
	started := map[string]int{}
	for _, a := range plan.Assignments {
		j, waiting := jobs[a.JobID]
		require.True(t, waiting, "assigned twice or unknown: %s", a.JobID)
		delete(jobs, a.JobID)
		require.True(t, workers[a.Worker].Usable)
		require.Equal(t, j.Pool, workers[a.Worker].Pool)
		require.True(t, fits(j.Size, free[a.Worker]), "no room on %s", a.Worker)
		free[a.Worker] = sub(free[a.Worker], j.Size)
		started[j.Team]++
		require.LessOrEqual(t, s.Teams[j.Team].Units+started[j.Team], s.Teams[j.Team].Limit)
	}
}

func checkPreemptions(t *rapid.T, s Snapshot, plan Plan) {
	tasks := map[string]Task{}
	for _, k := range s.Tasks {
		tasks[k.JobID] = k
	}
	victims := map[string]int{}
	for _, p := range plan.Preemptions {
		k := tasks[p.JobID]
		if p.Action == ActionUnthrottle {
			continue
		}
		victims[p.ForJobID]++
		require.LessOrEqual(t, victims[p.ForJobID], MaxVictimsPerJob)
		require.NotEqual(t, fleet.ClassUrgent, k.Class)
		if p.Action == ActionStop {
			require.True(t, k.Idempotent)
		}
		if p.Action == ActionCheckpoint {
			require.False(t, k.NoCheckpoint)
		}
	}
	total := 0
	for _, n := range victims {
		total += n
	}
	require.LessOrEqual(t, total, MaxVictimsPerPlan)
}

// singleWorker returns a snapshot with one worker of 4 processors and the given tasks.
func singleWorker(tasks ...Task) Snapshot {
	s := Snapshot{Now: 10_000, Teams: map[string]Team{"a": {Limit: 100}}}
	s.Workers = []Worker{{Name: "w", Incarnation: "1", Pool: "p", Usable: true, Capacity: fleet.Resources{CPUMilli: 4000, MemoryMiB: 4000}}}
	for i, k := range tasks {
		k.JobID, k.Worker, k.Team = fmt.Sprint("r", i), "w", "a"
		s.Tasks = append(s.Tasks, k)
	}
	return s
}

func job(id string, class fleet.JobClass, cpu int64) Job {
	return Job{ID: id, Team: "a", Pool: "p", Class: class, Size: fleet.Resources{CPUMilli: cpu, MemoryMiB: 100}}
}

func task(class fleet.JobClass, cpu, memory int64, idempotent bool) Task {
	return Task{Class: class, Size: fleet.Resources{CPUMilli: cpu, MemoryMiB: memory}, Idempotent: idempotent, NoCheckpoint: !idempotent}
}

// Throttles come before checkpoints and these before stops. Watch tasks must be
// preempted last, and tasks that are not idempotent must not be stopped.
func TestUrgentJobPreempts(t *testing.T) {
	normal, watch, urgent := fleet.ClassNormal, fleet.ClassWatch, fleet.ClassUrgent
	checkpointing := func(k Task, since fleet.Time) Task {
		k.Action, k.ActionSince = ActionCheckpoint, since
		return k
	}
	cases := []struct {
		name  string
		tasks []Task
		cpu   int64
		want  map[string]Action
	}{
		{"throttle is enough", []Task{task(normal, 4000, 100, false)}, 2000, map[string]Action{"r0": ActionThrottle}},
		{"throttle is not enough", []Task{task(normal, 4000, 100, true)}, 3000, map[string]Action{"r0": ActionCheckpoint}},
		{"memory needs a checkpoint", []Task{task(normal, 100, 4000, true)}, 1000, map[string]Action{"r0": ActionCheckpoint}},
		{"fewest victims", []Task{task(normal, 1000, 1, true), task(normal, 3000, 1, true)}, 1500, map[string]Action{"r1": ActionThrottle}},
		{"watch last", []Task{task(watch, 2000, 1, true), task(normal, 2000, 1, true)}, 1000, map[string]Action{"r1": ActionThrottle}},
		{"urgent stays", []Task{task(urgent, 4000, 1, true)}, 1000, map[string]Action{}},
		{"checkpoint under way", []Task{checkpointing(task(normal, 4000, 1, true), 9000)}, 3000, map[string]Action{}},
		{"overdue checkpoint", []Task{checkpointing(task(normal, 4000, 1, true), 7000)}, 3000, map[string]Action{"r0": ActionStop}},
		{"not idempotent", []Task{task(normal, 4000, 1, false)}, 3000, map[string]Action{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := singleWorker(c.tasks...)
			s.Jobs = []Job{job("u", urgent, c.cpu)}
			got := map[string]Action{}
			for _, p := range Compute(PolicyBestFit, s).Preemptions {
				got[p.JobID] = p.Action
			}
			require.Equal(t, c.want, got)
		})
	}
}

// An urgent job must start before a normal job that was accepted earlier.
func TestUrgentComesFirst(t *testing.T) {
	s := singleWorker()
	s.Jobs = []Job{job("n", fleet.ClassNormal, 4000), job("u", fleet.ClassUrgent, 4000)}
	s.Jobs[1].AcceptedAt = 5000
	require.Equal(t, "u", Compute(PolicyBestFit, s).Assignments[0].JobID)
	require.Equal(t, "n", Compute(PolicyFirstFit, s).Assignments[0].JobID)
}

// Small jobs that keep arriving must not starve a large job. First fit is the baseline
// that does starve it.
func TestLargeJobIsNotStarved(t *testing.T) {
	ends := map[Policy]int{}
	for _, policy := range []Policy{PolicyBestFit, PolicyFirstFit} {
		s := singleWorker(task(fleet.ClassNormal, 1000, 1, true), task(fleet.ClassNormal, 1000, 1, true), task(fleet.ClassNormal, 1000, 1, true))
		for round := range 30 {
			s.Now = s.Now.Add(time.Second)
			s.Jobs = []Job{job("large", fleet.ClassNormal, 4000)}
			for i := range 4 {
				s.Jobs = append(s.Jobs, job(fmt.Sprint("s", round, "-", i), fleet.ClassNormal, 1000))
			}
			if len(s.Tasks) > 0 {
				s.Tasks = s.Tasks[1:]
			}
			plan := Compute(policy, s)
			s.Reservations = plan.Reservations
			for _, a := range plan.Assignments {
				if a.JobID == "large" {
					ends[policy] = round + 1
				}
				s.Tasks = append(s.Tasks, Task{JobID: a.JobID, Worker: "w", Class: fleet.ClassNormal, Size: fleet.Resources{CPUMilli: 1000}})
			}
			if ends[policy] > 0 {
				break
			}
		}
	}
	require.NotZero(t, ends[PolicyBestFit])
	require.LessOrEqual(t, ends[PolicyBestFit], 8)
	require.Zero(t, ends[PolicyFirstFit])
}

// Resources must not be withheld without end for a team whose jobs can't fit next to
// tasks that don't end.
func TestWithheldResourcesAreReleased(t *testing.T) {
	s := Snapshot{Now: 100_000, Teams: map[string]Team{"a": {Limit: 100}, "b": {Limit: 100}}}
	for i := range 8 {
		w := Worker{Name: fmt.Sprint("w", i), Pool: "p", Usable: true, Capacity: fleet.Resources{CPUMilli: 4000, MemoryMiB: 4000}}
		s.Workers = append(s.Workers, w)
		s.Tasks = append(s.Tasks, Task{JobID: fmt.Sprint("r", i), Worker: w.Name, Team: "b", Class: fleet.ClassNormal, Size: fleet.Resources{CPUMilli: 3200, MemoryMiB: 100}})
	}
	for i := range 10 {
		a, b := job(fmt.Sprint("a", i), fleet.ClassNormal, 900), job(fmt.Sprint("b", i), fleet.ClassNormal, 400)
		b.Team = "b"
		s.Jobs = append(s.Jobs, a, b)
	}
	usage := []share.Usage{{Team: "a", Weight: 1, Waiting: true}, {Team: "b", Weight: 1, Waiting: true, Running: fleet.Resources{CPUMilli: 25600}}}
	plan := func() Plan {
		tracker := share.New(share.PolicyDRF)
		tracker.Advance(s.Now, fleet.Resources{CPUMilli: 32000, MemoryMiB: 32000}, usage)
		s.Rank = tracker.Ranking()
		p := Compute(PolicyBestFit, s)
		s.Reservations = p.Reservations
		return p
	}
	require.Empty(t, plan().Assignments)
	s.Now = s.Now.Add(withholdTimeout)
	require.NotEmpty(t, plan().Assignments)
}

// Best fit must do better than first fit in two ways: jobs without accelerators leave
// resources free next to accelerators, and the jobs of a queue do not fill one rack.
func TestBestFitKeepsAcceleratorsAndSpreads(t *testing.T) {
	placed := map[Policy]int{}
	mostInOneRack := map[Policy]int{}
	for _, policy := range []Policy{PolicyBestFit, PolicyFirstFit} {
		s := Snapshot{Now: 1000, Teams: map[string]Team{"a": {Limit: 1000}}}
		racks := map[string]string{}
		for i := range 24 {
			w := Worker{Name: fmt.Sprintf("w%02d", i), Pool: "p", Usable: true, Rack: fmt.Sprint("r", i/4), DataCentre: fmt.Sprint("d", i/8)}
			w.Capacity = fleet.Resources{CPUMilli: 4000, MemoryMiB: 4000}
			if i%6 == 0 {
				w.Capacity.Accelerators = 4
			}
			racks[w.Name] = w.Rack
			s.Workers = append(s.Workers, w)
		}
		for i := range 32 {
			j := job(fmt.Sprintf("j%02d", i), fleet.ClassNormal, 1000)
			if i >= 16 {
				j.Size.Accelerators = 1
			}
			j.AcceptedAt = fleet.Time(i)
			s.Jobs = append(s.Jobs, j)
		}
		byRack := map[string]int{}
		for _, a := range Compute(policy, s).Assignments {
			if a.JobID >= "j16" {
				placed[policy]++
				continue
			}
			byRack[racks[a.Worker]]++
			mostInOneRack[policy] = max(mostInOneRack[policy], byRack[racks[a.Worker]])
		}
	}
	t.Logf("accelerator jobs placed of 16: %v; most of 16 other jobs in one rack: %v", placed, mostInOneRack)
	require.Equal(t, 16, placed[PolicyBestFit])
	require.Less(t, placed[PolicyFirstFit], 16)
	require.Less(t, mostInOneRack[PolicyBestFit], mostInOneRack[PolicyFirstFit])
}

// A job must not return to a worker on which it failed, unless it has failed on all
// usable workers of its pool.
func TestAvoidsFailedWorkers(t *testing.T) {
	s := singleWorker()
	s.Workers = append(s.Workers, s.Workers[0])
	s.Workers[1].Name = "v"
	s.Jobs = []Job{job("j", fleet.ClassNormal, 1000)}
	s.Jobs[0].Avoid = []string{"v"}
	require.Equal(t, "w", Compute(PolicyBestFit, s).Assignments[0].Worker)
	s.Workers[0].Usable = false
	require.Len(t, Compute(PolicyBestFit, s).Assignments, 1)
}

// A size must not follow a single sample, fall below the minimum, or stay at a
// declared size that is far off.
func TestSizesFollowUsage(t *testing.T) {
	declared := fleet.Resources{CPUMilli: 1000, MemoryMiB: 1000, Accelerators: 1}
	z := NewSizer()
	now := fleet.Time(0)
	observe := func(attempt int, cpu int64, n int) wire.TaskKey {
		key := wire.TaskKey{JobID: "j", Attempt: attempt}
		for range n {
			now = now.Add(sampleSpacing)
			z.Observe(key, "a", "q", declared, fleet.Resources{CPUMilli: cpu, MemoryMiB: 10}, now)
		}
		return key
	}
	require.Equal(t, declared, z.TaskSize(observe(1, 5000, 1), declared))
	require.Equal(t, int64(5000), z.TaskSize(observe(1, 5000, 1), declared).CPUMilli)
	require.Equal(t, declared, z.TaskSize(observe(2, 10, lowerSamples-1), declared))
	require.Equal(t, fleet.Resources{CPUMilli: 500, MemoryMiB: 500, Accelerators: 1}, z.TaskSize(observe(2, 10, 1), declared))
	require.Equal(t, declared, z.JobSize("a", "q", declared), "one measured task corrected the others")
	observe(3, 600, lowerSamples)
	observe(4, 600, lowerSamples)
	require.Less(t, z.JobSize("a", "q", declared).CPUMilli, int64(1000))
	require.GreaterOrEqual(t, z.JobSize("a", "q", declared).MemoryMiB, int64(500))
}

// Measures the size that the project is designed for: 2,000 workers, 10,000 queued
// jobs and 240 teams.
func BenchmarkCompute(b *testing.B) {
	s := randomSnapshot(rand.New(rand.NewSource(1)), 2000, 12000, 10000, 240)
	for _, policy := range []Policy{PolicyBestFit, PolicyFirstFit} {
		b.Run(string(policy), func(b *testing.B) {
			for b.Loop() {
				s.Rank = newRanker(s)
				Compute(policy, s)
			}
		})
	}
}
