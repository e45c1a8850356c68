package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// maxAdviceWorkers bounds the workers named in one request. The advice service accepts
	// 100, and takes time for each.
	maxAdviceWorkers = 30
	// adviceRetryMS is the time between two requests for a step that no worker may run yet, and
	// moreAdviceMS for one that waits for room on the workers that may.
	adviceRetryMS = 500
	moreAdviceMS  = 1500
	adviceTimeout = 5 * time.Second
	// minDenialMS is the least time for which a worker that was not approved is not asked about
	// again. The workers that may run a step don't change.
	minDenialMS = 60_000
)

// approvals holds what the advice service has decided, by step. Guarded by Dispatcher.mu.
type approvals struct {
	steps map[taskplan.StepRef]*stepApprovals
	// inFlight is true while a request is in flight: the service handles one at a time for
	// each caller.
	inFlight bool
}

// stepApprovals holds the decisions about the workers of a step. A request names some of them, so
// that workers may be undecided: those that no request has named, or that have joined since.
type stepApprovals struct {
	tickets map[workload.WorkerIncarnation]ticket
	// deniedUntil holds until when workers count as not approved.
	deniedUntil map[workload.WorkerIncarnation]int64
	// askedAt is the cluster time of the latest request, in milliseconds.
	askedAt int64
}

// ticket is the approval of a worker, and its expiry in cluster time.
type ticket struct {
	text      string
	expiresAt int64
}

func newApprovals() *approvals {
	return &approvals{steps: map[taskplan.StepRef]*stepApprovals{}}
}

// step returns the approvals of a step, which are empty at first.
func (a *approvals) step(ref taskplan.StepRef) *stepApprovals {
	if a.steps[ref] == nil {
		a.steps[ref] = &stepApprovals{tickets: map[workload.WorkerIncarnation]ticket{}, deniedUntil: map[workload.WorkerIncarnation]int64{}}
	}
	return a.steps[ref]
}

// validTickets returns the tickets that have not expired. A step without any decision is left out.
func (a *approvals) validTickets(now int64) taskplan.Approvals {
	out := taskplan.Approvals{}
	for ref, decided := range a.steps {
		if len(decided.tickets)+len(decided.deniedUntil) == 0 {
			continue
		}
		valid := map[workload.WorkerIncarnation]string{}
		for incarnation, t := range decided.tickets {
			if now < t.expiresAt {
				valid[incarnation] = t.text
			}
		}
		out[ref] = valid
	}
	return out
}

// isUndecided reports whether a request about the worker may show that it may run the step.
func (a *stepApprovals) isUndecided(incarnation workload.WorkerIncarnation, now int64) bool {
	if t, approved := a.tickets[incarnation]; approved {
		return now >= t.expiresAt
	}
	return now >= a.deniedUntil[incarnation]
}

// record applies a decision about the workers that were asked about at the given time.
func (a *stepApprovals) record(asked []workload.WorkerIncarnation, tickets map[workload.WorkerIncarnation]string, at, validityMS int64) {
	for incarnation, text := range tickets {
		a.tickets[incarnation] = ticket{text: text, expiresAt: at + validityMS}
	}
	for _, incarnation := range asked {
		if _, approved := tickets[incarnation]; !approved {
			delete(a.tickets, incarnation)
			a.deniedUntil[incarnation] = at + max(validityMS, minDenialMS)
		}
	}
}

// requestAdvice starts a request for one of the steps whose tasks wait for an approval, unless a
// request is in flight: first for steps that were decided and have no approved worker left, then for
// those without a decision, given in order, then for those whose approved workers have no room. The
// caller holds mu.
func (d *Dispatcher) requestAdvice(s *workload.State, undecided []taskplan.StepRef, workers []taskplan.Worker, now int64) {
	if d.approvals.inFlight || d.advisor == nil {
		return
	}
	without, full := d.stepsToAskAgain(s, workers, now)
	for _, ref := range append(without, undecided...) {
		if d.askAbout(s, ref, workers, false, now) {
			return
		}
	}
	for _, ref := range full {
		if d.askAbout(s, ref, workers, true, now) {
			return
		}
	}
}

