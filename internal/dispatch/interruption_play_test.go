package dispatch

import (
	"context"
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	playWorkers  = 12
	playTasks    = 8
	playBudget   = 2
	playMS       = 40_000
	playStepMS   = 20
	playSeeds    = 12
	playReturnMS = 2000
	playNoticeMS = 4500
	playMaxDelay = 400
	// playTimeoutMS is how long a worker waits for an answer, and playMaxLateness how late a
	// heartbeat may be.
	playTimeoutMS   = 1000
	playMaxLateness = 3000
	playCycleMS     = 60
	playDrainMS     = 5000
	playWaveTasks   = 3000
)

// availabilityWatch judges each order that ends a long-running task when it reaches the worker. A
// task is unavailable once an order has ended it, until it is at work again, and when it has not
// been at work for playNoticeMS.
type availabilityWatch struct {
	r           *rig
	interrupted map[workload.TaskRef]bool
	atWork      map[workload.TaskRef]int64
	orders      int
	trace       []string
	violation   string
}

func newAvailabilityWatch(r *rig) *availabilityWatch {
	return &availabilityWatch{r: r, interrupted: map[workload.TaskRef]bool{}, atWork: map[workload.TaskRef]int64{}}
}

func (a *availabilityWatch) logf(format string, args ...any) {
	a.trace = append(a.trace, fmt.Sprintf("%6d ", a.r.now)+fmt.Sprintf(format, args...))
}

// observe notes which tasks are at work.
func (a *availabilityWatch) observe() {
	for _, w := range a.r.workers {
		for ref, run := range w.running {
			if w.up && run.remaining <= 0 && run.stopping == 0 {
				a.atWork[ref] = a.r.now
				delete(a.interrupted, ref)
			}
		}
	}
}

func (a *availabilityWatch) unavailable(except workload.TaskRef) []int {
	var indices []int
	for i := range playTasks {
		ref := workload.TaskRef{Job: except.Job, Index: i}
		if ref != except && (a.interrupted[ref] || a.r.now-a.atWork[ref] >= playNoticeMS) {
			indices = append(indices, i)
		}
	}
	return indices
}

// order judges an order that ends the task's run on the worker. Those on workers that drain are
// not judged: they end soon in any case.
func (a *availabilityWatch) order(w *modelWorker, ref workload.TaskRef, what string) {
	run, ok := w.running[ref]
	if !ok || run.stopping != 0 {
		return
	}
	others := a.unavailable(ref)
	a.logf("%s ends %s run %d on %s, draining %t; unavailable: %v", what, ref, run.run, w.id, w.draining, others)
	if run.remaining <= 0 && !w.draining {
		a.orders++
		if len(others) >= playBudget && a.violation == "" {
			a.violation = fmt.Sprintf("at %d ms: %s ends %s on %s while %v are unavailable", a.r.now, what, ref, w.id, others)
		}
	}
	a.interrupted[ref] = true
}

// applyLate applies the commands whose commit was delayed. The caller holds mu.
func (r *rig) applyLate() {
	for _, cmd := range r.late {
		r.state.Apply(r.state.Applied+1, cmd)
	}
	r.late = nil
}

// delayCommits makes further proposals have an unknown outcome, or no longer.
func (r *rig) delayCommits(delay bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.commitLate = delay
}

// applyLateCommits applies the commands whose commit was delayed, as an election does.
func (r *rig) applyLateCommits() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyLate()
}

// disturbances are the kinds of events of a play beside its waves and lost answers.
type disturbances struct {
	failures, elections, crashes, drains, shrinks, lateCommits, evacuations, lateReports bool
	loss                                                                                 float64
}

// exchange is a heartbeat on its way, and then the response to it.
type exchange struct {
	report            Report
	orders            *Orders
	handleAt, applyAt int64
	store             int
	lost              bool
	born              int64
}

// interruptionPlay is a rig with a wave of all machines and a long-running step, whose workers'
// heartbeats and responses take time and get lost.
type interruptionPlay struct {
	*availabilityWatch
	provider  *fakeProvider
	rng       *rand.Rand
	with      disturbances
	exchanges map[*modelWorker]*exchange
	returnAt  map[*modelWorker]int64
	leaveAt   map[*modelWorker]int64
	late      []lateReport
	// maintained holds the machines whose maintenance was carried out.
	maintained map[string]bool
}

