package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// restart lets a worker announce itself with a new incarnation.
func (fx *fixture) restart(worker string) {
	fx.mustApply(observe(announced(worker, fx.s.Status[worker].Incarnation+"+")))
}

func (fx *fixture) assign(job, worker string) {
	fx.clock = max(fx.clock, fx.s.Jobs[job].RetryNotBefore)
	fx.mustApply(assign(job, worker, fx.s.Status[worker].Incarnation))
}

func (fx *fixture) restoreSnapshot() {
	data, err := fx.s.EncodeSnapshot()
	require.NoError(fx.t, err)
	fx.s, err = DecodeSnapshot(data)
	require.NoError(fx.t, err)
}

// TestJobThatCrashesItsWorkersIsGivenUp guards against a job that gets attempt after attempt,
// each of which takes its worker down. The crashes count on in a restored snapshot.
func TestJobThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	cases := []struct {
		name     string
		reported bool
		workers  int
		attempts int
		want     JobState
	}{
		{"reported as running", true, 3, maxCrashes, JobFailed},
		{"never reported", false, 3, maxCrashes, JobMayHaveRun},
		{"one worker", true, 1, 5, JobFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.mustApply(submit("j", "a", "q", true))
			for i := 0; i < 50 && !fx.s.Jobs["j"].State.Final(); i++ {
				worker := fmt.Sprint("w", i%c.workers)
				fx.assign("j", worker)
				if c.reported {
					o := announced(worker, fx.s.Status[worker].Incarnation)
					o.Started = []string{"j"}
					fx.mustApply(observe(o))
				}
				fx.restoreSnapshot()
				fx.restart(worker)
				fx.restoreSnapshot()
			}
			j := fx.s.Jobs["j"]
			require.Equal(t, c.want, j.State)
			require.Equal(t, c.attempts, j.Attempt)
			require.Contains(t, j.Reason, "crashed")
			require.False(t, j.NotRun)
		})
	}
}

// TestOnlyCrashesCountAgainstAJob guards against a healthy job that fails because its workers
// were cut off, were drained, or crashed under a job that was assigned later.
func TestOnlyCrashesCountAgainstAJob(t *testing.T) {
	lose := func(fx *fixture) {
		fx.mustApply(observe(Observation{Instance: "w0", Incarnation: "1", Lost: true}))
	}
	cases := []struct {
		name  string
		queue string
		end   func(fx *fixture)
		want  int
	}{
		{"crash", "q", func(fx *fixture) { fx.restart("w0") }, crashScoreStrong},
		{"lease expired", "q", func(fx *fixture) { lose(fx); fx.restart("w0") }, 0},
		{"lease expired, task kept", "watch", func(fx *fixture) { lose(fx); fx.restart("w0") }, 0},
		{"declared lost", "q", func(fx *fixture) { lose(fx); fx.mustApply(fx.change(ChangeItem{DeclareLost: "w0"})) }, 0},
		{"draining", "q", func(fx *fixture) {
			fx.mustApply(fx.change(ChangeItem{Drain: &DrainRequest{Instance: "w0"}}))
			fx.restart("w0")
		}, 0},
		{"active for long", "q", func(fx *fixture) {
			fx.clock += crashAnnouncementMS
			fx.restart("w0")
		}, 0},
		{"same incarnation", "q", func(fx *fixture) {
			fx.mustApply(observe(announced("w0", "1")))
			fx.mustApply(outcome("j", 1, OutcomeFailed))
		}, 0},
		{"beside a later job", "q", func(fx *fixture) {
			fx.clock += crashSuspicionMS
			fx.mustApply(submit("later", "b", "q", true))
			fx.assign("later", "w0")
			fx.restart("w0")
			require.Equal(t, crashScoreStrong, fx.s.Jobs["later"].CrashScore)
		}, 0},
		{"beside a job that is not idempotent", "q", func(fx *fixture) {
			fx.mustApply(submit("once", "b", "q", false))
			fx.assign("once", "w0")
			fx.restart("w0")
			require.Equal(t, JobMayHaveRun, fx.s.Jobs["once"].State)
		}, crashScoreWeak},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t)
			fx.mustApply(submit("j", "a", c.queue, true))
			fx.assign("j", "w0")
			c.end(fx)
			require.Equal(t, JobQueued, fx.s.Jobs["j"].State)
			require.Equal(t, c.want, fx.s.Jobs["j"].CrashScore)
		})
	}
}

// TestNeighboursOfACrashingJobAreNotFailed guards against healthy jobs that fail because they
// start again and again together with a job that crashes its workers.
func TestNeighboursOfACrashingJobAreNotFailed(t *testing.T) {
	jobs := []string{"1", "2", "3", "4"}
	for _, crasher := range jobs {
		fx := newFixture(t)
		for i, id := range jobs {
			fx.mustApply(submit(id, []string{"a", "b"}[i%2], "q", true))
		}
		for i := range 100 {
			worker := fmt.Sprint("w", i%3)
			for _, id := range jobs {
				if j := fx.s.Jobs[id]; j.State == JobQueued && j.RetryNotBefore <= fx.clock {
					fx.assign(id, worker)
				}
			}
			fx.clock += 1000
			if fx.s.Jobs[crasher].State == JobAssigned {
				fx.restart(worker)
			}
		}
		for _, id := range jobs {
			want := JobAssigned
			if id == crasher {
				want = JobMayHaveRun
			}
			require.Equal(t, want, fx.s.Jobs[id].State, "%s, crasher %s", id, crasher)
		}
		require.LessOrEqual(t, fx.s.Jobs[crasher].Attempt, 5)
	}
}
