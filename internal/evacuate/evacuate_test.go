package evacuate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

func cpu(milli int64) fleet.Resources { return fleet.Resources{CPUMilli: milli} }

// load is the load pattern of the package: six evacuated workers in three racks, each with
// two watch tasks of 1000 milli processors, and two workers elsewhere.
func load(free int64, pool fleet.Pool) Snapshot {
	pool.Name = "p"
	s := Snapshot{Now: 10_000, Pools: map[string]fleet.Pool{"p": pool}}
	for i := range 6 {
		name := fmt.Sprint("a", i)
		s.Instances = append(s.Instances, Instance{Name: name, Pool: "p", DataCentre: "a", Rack: fmt.Sprint("r", i/2), Evacuated: true})
		for k := range 2 {
			s.Tasks = append(s.Tasks, Task{JobID: fmt.Sprintf("j%d%d", i, k), Worker: name, Size: cpu(1000), Resumable: true})
		}
	}
	for _, name := range []string{"b0", "b1"} {
		s.Instances = append(s.Instances, Instance{Name: name, Pool: "p", DataCentre: "b", Free: cpu(free)})
	}
	s.Instances = append(s.Instances, Instance{Name: "other", Pool: "q", DataCentre: "b", Free: cpu(100_000)})
	return s
}

// all is the former decision, moving every watch task at once, as the baseline.
func all(s Snapshot) []string {
	var moves []string
	for _, t := range s.Tasks {
		moves = append(moves, t.JobID)
	}
	return moves
}

// waiting returns how many of the moves fit on no worker elsewhere and would only wait.
func waiting(s Snapshot, moves []string) int {
	p := &planner{Snapshot: s}
	n := 0
	for range moves {
		if !p.takeRoom("p", cpu(1000)) {
			n++
		}
	}
	return n
}

// Checks that tasks move on as many workers as the budgets leave and only into free room,
// while the baseline interrupts the whole data centre and leaves most tasks waiting.
func TestMovesKeepToBudgetsAndRoom(t *testing.T) {
	cases := []struct {
		name   string
		free   int64
		pool   fleet.Pool
		change func(*Snapshot)
		want   []string
	}{
		{"budget of the pool", 100_000, fleet.Pool{MaxUnavailable: 2}, nil, []string{"j00", "j01", "j10", "j11"}},
		{"budget of the rack", 100_000, fleet.Pool{MaxUnavailable: 6, MaxUnavailablePerRack: 1}, nil, []string{"j00", "j01", "j20", "j21", "j40", "j41"}},
		{"budget of the data centre", 100_000, fleet.Pool{MaxUnavailable: 6, MaxUnavailablePerDataCentre: 1}, nil, []string{"j00", "j01"}},
		{"room", 1500, fleet.Pool{MaxUnavailable: 6}, nil, []string{"j00", "j01"}},
		{"no room", 500, fleet.Pool{MaxUnavailable: 6}, nil, nil},
		{"no budget", 100_000, fleet.Pool{}, nil, nil},
		{"waiting jobs come first", 1500, fleet.Pool{MaxUnavailable: 6},
			func(s *Snapshot) { s.Waiting = []Job{{"p", cpu(1200)}, {"p", cpu(90_000)}, {"q", cpu(1)}} }, []string{"j00"}},
		{"unavailable elsewhere", 100_000, fleet.Pool{MaxUnavailable: 2}, func(s *Snapshot) { s.Instances[6].Unavailable = true }, []string{"j00", "j01"}},
		{"tasks under way", 1500, fleet.Pool{MaxUnavailable: 1}, func(s *Snapshot) { s.Tasks[4].MovingSince = 9000 }, []string{"j21"}},
		{"task that does not follow", 100_000, fleet.Pool{MaxUnavailable: 1}, func(s *Snapshot) { s.Tasks[0].MovingSince = 1 }, []string{"j01"}},
		{"tasks that can't be resumed", 100_000, fleet.Pool{MaxUnavailable: 1},
			func(s *Snapshot) { s.Tasks[0].Resumable, s.Tasks[1].Resumable = false, false }, []string{"j10", "j11"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := load(c.free, c.pool)
			if c.change != nil {
				c.change(&s)
			}
			require.Equal(t, c.want, Compute(s))
		})
	}
	little := func() Snapshot { return load(1500, fleet.Pool{MaxUnavailable: 6}) }
	require.Equal(t, 10, waiting(little(), all(little())))
	require.Zero(t, waiting(little(), Compute(little())))
}

// Checks that all tasks leave in the end when there is room, also when a worker ignores its
// orders, and that never more workers are interrupted than the budget allows.
func TestEvacuationEnds(t *testing.T) {
	s := load(100_000, fleet.Pool{MaxUnavailable: 1})
	for round := 0; len(s.Tasks) > 2; round++ {
		require.Less(t, round, 100)
		moves := Compute(s)
		workers := map[string]bool{}
		var left []Task
		for _, task := range s.Tasks {
			for _, id := range moves {
				if id == task.JobID {
					task.MovingSince = s.Now
				}
			}
			if task.MovingSince == s.Now {
				workers[task.Worker] = true
			}
			if task.MovingSince == 0 || task.Worker == "a0" {
				left = append(left, task)
			}
		}
		require.LessOrEqual(t, len(workers), 1)
		s.Tasks = left
		s.Now = s.Now.Add(time.Second)
	}
}
