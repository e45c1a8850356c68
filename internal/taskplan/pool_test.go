package taskplan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/samphirefork/samphirefork/internal/testseed" // fixes the seed
	"github.com/samphirefork/samphirefork/internal/workload"
)

// bestOfAll is the former policy: it compares all workers of the pool.
func bestOfAll(s *selector, ref workload.TaskRef, task *workload.Task) *workerState {
	c := &choice{s: s, ref: ref, task: task}
	c.offerAll(s.workers.all)
	return c.worker()
}

func drawStep(rt *rapid.T) workload.Step {
	return workload.Step{
		Count:        rapid.IntRange(1, 6).Draw(rt, "count"),
		Size:         workload.Resources{CPUMilli: rapid.Int64Range(0, 5).Draw(rt, "cpu") * 1000, MemoryMiB: rapid.Int64Range(0, 5).Draw(rt, "memory") * 1000},
		EstimatedMS:  1000,
		LongRunning:  rapid.IntRange(0, 4).Draw(rt, "long") == 0,
		FillsIdle:    rapid.IntRange(0, 6).Draw(rt, "fills") == 0,
		MaxPerWorker: rapid.IntRange(0, 2).Draw(rt, "per worker"),
		DataRack:     rapid.SampledFrom([]string{"", "", "r0", "r1", "nowhere"}).Draw(rt, "rack"),
		Label:        rapid.SampledFrom([]string{"", "", "a", "r1"}).Draw(rt, "label"),
	}
}

// The sorted groups must select the worker that a comparison of all workers selects, for
// each task of plans that fill a pool step by step.
func TestSortedGroupsSelectTheBestWorker(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rapid.IntRange(1, 12).Draw(rt, "workers"), workload.Team{Name: "t"})
		for i := range f.workers {
			f.workers[i].DataCentre = fmt.Sprintf("dc%d", rapid.IntRange(0, 2).Draw(rt, "dc"))
			f.workers[i].MaxStarts = rapid.SampledFrom([]int{-1, -1, 0, 1, 3}).Draw(rt, "starts")
			f.workers[i].Emptying = rapid.IntRange(0, 3).Draw(rt, "emptying") == 0
			f.workers[i].Capacity.CPUMilli = rapid.Int64Range(2, 8).Draw(rt, "capacity") * 1000
		}
		avoided := rapid.SampledFrom(f.workers).Draw(rt, "avoided").Incarnation
		for round := range rapid.IntRange(1, 4).Draw(rt, "rounds") {
			for i := range rapid.IntRange(1, 4).Draw(rt, "jobs") {
				f.submit(fmt.Sprintf("job%d-%d", round, i), "batch", "t", now, drawStep(rt))
			}
			p := newPlanner(Input{State: f.state, NowMS: now, Workers: f.workers, Avoid: func(ref workload.TaskRef, w workload.WorkerIncarnation) bool {
				return ref.Index == 0 && w == avoided
			}})
			for _, ordered := range p.candidates() {
				c := *ordered
				s := p.newSelector(c, nil)
				for i := range c.progress.Tasks {
					task := &c.progress.Tasks[i]
					if task.Phase != workload.Waiting {
						continue
					}
					ref := c.taskRef(i)
					want := bestOfAll(s, ref, task)
					require.Same(rt, want, s.selectWorker(ref, task))
					require.Equal(rt, want == nil, s.exhausted)
					if want != nil {
						p.startTask(c, s, want, ref, task.Run+1)
					}
				}
			}
			f.apply(p.plan)
		}
	})
}

// The steps beyond the limit are left for the next plan and are no unmet demand.
func TestPlanIsTruncatedBetweenSteps(t *testing.T) {
	f := newFixture(4, workload.Team{Name: "t"})
	for i := range 4 {
		f.submit(fmt.Sprint(i), "batch", "t", now, step(3, 1000))
	}
	p := Compute(Input{State: f.state, NowMS: now, Workers: f.workers, MaxStarts: 5})
	require.Len(t, p.Starts, 6)
	require.True(t, p.Truncated)
	require.Empty(t, p.Unplaced)
	f.apply(p)
	p = Compute(Input{State: f.state, NowMS: now, Workers: f.workers, MaxStarts: 50})
	require.Len(t, p.Starts, 6)
	require.False(t, p.Truncated)
}
