package retry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

func names(prefix string, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s%02d", prefix, i)
	}
	return out
}

// Delays must differ between jobs, and stay between half of the full delay and the
// whole.
func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	distinct := map[time.Duration]bool{}
	for failures := range 100 {
		d := Backoff(failures, rng)
		full := min(MaxDelay, InitialDelay<<min(max(failures-1, 0), 10))
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
		distinct[d] = true
	}
	require.Greater(t, len(distinct), 90)
}

// Retries must not exceed a tenth of the first attempts plus the burst.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		first, retries := 0, 0
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				b.RecordFirstAttempt("a")
				first++
			} else if b.TakeRetry("a") {
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), BudgetBurst+BudgetRatio*float64(first)+1e-6)
	})
}

// simulationResult is the result of running jobs on random workers of a pool, with
// some faulty jobs and workers.
type simulationResult struct {
	failed, quarantined map[string]bool
	failedAttempts      int
}

func simulate(policy Policy, seed int64, badWorkers, badJobs map[string]bool, workers []string, jobs int) simulationResult {
	rng := rand.New(rand.NewSource(seed))
	b := NewFailureTracker()
	until := map[string]fleet.Time{}
	r := simulationResult{failed: map[string]bool{}, quarantined: map[string]bool{}}
	now := fleet.Time(0)
	for n := range jobs {
		job := fmt.Sprintf("j%03d", n)
		var failedOn []string
		for attempt := 1; attempt <= 2*MaxFailures && !r.failed[job]; attempt++ {
			now = now.Add(4 * time.Second)
			w := pickWorker(rng, workers, failedOn, until, now)
			if !badWorkers[w] && !badJobs[job] {
				b.Succeeded(w, job, now)
				break
			}
			r.failedAttempts++
			failedOn = append(failedOn, w)
			if policy == PolicyImmediate {
				continue
			}
			r.failed[job] = !b.FailuresCorrelated(workers, now) && b.JobAtFault(job, failedOn, len(workers), now)
			b.Failed(w, job, now)
			for _, q := range b.DecideQuarantines(poolState(workers, until, now), now) {
				until[q.Worker] = now.Add(max(q.Duration, 0))
				r.quarantined[q.Worker] = q.Duration > 0
			}
		}
	}
	return r
}

func pickWorker(rng *rand.Rand, workers, avoid []string, until map[string]fleet.Time, now fleet.Time) string {
	for {
		w := workers[rng.Intn(len(workers))]
		avoided := false
		for _, a := range avoid {
			avoided = avoided || a == w
		}
		if until[w] <= now && (!avoided || len(avoid) >= len(workers)-2) {
			return w
		}
	}
}

func poolState(workers []string, until map[string]fleet.Time, now fleet.Time) PoolState {
	p := PoolState{Workers: workers}
	for _, w := range workers {
		if until[w] > now {
			p.Quarantined = append(p.Quarantined, w)
		}
	}
	return p
}

func keysWithTrue(m map[string]bool) []string {
	var out []string
	for k, v := range m {
		if v {
			out = append(out, k)
		}
	}
	return out
}

// A faulty worker must not make good jobs fail for good, faulty jobs must not
// quarantine good workers, and both must be found.
func TestJobAndWorkerFaultsAreIndependent(t *testing.T) {
	workers := names("w", 20)
	for seed := range int64(10) {
		bad := map[string]bool{"w03": true}
		poison := map[string]bool{}
		for n := 40; n < 400; n += 12 {
			poison[fmt.Sprintf("j%03d", n)] = true
		}
		r := simulate(PolicyBlame, seed, bad, poison, workers, 400)
		base := simulate(PolicyImmediate, seed, bad, poison, workers, 400)
		t.Logf("seed %d: failed attempts %d, baseline %d", seed, r.failedAttempts, base.failedAttempts)
		require.Less(t, r.failedAttempts, base.failedAttempts)
		for _, job := range keysWithTrue(r.failed) {
			require.True(t, poison[job], "seed %d: good job %s failed for good", seed, job)
		}
		require.Len(t, keysWithTrue(r.failed), len(poison), "seed %d", seed)
		require.Equal(t, []string{"w03"}, keysWithTrue(r.quarantined), "seed %d", seed)
	}
}

