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

// forward hands an admitted call to an entry of another data centre.
func (e *Entry) forward(ctx context.Context, req *callRequest, addr string) attempt {
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
		return judgeForwardError(ctx, err)
	}
	switch api.Verdict(answer.Verdict) {
	case api.Done:
		return attempt{effect: effectAnswered, outcome: routing.Succeeded, answer: &answer}
	case api.NotRun:
		return attempt{effect: effectNotRun, outcome: routing.Failed, answer: &answer}
	default:
		return attempt{effect: effectUnknown, outcome: routing.Unused, answer: &answer, goesOn: true}
	}
}

// judgeForwardError tells apart what the other entry certainly did not run.
func judgeForwardError(ctx context.Context, err error) attempt {
	var body *wire.ErrorBody
	refused := errors.As(err, &body) && body.Code != wire.CodeUncertain && body.Code != wire.CodeInternal
	if refused || errors.Is(err, wire.ErrNotSent) || errors.Is(err, wire.ErrTooLarge) {
		return notRun(routing.Failed, api.CodeNoBackend, "the other data centre did not take the call")
	}
	got := broken(ctx, api.CodeOutcomeUnknown, "the other data centre did not answer")
	got.goesOn = true
	return got
}

// serveForward runs a call for an entry of another data centre, at once or not at
// all. The sender has admitted the call and recorded it in its ledger; the key is
// checked here as well.
func (e *Entry) serveForward(ctx context.Context, msg wire.Request) (any, error) {
	var fwd wire.ForwardRequest
	if err := msg.Decode(&fwd); err != nil {
		return nil, err
	}
	refusal := api.RetryLater(api.CodeNoBackend, "no slot is free", defaultRetryAfter)
	if e.stopping.Load() || !e.honours(&fwd) {
		return asAnswer(refusal), nil
	}
	lent, ok := e.sched.pickLocal(fwd.Service)
	if !ok {
		return asAnswer(refusal), nil
	}
	limit := min(time.Duration(fwd.RemainingMS)*time.Millisecond, fleet.MaxCallTime)
	e.forwarded.Add(1)
	defer e.forwarded.Add(-1)
	req := &callRequest{
		id:          fwd.RequestID,
		service:     fwd.Service,
		team:        fwd.Team,
		idempotent:  fwd.Idempotent,
		contentType: fwd.ContentType,
		body:        fwd.Body,
		deadline:    e.clock().Add(limit),
		entry:       e.set.Instance,
		forwarded:   true,
	}
	got := e.try(context.WithoutCancel(ctx), req, place{lent: lent}, maxAttempts)
	if got.effect == effectAnswered {
		got.answer.Status = http.StatusOK
	}
	return got.answer, nil
}
