package workload

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/samphirefork/samphirefork/internal/testseed" // fixes the seed
)

var incarnation = WorkerIncarnation{ID: "w", Born: 1}

func newTestState() *State {
	s := NewState()
	s.Apply(&Command{Configure: &Config{
		Version: 1, Fingerprint: 1,
		Queues: map[string]Queue{"q": {Name: "q", Pool: "p", MaxAttempts: 2, TargetLatencyMS: 1000, Stretch: 2}},
		Pools:  map[string]Pool{"p": {Name: "p"}},
	}}, 1)
	return s
}

func submit(s *State, id string, steps ...Step) Result {
	return s.Apply(&Command{Submit: &Submit{ID: id, Queue: "q", Steps: steps}}, 10)
}

func start(s *State, ref TaskRef, run int) {
	s.Apply(&Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: run, Worker: incarnation}}}}, 20)
}

// started records that the worker has reported the run.
func started(s *State, ref TaskRef, run int) {
	s.Apply(&Command{Progress: &Progress{Started: []StartedRun{{Run: Run{Task: ref, Run: run}, At: 20}}}}, 20)
}

func end(s *State, ref TaskRef, run int, outcome Outcome) {
	s.Apply(&Command{Progress: &Progress{Ends: []End{{Task: ref, Run: run, Worker: incarnation, Outcome: outcome}}}}, 30)
}

// Guards against a job that runs again because a caller repeated its submission, and
// against a job that replaces another one with the same identifier.
func TestSubmissionIsIdempotent(t *testing.T) {
	s := newTestState()
	require.Equal(t, Result{}, submit(s, "j", Step{Count: 1}))
	ref := TaskRef{Job: "j"}
	start(s, ref, 1)
	end(s, ref, 1, OutcomeDone)
	require.Equal(t, JobCompleted, s.Jobs["j"].State)
	require.Equal(t, Result{Known: true}, submit(s, "j", Step{Count: 1}))
	require.Equal(t, RefusedIDReused, submit(s, "j", Step{Count: 2}).Refusal)
	require.Equal(t, JobCompleted, s.Jobs["j"].State)
}

// Guards against an older configuration that replaces a newer one, and against other
// content with the version that is in force.
func TestHighestConfigurationWins(t *testing.T) {
	s := newTestState()
	require.Equal(t, Result{Version: 9}, s.Apply(&Command{Configure: &Config{Version: 9, Fingerprint: 9}}, 2))
	require.Equal(t, Result{Version: 9}, s.Apply(&Command{Configure: &Config{Version: 5, Fingerprint: 5}}, 3))
	require.Equal(t, Result{Version: 9}, s.Apply(&Command{Configure: &Config{Version: 9, Fingerprint: 9}}, 4))
	res := s.Apply(&Command{Configure: &Config{Version: 9, Fingerprint: 10}}, 5)
	require.Equal(t, RefusedVersionReused, res.Refusal)
	require.EqualValues(t, 9, s.Config.Fingerprint)
}

// Guards against a step that starts before the steps that it depends on are done.
func TestStepsWaitForTheirDependencies(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 1}, Step{Count: 1, After: []int{0}})
	second := TaskRef{Job: "j", Step: 1}
	start(s, second, 1)
	require.Empty(t, s.RunsOn(incarnation))
	start(s, TaskRef{Job: "j"}, 1)
	end(s, TaskRef{Job: "j"}, 1, OutcomeDone)
	start(s, second, 1)
	require.Len(t, s.RunsOn(incarnation), 1)
}

// Guards against more failed runs than the queue allows, and against counting runs that
// were lost, stopped or refused as failures.
func TestOnlyFailuresCountAsAttempts(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 1})
	ref := TaskRef{Job: "j"}
	for run, outcome := range []Outcome{OutcomeLost, OutcomeStopped, OutcomeLapsed, OutcomeRefused, OutcomeFailed} {
		start(s, ref, run+1)
		end(s, ref, run+1, outcome)
		require.False(t, s.Jobs["j"].State.Final(), outcome)
	}
	start(s, ref, 6)
	end(s, ref, 6, OutcomeFailed)
	require.Equal(t, JobFailed, s.Jobs["j"].State)
}

// Guards against a long-running task whose end completes its job, or whose failures make
// it fail.
func TestLongRunningTasksStartAgain(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 1, LongRunning: true})
	ref := TaskRef{Job: "j"}
	for run, outcome := range []Outcome{OutcomeDone, OutcomeFailed, OutcomeFailed, OutcomeFailed} {
		start(s, ref, run+1)
		end(s, ref, run+1, outcome)
		require.Equal(t, JobRunning, s.Jobs["j"].State)
	}
	s.Apply(&Command{Cancel: &Cancel{ID: "j", Queue: "q"}}, 40)
	require.Equal(t, JobCancelled, s.Jobs["j"].State)
}

