package dispatch

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// rackAdvisor approves the workers whose identifiers are allowed.
type rackAdvisor struct {
	allowed []string

	mu    sync.Mutex
	calls int
}

func (a *rackAdvisor) Approve(_ context.Context, _ taskplan.StepRef, workers []workload.WorkerIncarnation) (map[workload.WorkerIncarnation]string, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	tickets := map[workload.WorkerIncarnation]string{}
	for _, w := range workers {
		if slices.Contains(a.allowed, w.ID) {
			tickets[w] = "ticket"
		}
	}
	return tickets, nil
}

// newAdviceRig returns a rig whose queue needs approvals, which are valid for a minute.
func newAdviceRig(allowed ...string) (*rig, *rackAdvisor) {
	r := newRig(1)
	a := &rackAdvisor{allowed: allowed}
	r.dispatchers[0].advisor = a
	config := r.state.Workload.Config
	config.Version++
	queue := config.Queues[rigQueue]
	queue.Advice = &workload.Advice{ValidityMS: 60_000}
	config.Queues = map[string]workload.Queue{rigQueue: queue}
	r.propose(&workload.Command{Configure: &config})
	for _, id := range []string{"a", "b", "c", "d"} {
		r.addWorker(id, "r-"+id)
	}
	return r, a
}

// runWithAdvice advances the time and waits for each answer of the advisor.
func (r *rig) runWithAdvice(t *testing.T, ms int64) {
	t.Helper()
	d := r.dispatchers[0]
	for end := r.now + ms; r.now < end; {
		r.runUndisturbed(settleStepMS)
		require.Eventually(t, func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			return !d.approvals.inFlight
		}, 10*time.Second, 100*time.Microsecond)
	}
}

// Guards against a job that waits until an old decision expires, because the advice service is
// not asked about the workers that came in place of the approved ones: review/5. All of them
// crash, or some.
func TestAdviceIsAskedForAgainAfterApprovedWorkersCrash(t *testing.T) {
	for name, crashed := range map[string]int{"all": 2, "one": 1} {
		t.Run(name, func(t *testing.T) {
			r, a := newAdviceRig("a", "b")
			r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true, MaxPerWorker: 1})
			r.runWithAdvice(t, 3000)
			require.Len(t, r.workers[0].running, 1)
			require.Len(t, r.workers[1].running, 1)
			for _, w := range r.workers[:crashed] {
				w.crash()
			}
			r.runWithAdvice(t, 5000)
			for _, w := range r.workers[:crashed] {
				w.restart()
			}
			r.runWithAdvice(t, 3000)
			require.Len(t, r.workers[0].running, 1)
			require.Len(t, r.workers[1].running, 1)
			require.Empty(t, r.violation)
			require.LessOrEqual(t, a.calls, 4, "one call more for the crash and for each return")
		})
	}
}

// Guards against a service that is asked about the same workers over and over.
func TestAdviceIsNotAskedForAgainWithoutNewWorkers(t *testing.T) {
	r, a := newAdviceRig("none")
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	r.runWithAdvice(t, 20_000)
	require.Equal(t, 1, a.calls)
}

// wideTicketAdvisor approves all workers with tickets of the given size.
type wideTicketAdvisor struct{ bytes int }

func (a wideTicketAdvisor) Approve(_ context.Context, _ taskplan.StepRef, workers []workload.WorkerIncarnation) (map[workload.WorkerIncarnation]string, error) {
	tickets := map[workload.WorkerIncarnation]string{}
	for _, w := range workers {
		tickets[w] = w.ID + strings.Repeat("t", a.bytes)
	}
	return tickets, nil
}

// Guards against starts that exceed the largest command with their tickets: it was refused in each
// cycle, and no task of any queue started any more. A gang can't be split at all.
func TestWideStepsWithLongTicketsStart(t *testing.T) {
	for _, gang := range []bool{false, true} {
		r, _ := newAdviceRig()
		r.dispatchers[0].advisor = wideTicketAdvisor{1000}
		r.submit("wide", workload.Step{Count: 3300, Size: workload.Resources{CPUMilli: 1}, Gang: gang})
		r.submit("zzz", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}})
		r.runWithAdvice(t, 3000)
		require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["zzz"].State, "gang %v", gang)
		require.NotEqual(t, workload.JobQueued, r.state.Workload.Jobs["wide"].State, "gang %v", gang)
		require.Empty(t, r.violation)
	}
}

// Guards against jobs that never run since the service is asked about the workers that joined last
// only, and not about the one that may run them.
func TestAdviceIsAskedForAboutAllWorkers(t *testing.T) {
	r, a := newAdviceRig("oldest")
	r.workers = nil
	r.addWorker("oldest", "r1").heartbeat(0, false)
	r.advance(100)
	for i := range maxAdviceWorkers + 7 {
		r.addWorker(fmt.Sprint("w", i), "r1").heartbeat(0, false)
	}
	r.submit("job", workload.Step{Count: 2, Size: workload.Resources{CPUMilli: 1000}})
	r.runWithAdvice(t, 4000)
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Equal(t, 2, a.calls)
}

// Guards against a job that waits until an old decision expires, because the one worker that may run it
// was cut off when the service was asked, and is no new one.
func TestAdviceIsAskedForAboutAWorkerThatWasCutOff(t *testing.T) {
	r, a := newAdviceRig("a")
	for _, w := range r.workers {
		w.heartbeat(0, false)
	}
	cutOff := r.workers[0]
	r.workers = r.workers[1:]
	r.runWithAdvice(t, 2000)
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	r.runWithAdvice(t, 3500)
	require.Equal(t, 1, a.calls)
	r.workers = append(r.workers, cutOff)
	r.runWithAdvice(t, 3000)
	require.Equal(t, workload.JobCompleted, r.state.Workload.Jobs["job"].State)
	require.Equal(t, 2, a.calls)
}

// Guards against a step that waits for room on a worker that may run it while another one that may is
// idle and was never asked about, and against questions for a pool that is full.
func TestAdviceIsAskedForWhileApprovedWorkersAreFull(t *testing.T) {
	r, a := newAdviceRig("oldest", "full")
	r.workers = nil
	oldest := r.addWorker("oldest", "r1")
	oldest.heartbeat(0, false)
	r.advance(100)
	for i := range maxAdviceWorkers - 1 {
		r.addWorker(fmt.Sprint("w", i), "r1").heartbeat(0, false)
	}
	full := r.addWorker("full", "r1")
	full.heartbeat(0, false)
	r.submit("job", workload.Step{Count: 3, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
	r.runWithAdvice(t, 1200)
	require.Len(t, full.running, 1)
	require.Empty(t, oldest.running)
	r.runWithAdvice(t, 20_000)
	require.Len(t, oldest.running, 1)
	require.Equal(t, 2, a.calls, "all are decided, and one task still waits")
}
