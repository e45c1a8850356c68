package controller

import (
	"context"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// worker holds what was reported of one worker or backend server in this term.
type worker struct {
	// state is the latest accepted report.
	state wire.WorkerState
	// entry is the entry that sent it.
	entry        string
	lastReportAt fleet.Time
	// healthySince is the time since which this incarnation reports without a gap
	// longer than reportTimeout.
	healthySince fleet.Time
	// dirty is true if the state has not been compared with the replicated state.
	dirty bool
	// candidate is another incarnation that reports. It has done so since
	// candidateSince, and last at candidateLastReportAt.
	candidate             string
	candidateSince        fleet.Time
	candidateLastReportAt fleet.Time
	// replaced holds the incarnations that were replaced by another.
	replaced map[string]bool
	// reportedAt holds the attempts that this incarnation has reported, with the
	// time of the latest report.
	reportedAt map[wire.TaskKey]fleet.Time
	// sent holds the orders that this incarnation was sent and that still apply.
	sent             map[orderKey]sentOrder
	drainAbandonedAt fleet.Time
	undrainsSent     int
}

// reportsRecently reports whether a report arrived within reportTimeout.
func (w *worker) reportsRecently(now fleet.Time) bool {
	return now.Sub(w.lastReportAt) <= reportTimeout
}

// Register adds the handler of wire.TypeWorkerReport, which calls Report, to mux.
func (c *Controller) Register(mux wire.Mux) {
	mux[wire.TypeWorkerReport] = func(ctx context.Context, req wire.Request) (any, error) {
		var rep wire.WorkerReport
		if err := req.Decode(&rep); err != nil {
			return nil, err
		}
		return c.Report(ctx, rep)
	}
}

// Report records the state of workers that an entry reports, and returns the orders
// for all workers that report through this entry. It holds the reply until there are
// orders, but no longer than rep.HoldMS milliseconds or until the context ends; the
// reply then has no orders. When this store doesn't lead, the error is a
// *wire.ErrorBody with wire.CodeNotLeader and the address of the leader.
func (c *Controller) Report(ctx context.Context, rep wire.WorkerReport) (*wire.WorkerOrders, error) {
	if err := c.recordReport(rep); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(max(rep.HoldMS, 0)) * time.Millisecond)
	defer timer.Stop()
	held := rep.HoldMS > 0
	for {
		c.mu.Lock()
		changed := c.ordersChanged
		c.mu.Unlock()
		orders, err := c.orders(rep.Entry)
		if err != nil || len(orders.Orders) > 0 || !held {
			return orders, err
		}
		select {
		case <-ctx.Done():
			return orders, nil
		case <-timer.C:
			held = false
		case <-changed:
		}
	}
}

// notLeader returns the error of a store that doesn't lead.
func (c *Controller) notLeader(l fleet.Leadership) error {
	return &wire.ErrorBody{Code: wire.CodeNotLeader, Message: "this store is not the leader", Leader: l.Leader}
}

// recordReport records the state of each reported worker and wakes Run. When this
// store doesn't lead, the error is the one of notLeader.
func (c *Controller) recordReport(rep wire.WorkerReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, leading := c.leading()
	if !leading {
		return c.notLeader(l)
	}
	now := c.log.Now()
	committedIncarnations := map[string]string{}
	c.log.Read(func(s *fleet.State) {
		for _, st := range rep.Workers {
			committedIncarnations[st.Instance] = s.Status[st.Instance].Incarnation
		}
	})
	for _, st := range rep.Workers {
		c.recordWorkerState(rep.Entry, st, committedIncarnations[st.Instance], now)
	}
	if len(rep.Workers) > 0 {
		select {
		case c.reportReceived <- struct{}{}:
		default:
		}
	}
	return nil
}

// recordWorkerState records a reported state, unless its incarnation is not accepted.
func (c *Controller) recordWorkerState(entry string, st wire.WorkerState, committed string, now fleet.Time) {
	w := c.workers[st.Instance]
	if w == nil {
		w = &worker{replaced: map[string]bool{}, healthySince: now}
		w.resetIncarnation()
		c.workers[st.Instance] = w
	}
	if !w.acceptsIncarnation(st.Incarnation, committed, now) {
		return
	}
	if w.state.Incarnation != st.Incarnation {
		w.replaced[w.state.Incarnation] = true
		w.replaced[committed] = true
		delete(w.replaced, st.Incarnation)
		w.resetIncarnation()
		w.healthySince = now
	} else if !w.reportsRecently(now) {
		w.healthySince = now
	}
	w.state = st
	w.entry = entry
	w.lastReportAt = now
	w.dirty = true
	for _, t := range st.Tasks {
		w.reportedAt[wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}] = now
	}
}