// lateReport is a copy of a heartbeat that reaches the leader late, at the given time.
type lateReport struct {
	report Report
	at     int64
}

func newInterruptionPlay(t *testing.T, seed int64, with disturbances) *interruptionPlay {
	r, provider := newRigWithProvider(t)
	r.addStoreWithProvider(provider)
	r.addStoreWithProvider(provider)
	p := &interruptionPlay{
		availabilityWatch: newAvailabilityWatch(r), provider: provider, rng: rand.New(rand.NewSource(seed)), with: with,
		exchanges: map[*modelWorker]*exchange{}, returnAt: map[*modelWorker]int64{}, leaveAt: map[*modelWorker]int64{}, maintained: map[string]bool{},
	}
	var machines []string
	for i := range playWorkers {
		w := r.addWorker(string(rune('a'+i)), fmt.Sprint("r", i%4))
		w.dataCentre = fmt.Sprint("dc-", i%3)
		machines = append(machines, "m-"+w.id)
	}
	r.submit("watch", workload.Step{Count: playTasks, Size: workload.Resources{CPUMilli: playWaveTasks}, LongRunning: true, MaxPerWorker: 1, MaxUnavailable: playBudget})
	r.runUndisturbed(2 * rigTaskMS)
	p.observe()
	r.propose(&workload.Command{Wave: &workload.Wave{Number: 1, Machines: machines, DurationMS: 8000, MaxDown: 4}})
	return p
}

func (p *interruptionPlay) chance(probability float64) bool { return p.rng.Float64() < probability }

// play runs the play until an order violates the budget or its time is over.
func (p *interruptionPlay) play(t *testing.T) {
	for p.r.now < playMS && p.violation == "" {
		p.r.advance(playStepMS)
		p.observe()
		p.disturb()
		p.deliverLateReports()
		if p.r.now%playCycleMS == 0 {
			p.r.cycle()
		}
		p.carryOutMaintenance()
		for _, w := range p.r.workers {
			p.stepWorker(w)
		}
	}
	p.r.delayCommits(false)
	for _, d := range p.r.dispatchers {
		waitForCalls(t, d)
	}
}

// disturb applies the events that concern the stores.
func (p *interruptionPlay) disturb() {
	if p.with.elections && p.chance(0.006) {
		p.r.applyLateCommits()
		p.r.elect(p.rng.Intn(len(p.r.dispatchers)))
		p.logf("store %d leads", p.r.leader)
	}
	if p.with.lateCommits {
		p.r.delayCommits(p.chance(0.2))
	}
	if p.with.evacuations && p.chance(0.003) {
		dataCentre := fmt.Sprint("dc-", p.rng.Intn(3))
		p.r.evacuate(dataCentre, p.r.state.Workload.Evacuated(dataCentre))
		p.logf("evacuation of %s: %t", dataCentre, p.r.state.Workload.Evacuated(dataCentre))
	}
}

