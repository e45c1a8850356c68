package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// waitingJobs returns the number of jobs that callers are told to be waiting.
func (r *rig) waitingJobs() int {
	return r.state.Workload.WaitingJobs(workload.QueueKey{Name: rigQueue})
}

// Guards against jobs that are shown as running, and missing from the number of waiting ones, since a
// run was placed on a worker that never got the start.
func TestJobsWhoseStartsNeverArriveAreWaiting(t *testing.T) {
	const jobs, silentMS = 6, 7000
	cases := map[string]func(r *rig, a *modelWorker){
		"worker is dark before the response":      func(_ *rig, a *modelWorker) { a.crash() },
		"response is lost, then the worker":       func(_ *rig, a *modelWorker) { a.heartbeat(0, true); a.crash() },
		"a new leader finds the placed runs":      func(r *rig, a *modelWorker) { a.crash(); r.elect(1) },
		"worker drains before the response":       func(r *rig, a *modelWorker) { a.draining = true; a.heartbeat(0, true); r.cycle(); a.crash() },
		"worker's capacity shrinks before starts": func(r *rig, a *modelWorker) { a.capacity = 0; a.heartbeat(0, false); r.cycle(); a.heartbeat(0, false) },
	}
	for name, disrupt := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(2)
			a := r.addWorker("a", "r1")
			a.heartbeat(0, false)
			r.advance(100)
			for i := range jobs {
				r.submit(fmt.Sprint(i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
			}
			r.cycle()
			require.Equal(t, jobs, r.state.Workload.Jobs["0"].Occurrences[0].Steps[0].OnWorkers()+5, "the runs are placed")
			disrupt(r, a)
			for range silentMS / 100 {
				require.Equal(t, jobs, r.waitingJobs())
				r.advance(100)
				r.cycle()
			}
			if !a.up {
				a.restart()
			}
			a.capacity, a.draining = rigCPU, false
			r.advance(rigLease.Milliseconds())
			require.True(t, r.settle())
			require.Zero(t, r.waitingJobs())
			require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["0"].State)
		})
	}
}

// Guards against a run or job that is shown as started although no worker has begun it, and against
// started ones that are not shown, whatever happens to workers, responses, commits and leaders.
func TestShownStartsAreThoseOfWorkers(t *testing.T) {
	const seeds, steps, maxLagMS = 60, 150, 2000
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewSource(seed))
			r := newRig(2)
			for i := range 4 {
				r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i%2))
			}
			unseen := map[string]int64{}
			for i := range steps {
				r.submitAtRandom(random, fmt.Sprint(i))
				calm := i%50 >= 20
				if !calm {
					r.disruptAtRandom(random)
				}
				for _, w := range r.workers {
					w.heartbeat(r.leader, !calm && random.Intn(4) == 0)
				}
				r.refuse = !calm && random.Intn(6) == 0
				r.applyRefused = random.Intn(2) == 0
				r.cycle()
				r.refuse = false
				r.advance(100)
				requireShownStarts(t, r, unseen, maxLagMS)
			}
			require.Empty(t, r.violation)
		})
	}
}

func (r *rig) submitAtRandom(random *rand.Rand, id string) {
	if random.Intn(2) == 0 {
		r.submit(id, workload.Step{
			Count: 1 + random.Intn(3), Size: workload.Resources{CPUMilli: int64(500 + random.Intn(3000))}, EstimatedMS: rigTaskMS,
			Speculative: random.Intn(4) == 0, LongRunning: random.Intn(6) == 0,
		})
	}
}

func (r *rig) disruptAtRandom(random *rand.Rand) {
	w := r.workers[random.Intn(len(r.workers))]
	switch random.Intn(8) {
	case 0:
		w.crash()
	case 1:
		if !w.up {
			w.restart()
		}
	case 2:
		r.elect(random.Intn(2))
	case 3:
		w.capacity = int64(random.Intn(rigCPU))
	case 4:
		w.failsAll = !w.failsAll
	}
}

// requireShownStarts compares what the state shows with what the workers have begun. unseen holds when
// a job that a live worker runs was first not shown as running.
func requireShownStarts(t *testing.T, r *rig, unseen map[string]int64, maxLagMS int64) {
	t.Helper()
	begun := map[string]bool{}
	for run := range r.begun {
		begun[run.Task.Job] = true
	}
	for id, j := range r.state.Workload.Jobs {
		if j.State == workload.JobRunning {
			require.True(t, begun[id], "job %s is shown as running at %d ms", id, r.now)
		}
		for k, o := range j.Occurrences {
			for step := range o.Steps {
				for i := range o.Steps[step].Tasks {
					task := &o.Steps[step].Tasks[i]
					run := workload.Run{Task: workload.TaskRef{Job: id, Occurrence: k, Step: step, Index: i}, Run: task.Run}
					require.False(t, task.Started() && !r.begun[run], "run %v counts as started at %d ms", run, r.now)
				}
			}
		}
	}
	running := map[string]bool{}
	for _, w := range r.workers {
		for ref := range w.running {
			if w.up {
				running[ref.Job] = true
			}
		}
	}
	for id := range running {
		switch at, ok := unseen[id]; {
		case r.state.Workload.Jobs[id].State != workload.JobQueued:
			delete(unseen, id)
		case !ok:
			unseen[id] = r.now
		default:
			require.LessOrEqual(t, r.now-at, maxLagMS, "job %s has begun and is shown as queued", id)
		}
	}
	for id := range unseen {
		if !running[id] {
			delete(unseen, id)
		}
	}
}