// resetIncarnation discards what was recorded of an earlier incarnation.
func (w *worker) resetIncarnation() {
	w.reportedAt = map[wire.TaskKey]fleet.Time{}
	w.sent = map[orderKey]sentOrder{}
	w.undrainsSent = 0
}

// acceptsIncarnation reports whether the incarnation is the present one or replaces
// it. It replaces the present one after restartConfirmDelay in which only it reports.
// An incarnation that was replaced before needs reinstateConfirmDelay instead. It is
// not excluded, since delayed reports may have replaced it by mistake.
func (w *worker) acceptsIncarnation(incarnation, committed string, now fleet.Time) bool {
	present := w.state.Incarnation
	if present == "" {
		present = committed
	}
	if present == "" || incarnation == present {
		w.candidate = ""
		return true
	}
	if w.candidate != incarnation || now.Sub(w.candidateLastReportAt) > reportTimeout {
		w.candidate = incarnation
		w.candidateSince = now
	}
	w.candidateLastReportAt = now
	needed := restartConfirmDelay
	if w.replaced[incarnation] {
		needed = reinstateConfirmDelay
	}
	return now.Sub(w.candidateSince) >= needed
}

// commitReports commits the changes that were reported since the last pass.
func (c *Controller) commitReports(ctx context.Context) error {
	observe, outcomes := c.collectChanges()
	for part := range slices.Chunk(observe, maxCommandObservations) {
		cmd := fleet.Command{Observe: &fleet.Observe{Observations: part}}
		if _, err := c.propose(ctx, "observe", cmd); err != nil {
			c.markDirty()
			return err
		}
	}
	for len(outcomes) > 0 {
		n := fittingEnds(outcomes)
		if err := c.commitOutcomes(ctx, outcomes[:n]); err != nil {
			return err
		}
		outcomes = outcomes[n:]
	}
	return nil
}

// fittingEnds returns the number of ends, at least one, that fit into one command.
func fittingEnds(ends []attemptEnd) int {
	size := 0
	for i, end := range ends {
		size += len(end.report.Result) + len(end.report.Reason)
		if i == maxCommandElements || i > 0 && size > maxReplyBytes {
			return i
		}
	}
	return len(ends)
}

// commitOutcomes commits the outcomes of ended attempts and records which of them the
// state machine accepted.
func (c *Controller) commitOutcomes(ctx context.Context, ends []attemptEnd) error {
	outcomes := c.outcomesOf(ends)
	res, err := c.propose(ctx, "outcome", fleet.Command{Outcome: &fleet.JobOutcomes{Outcomes: outcomes}})
	if err != nil {
		c.markDirty()
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	for i, end := range ends {
		if _, refused := res.Rejected[i]; refused || res.Refusal != nil {
			c.refusedOutcomes[end.key] = now
			continue
		}
		c.recordEvidence(end, now)
	}
	return nil
}

// markDirty makes the next pass compare all workers with the replicated state.
func (c *Controller) markDirty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.dirty = true
	}
}

// attemptEnd is the end of an attempt, as reported by a worker or inferred from the
// absence of the task in its reports.
type attemptEnd struct {
	key    wire.TaskKey
	worker string
	pool   string
	team   string
	report wire.TaskReport
	kind   fleet.OutcomeKind
	// failedOn lists the workers on which the job has failed. It includes worker if
	// this attempt failed.
	failedOn []string
}

// collectChanges returns the differences between the latest reports and the replicated
// state: the observations and the ends of attempts that are to be committed.
func (c *Controller) collectChanges() ([]fleet.Observation, []attemptEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	var observe []fleet.Observation
	var ends []attemptEnd
	c.log.Read(func(s *fleet.State) {
		for _, name := range sortedKeys(c.workers) {
			w := c.workers[name]
			if !w.dirty {
				continue
			}
			w.dirty = false
			if _, declared := s.Config.Instances[name]; !declared {
				continue
			}
			if o, changed := observation(s, w); changed {
				observe = append(observe, o)
			}
			c.observeUsage(s, w, now)
			ends = append(ends, c.reportedEnds(s, w)...)
			ends = append(ends, c.missingEnds(s, w, now)...)
		}
	})
	return observe, ends
}

// observation returns the reported state of a worker and the jobs that it is the first to
// report as started, and whether the replicated state differs from them.
func observation(s *fleet.State, w *worker) (fleet.Observation, bool) {
	st := s.Status[w.state.Instance]
	o := fleet.Observation{
		Instance:    w.state.Instance,
		Incarnation: w.state.Incarnation,
		Address:     w.state.Address,
		Capacity:    w.state.Capacity,
	}
	for _, t := range w.state.Tasks {
		j := s.Jobs[t.JobID]
		if t.State == wire.TaskNotStarted || j == nil || j.Reported || !assignedTo(j, w, t.Attempt) {
			continue
		}
		o.Started = append(o.Started, t.JobID)
	}
	changed := !st.Seen || st.Lost || st.Incarnation != o.Incarnation ||
		st.Address != o.Address || st.Capacity != o.Capacity
	return o, changed || len(o.Started) > 0
}