// deliverLateReports hands the late heartbeats that are due to the leader. Their workers no longer
// wait for the answers.
func (p *interruptionPlay) deliverLateReports() {
	kept := p.late[:0]
	for _, late := range p.late {
		if p.r.now < late.at {
			kept = append(kept, late)
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, _ = p.r.dispatchers[p.r.leader].HandleReport(ctx, late.report) // refused if it is out of date
	}
	p.late = kept
}

// carryOutMaintenance ends the workers of the machines whose maintenance was ordered. An order that
// repeats one for the same wave changes nothing, as on the platform.
func (p *interruptionPlay) carryOutMaintenance() {
	for len(p.provider.maintained) > 0 {
		machine := <-p.provider.maintained
		if p.maintained[machine] {
			continue
		}
		for _, w := range p.r.workers {
			if "m-"+w.id != machine || !w.up {
				continue
			}
			for _, ref := range w.tasks() {
				p.order(w, ref, "maintenance")
			}
			p.logf("maintenance of %s", machine)
			p.maintained[machine] = true
			w.crash()
			p.returnAt[w] = p.r.now + playReturnMS
		}
	}
}

// stepWorker applies the events of one worker and carries on its exchange with the leader.
func (p *interruptionPlay) stepWorker(w *modelWorker) {
	if at, down := p.returnAt[w]; down && p.r.now >= at {
		delete(p.returnAt, w)
		delete(p.exchanges, w)
		w.restart()
	}
	if !w.up {
		return
	}
	p.disturbWorker(w)
	if w.up {
		p.exchange(w)
	}
}

func (p *interruptionPlay) disturbWorker(w *modelWorker) {
	if p.with.failures && p.chance(0.0006) {
		for _, ref := range w.tasks() {
			p.logf("%s fails on %s", ref, w.id)
			w.end(ref, workload.OutcomeFailed)
		}
	}
	if p.with.shrinks && p.chance(0.001) {
		w.capacity = rigCPU - w.capacity
		p.logf("%s has capacity %d", w.id, w.capacity)
	}
	if at, leaves := p.leaveAt[w]; p.with.crashes && p.chance(0.0002) || leaves && p.r.now >= at {
		p.logf("%s ends", w.id)
		delete(p.leaveAt, w)
		w.crash()
		p.returnAt[w] = p.r.now + 1000 + p.rng.Int63n(3000)
		return
	}
	if p.with.drains && !w.draining && p.chance(0.0006) {
		p.logf("%s drains", w.id)
		w.draining = true
		w.drainsUntil = p.r.now + playDrainMS
		p.leaveAt[w] = w.drainsUntil + p.rng.Int63n(1000)
	}
}

// exchange carries on the worker's heartbeat: it reaches the leader, and the response the worker.
func (p *interruptionPlay) exchange(w *modelWorker) {
	e := p.exchanges[w]
	switch {
	case e == nil:
		e = &exchange{report: w.report(), handleAt: p.r.now + p.rng.Int63n(playMaxDelay), store: p.r.leader, lost: p.chance(p.with.loss), born: w.born}
		e.applyAt = e.handleAt + p.rng.Int63n(playMaxDelay) + 1
		p.exchanges[w] = e
		if p.with.lateReports && p.chance(0.1) {
			p.late = append(p.late, lateReport{e.report, p.r.now + p.rng.Int63n(playMaxLateness)})
			e.lost = true
			e.handleAt, e.applyAt = p.r.now+playTimeoutMS, p.r.now+playTimeoutMS
		}
	case e.orders == nil && e.lost && e.handleAt == e.applyAt && p.r.now >= e.applyAt:
		delete(p.exchanges, w)
	case e.orders == nil && p.r.now >= e.handleAt:
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		orders, err := p.r.dispatchers[e.store].HandleReport(ctx, e.report)
		e.lost = e.lost || err != nil
		e.orders = &orders
	case e.orders != nil && p.r.now >= e.applyAt:
		delete(p.exchanges, w)
		if e.lost || e.born != w.born || e.orders.Term < w.highestTerm {
			return
		}
		for _, stop := range e.orders.Stops {
			if run, ok := w.running[stop.Task]; ok && run.run <= stop.Run {
				p.order(w, stop.Task, "a stop")
			}
		}
		w.applyOrders(*e.orders)
	}
}

// Guards against more interrupted tasks of a step at once than its MaxUnavailable: a wave decides
// beside workers that drain, answers that get lost, commits that are applied late and new leaders.
func TestNoOrderInterruptsMoreTasksThanTheBudget(t *testing.T) {
	plays := map[string]disturbances{
		"lost answers": {loss: 0.6},
		"failures":     {failures: true, loss: 0.3},
		"elections":    {elections: true, failures: true, loss: 0.5},
		"crashes":      {crashes: true, failures: true, elections: true, loss: 0.3},
		"drains":       {drains: true, loss: 0.3},
		"shrinks":      {shrinks: true, elections: true, loss: 0.3},
		"late commits": {lateCommits: true, elections: true, loss: 0.3},
		"evacuations":  {evacuations: true, drains: true, loss: 0.3},
		"late reports": {lateReports: true, failures: true, elections: true, loss: 0.3},
		"everything":   {failures: true, elections: true, crashes: true, drains: true, shrinks: true, lateCommits: true, evacuations: true, lateReports: true, loss: 0.4},
	}
	for name, with := range plays {
		t.Run(name, func(t *testing.T) {
			orders := 0
			for seed := range int64(playSeeds) {
				p := newInterruptionPlay(t, seed, with)
				p.play(t)
				require.Empty(t, p.violation, "seed %d:\n%s", seed, lastLines(p.trace))
				orders += p.orders
			}
			require.Positive(t, orders, "no play interrupts a task")
		})
	}
}

func lastLines(trace []string) string {
	text := ""
	for _, line := range trace[max(len(trace)-30, 0):] {
		text += line + "\n"
	}
	return text
}