// Guards against capacity that is used again while a cancelled run still occupies it.
func TestStoppingRunOccupiesUntilItsEnd(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 1, Size: Resources{CPUMilli: 500}})
	ref := TaskRef{Job: "j"}
	start(s, ref, 1)
	s.Apply(&Command{Cancel: &Cancel{ID: "j", Queue: "q"}}, 40)
	require.True(t, s.RunsOn(incarnation)[ref].Stopping)
	require.EqualValues(t, 500, s.TeamUse("").CPUMilli)
	end(s, ref, 1, OutcomeStopped)
	require.Empty(t, s.RunsOn(incarnation))
	require.Zero(t, s.TeamUse(""))
	require.Nil(t, s.Jobs["j"].Steps, "an ended job keeps no tasks")
}

// Guards against a gang whose members go on after one has ended, and against counting the
// failure of a gang once for each member.
func TestGangEndsTogether(t *testing.T) {
	s := newTestState()
	submit(s, "j", Step{Count: 3, Gang: true})
	refs := []TaskRef{{Job: "j"}, {Job: "j", Index: 1}, {Job: "j", Index: 2}}
	begin := func(run int) {
		for _, ref := range refs {
			start(s, ref, run)
		}
	}
	begin(1)
	end(s, refs[0], 1, OutcomeFailed)
	require.True(t, s.RunsOn(incarnation)[refs[1]].Stopping)
	end(s, refs[1], 1, OutcomeFailed)
	end(s, refs[2], 1, OutcomeBroken)
	require.Equal(t, JobRunning, s.Jobs["j"].State)
	begin(2)
	o := s.Jobs["j"].Occurrences[0]
	end(s, refs[1], 2, OutcomeDone)
	for _, task := range o.Steps[0].Tasks {
		require.EqualValues(t, 30, task.EndedAt, "run times are estimated from EndedAt")
	}
	require.Equal(t, JobCompleted, s.Jobs["j"].State)
}

// Guards against occurrences that begin twice or beyond the number of repetitions.
func TestRepeatedJob(t *testing.T) {
	s := newTestState()
	s.Apply(&Command{Submit: &Submit{ID: "j", Queue: "q", Steps: []Step{{Count: 1}}, Repetitions: 2, FirstRunMS: 5, IntervalMS: 5}}, 10)
	require.Empty(t, s.Jobs["j"].Occurrences)
	due := func(k int) {
		s.Apply(&Command{Progress: &Progress{Due: []DueOccurrence{{Job: "j", Occurrence: k}}}}, 11)
	}
	for _, k := range []int{0, 0, 1, 2} {
		due(k)
	}
	require.Len(t, s.Jobs["j"].Occurrences, 2)
	for k := range 2 {
		ref := TaskRef{Job: "j", Occurrence: k}
		start(s, ref, 1)
		end(s, ref, 1, OutcomeDone)
	}
	require.Equal(t, JobCompleted, s.Jobs["j"].State)
}

// Guards against losing the end of an abandoned run of a speculative task. The first run
// that is done ends the task, the failures of all runs count, and each run occupies its
// worker until it ends.
func TestCopiesOfASpeculativeTask(t *testing.T) {
	on := func(id string) WorkerIncarnation { return WorkerIncarnation{ID: id} }
	ref := TaskRef{Job: "j"}
	begin := func() *State {
		s := newTestState()
		submit(s, "j", Step{Count: 1, Size: Resources{CPUMilli: 100}, Speculative: true})
		s.Apply(&Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: 1, Worker: on("a")}}}}, 20)
		s.Apply(&Command{Progress: &Progress{Ends: []End{{Task: ref, Run: 1, Worker: on("a"), Outcome: OutcomeAbandoned}}}}, 20)
		s.Apply(&Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: 2, Worker: on("a")}}}}, 20)
		require.Equal(t, 1, s.Jobs["j"].Occurrences[0].Steps[0].Waiting(), "the silent worker still holds the first run")
		s.Apply(&Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: 2, Worker: on("b")}}}}, 20)
		require.Equal(t, int64(200), s.TeamUse("").CPUMilli)
		return s
	}
	finish := func(s *State, id string, run int, outcome Outcome) {
		s.Apply(&Command{Progress: &Progress{Ends: []End{{Task: ref, Run: run, Worker: on(id), Outcome: outcome}}}}, 30)
	}
	t.Run("the first copy is done", func(t *testing.T) {
		s := begin()
		finish(s, "a", 1, OutcomeDone)
		require.Equal(t, JobRunning, s.Jobs["j"].State)
		require.True(t, s.RunsOn(on("b"))[ref].Stopping)
		finish(s, "b", 2, OutcomeStopped)
		require.Equal(t, JobCompleted, s.Jobs["j"].State)
		require.Zero(t, s.TeamUse(""))
	})
	t.Run("the second copy is done", func(t *testing.T) {
		s := begin()
		finish(s, "b", 2, OutcomeDone)
		require.Equal(t, JobCompleted, s.Jobs["j"].State)
		require.NotNil(t, s.RunsOn(on("a"))[ref])
		finish(s, "a", 1, OutcomeDone)
		require.Zero(t, s.TeamUse(""))
		require.Nil(t, s.Jobs["j"].Occurrences)
	})
	t.Run("both fail", func(t *testing.T) {
		s := begin()
		finish(s, "b", 2, OutcomeFailed)
		finish(s, "a", 1, OutcomeFailed)
		require.Equal(t, JobFailed, s.Jobs["j"].State)
		require.Zero(t, s.TeamUse(""))
	})
	t.Run("cancelled", func(t *testing.T) {
		s := begin()
		s.Apply(&Command{Cancel: &Cancel{ID: "j", Queue: "q"}}, 30)
		finish(s, "b", 2, OutcomeStopped)
		finish(s, "a", 1, OutcomeLost)
		require.Zero(t, s.TeamUse(""))
		require.Nil(t, s.Jobs["j"].Occurrences)
	})
}

