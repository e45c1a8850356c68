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

// Guards against retries that come back together, too early or never.
func TestBackoff(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	distinct := map[time.Duration]bool{}
	for failures := range 100 {
		d := Backoff(failures, rng)
		full := min(MaxDelay, FirstDelay<<min(max(failures-1, 0), 10))
		require.GreaterOrEqual(t, d, full/2)
		require.LessOrEqual(t, d, full)
		distinct[d] = true
	}
	require.Greater(t, len(distinct), 90)
}

// Guards against retries beyond a tenth of the first attempts and the burst.
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
		require.LessOrEqual(t, float64(retries), BudgetBurst+BudgetPart*float64(first)+1e-6)
	})
}

// run is what happened to jobs on random workers of a pool, some of either bad.
type run struct {
	failed, quarantined map[string]bool
	// wasted counts failed attempts.
	wasted int
}

func fleetRun(policy Policy, seed int64, badWorkers, badJobs map[string]bool, workers []string, jobs int) run {
	rng := rand.New(rand.NewSource(seed))
	b := NewFailureTracker()
	until := map[string]fleet.Time{}
	r := run{failed: map[string]bool{}, quarantined: map[string]bool{}}
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
			r.wasted++
			failedOn = append(failedOn, w)
			if policy == PolicyImmediate {
				continue
			}
			r.failed[job] = !b.FailuresCorrelated(workers, now) && b.JobAtFault(job, failedOn, len(workers), now)
			b.Failed(w, job, now)
			for _, q := range b.DecideQuarantines(state(workers, until, now), now) {
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

func state(workers []string, until map[string]fleet.Time, now fleet.Time) PoolState {
	p := PoolState{Workers: workers}
	for _, w := range workers {
		if until[w] > now {
			p.Quarantined = append(p.Quarantined, w)
		}
	}
	return p
}

func kept(m map[string]bool) []string {
	var out []string
	for k, v := range m {
		if v {
			out = append(out, k)
		}
	}
	return out
}

// Guards against verdicts that depend on each other: a bad worker must not fail
// good jobs, bad jobs must not quarantine good workers, and both must be found.
func TestVerdictsAreIndependent(t *testing.T) {
	workers := names("w", 20)
	for seed := range int64(10) {
		bad := map[string]bool{"w03": true}
		poison := map[string]bool{}
		for n := 40; n < 400; n += 12 {
			poison[fmt.Sprintf("j%03d", n)] = true
		}
		r := fleetRun(PolicyBlame, seed, bad, poison, workers, 400)
		base := fleetRun(PolicyImmediate, seed, bad, poison, workers, 400)
		t.Logf("seed %d: failed attempts %d, baseline %d", seed, r.wasted, base.wasted)
		require.Less(t, r.wasted, base.wasted)
		for _, job := range kept(r.failed) {
			require.True(t, poison[job], "seed %d: good job %s failed for good", seed, job)
		}
		require.Len(t, kept(r.failed), len(poison), "seed %d", seed)
		require.Equal(t, []string{"w03"}, kept(r.quarantined), "seed %d", seed)
	}
}

// Guards against more than a tenth of a pool in quarantine, and against verdicts
// during a failure wave.
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
	after := fleet.Time(0).Add(WaveWindow + time.Second)
	require.False(t, b.FailuresCorrelated(workers, after))
	require.Len(t, b.DecideQuarantines(PoolState{Workers: workers}, after), 3)
	small := NewFailureTracker()
	fail(small, 1, 0)
	require.Len(t, small.DecideQuarantines(PoolState{Workers: names("w", 4)}, 1000), 1)
}

// Guards against a quarantine that never ends, or does not grow while probes fail.
func TestProbesEndOrExtendQuarantine(t *testing.T) {
	b := NewFailureTracker()
	p := PoolState{Workers: names("w", 10)}
	for j := range 3 {
		b.Failed("w00", fmt.Sprint("j", j), 0)
	}
	now := fleet.Time(1000)
	for round := range 3 {
		got := b.DecideQuarantines(p, now)
		require.Len(t, got, 1)
		require.Equal(t, FirstQuarantine<<round, got[0].Duration)
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

// Guards against a worker that stays quarantined after its failures turned out to
// be the fault of the jobs.
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

// The design size: 21 pools of 95 workers with recent events.
func BenchmarkVerdicts(b *testing.B) {
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
