package controller

import (
	"context"
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// chaos injects random faults into a rig and records what the workers ran.
type chaos struct {
	*rig
	rng  *rand.Rand
	jobs []string
	// receivedAttempts holds the attempts for which a process of a worker has received
	// an order. A start of these is refused.
	receivedAttempts map[string]bool
	// runs counts the attempts of each job that ran, and done holds the jobs of which
	// one succeeded.
	runs map[string]int
	done map[string]bool
	// silentRounds counts the rounds for which a worker has been cut off.
	silentRounds map[string]int
	// earlierStates holds the last state of an earlier process of a worker.
	earlierStates map[string]wire.WorkerState
	// faultsEnded is true in the last phase, in which all jobs and plans must end.
	faultsEnded bool
}

// work carries out an order, unless the order is lost.
func (c *chaos) work(w *wire.WorkerState, o wire.Order) {
	if !c.faultsEnded && c.rng.Intn(30) == 0 {
		c.log.leadership.Term++
	}
	if !c.faultsEnded && c.rng.Intn(5) == 0 {
		return
	}
	key := fmt.Sprint(w.Instance, w.Incarnation, o.Task)
	if o.Kind == wire.OrderStart {
		if c.receivedAttempts[key] {
			return
		}
		c.runs[o.Task.JobID]++
	}
	if o.Task.JobID != "" {
		c.receivedAttempts[key] = true
	}
	obey(w, o)
}

// endRandomTasks ends random running tasks, some of them as failed.
func (c *chaos) endRandomTasks() {
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		for i := range w.Tasks {
			t := &w.Tasks[i]
			if (t.State != wire.TaskRunning && t.State != wire.TaskThrottled) || c.rng.Intn(3) > 0 {
				continue
			}
			t.State = wire.TaskDone
			if !c.faultsEnded && c.rng.Intn(6) == 0 {
				t.State = wire.TaskFailed
			} else {
				c.done[t.JobID] = true
			}
		}
	}
}

// expireTaskLeases stops the tasks of workers whose task lease has expired, except the
// tasks that are kept on a partition.
func (c *chaos) expireTaskLeases() {
	for name, w := range c.workers {
		if !c.silent[name] {
			c.silentRounds[name] = 0
			continue
		}
		c.silentRounds[name]++
		for i := range w.Tasks {
			kept := c.job(w.Tasks[i].JobID).Queue == "watch"
			running := w.Tasks[i].State == wire.TaskRunning || w.Tasks[i].State == wire.TaskThrottled
			if running && !kept && c.silentRounds[name] >= 5 {
				w.Tasks[i].State = wire.TaskStopped
			}
		}
	}
}

// injectFault makes at most one random fault.
func (c *chaos) injectFault() {
	names := sortedKeys(c.workers)
	name := names[c.rng.Intn(len(names))]
	switch c.rng.Intn(8) {
	case 0:
		c.silent[name] = !c.silent[name]
	case 1:
		c.earlierStates[name] = *c.workers[name]
		c.workers[name].Incarnation += "x"
		c.workers[name].Tasks = nil
	case 2:
		c.log.leadership.Term++
	case 4:
		if w, ok := c.earlierStates[name]; ok {
			_, err := c.c.Report(context.Background(), wire.WorkerReport{Entry: "late", Workers: []wire.WorkerState{w}})
			require.NoError(c.t, err)
		}
	case 3:
		if len(c.jobs) > 0 {
			c.propose(fleet.Command{Cancel: &fleet.JobCancel{ID: c.jobs[c.rng.Intn(len(c.jobs))], Team: "a"}})
		}
	}
}

func (c *chaos) submitJobs() {
	for range c.rng.Intn(4) {
		queue := []string{"normal", "urgent", "watch"}[c.rng.Intn(3)]
		c.jobs = append(c.jobs, c.submit(queue, 500+c.rng.Int63n(3000), c.rng.Intn(2) == 0))
	}
}

// tickSecond simulates one second and checks the limit of the team and the availability
// budget.
func (c *chaos) tickSecond() {
	c.endRandomTasks()
	c.expireTaskLeases()
	c.round(c.work)
	running := 0
	for _, w := range c.workers {
		for _, t := range w.Tasks {
			if t.State == wire.TaskRunning || t.State == wire.TaskThrottled {
				running++
			}
		}
	}
	c.log.Read(func(s *fleet.State) {
		require.LessOrEqual(c.t, running, s.Config.Teams["a"].Limit)
		require.LessOrEqual(c.t, s.Running("a"), s.Config.Teams["a"].Limit)
		held := 0
		for _, st := range s.Status {
			if st.Phase != fleet.PhaseActive {
				held++
			}
		}
		require.LessOrEqual(c.t, held, s.Config.Pools["p"].MaxUnavailable)
	})
}

// Checks, under lost orders, late reports, restarts, partitioned workers, changes of
// leader, cancellations and maintenance, that no job that is not idempotent runs twice,
// that the limit of the team and the availability budget hold, that no result is lost,
// and that every job and maintenance plan ends.
func TestInvariantsUnderFaults(t *testing.T) {
	// These seeds found two faults: one with two late reports of an earlier process, and
	// one with a drain that a new leader abandoned.
	for _, seed := range []int64{34, 1270} {
		runChaos(t, seed)
	}
	rapid.Check(t, func(t *rapid.T) { runChaos(t, rapid.Int64().Draw(t, "seed")) })
}

// runChaos injects faults for 60 s, ends them, waits for all jobs and the maintenance
// plan to end, and checks the result.
func runChaos(t require.TestingT, seed int64) {
	c := &chaos{
		rig: newRig(t, 5, Options{Seed: 1}), rng: rand.New(rand.NewSource(seed)),
		receivedAttempts: map[string]bool{}, runs: map[string]int{}, done: map[string]bool{},
		silentRounds: map[string]int{}, earlierStates: map[string]wire.WorkerState{},
	}
	c.change(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: 6}})
	c.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 10_000}})
	for range 60 {
		c.submitJobs()
		c.injectFault()
		c.tickSecond()
	}
	c.faultsEnded = true
	clear(c.silent)
	open := func(id string) bool { return !c.job(id).State.Final() }
	for n := 0; slices.ContainsFunc(c.jobs, open) || c.plan("m").State != fleet.PlanDone; n++ {
		require.Less(t, n, 600, "jobs stay open, or the plan waits for: %s", c.plan("m").WaitingFor)
		c.tickSecond()
	}
	c.checkInvariants()
}

// checkInvariants checks the final state of each job against what the workers ran.
func (c *chaos) checkInvariants() {
	for _, id := range c.jobs {
		j := c.job(id)
		if !j.Spec.Idempotent {
			require.LessOrEqual(c.t, c.runs[id], 1, "%s ran twice", id)
		}
		switch j.State {
		case fleet.JobDone:
			require.True(c.t, c.done[id])
		case fleet.JobCancelled:
			require.True(c.t, j.CancelRequested || j.Spec.Idempotent || c.runs[id] == 0)
		case fleet.JobMayHaveRun:
			require.True(c.t, j.CancelRequested || !j.Spec.Idempotent || j.Reason == fleet.ReasonCrashes)
		case fleet.JobFailed:
			require.False(c.t, c.done[id] && !j.Spec.Idempotent)
		}
		if j.NotRun {
			require.Zero(c.t, c.runs[id], "%s ran", id)
		}
	}
}
