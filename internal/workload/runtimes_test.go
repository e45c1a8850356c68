package workload

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// runTask places a task at placedAt and ends it at endedAt.
func runTask(s *State, ref TaskRef, run int, placedAt, endedAt int64, e End) {
	s.Apply(&Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: run, Worker: incarnation}}}}, placedAt)
	e.Task, e.Run, e.Worker = ref, run, incarnation
	s.Apply(&Command{Progress: &Progress{Ends: []End{e}}}, endedAt)
}

// Guards against estimates that rest on runs which say nothing of the run time, and against
// estimates that a replica loses when it restores a snapshot.
func TestRunTimesOfCompletedRunsAreLearned(t *testing.T) {
	done := End{Outcome: OutcomeDone, Timed: true}
	const declared, actual = 1000, 4000
	for name, c := range map[string]struct {
		step    Step
		queue   Queue
		ends    []End
		learned int
	}{
		"completed":                 {step: Step{Count: 1}, ends: []End{done}, learned: 1},
		"not timed":                 {step: Step{Count: 1}, ends: []End{{Outcome: OutcomeDone}}},
		"failed, then done":         {step: Step{Count: 1}, ends: []End{{Outcome: OutcomeFailed, Timed: true}, done}, learned: 1},
		"resumed":                   {step: Step{Count: 1, Checkpoints: true}, ends: []End{{Outcome: OutcomeStopped, Checkpoint: "half"}, done}},
		"checkpoint of this run":    {step: Step{Count: 1, Checkpoints: true}, ends: []End{{Outcome: OutcomeDone, Timed: true, Checkpoint: "all"}}, learned: 1},
		"long-running":              {step: Step{Count: 1, LongRunning: true}, ends: []End{done}},
		"fills idle capacity":       {step: Step{Count: 1, FillsIdle: true}, ends: []End{done}},
		"objective without stretch": {step: Step{Count: 1}, queue: Queue{Name: "q", Pool: "p", MaxAttempts: 2, TargetLatencyMS: 1000}, ends: []End{done}},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestState()
			if c.queue.Name != "" {
				s.SetConfig(Config{Version: s.Config.Version, Queues: map[string]Queue{"q": c.queue}})
			}
			c.step.EstimatedMS = declared
			submit(s, "other", c.step)
			for i := range 50 {
				id := fmt.Sprint("j", i)
				submit(s, id, c.step)
				for run, e := range c.ends {
					at := int64(1000 + i*100_000 + run*10_000)
					runTask(s, TaskRef{Job: id}, run+1, at, at+actual, e)
				}
			}
			require.Equal(t, 50*c.learned, int(s.RunTimes.Records))
			want := s.ExpectedRun(s.Jobs["other"], 0)
			if c.learned > 0 {
				require.InDelta(t, actual, want.MedianMS, actual/4)
			} else {
				require.EqualValues(t, declared, want.MedianMS)
			}
			data, err := cbor.Marshal(s.Clone())
			require.NoError(t, err)
			var restored State
			require.NoError(t, cbor.Unmarshal(data, &restored))
			restored.Rebuild()
			require.Equal(t, want, restored.ExpectedRun(restored.Jobs["other"], 0))
			s.Apply(&Command{Progress: &Progress{ForgetRunTimes: true}}, 0)
			require.EqualValues(t, declared, s.ExpectedRun(s.Jobs["other"], 0).MedianMS)
		})
	}
}

// Guards against a gang of many members that counts as many runs.
func TestGangIsOneRunTime(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 3, Gang: true, EstimatedMS: 1000})
	p := &Progress{}
	ends := &Progress{}
	for i := range 3 {
		p.Starts = append(p.Starts, Start{Task: TaskRef{Job: "j", Index: i}, Run: 1, Worker: incarnation})
		ends.Ends = append(ends.Ends, End{Task: TaskRef{Job: "j", Index: i}, Run: 1, Worker: incarnation, Outcome: OutcomeDone, Timed: true})
	}
	s.Apply(&Command{Progress: p}, 100)
	s.Apply(&Command{Progress: ends}, 2100)
	require.Equal(t, JobCompleted, s.Jobs["j"].State)
	require.EqualValues(t, 1, s.RunTimes.Records)
}

// Guards against clocks of the cluster that stand still or jump, in an end or in a snapshot.
func TestRunTimesWithJumpingClocks(t *testing.T) {
	s := newTestState()
	for i, took := range []int64{0, -500, 1 << 50} {
		id := fmt.Sprint("j", i)
		submit(s, id, Step{Count: 1, EstimatedMS: 1000})
		runTask(s, TaskRef{Job: id}, 1, s.now+1, s.now+1+took, End{Outcome: OutcomeDone, Timed: true})
		require.Equal(t, JobCompleted, s.Jobs[id].State)
	}
	require.Zero(t, s.RunTimes.Records)
}
