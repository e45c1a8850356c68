package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// forward sends an admitted call to an entry of another data centre and returns the
// result.
func (e *Entry) forward(ctx context.Context, req *callRequest, addr string) attemptResult {
	msg := wire.ForwardRequest{
		RequestID:   req.id,
		Service:     req.service,
		Team:        req.team,
		Idempotent:  req.idempotent,
		RemainingMS: max(req.deadline.Sub(e.clock()).Milliseconds(), 1),
		ContentType: req.contentType,
		Body:        req.body,
		KeyID:       req.keyID,
	}
	var answer wire.CallAnswer
	err := e.pool.Call(ctx, addr, wire.TypeForward, msg, &answer)
	if err != nil {
		return forwardErrorResult(ctx, err)
	}
	switch api.Verdict(answer.Verdict) {
	case api.Done:
		return attemptResult{status: attemptAnswered, outcome: routing.Succeeded, answer: &answer}
	case api.NotRun:
		return attemptResult{status: attemptNotRun, outcome: routing.Failed, answer: &answer}
	default:
		return attemptResult{status: attemptUnknown, outcome: routing.Unused, answer: &answer, mayStillRun: true}
	}
}

// forwardErrorResult returns the result of a call that could not be forwarded. It
// separates errors after which the other entry certainly did not run the call from
// those after which it may have run.
func forwardErrorResult(ctx context.Context, err error) attemptResult {
	var body *wire.ErrorBody
	refused := errors.As(err, &body) && body.Code != wire.CodeUncertain && body.Code != wire.CodeInternal
	if refused || errors.Is(err, wire.ErrNotSent) || errors.Is(err, wire.ErrTooLarge) {
		return notRunResult(routing.Failed, api.CodeNoBackend, "the other data centre did not take the call")
	}
	result := unknownResult(ctx, api.CodeOutcomeUnknown, "the other data centre did not answer")
	result.mayStillRun = true
	return result
}

// handleForward runs a call that an entry of another data centre forwards. It
// refuses the call if no local slot is free, and does not queue it. The sender has
// admitted the call and recorded it in its ledger if it is not idempotent; the key
// is checked here as well.
func (e *Entry) handleForward(ctx context.Context, msg wire.Request) (any, error) {
	var fwd wire.ForwardRequest
	if err := msg.Decode(&fwd); err != nil {
		return nil, err
	}
	refusal := api.RetryLater(api.CodeNoBackend, "no slot is free", defaultRetryAfter)
	if e.stopping.Load() || !e.allowsForward(&fwd) {
		return refusalToAnswer(refusal), nil
	}
	slot, ok := e.sched.acquireLocalSlot(fwd.Service)
	if !ok {
		return refusalToAnswer(refusal), nil
	}
	timeLimit := min(time.Duration(fwd.RemainingMS)*time.Millisecond, fleet.MaxCallTime)
	e.forwardedInFlight.Add(1)
	defer e.forwardedInFlight.Add(-1)
	req := &callRequest{
		id:          fwd.RequestID,
		service:     fwd.Service,
		team:        fwd.Team,
		idempotent:  fwd.Idempotent,
		contentType: fwd.ContentType,
		body:        fwd.Body,
		deadline:    e.clock().Add(timeLimit),
		entry:       e.settings.Instance,
		forwarded:   true,
	}
	result := e.runAttempt(context.WithoutCancel(ctx), req, callTarget{slot: slot}, maxAttempts)
	if result.status == attemptAnswered {
		result.answer.Status = http.StatusOK
	}
	return result.answer, nil
}
