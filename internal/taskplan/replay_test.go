package taskplan

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	replayTickMS   = 50
	replayWorkers  = 20
	replayWorkerMC = 16_000
)

// replayJob is a job with its true run times and its outcome.
type replayJob struct {
	id        string
	at        int64
	steps     []workload.Step
	runMS     [][]int64
	chainMS   int64
	coreMS    int64
	worth     float64
	completed int64
}

// objectiveMS is what the caller expects: by the true chain, not by the declared one.
func (j *replayJob) objectiveMS() int64 { return 3600 + j.chainMS*16/10 }

func (j *replayJob) inTime() bool { return j.completed > 0 && j.completed-j.at <= j.objectiveMS() }

// replay holds the load of one pool: arrivals in turns, a declared time that is off by up to
// 0.9, and a few tasks that take seven times as long.
type replay struct {
	jobs []*replayJob
	// declaredOff is by how much of the run time declarations are off.
	declaredOff float64
}

// newReplay draws jobs until endMS. In each second turn of five seconds, they ask for the
// given part of the pool.
func newReplay(seed, endMS int64, load, declaredOff float64) *replay {
	rnd := rand.New(rand.NewSource(seed))
	r := &replay{declaredOff: declaredOff}
	around := func(mean, spread, most float64) float64 { return min(mean*math.Exp(spread*rnd.NormFloat64()), most) }
	offered := 0.0
	for at := int64(0); at < endMS; at += replayTickMS {
		part := load / 4
		if at/5000%2 == 1 {
			part = load
		}
		for offered += part * replayTickMS * replayWorkers * replayWorkerMC; offered > 0; {
			j := &replayJob{id: fmt.Sprintf("j%05d", len(r.jobs)), at: at}
			for i := range 1 + rnd.Intn(3) {
				run := around(800, 0.5, 12_000)
				step := workload.Step{Count: 1 + int(around(7, 0.6, 31)), Size: workload.Resources{CPUMilli: int64(around(2400, 0.45, 10_000)), MemoryMiB: 100}}
				step.EstimatedMS = int64(run * (1 + declaredOff*(2*rnd.Float64()-1)))
				if i > 0 {
					step.After = []int{i - 1}
				}
				longest, runs := int64(0), make([]int64, step.Count)
				for k := range runs {
					runs[k] = int64(around(run, 0.3, 3*run))
					if rnd.Float64() < 0.03 {
						runs[k] *= 7
					}
					longest = max(longest, runs[k])
					j.coreMS += runs[k] * step.Size.CPUMilli
				}
				j.steps, j.runMS, j.chainMS = append(j.steps, step), append(j.runMS, runs), j.chainMS+longest
			}
			offered -= float64(j.coreMS)
			r.jobs = append(r.jobs, j)
		}
	}
	total := int64(0)
	for _, j := range r.jobs {
		total += j.coreMS
	}
	for _, j := range r.jobs {
		j.worth = min(0.3+0.7*float64(j.coreMS)*float64(len(r.jobs))/float64(total), 4)
	}
	return r
}

// run plays the load until endMS, with learned run times if learn is set.
func (r *replay) run(endMS int64, byDeadline, learn bool) {
	f := newFixture(0, workload.Team{Name: "t"})
	for i := range replayWorkers {
		f.workers = append(f.workers, Worker{
			Incarnation: workload.WorkerIncarnation{ID: fmt.Sprintf("w%02d", i)}, Pool: "pool", Rack: fmt.Sprint(i / 5),
			Capacity: workload.Resources{CPUMilli: replayWorkerMC, MemoryMiB: 1 << 20}, MaxStarts: -1,
		})
	}
	next, byID := 0, map[string]*replayJob{}
	ending := map[int64][]workload.End{}
	for now := int64(0); now < endMS; now += replayTickMS {
		for ; next < len(r.jobs) && r.jobs[next].at <= now; next++ {
			j := r.jobs[next]
			j.completed = 0
			byID[j.id] = j
			f.submit(j.id, "batch", "t", now, j.steps...)
		}
		ends := ending[now]
		delete(ending, now)
		f.state.Apply(&workload.Command{Progress: &workload.Progress{Ends: ends}}, now)
		for _, e := range ends {
			if j := f.state.Jobs[e.Task.Job]; j.State == workload.JobCompleted && byID[j.ID].completed == 0 {
				byID[j.ID].completed = now
			}
		}
		plan := Compute(Input{State: f.state, NowMS: now, Workers: f.workers, ByDeadline: byDeadline})
		f.state.Apply(&workload.Command{Progress: &workload.Progress{Starts: plan.Starts}}, now)
		for _, s := range plan.Starts {
			took := byID[s.Task.Job].runMS[s.Task.Step][s.Task.Index]
			at := now + max((took+replayTickMS-1)/replayTickMS, 1)*replayTickMS
			ending[at] = append(ending[at], workload.End{Task: s.Task, Run: s.Run, Worker: s.Worker, Outcome: workload.OutcomeDone, Timed: learn})
		}
	}
}

// replayResult is the part of the jobs, and of their worth, that was in time or at most
// late; the last two are for the largest tenth.
type replayResult struct{ inTime, worth, served, largeInTime, largeServed float64 }

func (r *replay) result() replayResult {
	bySize := slices.Clone(r.jobs)
	slices.SortFunc(bySize, func(a, b *replayJob) int { return int(b.coreMS - a.coreMS) })
	part := func(jobs []*replayJob, weight func(*replayJob) float64, counts func(*replayJob) bool) float64 {
		sum, all := 0.0, 0.0
		for _, j := range jobs {
			all += weight(j)
			if counts(j) {
				sum += weight(j)
			}
		}
		return sum / all
	}
	one := func(*replayJob) float64 { return 1 }
	served := func(j *replayJob) bool { return j.completed > 0 && j.completed-j.at <= 3*j.objectiveMS() }
	large := bySize[:len(bySize)/10]
	return replayResult{
		inTime: part(r.jobs, one, (*replayJob).inTime), worth: part(r.jobs, func(j *replayJob) float64 { return j.worth }, (*replayJob).inTime),
		served: part(r.jobs, one, served), largeInTime: part(large, one, (*replayJob).inTime), largeServed: part(large, one, served),
	}
}

// Guards against an order under overload that finishes each job a little late, against one
// that buys that with the largest jobs, and against a loss where there is room enough. The
// baseline is the order by deadline.
func TestOrderUnderOverload(t *testing.T) {
	for _, c := range []struct{ load, gain float64 }{{0.9, 0}, {2.2, 0.02}, {3, 0.05}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			const seeds = 2
			var before, after replayResult
			for seed := range int64(seeds) {
				r := newReplay(seed, 40_000, c.load, 0.9)
				r.run(80_000, true, false)
				before.add(r.result(), seeds)
				r.run(80_000, false, true)
				after.add(r.result(), seeds)
			}
			t.Logf("before %.3f, after %.3f", before, after)
			require.GreaterOrEqual(t, after.worth, before.worth+c.gain)
			require.GreaterOrEqual(t, after.inTime, before.inTime)
			require.GreaterOrEqual(t, after.served, before.served-0.01)
			require.GreaterOrEqual(t, after.largeServed, after.served/2)
			require.GreaterOrEqual(t, after.largeInTime, before.largeInTime)
		})
	}
}

// add adds one of n results to their mean.
func (a *replayResult) add(b replayResult, n float64) {
	a.inTime += b.inTime / n
	a.worth += b.worth / n
	a.served += b.served / n
	a.largeInTime += b.largeInTime / n
	a.largeServed += b.largeServed / n
}