// Guards against job records that are never removed, or removed too early.
func TestPrune(t *testing.T) {
	s := newTestState()
	submit(s, "old", Step{Count: 1})
	submit(s, "busy", Step{Count: 1})
	start(s, TaskRef{Job: "busy"}, 1)
	for _, id := range []string{"old", "busy"} {
		s.Apply(&Command{Cancel: &Cancel{ID: id, Queue: "q"}}, 40)
	}
	s.Apply(&Command{Progress: &Progress{PruneBefore: 40}}, 50)
	require.Contains(t, s.Jobs, "old")
	s.Apply(&Command{Progress: &Progress{PruneBefore: 41}}, 50)
	require.NotContains(t, s.Jobs, "old")
	require.Contains(t, s.Jobs, "busy", "its run has not ended")
}

// Guards against snapshots that lose state, against indices that differ after a restore,
// and against clones that later commands change.
func TestSnapshotOfRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestState()
		for range rapid.IntRange(1, 60).Draw(rt, "commands") {
			s.Apply(drawCommand(rt), 50)
		}
		clone := s.Clone()
		data, err := cbor.Marshal(clone)
		require.NoError(rt, err)
		s.Apply(drawCommand(rt), 60)
		again, err := cbor.Marshal(clone)
		require.NoError(rt, err)
		require.Len(rt, again, len(data))
		var restored State
		require.NoError(rt, cbor.Unmarshal(data, &restored))
		restored.Rebuild()
		clone.Rebuild()
		require.Equal(rt, clone.runs, restored.runs)
		require.Equal(rt, clone.teamUse, restored.teamUse)
		require.Len(rt, restored.active, len(clone.active))
	})
}

// drawCommand returns a random command for one of a few jobs.
func drawCommand(rt *rapid.T) *Command {
	id := fmt.Sprintf("j%d", rapid.IntRange(0, 3).Draw(rt, "job"))
	ref := TaskRef{Job: id, Step: rapid.IntRange(0, 1).Draw(rt, "step"), Index: rapid.IntRange(0, 1).Draw(rt, "index")}
	run := rapid.IntRange(1, 3).Draw(rt, "run")
	switch rapid.IntRange(0, 5).Draw(rt, "command") {
	case 0:
		steps := []Step{{Count: 2, Size: Resources{CPUMilli: 100}, Speculative: true}, {Count: 2, After: []int{0}, Gang: true}}
		return &Command{Submit: &Submit{ID: id, Queue: "q", Steps: steps}}
	case 1:
		return &Command{Cancel: &Cancel{ID: id, Queue: "q"}}
	case 2:
		return &Command{Progress: &Progress{Stops: []Stop{{Run: Run{Task: ref, Run: run}}}}}
	case 3:
		outcome := Outcome(rapid.IntRange(1, 10).Draw(rt, "outcome"))
		return &Command{Progress: &Progress{Ends: []End{{Task: ref, Run: run, Worker: incarnation, Outcome: outcome}}}}
	case 4:
		return &Command{Progress: &Progress{Started: []StartedRun{{Run: Run{Task: ref, Run: run}, At: 45}}}}
	default:
		return &Command{Progress: &Progress{Starts: []Start{{Task: ref, Run: run, Worker: incarnation}}}}
	}
}

// Guards against indices that Apply updates differently from what Rebuild computes after a
// restart, so that replicas differ.
func TestIndicesMatchARebuild(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newTestState()
		for range rapid.IntRange(1, 80).Draw(rt, "commands") {
			s.Apply(drawCommand(rt), 50)
		}
		fresh := s.Clone()
		fresh.Rebuild()
		require.Equal(rt, fresh.runs, s.runs)
		require.Equal(rt, fresh.activeTasks, s.activeTasks)
		for team, use := range s.teamUse {
			require.Equal(rt, fresh.teamUse[team], use)
		}
		for id, j := range s.Jobs {
			for k, o := range j.Occurrences {
				require.Equal(rt, fresh.Jobs[id].Occurrences[k].Steps, o.Steps)
			}
		}
	})
}
