package controller

import (
	"context"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// worker is what the leader heard of one worker in its term.
type worker struct {
	state        wire.WorkerState
	entry        string
	lastReportAt fleet.Time
	// healthySince is the time since which this incarnation announces itself
	// without a break.
	healthySince fleet.Time
	dirty        bool
	// candidate is another incarnation that announces itself, since candidateAt
	// and last at candidateHeard.
	candidate             string
	candidateSince        fleet.Time
	candidateLastReportAt fleet.Time
	// replaced holds the incarnations that were replaced.
	replaced map[string]bool
	// reportedAt holds the attempts that this incarnation reported, with the latest time.
	reportedAt       map[wire.TaskKey]fleet.Time
	sent             map[orderKey]sentOrder
	drainAbandonedAt fleet.Time
	undrainsSent     int
}

// reportsRecently reports whether the worker announced itself a short time ago.
func (w *worker) reportsRecently(now fleet.Time) bool {
	return now.Sub(w.lastReportAt) <= reportTimeout
}

// Register adds the handler of worker reports.
func (c *Controller) Register(mux wire.Mux) {
	mux[wire.TypeWorkerReport] = func(ctx context.Context, req wire.Request) (any, error) {
		var rep wire.WorkerReport
		if err := req.Decode(&rep); err != nil {
			return nil, err
		}
		return c.Report(ctx, rep)
	}
}

// Report takes the announcements of workers and returns the orders for all
// workers of the reporting entry. The reply is held until there are orders, at
// most for the time that the entry states. When this store doesn't lead, the
// error is a *wire.ErrorBody with CodeNotLeader.
func (c *Controller) Report(ctx context.Context, rep wire.WorkerReport) (*wire.WorkerOrders, error) {
	if err := c.recordReport(rep); err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Duration(max(rep.HoldMS, 0)) * time.Millisecond)
	defer timer.Stop()
	held := rep.HoldMS > 0
	for {
		c.mu.Lock()
		wake := c.ordersChanged
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
		case <-wake:
		}
	}
}

func (c *Controller) notLeader(l fleet.Leadership) error {
	return &wire.ErrorBody{Code: wire.CodeNotLeader, Message: "this store is not the leader", Leader: l.Leader}
}

// recordReport keeps the latest announcement of each worker.
func (c *Controller) recordReport(rep wire.WorkerReport) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, leading := c.leading()
	if !leading {
		return c.notLeader(l)
	}
	now := c.log.Now()
	committed := map[string]string{}
	c.log.Read(func(s *fleet.State) {
		for _, st := range rep.Workers {
			committed[st.Instance] = s.Status[st.Instance].Incarnation
		}
	})
	for _, st := range rep.Workers {
		c.recordWorkerState(rep.Entry, st, committed[st.Instance], now)
	}
	if len(rep.Workers) > 0 {
		select {
		case c.reportReceived <- struct{}{}:
		default:
		}
	}
	return nil
}

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

// resetIncarnation forgets what concerns an earlier incarnation.
func (w *worker) resetIncarnation() {
	w.reportedAt = map[wire.TaskKey]fleet.Time{}
	w.sent = map[orderKey]sentOrder{}
	w.undrainsSent = 0
}

// acceptsIncarnation reports whether the incarnation is the present one, or has replaced it:
// it announced itself for a while without a word from the present one. One that
// was replaced earlier needs longer, but is not ruled out for ever, since reports
// that were held up could have replaced it by mistake.
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

// commitReports commits what the reports since the last pass changed.
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
		n := commandSize(outcomes)
		if err := c.commitOutcomes(ctx, outcomes[:n]); err != nil {
			return err
		}
		outcomes = outcomes[n:]
	}
	return nil
}

// commandSize returns the number of findings that fit into one command.
func commandSize(ends []attemptEnd) int {
	size := 0
	for i, f := range ends {
		size += len(f.report.Result) + len(f.report.Reason)
		if i == maxCommandElements || i > 0 && size > maxReplyBytes {
			return i
		}
	}
	return len(ends)
}

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
	for i, f := range ends {
		if _, refused := res.Rejected[i]; refused || res.Refusal != nil {
			c.refusedOutcomes[f.key] = now
			continue
		}
		c.recordEvidence(f, now)
	}
	return nil
}

// markDirty makes the next pass examine all workers again.
func (c *Controller) markDirty() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		w.dirty = true
	}
}

// attemptEnd is an attempt that ended, as a worker reports it.
type attemptEnd struct {
	key    wire.TaskKey
	worker string
	pool   string
	team   string
	report wire.TaskReport
	kind   fleet.OutcomeKind
	// failedOn includes the worker when the attempt failed.
	failedOn []string
}

// collectChanges returns the differences between the latest reports and the state.
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

// observation returns what changed of a worker, and whether anything did.
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
		if t.State == wire.TaskNotStarted || j == nil || j.Started || !assignedTo(j, w, t.Attempt) {
			continue
		}
		o.Started = append(o.Started, t.JobID)
	}
	changed := !st.Seen || st.Lost || st.Incarnation != o.Incarnation ||
		st.Address != o.Address || st.Capacity != o.Capacity
	return o, changed || len(o.Started) > 0
}

// assignedTo reports whether the attempt is the present one of the job on this
// incarnation of the worker.
func assignedTo(j *fleet.Job, w *worker, attempt int) bool {
	return j.State == fleet.JobAssigned && j.Attempt == attempt &&
		j.Worker == w.state.Instance && j.WorkerIncarnation == w.state.Incarnation
}

var outcomeKinds = map[wire.TaskState]fleet.OutcomeKind{
	wire.TaskDone:         fleet.OutcomeDone,
	wire.TaskFailed:       fleet.OutcomeFailed,
	wire.TaskStopped:      fleet.OutcomeStopped,
	wire.TaskCheckpointed: fleet.OutcomeCheckpointed,
	wire.TaskNotStarted:   fleet.OutcomeNotStarted,
}

// reportedEnds returns the reported ends of attempts that the state does not know.
func (c *Controller) reportedEnds(s *fleet.State, w *worker) []attemptEnd {
	var ends []attemptEnd
	for _, t := range w.state.Tasks {
		kind, final := outcomeKinds[t.State]
		j := s.Jobs[t.JobID]
		if !final || !c.outcomePending(j, w, t) {
			continue
		}
		f := attemptEnd{
			key:    wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt},
			worker: w.state.Instance,
			pool:   s.Config.Queues[j.Queue].Pool,
			team:   j.Team,
			report: t,
			kind:   kind,
		}
		f.failedOn = slices.Clone(j.FailedOn)
		if kind == fleet.OutcomeFailed && !slices.Contains(f.failedOn, f.worker) {
			f.failedOn = append(f.failedOn, f.worker)
		}
		ends = append(ends, f)
	}
	return ends
}

// outcomePending reports whether a reported end still has to be committed. A result
// that comes after its attempt was given up is still worth keeping.
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

// observeUsage passes the reported usage on to the correction of sizes.
func (c *Controller) observeUsage(s *fleet.State, w *worker, now fleet.Time) {
	for _, t := range w.state.Tasks {
		j := s.Jobs[t.JobID]
		if t.State == wire.TaskRunning && j != nil && assignedTo(j, w, t.Attempt) {
			key := wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}
			c.sizer.Observe(key, j.Team, j.Queue, j.Spec.Size, t.Usage, now)
		}
	}
}

// missingEnds returns the started attempts that the worker no longer reports. Their
// results can't be learned any more.
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
