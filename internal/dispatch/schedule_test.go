package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/samphirefork/samphirefork/internal/testseed" // fixes the seed
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	settleRounds    = 1200
	settleStepMS    = 50
	heartbeatRounds = 2
)

// settle lets everything run undisturbed until all jobs are final. It returns false when it
// gives up.
func (r *rig) settle() bool {
	for round := range settleRounds {
		r.advance(settleStepMS)
		r.cycle()
		if round%heartbeatRounds == 0 {
			for _, w := range r.workers {
				w.heartbeat(r.leader, false)
			}
		}
		if len(r.state.Workload.Active()) == 0 {
			return true
		}
	}
	return false
}

// minCrashesToGiveUp is the least number of workers that must have crashed under a task
// before its job may fail for it.
const minCrashesToGiveUp = 2

// mostCrashes returns the largest number of workers that crashed under a task of the job.
func (r *rig) mostCrashes(job string) int {
	most := 0
	for ref, n := range r.crashCounts {
		if ref.Job == job {
			most = max(most, n)
		}
	}
	return most
}

// Under any order of lost responses, changes of leader, crashes, restarts, drains, evacuations
// and cancellations: no task may run twice at once or again after a recorded end, nothing may
// start in an evacuated data centre, no worker may exceed its capacity, no job may be
// forgotten, and none may fail unless two workers crashed under one of its tasks.
func TestNoTaskRunsTwiceUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig(3)
		for i := range 3 {
			r.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i%2)).dataCentre = fmt.Sprintf("dc%d", i%2)
		}
		jobs := 0
		steps := rapid.IntRange(50, 250).Draw(rt, "steps")
		for range steps {
			w := r.workers[rapid.IntRange(0, len(r.workers)-1).Draw(rt, "worker")]
			switch rapid.IntRange(0, 21).Draw(rt, "event") {
			case 0, 1:
				if jobs < 8 {
					jobs++
					r.submit(fmt.Sprintf("job%d", jobs),
						workload.Step{Count: rapid.IntRange(1, 5).Draw(rt, "count"), Size: workload.Resources{CPUMilli: 3000}, EstimatedMS: 800},
						workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 800, After: []int{0}, Speculative: rapid.Bool().Draw(rt, "speculative")})
				}
			case 2:
				r.elect(rapid.IntRange(0, 2).Draw(rt, "leader"))
			case 3:
				w.crash()
			case 4:
				if !w.up {
					w.restart()
				}
			case 5:
				r.propose(&workload.Command{Cancel: &workload.Cancel{ID: fmt.Sprintf("job%d", rapid.IntRange(1, 8).Draw(rt, "cancel")), Queue: rigQueue}})
			case 6:
				w.draining = !w.draining
			case 7:
				r.refuse = rapid.Bool().Draw(rt, "refuse")
				r.applyRefused = rapid.Bool().Draw(rt, "applied")
			case 8, 9, 10:
				w.heartbeat(rapid.IntRange(0, 2).Draw(rt, "store"), rapid.Bool().Draw(rt, "lost"))
			case 11, 12, 13:
				w.heartbeat(r.leader, false)
			case 14, 15, 16:
				r.cycle()
			case 18:
				r.evacuate(fmt.Sprintf("dc%d", rapid.IntRange(0, 1).Draw(rt, "data centre")), rapid.Bool().Draw(rt, "taken back"))
			case 17:
				w.capacity = int64(rapid.IntRange(0, rigCPU).Draw(rt, "capacity"))
			default:
				r.advance(int64(rapid.IntRange(1, 4000).Draw(rt, "ms")))
			}
			require.Empty(rt, r.violation)
		}
		r.refuse = false
		r.evacuate("dc0", true)
		r.evacuate("dc1", true)
		for _, w := range r.workers {
			w.draining, w.capacity = false, rigCPU
			if !w.up {
				w.restart()
			}
		}
		require.True(rt, r.settle(), "jobs are left")
		require.Empty(rt, r.violation)
		for _, j := range r.state.Workload.Jobs {
			require.True(rt, j.State != workload.JobFailed || r.mostCrashes(j.ID) >= minCrashesToGiveUp, "%s failed, and no run failed", j.ID)
		}
	})
}