// stepsToAskAgain returns the decided steps with waiting tasks, in the order of their requests: those
// without an approved worker that may take tasks, and the others.
func (d *Dispatcher) stepsToAskAgain(s *workload.State, workers []taskplan.Worker, now int64) (without, full []taskplan.StepRef) {
	for ref, a := range d.approvals.steps {
		if len(a.tickets)+len(a.deniedUntil) == 0 || !hasWaitingTasks(s, ref) {
			continue
		}
		switch usable := a.hasUsableTicket(workers, now); {
		case !usable:
			without = append(without, ref)
		case now-a.askedAt >= moreAdviceMS:
			full = append(full, ref)
		}
	}
	for _, refs := range [][]taskplan.StepRef{without, full} {
		slices.SortFunc(refs, func(a, b taskplan.StepRef) int {
			return cmp.Or(cmp.Compare(d.approvals.steps[a].askedAt, d.approvals.steps[b].askedAt), cmp.Compare(a.Job, b.Job),
				cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
		})
	}
	return without, full
}

func (a *stepApprovals) hasUsableTicket(workers []taskplan.Worker, now int64) bool {
	for i := range workers {
		if t, approved := a.tickets[workers[i].Incarnation]; approved && now < t.expiresAt {
			return true
		}
	}
	return false
}

func hasWaitingTasks(s *workload.State, ref taskplan.StepRef) bool {
	j, ok := s.Active()[ref.Job]
	if !ok || j.Occurrences[ref.Occurrence] == nil {
		return false
	}
	return j.Occurrences[ref.Occurrence].Steps[ref.Step].Waiting() > 0
}

// askAbout starts a request for a step, and returns false if it is too early for one or there is no
// worker to ask about. With onlyFree it asks only about workers that have room for a task now.
func (d *Dispatcher) askAbout(s *workload.State, ref taskplan.StepRef, workers []taskplan.Worker, onlyFree bool, now int64) bool {
	a := d.approvals.step(ref)
	if now-a.askedAt < adviceRetryMS {
		return false
	}
	j := s.Active()[ref.Job]
	q, _ := s.QueueOf(j)
	advice := q.Advice
	incarnations := d.adviceCandidates(s, ref, workers, onlyFree, now)
	if len(incarnations) == 0 || advice == nil {
		return false
	}
	a.askedAt = now
	d.approvals.inFlight = true
	go d.fetchAdvice(ref, incarnations, advice.ValidityMS, now, d.approvals)
	return true
}

// adviceCandidates returns the workers to name in a request, at most maxAdviceWorkers: undecided ones
// that have the label of the step. Those whose approval has expired come first, and then those that
// joined last.
func (d *Dispatcher) adviceCandidates(s *workload.State, ref taskplan.StepRef, workers []taskplan.Worker, onlyFree bool, now int64) []workload.WorkerIncarnation {
	j, a := s.Active()[ref.Job], d.approvals.step(ref)
	step, pool := &j.Steps[ref.Step], s.PoolOf(j)
	var incarnations []workload.WorkerIncarnation
	for i := range workers {
		w := &workers[i]
		hasLabel := step.Label == "" || slices.Contains(w.Labels, step.Label)
		if w.Pool != pool || !hasLabel || !a.isUndecided(w.Incarnation, now) || onlyFree && !step.Occupies().Fits(freeOf(s, w)) {
			continue
		}
		incarnations = append(incarnations, w.Incarnation)
	}
	expired := func(incarnation workload.WorkerIncarnation) int {
		if _, approved := a.tickets[incarnation]; approved {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(incarnations, func(x, y workload.WorkerIncarnation) int {
		return cmp.Or(cmp.Compare(expired(x), expired(y)), cmp.Compare(d.workers[y].firstReportAt, d.workers[x].firstReportAt), cmp.Compare(x.ID, y.ID))
	})
	return incarnations[:min(len(incarnations), maxAdviceWorkers)]
}

// freeOf returns the capacity of a worker that no run occupies.
func freeOf(s *workload.State, w *taskplan.Worker) workload.Resources {
	free := w.Capacity
	for _, p := range s.RunsOn(w.Incarnation) {
		free = free.Minus(p.Occupies)
	}
	return free
}

// fetchAdvice calls the advice service and stores its decision in a, the approvals of the
// leadership that asked. Tickets are valid for validityMS from now, the start of the request.
func (d *Dispatcher) fetchAdvice(ref taskplan.StepRef, incarnations []workload.WorkerIncarnation, validityMS, now int64, a *approvals) {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	tickets, err := d.advisor.Approve(ctx, ref, incarnations)
	d.mu.Lock()
	defer d.mu.Unlock()
	a.inFlight = false
	if err != nil {
		d.logger.Warn().Err(err).Str("job", ref.Job).Int("step", ref.Step).Msg("advice request failed")
		return
	}
	maps.DeleteFunc(tickets, func(_ workload.WorkerIncarnation, ticket string) bool { return textFault(ticket, maxTicketBytes) != "" })
	d.logger.Info().Str("job", ref.Job).Int("step", ref.Step).Int("asked", len(incarnations)).Int("approved", len(tickets)).Msg("advice received")
	a.step(ref).record(incarnations, tickets, now, validityMS)
	d.Wake()
}
