package taskplan

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

func chosenIDs(contenders []*contender) []string {
	var out []string
	for _, c := range contenders {
		if c.chosen {
			out = append(out, c.id.job)
		}
	}
	return out
}

func TestChooseInTime(t *testing.T) {
	const capacity, nowMS = 1000, 10_000
	newContender := func(id string, rank int, slackMS, work int64, density float64) *contender {
		return &contender{id: occurrenceKey{job: id}, rank: rank, latestMS: nowMS + slackMS, work: work * 1000, density: density}
	}
	for name, c := range map[string]struct {
		contenders []*contender
		want       []string
	}{
		"all fit":                                 {[]*contender{newContender("b", 0, 200, 100, 1), newContender("a", 0, 100, 100, 1)}, []string{"a", "b"}},
		"too late":                                {[]*contender{newContender("a", 0, -1, 1, 9), newContender("b", 0, 0, 1, 1)}, []string{"b"}},
		"less worth gives way":                    {[]*contender{newContender("a", 0, 0, 300, 1), newContender("b", 0, 100, 100, 2)}, []string{"b"}},
		"more worth stays":                        {[]*contender{newContender("a", 0, 0, 300, 2), newContender("b", 0, 100, 100, 1)}, []string{"a"}},
		"none gives way in vain":                  {[]*contender{newContender("a", 0, 0, 50, 1), newContender("b", 0, 0, 300, 3), newContender("c", 0, 100, 10, 2)}, []string{"b"}},
		"a higher priority does not give way":     {[]*contender{newContender("a", 0, 0, 300, 1), newContender("b", 2, 100, 100, 9)}, []string{"a"}},
		"a lower priority fits into what remains": {[]*contender{newContender("a", 0, 0, 300, 1), newContender("b", 2, 300, 100, 9)}, []string{"a", "b"}},
	} {
		t.Run(name, func(t *testing.T) {
			chooseInTime(c.contenders, capacity, nowMS)
			require.Equal(t, c.want, chosenIDs(c.contenders))
		})
	}
}

// A pool without capacity, and absurd declarations, give an order and no panic.
func TestOverloadWithAbsurdInput(t *testing.T) {
	for _, workers := range []int{0, 1} {
		f := newFixture(workers, workload.Team{Name: "t"})
		for i, estimated := range []int64{-1 << 62, -1, 0, 1, workload.MaxEstimatedMS, 1 << 62} {
			s := step(5, 4000)
			s.EstimatedMS = estimated
			f.submit(fmt.Sprint("time", i), "batch", "t", now, s)
			s = step(5, []int64{0, 1, -1, 1 << 40, 4000, 8000}[i])
			f.submit(fmt.Sprint("size", i), "batch", "t", now, s)
		}
		require.NotEmpty(t, f.plan().Unplaced)
	}
}

// Guards against a new job that displaces one that is half done, when there is time for only
// one of them.
func TestBegunJobKeepsItsRoom(t *testing.T) {
	for _, c := range []struct {
		byDeadline bool
		want       string
	}{{true, "new0"}, {false, "old"}} {
		f := newFixture(1, workload.Team{Name: "t"})
		second := step(1, 8000)
		second.After = []int{0}
		for _, id := range []string{"new0", "new1", "old"} {
			f.submit(id, "batch", "t", now-4700, step(1, 8000), second)
		}
		run := workload.Start{Task: workload.TaskRef{Job: "old"}, Run: 1, Worker: f.workers[0].Incarnation}
		f.state.Apply(&workload.Command{Progress: &workload.Progress{Starts: []workload.Start{run}}}, now-1000)
		end := workload.End{Task: run.Task, Run: run.Run, Worker: run.Worker, Outcome: workload.OutcomeDone}
		f.state.Apply(&workload.Command{Progress: &workload.Progress{Ends: []workload.End{end}}}, now)
		p := Compute(Input{State: f.state, NowMS: now, Workers: f.workers, ByDeadline: c.byDeadline})
		require.Len(t, p.Starts, 1)
		require.Equal(t, c.want, p.Starts[0].Task.Job)
	}
}

// Guards against giving up large jobs at the begin of a turn, while the machines that make
// room for all are on their way.
func TestMachinesOnTheirWayCount(t *testing.T) {
	for _, c := range []struct {
		incoming int64
		want     Overload
	}{{0, Overload{InTime: 3, Behind: 1}}, {24_000, Overload{InTime: 4}}} {
		f := newFixture(1, workload.Team{Name: "t"})
		f.submit("large", "batch", "t", now-1000, step(4, 8000))
		for i := range 3 {
			f.submit(fmt.Sprint("small", i), "batch", "t", now, step(1, 8000))
		}
		p := Compute(Input{State: f.state, NowMS: now, Workers: f.workers, IncomingMilli: map[string]int64{"pool": c.incoming}})
		require.Equal(t, c.want, p.Overloads["pool"])
	}
}
