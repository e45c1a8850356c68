package dispatch

import (
	"context"
	"time"

	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// adviceWorkers bounds the workers of one question; the service takes 100.
	adviceWorkers = 30
	// adviceRetryMS is the pause after a question that failed.
	adviceRetryMS = 500
	adviceTimeout = 5 * time.Second
)

// approvals keeps the answers of the advice service. Guarded by the dispatcher's mu.
type approvals struct {
	steps map[taskplan.StepRef]approval
	asked map[taskplan.StepRef]int64
	// asking is true while a question is under way: the service answers one at a
	// time for each caller.
	asking bool
}

type approval struct {
	tickets map[workload.WorkerIncarnation]string
	until   int64
}

func newApprovals() *approvals {
	return &approvals{steps: map[taskplan.StepRef]approval{}, asked: map[taskplan.StepRef]int64{}}
}

// tickets returns the approvals that are valid, and drops the others.
func (a *approvals) tickets(now int64) taskplan.Approvals {
	out := taskplan.Approvals{}
	for ref, ap := range a.steps {
		if now >= ap.until {
			delete(a.steps, ref)
			continue
		}
		out[ref] = ap.tickets
	}
	return out
}

// seekAdvice asks for the first step that has no answer yet. The caller holds mu.
func (d *Dispatcher) seekAdvice(s *workload.State, steps []taskplan.StepRef, workers []taskplan.Worker, now int64) {
	if d.approvals.asking || d.advisor == nil {
		return
	}
	for _, ref := range steps {
		if now-d.approvals.asked[ref] < adviceRetryMS {
			continue
		}
		j := s.Active()[ref.Job]
		lives := livesIn(s.PoolOf(j), workers)
		advice := s.Config.Queues[j.Queue].Advice
		if len(lives) == 0 || advice == nil {
			continue
		}
		d.approvals.asked[ref] = now
		d.approvals.asking = true
		go d.ask(ref, lives, advice.ValidityMS, now, d.approvals)
		return
	}
}

// livesIn returns the workers of a pool that one question may name.
func livesIn(pool string, workers []taskplan.Worker) []workload.WorkerIncarnation {
	var lives []workload.WorkerIncarnation
	for _, w := range workers {
		if w.Pool == pool && len(lives) < adviceWorkers {
			lives = append(lives, w.Incarnation)
		}
	}
	return lives
}

func (d *Dispatcher) ask(ref taskplan.StepRef, lives []workload.WorkerIncarnation, validityMS, now int64, kept *approvals) {
	ctx, cancel := context.WithTimeout(context.Background(), adviceTimeout)
	defer cancel()
	tickets, err := d.advisor.Approve(ctx, ref, lives)
	d.mu.Lock()
	defer d.mu.Unlock()
	kept.asking = false
	if err != nil {
		d.logger.Warn().Err(err).Str("job", ref.Job).Int("step", ref.Step).Msg("advice failed")
		return
	}
	d.logger.Info().Str("job", ref.Job).Int("step", ref.Step).Int("asked", len(lives)).Int("approved", len(tickets)).Msg("advice received")
	kept.steps[ref] = approval{tickets: tickets, until: now + validityMS}
	d.Wake()
}
