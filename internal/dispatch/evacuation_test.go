package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const rigDataCentre = "dc-a"

// newEvacuationRig returns a rig with workers in rigDataCentre and one in another.
func newEvacuationRig(stores, workers int) (r *rig, there []*modelWorker, elsewhere *modelWorker) {
	r = newRig(stores)
	for i := range workers {
		w := r.addWorker(fmt.Sprintf("a%d", i), "r1")
		w.dataCentre = rigDataCentre
		there = append(there, w)
	}
	elsewhere = r.addWorker("b", "r2")
	elsewhere.dataCentre = "dc-b"
	return r, there, elsewhere
}

func (r *rig) evacuate(dataCentre string, end bool) {
	r.propose(&workload.Command{Evacuate: &workload.Evacuate{DataCentre: dataCentre, End: end}})
}

// run lets all workers report every 50 ms.
func (r *rig) runUndisturbed(ms int64) {
	for end := r.now + ms; r.now < end; {
		r.advance(settleStepMS)
		r.cycle()
		for _, w := range r.workers {
			w.heartbeat(r.leader, false)
		}
	}
}

func oneTask(cpu int64) workload.Step {
	return workload.Step{Count: 1, Size: workload.Resources{CPUMilli: cpu}, EstimatedMS: 800}
}

// Load pattern: tasks arrive all the time while a data centre is evacuated. What was placed
// there and never sent starts elsewhere; what was sent and is not listed is stopped first.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	for name, sent := range map[string]bool{"never sent": false, "sent, response lost": true} {
		t.Run(name, func(t *testing.T) {
			r, there, elsewhere := newEvacuationRig(1, 1)
			there[0].heartbeat(0, false)
			r.submit("job", oneTask(4000))
			r.cycle()
			if sent {
				there[0].heartbeat(0, true)
			}
			r.evacuate(rigDataCentre, false)
			elsewhere.heartbeat(0, false)
			r.submit("later", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 4000}, EstimatedMS: 800, DataRack: "r1"})
			r.runUndisturbed(6 * rigTaskMS)
			require.Empty(t, r.violation)
			require.Empty(t, r.state.Workload.Active(), "all tasks have run in the other data centre")
		})
	}
}

// Load pattern: the leader is killed right after it has acknowledged an evacuation, with starts
// that it placed and may have sent. The next one must not repeat them.
func TestNewLeaderObeysAnEvacuationAtOnce(t *testing.T) {
	r, there, elsewhere := newEvacuationRig(2, 1)
	there[0].heartbeat(0, false)
	r.submit("job", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: 800, Gang: true})
	r.cycle()
	there[0].heartbeat(0, true)
	r.evacuate(rigDataCentre, false)
	r.elect(1)
	elsewhere.heartbeat(1, false)
	r.runUndisturbed(4 * rigTaskMS)
	require.Empty(t, r.violation)
	require.Empty(t, r.state.Workload.Active())
}

// Tasks that run in the data centre when it is evacuated end by themselves.
func TestRunningTasksMayFinish(t *testing.T) {
	r, there, _ := newEvacuationRig(1, 1)
	there[0].heartbeat(0, false)
	r.submit("job", oneTask(4000))
	r.cycle()
	there[0].heartbeat(0, false)
	r.evacuate(rigDataCentre, false)
	r.runUndisturbed(2 * rigTaskMS)
	require.Equal(t, 1, r.startCounts[workload.TaskRef{Job: "job"}])
	require.Empty(t, r.state.Workload.Active())
}

// Load pattern: long-running tasks fill an evacuated data centre. They move one after the other, as
// MaxUnavailable is 1, and only as many as have room elsewhere: the others would only stop.
func TestLongRunningTasksMoveWhereThereIsRoom(t *testing.T) {
	r, there, elsewhere := newEvacuationRig(1, 2)
	for _, w := range there {
		w.heartbeat(0, false)
	}
	r.submit("service", workload.Step{Count: 4, Size: workload.Resources{CPUMilli: 3000}, LongRunning: true})
	r.runUndisturbed(2 * rigTaskMS)
	elsewhere.capacity = 7000
	r.runUndisturbed(rigTaskMS)
	r.evacuate(rigDataCentre, false)
	for range 8 {
		r.runUndisturbed(rigTaskMS / 2)
		up := 0
		for _, w := range r.workers {
			up += len(w.running)
		}
		require.GreaterOrEqual(t, up, 3, "one task may be away")
	}
	require.Len(t, elsewhere.running, 2)
	require.Len(t, append(there[0].tasks(), there[1].tasks()...), 2, "there is no room for them elsewhere")
	require.Empty(t, r.violation)
	r.evacuate(rigDataCentre, true)
	r.runUndisturbed(2 * rigTaskMS)
	require.Len(t, append(there[0].tasks(), there[1].tasks()...), 2)
}

// All data centres are evacuated: work is accepted and waits, with the reason, and goes on when one
// is taken back.
func TestWorkWaitsWhileAllDataCentresAreEvacuated(t *testing.T) {
	r := newStallRig(t, 0)
	for _, id := range []string{"a", "b"} {
		r.addWorker(id, "r1").dataCentre = rigDataCentre
	}
	r.run(stallStepMS)
	r.evacuate(rigDataCentre, false)
	r.submit("job", oneTask(1000))
	r.run(stallBoundMS)
	require.Equal(t, []stall.Reason{stall.Evacuated}, r.reasons())
	require.Contains(t, r.log.String(), rigDataCentre)
	r.evacuate(rigDataCentre, true)
	r.run(stallBoundMS)
	require.Empty(t, r.reasons())
	require.Empty(t, r.violation)
}

