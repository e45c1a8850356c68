package dispatch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// Run times are learned from runs on sound workers under one leader: a slow worker must not
// spoil the estimates of a queue, and neither may a change of leader.
func TestRunTimesOfSoundRunsAreLearned(t *testing.T) {
	step := workload.Step{Count: 8, Size: workload.Resources{CPUMilli: 500}, EstimatedMS: 5000}
	learn := func(t *testing.T, during func(*rig)) *rig {
		r := newRig(2)
		for i := range 2 {
			r.addWorker(fmt.Sprint("w", i), "r")
		}
		r.submit("job", step)
		for range 3 {
			r.advance(100)
			for _, w := range r.workers {
				w.heartbeat(0, false)
			}
			r.cycle()
		}
		during(r)
		require.True(t, r.settle())
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
		return r
	}
	t.Run("sound", func(t *testing.T) {
		r := learn(t, func(*rig) {})
		require.EqualValues(t, step.Count, r.state.Workload.RunTimes.Records)
		r.submit("next", step)
		require.Less(t, r.state.Workload.ExpectedRun(r.state.Workload.Jobs["next"], 0).MedianMS, int64(4000))
	})
	t.Run("slow worker", func(t *testing.T) {
		r := learn(t, func(r *rig) {
			for _, w := range r.dispatchers[0].workers {
				w.slowUntil = r.now + 1_000_000
			}
		})
		require.Zero(t, r.state.Workload.RunTimes.Records)
	})
	t.Run("change of leader", func(t *testing.T) {
		r := learn(t, func(r *rig) { r.elect(1) })
		require.Zero(t, r.state.Workload.RunTimes.Records)
	})
	t.Run("switched off", func(t *testing.T) {
		r := learn(t, func(*rig) {})
		r.dispatchers[0].settings.Planning.RunTimes = settings.RunTimesDeclared
		r.cycle()
		require.True(t, r.state.Workload.RunTimes.Empty())
	})
}

// Guards against a switch that the planner and the moves of machines don't get.
func TestPlanningSettingsReachTheDecisions(t *testing.T) {
	d := newRig(1).dispatchers[0]
	require.False(t, d.planInput(workload.NewState(), nil, 0).ByDeadline)
	d.settings.Planning.OverloadOrder = settings.OrderByDeadline
	require.True(t, d.planInput(workload.NewState(), nil, 0).ByDeadline)
	require.False(t, d.keepsSurplus())
	d.settings.Planning.SurplusMachines = settings.SurplusKept
	require.True(t, d.keepsSurplus())
}
