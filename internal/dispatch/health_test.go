package dispatch

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// startLasting starts a long-running task on the only worker.
func startLasting(t *testing.T, r *rig, w *modelWorker) {
	t.Helper()
	r.submit("lasting", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true})
	w.heartbeat(0, false)
	r.runUndisturbed(2 * rigTaskMS)
	require.Len(t, w.running, 1)
}

// Guards against a worker that never gets a task again after it has failed some, because a task that
// lasts keeps it from being idle and from a success.
func TestWorkerWithALastingTaskLeavesQuarantine(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	startLasting(t, r, a)
	a.failsAll = true
	for i := range 3 {
		r.submit(fmt.Sprint("lost", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	}
	r.runUndisturbed(6500)
	require.GreaterOrEqual(t, len(r.dispatchers[0].workers[workload.WorkerIncarnation{ID: "a", Born: a.born}].health.failedJobs), failedJobsThreshold)
	a.failsAll = false
	for i := range 20 {
		r.submit(fmt.Sprint("job", i), workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}})
	}
	r.runUndisturbed(quarantineMaxMS + trialMS + 20*rigTaskMS)
	for i := range 20 {
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs[fmt.Sprint("job", i)].State)
	}
	require.Empty(t, r.violation)
}

// Time alone leads out of each state that keeps new tasks off a live worker, whatever tasks last,
// fail, stall and are slow beside it: no success is needed.
func TestHealthyWorkersGetTasksAgain(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		r := newRig(1)
		for i := range 3 {
			r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i)).heartbeat(0, false)
		}
		r.submit("lasting", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxPerWorker: 1})
		for i := range 40 {
			w := r.workers[random.Intn(len(r.workers))]
			w.failsAll, w.stalls, w.slowdown = random.Intn(3) == 0, random.Intn(6) == 0, int64(1+random.Intn(2)*3)
			r.submit(fmt.Sprint("job", i), workload.Step{Count: 1 + random.Intn(3), Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: rigTaskMS})
			r.runUndisturbed(250)
		}
		for _, w := range r.workers {
			w.failsAll, w.stalls, w.slowdown = false, false, 0
		}
		r.runUndisturbed(failureMemoryMS)
		s := r.state.Workload
		for incarnation, w := range r.dispatchers[0].workers {
			require.Equal(t, -1, w.newTaskLimit(s, r.now), "seed %d, worker %s", seed, incarnation.ID)
		}
		require.Len(t, s.Active(), 1, "seed %d", seed)
		require.Empty(t, r.violation, "seed %d", seed)
	}
}

// Guards against a long-running task that fails by itself, as it may at any time, and counts against
// the worker on which it was at work.
func TestFailureOfATaskAtWorkIsNotItsWorkers(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	startLasting(t, r, a)
	a.heartbeat(0, false)
	a.end(a.tasks()[0], workload.OutcomeFailed)
	r.runUndisturbed(500)
	require.Empty(t, r.dispatchers[0].workers[workload.WorkerIncarnation{ID: "a", Born: a.born}].health.failedJobs)
	require.Len(t, a.running, 1, "it runs again")
}

// soundBoundMS is the time within which work must go on that can run on one worker only, once that
// worker is sound again: 3 s in which there is room for it, after 4 s of calm.
const soundBoundMS = 7000

