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
	// 100.
	maxAdviceWorkers = 30
	// adviceRetryMS is the time after which a failed request is repeated, counted from its
	// start.
	adviceRetryMS = 500
	adviceTimeout = 5 * time.Second
)

// approvals caches the responses of the advice service. Guarded by Dispatcher.mu.
type approvals struct {
	steps map[taskplan.StepRef]approval
	// askedAt is the cluster time of the latest request for each step, in milliseconds.
	askedAt map[taskplan.StepRef]int64
	// inFlight is true while a request is in flight: the service handles one at a time for
	// each caller.
	inFlight bool
}

type approval struct {
	tickets map[workload.WorkerIncarnation]string
	// askedAt is the cluster time of the request.
	askedAt   int64
	expiresAt int64
}

func newApprovals() *approvals {
	return &approvals{steps: map[taskplan.StepRef]approval{}, askedAt: map[taskplan.StepRef]int64{}}
}

// validTickets returns the approvals that have not expired, and removes the others.
func (a *approvals) validTickets(now int64) taskplan.Approvals {
	out := taskplan.Approvals{}
	for ref, ap := range a.steps {
		if now >= ap.expiresAt {
			delete(a.steps, ref)
			continue
		}
		out[ref] = ap.tickets
	}
	return out
}

// approvalsToRenew returns the steps with waiting tasks about which the service should be asked
// again: an approved worker can't take tasks any more, since it has crashed, was moved,
// maintained or evacuated or its lease has expired, and another worker has joined the pool
// since. The approvals hold until the answer comes. Of a step without any approved worker left the
// approval is removed.
func (d *Dispatcher) approvalsToRenew(s *workload.State, now int64) []taskplan.StepRef {
	var renewals []taskplan.StepRef
	var joined map[string]int64
	for ref, a := range d.approvals.steps {
		usable := d.usableTickets(s, a, now)
		if usable == 0 && len(a.tickets) > 0 {
			delete(d.approvals.steps, ref)
			continue
		}
		if usable == len(a.tickets) && usable > 0 || !hasWaitingTasks(s, ref) {
			continue
		}
		if joined == nil {
			joined = d.lastJoined()
		}
		if joined[s.PoolOf(s.Active()[ref.Job])] > a.askedAt {
			renewals = append(renewals, ref)
		}
	}
	return renewals
}

// usableTickets returns the number of approved workers that may take tasks.
func (d *Dispatcher) usableTickets(s *workload.State, a approval, now int64) int {
	usable := 0
	for incarnation := range a.tickets {
		w, ok := d.workers[incarnation]
		if ok && !w.terminated && now <= w.leaseExpiresAt && !s.Evacuated(w.DataCentre) {
			usable++
		}
	}
	return usable
}

// lastJoined returns the time at which a worker last joined, by pool.
func (d *Dispatcher) lastJoined() map[string]int64 {
	joined := map[string]int64{}
	for _, w := range d.workers {
		if !w.terminated {
			joined[w.Pool] = max(joined[w.Pool], w.firstReportAt)
		}
	}
	return joined
}

func hasWaitingTasks(s *workload.State, ref taskplan.StepRef) bool {
	j, ok := s.Active()[ref.Job]
	if !ok || j.Occurrences[ref.Occurrence] == nil {
		return false
	}
	return j.Occurrences[ref.Occurrence].Steps[ref.Step].Waiting() > 0
}

// requestAdvice starts a request for the first of the steps for which none was made
// recently, unless a request is in flight. The caller holds mu.
func (d *Dispatcher) requestAdvice(s *workload.State, steps []taskplan.StepRef, workers []taskplan.Worker, now int64) {
	if d.approvals.inFlight || d.advisor == nil {
		return
	}
	for _, ref := range steps {
		if now-d.approvals.askedAt[ref] < adviceRetryMS {
			continue
		}
		j := s.Active()[ref.Job]
		incarnations := d.adviceCandidates(s.PoolOf(j), workers)
		advice := s.Config.Queues[j.Queue].Advice
		if len(incarnations) == 0 || advice == nil {
			continue
		}
		d.approvals.askedAt[ref] = now
		d.approvals.inFlight = true
		go d.fetchAdvice(ref, incarnations, advice.ValidityMS, now, d.approvals)
		return
	}
}

// adviceCandidates returns the workers of a pool to name in a request, at most
// maxAdviceWorkers. Those that joined last come first: no earlier request has named them.
func (d *Dispatcher) adviceCandidates(pool string, workers []taskplan.Worker) []workload.WorkerIncarnation {
	var incarnations []workload.WorkerIncarnation
	for _, w := range workers {
		if w.Pool == pool {
			incarnations = append(incarnations, w.Incarnation)
		}
	}
	slices.SortStableFunc(incarnations, func(a, b workload.WorkerIncarnation) int {
		return cmp.Compare(d.workers[b].firstReportAt, d.workers[a].firstReportAt)
	})
	return incarnations[:min(len(incarnations), maxAdviceWorkers)]
}

// fetchAdvice calls the advice service and stores its approvals in a, the approvals of the
// leadership that asked. They are valid for validityMS from now, the start of the request.
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
	a.steps[ref] = approval{tickets: tickets, askedAt: now, expiresAt: now + validityMS}
	d.Wake()
}
