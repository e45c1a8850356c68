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

// chaos drives a rig with random faults and records what the workers ran.
type chaos struct {
	*rig
	rng  *rand.Rand
	jobs []string
	// refused holds the attempts that a worker's process has seen.
	refused map[string]bool
	// runs counts the attempts of each job that ran, and done those that ended well.
	runs map[string]int
	done map[string]bool
	// quiet counts the rounds for which a worker has been cut off.
	quiet map[string]int
	// old holds the last announcement of an earlier process of a worker.
	old  map[string]wire.WorkerState
	calm bool
}

// work carries out an order, unless it is lost on the way.
func (c *chaos) work(w *wire.WorkerState, o wire.Order) {
	if !c.calm && c.rng.Intn(30) == 0 {
		c.log.leadership.Term++
	}
	if !c.calm && c.rng.Intn(5) == 0 {
		return
	}
	key := fmt.Sprint(w.Instance, w.Incarnation, o.Task)
	if o.Kind == wire.OrderStart {
		if c.refused[key] {
			return
		}
		c.runs[o.Task.JobID]++
	}
	if o.Task.JobID != "" {
		c.refused[key] = true
	}
	obey(w, o)
}

// finish ends random tasks.
func (c *chaos) finish() {
	for _, name := range sortedKeys(c.workers) {
		w := c.workers[name]
		for i := range w.Tasks {
			t := &w.Tasks[i]
			if (t.State != wire.TaskRunning && t.State != wire.TaskThrottled) || c.rng.Intn(3) > 0 {
				continue
			}
			t.State = wire.TaskDone
			if !c.calm && c.rng.Intn(6) == 0 {
				t.State = wire.TaskFailed
			} else {
				c.done[t.JobID] = true
			}
		}
	}
}

// leases stops the tasks of workers that are cut off, except kept ones.
func (c *chaos) leases() {
	for name, w := range c.workers {
		if !c.silent[name] {
			c.quiet[name] = 0
			continue
		}
		c.quiet[name]++
		for i := range w.Tasks {
			kept := c.job(w.Tasks[i].JobID).Queue == "watch"
			running := w.Tasks[i].State == wire.TaskRunning || w.Tasks[i].State == wire.TaskThrottled
			if running && !kept && c.quiet[name] >= 5 {
				w.Tasks[i].State = wire.TaskStopped
			}
		}
	}
}

func (c *chaos) fault() {
	names := sortedKeys(c.workers)
	name := names[c.rng.Intn(len(names))]
	switch c.rng.Intn(8) {
	case 0:
		c.silent[name] = !c.silent[name]
	case 1:
		c.old[name] = *c.workers[name]
		c.workers[name].Incarnation += "x"
		c.workers[name].Tasks = nil
	case 2:
		c.log.leadership.Term++
	case 4:
		if w, ok := c.old[name]; ok {
			_, err := c.c.Report(context.Background(), wire.WorkerReport{Entry: "late", Workers: []wire.WorkerState{w}})
			require.NoError(c.t, err)
		}
	case 3:
		if len(c.jobs) > 0 {
			c.propose(fleet.Command{Cancel: &fleet.JobCancel{ID: c.jobs[c.rng.Intn(len(c.jobs))], Team: "a"}})
		}
	}
}

func (c *chaos) submitSome() {
	for range c.rng.Intn(4) {
		queue := []string{"normal", "urgent", "watch"}[c.rng.Intn(3)]
		c.jobs = append(c.jobs, c.submit(queue, 500+c.rng.Int63n(3000), c.rng.Intn(2) == 0))
	}
}

func (c *chaos) second() {
	c.finish()
	c.leases()
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

// Guards, under lost orders, late reports, restarts, cut-off workers, changes of leader,
// cancellations and maintenance, against a job that is not idempotent and runs twice, a team
// above its limit, a budget that is exceeded, a result that is
// lost, and a job or a maintenance plan that never ends.
func TestInvariantsUnderFaults(t *testing.T) {
	// Two late reports of an earlier process, and a drain that a new leader gave
	// up, were found with these seeds.
	for _, seed := range []int64{34, 1270} {
		runChaos(t, seed)
	}
	rapid.Check(t, func(t *rapid.T) { runChaos(t, rapid.Int64().Draw(t, "seed")) })
}

func runChaos(t require.TestingT, seed int64) {
	c := &chaos{
		rig: newRig(t, 5, Options{Seed: 1}), rng: rand.New(rand.NewSource(seed)),
		refused: map[string]bool{}, runs: map[string]int{}, done: map[string]bool{},
		quiet: map[string]int{}, old: map[string]wire.WorkerState{},
	}
	c.change(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: 6}})
	c.change(fleet.ChangeItem{StartPlan: &fleet.MaintenancePlan{Name: "m", Pool: "p", DrainTimeoutMS: 10_000}})
	for range 60 {
		c.submitSome()
		c.fault()
		c.second()
	}
	c.calm = true
	clear(c.silent)
	open := func(id string) bool { return !c.job(id).State.Final() }
	for n := 0; slices.ContainsFunc(c.jobs, open) || c.plan("m").State != fleet.PlanDone; n++ {
		require.Less(t, n, 600, "jobs stay open, or the plan waits for: %s", c.plan("m").WaitingFor)
		c.second()
	}
	c.check()
}

func (c *chaos) check() {
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
			require.True(c.t, j.CancelRequested || !j.Spec.Idempotent)
		case fleet.JobFailed:
			require.False(c.t, c.done[id] && !j.Spec.Idempotent)
		}
		if j.NotRun {
			require.Zero(c.t, c.runs[id], "%s ran", id)
		}
	}
}