// assignedTo reports whether the attempt is the present one of the job and is assigned
// to this incarnation of the worker.
func assignedTo(j *fleet.Job, w *worker, attempt int) bool {
	return j.State == fleet.JobAssigned && j.Attempt == attempt &&
		j.Worker == w.state.Instance && j.WorkerIncarnation == w.state.Incarnation
}

// outcomeKinds maps the final task states to the outcomes of the attempts.
var outcomeKinds = map[wire.TaskState]fleet.OutcomeKind{
	wire.TaskDone:         fleet.OutcomeDone,
	wire.TaskFailed:       fleet.OutcomeFailed,
	wire.TaskStopped:      fleet.OutcomeStopped,
	wire.TaskCheckpointed: fleet.OutcomeCheckpointed,
	wire.TaskNotStarted:   fleet.OutcomeNotStarted,
}

// reportedEnds returns the reported ends of attempts whose outcome is not committed.
func (c *Controller) reportedEnds(s *fleet.State, w *worker) []attemptEnd {
	var ends []attemptEnd
	for _, t := range w.state.Tasks {
		kind, final := outcomeKinds[t.State]
		j := s.Jobs[t.JobID]
		if !final || !c.outcomePending(j, w, t) {
			continue
		}
		end := attemptEnd{
			key:    wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt},
			worker: w.state.Instance,
			pool:   s.Config.Queues[j.Queue].Pool,
			team:   j.Team,
			report: t,
			kind:   kind,
		}
		end.failedOn = slices.Clone(j.FailedOn)
		if kind == fleet.OutcomeFailed && !slices.Contains(end.failedOn, end.worker) {
			end.failedOn = append(end.failedOn, end.worker)
		}
		ends = append(ends, end)
	}
	return ends
}

// outcomePending reports whether the outcome of a reported end has to be committed. A
// result that arrives after its worker was declared lost is still committed, unless
// the job has a later attempt.
func (c *Controller) outcomePending(j *fleet.Job, w *worker, t wire.TaskReport) bool {
	if j == nil {
		return false
	}
	if _, done := c.refusedOutcomes[wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}]; done {
		return false
	}
	if assignedTo(j, w, t.Attempt) {
		return true
	}
	endedWithoutResult := j.State == fleet.JobQueued || j.State == fleet.JobMayHaveRun
	return t.State == wire.TaskDone && endedWithoutResult && j.Attempt == t.Attempt && j.Worker == w.state.Instance
}

// observeUsage passes the reported usage of running tasks to the estimate of sizes.
func (c *Controller) observeUsage(s *fleet.State, w *worker, now fleet.Time) {
	for _, t := range w.state.Tasks {
		j := s.Jobs[t.JobID]
		if t.State == wire.TaskRunning && j != nil && assignedTo(j, w, t.Attempt) {
			key := wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}
			c.sizer.Observe(key, j.Team, j.Queue, j.Spec.Size, t.Usage, now)
		}
	}
}

// missingEnds returns the ends of started attempts that the worker no longer reports.
// They are considered lost, since their results can't be obtained any more.
func (c *Controller) missingEnds(s *fleet.State, w *worker, now fleet.Time) []attemptEnd {
	if now.Sub(w.healthySince) < missingTaskTimeout {
		return nil
	}
	for _, j := range assignedJobs(s, w.state.Instance) {
		key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
		if _, seen := w.reportedAt[key]; !seen && knownToHaveRun(j) && assignedTo(j, w, j.Attempt) {
			w.reportedAt[key] = w.healthySince
		}
	}
	var ends []attemptEnd
	for key, last := range w.reportedAt {
		if now.Sub(last) < missingTaskTimeout {
			continue
		}
		j := s.Jobs[key.JobID]
		if j == nil || !assignedTo(j, w, key.Attempt) {
			delete(w.reportedAt, key)
			continue
		}
		ends = append(ends, attemptEnd{
			key: key, worker: w.state.Instance, kind: fleet.OutcomeLost,
			pool: s.Config.Queues[j.Queue].Pool, team: j.Team,
			report: wire.TaskReport{JobID: key.JobID, Attempt: key.Attempt, Reason: "the worker no longer reports the task"},
		})
	}
	slices.SortFunc(ends, func(a, b attemptEnd) int { return compareStrings(a.key.JobID, b.key.JobID) })
	return ends
}