// Load pattern: a data centre with idle, cold workers is taken back. Without the rule their free
// capacity attracts the next job; they get what finds no room elsewhere.
func TestColdWorkersGetWorkAfterWarmOnes(t *testing.T) {
	r, there, elsewhere := newEvacuationRig(1, 1)
	there[0].cold = time.Second
	there[0].heartbeat(0, false)
	elsewhere.heartbeat(0, false)
	r.submit("a", oneTask(4000))
	r.submit("b", oneTask(4000))
	r.submit("c", oneTask(4000))
	r.cycle()
	require.Len(t, r.state.Workload.RunsOn(elsewhere.report().Incarnation), 2)
	require.Len(t, r.state.Workload.RunsOn(there[0].report().Incarnation), 1)
}

// The approval of workers that are all evacuated must not keep a step from being asked about
// again.
func TestStepsOfEvacuatedWorkersAreAskedAboutAgain(t *testing.T) {
	r, there, elsewhere := newEvacuationRig(1, 1)
	there[0].heartbeat(0, false)
	elsewhere.heartbeat(0, false)
	d := r.dispatchers[0]
	here, other := there[0].report().Incarnation, elsewhere.report().Incarnation
	decide := func(job string, approved ...workload.WorkerIncarnation) taskplan.StepRef {
		r.submit(job, oneTask(2*rigCPU)) // waits, since it fits nowhere
		tickets := map[workload.WorkerIncarnation]string{}
		for _, incarnation := range approved {
			tickets[incarnation] = "t"
		}
		ref := taskplan.StepRef{Job: job}
		d.approvals.step(ref).record([]workload.WorkerIncarnation{here, other}, tickets, r.now, 10_000)
		return ref
	}
	only, both, refused := decide("only", here), decide("both", here, other), decide("refused")
	askAgain := func() []taskplan.StepRef {
		without, full := d.stepsToAskAgain(r.state.Workload, d.availableWorkers(r.state.Workload, r.now), r.now)
		require.NotContains(t, without, both)
		require.NotContains(t, full, only)
		return without
	}
	require.Equal(t, []taskplan.StepRef{refused}, askAgain())
	r.evacuate(rigDataCentre, false)
	r.cycle()
	require.Equal(t, []taskplan.StepRef{only, refused}, askAgain())
}

// A burst must not bring a machine of an evacuated data centre into the pool, and one that was to
// move there once it is idle gets tasks again where it is when its data centre is taken back.
func TestMachinesOfAnEvacuatedDataCentreDoNotMove(t *testing.T) {
	r, o := newRigWithProvider(t)
	d := r.dispatchers[0]
	d.machinesByName["off"].DataCentre = rigDataCentre
	w := r.addWorker("a", "r1")
	w.dataCentre = rigDataCentre
	w.heartbeat(0, false)
	d.transfers["m-a"] = transfer{pool: "other", since: r.now}
	r.evacuate(rigDataCentre, false)
	r.submit("burst", workload.Step{Count: 40, Size: workload.Resources{CPUMilli: 2000}, EstimatedMS: 4000})
	r.runUndisturbed(rigTaskMS / 2)
	waitForCalls(t, d)
	require.Empty(t, o.moved)
	require.Empty(t, d.transfers)
	r.evacuate(rigDataCentre, true)
	r.runUndisturbed(rigTaskMS / 2)
	require.Equal(t, "off>"+rigPool, <-o.moved)
	waitForCalls(t, d)
	require.NotEmpty(t, w.running)
	require.Empty(t, r.violation)
}

// Guards against a report from another writer that names another data centre for a worker of an
// evacuated one, which would then get starts.
func TestReportsDoNotMoveAWorkerOutOfAnEvacuation(t *testing.T) {
	r, there, _ := newEvacuationRig(1, 1)
	there[0].heartbeat(0, false)
	r.evacuate(rigDataCentre, false)
	forged := there[0].report()
	forged.DataCentre = "dc-b"
	_, err := r.dispatchers[0].HandleReport(t.Context(), forged)
	require.NoError(t, err)
	r.submit("job", oneTask(1000))
	r.cycle()
	require.Empty(t, r.state.Workload.RunsOn(forged.Incarnation))
}

// A worker drains and a data centre is evacuated in the same cycle: the budget of a step that has a
// task on each holds for both together.
func TestEvacuationSharesTheBudgetWithADrain(t *testing.T) {
	r, there, elsewhere := newEvacuationRig(1, 1)
	drained := r.addWorker("c", "r3")
	elsewhere.capacity = 0
	r.submit("service", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}, LongRunning: true, MaxPerWorker: 1})
	r.runUndisturbed(2 * rigTaskMS)
	elsewhere.capacity, drained.draining = rigCPU, true
	elsewhere.heartbeat(0, false)
	drained.heartbeat(0, false)
	r.evacuate(rigDataCentre, false)
	r.cycle()
	_, onDrained, _ := r.state.Workload.Task(drained.tasks()[0])
	_, evacuated, _ := r.state.Workload.Task(there[0].tasks()[0])
	require.Equal(t, workload.Stopping, onDrained.Phase)
	require.Equal(t, workload.Placed, evacuated.Phase)
	r.runUndisturbed(4 * rigTaskMS)
	require.Len(t, elsewhere.running, 1, "a worker may have one of them")
	require.Len(t, there[0].running, 1)
}