// At most a tenth of a pool, or one worker of a small one, may be in quarantine, and none
// may be quarantined while failures are correlated.
func TestQuarantineIsBounded(t *testing.T) {
	workers := names("w", 30)
	fail := func(b *FailureTracker, n int, at fleet.Time) {
		for i := range n {
			for j := range 3 {
				b.Failed(workers[i], fmt.Sprint("j", i, j), at)
			}
		}
	}
	b := NewFailureTracker()
	fail(b, 6, 0)
	require.Len(t, b.DecideQuarantines(PoolState{Workers: workers}, 1000), 3)
	b = NewFailureTracker()
	fail(b, 7, 0)
	require.True(t, b.FailuresCorrelated(workers, 1000))
	require.Empty(t, b.DecideQuarantines(PoolState{Workers: workers}, 1000))
	after := fleet.Time(0).Add(CorrelationWindow + time.Second)
	require.False(t, b.FailuresCorrelated(workers, after))
	require.Len(t, b.DecideQuarantines(PoolState{Workers: workers}, after), 3)
	small := NewFailureTracker()
	fail(small, 1, 0)
	require.Len(t, small.DecideQuarantines(PoolState{Workers: names("w", 4)}, 1000), 1)
}

// A quarantine must grow with each failed probe, and must not be renewed after
// successes.
func TestFailedProbesExtendQuarantine(t *testing.T) {
	b := NewFailureTracker()
	p := PoolState{Workers: names("w", 10)}
	for j := range 3 {
		b.Failed("w00", fmt.Sprint("j", j), 0)
	}
	now := fleet.Time(1000)
	for round := range 3 {
		got := b.DecideQuarantines(p, now)
		require.Len(t, got, 1)
		require.Equal(t, InitialQuarantine<<round, got[0].Duration)
		require.Empty(t, b.DecideQuarantines(p, now), "a second verdict on the same evidence")
		now = now.Add(got[0].Duration)
		require.Empty(t, b.DecideQuarantines(p, now), "no verdict before the probe")
		b.Failed("w00", fmt.Sprint("probe", round), now)
	}
	for j := range 8 {
		b.Succeeded("w00", fmt.Sprint("good", j), now.Add(time.Hour))
	}
	require.Empty(t, b.DecideQuarantines(p, now.Add(time.Hour)))
}

// A quarantine must end once the failures behind it turn out to be the fault of jobs.
func TestQuarantineIsLiftedWhenJobsAreAtFault(t *testing.T) {
	b := NewFailureTracker()
	p := PoolState{Workers: names("w", 20)}
	for i := range 20 {
		b.Succeeded(fmt.Sprintf("w%02d", i), fmt.Sprint("good", i), 0)
	}
	for j := range 3 {
		b.Failed("w00", fmt.Sprint("poison", j), 0)
	}
	require.Len(t, b.DecideQuarantines(p, 1000), 1)
	for j := range 3 {
		b.Failed(fmt.Sprintf("w%02d", 1+2*j), fmt.Sprint("poison", j), 20_000)
		b.Failed(fmt.Sprintf("w%02d", 2+2*j), fmt.Sprint("poison", j), 60_000)
	}
	p.Quarantined = []string{"w00"}
	require.Equal(t, []Quarantine{{Worker: "w00", Duration: -1}}, b.DecideQuarantines(p, 70_000))
}

// Measures the size that the project is designed for: 21 pools of 95 workers.
func BenchmarkDecideQuarantines(b *testing.B) {
	bl := NewFailureTracker()
	pools := make([]PoolState, 21)
	for k := range pools {
		for i := range 95 {
			w := fmt.Sprintf("p%02d-w%02d", k, i)
			pools[k].Workers = append(pools[k].Workers, w)
			for e := range maxEvents {
				if job := fmt.Sprint(w, e); e%16 == 0 {
					bl.Failed(w, job, fleet.Time(e))
				} else {
					bl.Succeeded(w, job, fleet.Time(e))
				}
			}
		}
	}
	for b.Loop() {
		for _, p := range pools {
			bl.DecideQuarantines(p, 60_000)
		}
	}
}
