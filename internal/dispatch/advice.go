package dispatch

import (
	"context"
	"maps"
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
	tickets   map[workload.WorkerIncarnation]string
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
		incarnations := adviceCandidates(s.PoolOf(j), workers)
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
// maxAdviceWorkers.
func adviceCandidates(pool string, workers []taskplan.Worker) []workload.WorkerIncarnation {
	var incarnations []workload.WorkerIncarnation
	for _, w := range workers {
		if w.Pool == pool && len(incarnations) < maxAdviceWorkers {
			incarnations = append(incarnations, w.Incarnation)
		}
	}
	return incarnations
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
	a.steps[ref] = approval{tickets: tickets, expiresAt: now + validityMS}
	d.Wake()
}