// Guards against tasks that wait for a worker for seconds each, although it has been sound for long and runs
// what it was given: a run that lasts never ends done, which alone counted as success.
func TestWorkThatNeedsOneWorkerGoesOnOnceItIsSound(t *testing.T) {
	const workers, jobs = 3, 8
	one := workload.Resources{CPUMilli: 500}
	mixes := map[string]struct {
		step    workload.Step
		factor  int64
		workers int
	}{
		"only tasks that last":       {workload.Step{Count: workers, MaxPerWorker: 1, LongRunning: true, Size: one}, 1, workers},
		"only long tasks":            {workload.Step{Count: 1, Size: one, EstimatedMS: 100 * rigTaskMS}, 100, 1},
		"only short tasks":           {workload.Step{Count: 1, Size: one, EstimatedMS: rigTaskMS}, 1, 1},
		"tasks that last, one alone": {workload.Step{Count: 1, LongRunning: true, Size: one}, 1, 1},
	}
	faults := map[string]func(w *modelWorker, faulty bool){
		"fails":  func(w *modelWorker, faulty bool) { w.failsAtOnce = faulty },
		"stalls": func(w *modelWorker, faulty bool) { w.stalls = faulty },
	}
	for mixName, mix := range mixes {
		for faultName, fault := range faults {
			t.Run(mixName+", "+faultName, func(t *testing.T) {
				for faultMS := int64(500); faultMS <= 10_000; faultMS += 350 {
					r := newRig(1)
					r.factors = map[workload.TaskRef]int64{}
					for i := range mix.workers {
						r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i)).heartbeat(0, false)
					}
					bad := r.workers[0]
					fault(bad, true)
					for i := range 3 {
						r.submit(fmt.Sprint("early", i), workload.Step{Count: mix.workers, MaxPerWorker: 1, LongRunning: true, Size: one})
					}
					r.runUndisturbed(faultMS)
					fault(bad, false)
					for i := range jobs {
						id := fmt.Sprint("job", i)
						r.factors[workload.TaskRef{Job: id}] = mix.factor
						r.submit(id, mix.step)
					}
					r.runUndisturbed(soundBoundMS)
					for i := range jobs {
						id := fmt.Sprint("job", i)
						for index := range mix.step.Count {
							require.NotZero(t, r.startCounts[workload.TaskRef{Job: id, Index: index}], "task %d of %s, after a fault of %d ms", index, id, faultMS)
						}
					}
					require.Empty(t, r.violation)
				}
			})
		}
	}
}

// Guards against a trial that only seems to be at work: a worker that fails or stalls what it starts must not get
// many tasks at once.
func TestTrialsOfAFaultyWorkerStayFew(t *testing.T) {
	for name, fault := range map[string]func(w *modelWorker){
		"fails at once":    func(w *modelWorker) { w.failsAtOnce = true },
		"fails at the end": func(w *modelWorker) { w.failsAll = true },
		"stalls":           func(w *modelWorker) { w.stalls = true },
	} {
		t.Run(name, func(t *testing.T) {
			const forMS = 20_000
			r := newRig(1)
			for i := range 3 {
				r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i)).heartbeat(0, false)
			}
			bad := r.workers[0]
			fault(bad)
			started := 0
			for i := 0; r.now < forMS; i++ {
				r.submit(fmt.Sprint("job", i), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 500}, EstimatedMS: rigTaskMS})
				before := bad.lastEnd + int64(len(bad.running))
				r.runUndisturbed(100)
				started += int(bad.lastEnd + int64(len(bad.running)) - before)
			}
			// The first ones, before two have failed, and then about one for each quarantine.
			require.LessOrEqual(t, started, 10+forMS/quarantineMaxMS)
		})
	}
}

// Guards against a worker that counts as slow for long after it was, whatever the length of the tasks by which
// that is judged.
func TestSlowWorkerGetsTasksOnceItIsSound(t *testing.T) {
	const workers, slowMS, slowdown = 4, 6000, 8
	step := workload.Step{Count: workers, MaxPerWorker: 1, Size: workload.Resources{CPUMilli: 500}}
	for _, factor := range []int64{1, 3, 10, 40, 300} {
		t.Run(fmt.Sprint(factor*rigTaskMS, " ms"), func(t *testing.T) {
			r := newRig(1)
			r.factors = map[workload.TaskRef]int64{}
			for i := range workers {
				r.addWorker(fmt.Sprint("w", i), fmt.Sprint("r", i)).heartbeat(0, false)
			}
			step := step
			step.EstimatedMS = factor * rigTaskMS
			for job := range 12 {
				id := fmt.Sprint("job", job)
				for index := range workers {
					r.factors[workload.TaskRef{Job: id, Index: index}] = factor
				}
				r.submit(id, step)
			}
			r.runUndisturbed(500)
			r.workers[0].slowdown = slowdown
			r.runUndisturbed(slowMS)
			r.workers[0].slowdown = 0
			lasting := workload.Step{Count: workers, MaxPerWorker: 1, LongRunning: true, Size: workload.Resources{CPUMilli: 50}}
			r.submit("lasting", lasting)
			r.runUndisturbed(soundBoundMS)
			for index := range workers {
				require.NotZero(t, r.startCounts[workload.TaskRef{Job: "lasting", Index: index}])
			}
		})
	}
}
