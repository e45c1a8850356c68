package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/admission"
	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// maxAttempts bounds the attempts of one call at different places.
const maxAttempts = 3

// handleCall serves POST /v1/call/:service.
func (e *Entry) handleCall(c echo.Context) error {
	started := e.clock()
	req, refusal := e.parseCall(c)
	var answer *wire.CallAnswer
	switch {
	case refusal != nil:
		answer = asAnswer(soften(req, refusal))
	case req.idempotent:
		answer = e.runIdempotent(c.Request().Context(), req)
	default:
		answer = e.runOnce(c.Request().Context(), req)
	}
	e.metrics.call(answer, e.clock().Sub(started))
	return e.respond(c, req.id, answer)
}

// soften turns the refusal of a request into may_have_run when an earlier attempt
// with the same identifier may have run and no ledger was asked.
func soften(req *callRequest, refusal *api.Refusal) *api.Refusal {
	if refusal.Verdict != api.NotRun || !req.retry && !doubtful(req, refusal) {
		return refusal
	}
	out := *refusal
	out.Verdict = api.MayHaveRun
	if out.Status == http.StatusTooManyRequests || out.Status == http.StatusServiceUnavailable {
		out.Status = http.StatusGatewayTimeout
	}
	return &out
}

// doubtful reports whether a request that is not marked as a first attempt may
// have run before, and is now refused for a reason that did not hold then. An
// idempotent call may simply be sent again, so its refusal is about the attempt.
func doubtful(req *callRequest, refusal *api.Refusal) bool {
	if req.first || req.idempotent {
		return false
	}
	switch refusal.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// admit waits for a place and the team's unit.
func (e *Entry) admit(ctx context.Context, req *callRequest) (place, *api.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(e.clock()))
	defer cancel()
	where, refused := e.sched.acquire(ctx, &admission.Request{
		Team:     req.team,
		Service:  req.service,
		Deadline: req.deadline,
		Retry:    req.retry,
	})
	if refused == nil {
		return where, nil
	}
	return place{}, api.RetryLater(refused.Code, refusalText(refused.Code), refused.RetryAfter)
}

func refusalText(code api.Code) string {
	switch code {
	case api.CodeDeadlineUnreachable, api.CodeTimeout:
		return "the call can't be finished within its time limit"
	case api.CodeQueueFull:
		return "the team's queue for this service is full"
	case api.CodeRetryBudget:
		return "the team's retry budget is used up"
	case api.CodeLimit:
		return "the team's upper limit is reached"
	case api.CodeNoBackend:
		return "no backend server of the service is known"
	case api.CodeNoLease:
		return "this entry has no valid configuration lease"
	default:
		return "the service is overloaded"
	}
}

// runIdempotent runs a call that may be run again elsewhere after a failure.
func (e *Entry) runIdempotent(ctx context.Context, req *callRequest) *wire.CallAnswer {
	where, refusal := e.admit(ctx, req)
	if refusal != nil {
		return asAnswer(soften(req, refusal))
	}
	defer func() { e.sched.leave(req.team) }()
	uncertain := req.retry
	tried := map[string]bool{}
	for n := 1; ; n++ {
		if refusal := e.permitted(req); refusal != nil {
			e.sched.release(req.service, where, routing.Unused, 0)
			return worst(uncertain, asAnswer(refusal))
		}
		got := e.awaitUnit(req, e.try(ctx, req, where, n), n)
		if got.effect == effectAnswered {
			return got.answer
		}
		uncertain = uncertain || got.effect == effectUnknown
		tried[where.name()] = true
		next, ok := e.elsewhere(req, got, tried, n)
		if !ok {
			return worst(uncertain, e.awaitLate(req, got))
		}
		where = next
	}
}

// awaitUnit waits, after an attempt that may still run, until the team has a unit
// for a further attempt, the answer of the last one arrives, or the deadline. The
// wait also gives the leader time to raise the grant.
func (e *Entry) awaitUnit(req *callRequest, last attempt, n int) attempt {
	if last.effect != effectUnknown || n >= maxAttempts {
		return last
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !e.sched.within(req.team) && e.clock().Before(req.deadline) {
		select {
		case got := <-last.late:
			return got
		case <-ticker.C:
		}
	}
	return last
}

// awaitLate waits until the deadline of the call for an attempt that passed its
// own limit, and returns its answer.
func (e *Entry) awaitLate(req *callRequest, last attempt) *wire.CallAnswer {
	if last.late == nil {
		return last.answer
	}
	timer := time.NewTimer(req.deadline.Sub(e.clock()))
	defer timer.Stop()
	select {
	case got := <-last.late:
		return got.answer
	case <-timer.C:
		return last.answer
	}
}

// worst turns a refusal into may_have_run when an earlier attempt may have run.
func worst(uncertain bool, answer *wire.CallAnswer) *wire.CallAnswer {
	if answer.Verdict == string(api.Done) {
		return answer
	}
	return asAnswer(soften(&callRequest{retry: uncertain, idempotent: true}, asRefusal(answer)))
}

// elsewhere finds a place for a further attempt. Unless the last attempt certainly
// ran nothing, it needs a unit beside the one of the last attempt, which may still
// run, and must be within the retry budget.
func (e *Entry) elsewhere(req *callRequest, last attempt, tried map[string]bool, n int) (place, bool) {
	if n >= maxAttempts || !e.clock().Before(req.deadline) {
		return place{}, false
	}
	where, ok := e.sched.again(req.service, tried)
	if !ok {
		return place{}, false
	}
	if last.effect == effectUnknown && !(e.sched.within(req.team) && e.sched.takeRetry(req.team)) {
		e.sched.release(req.service, where, routing.Unused, 0)
		return place{}, false
	}
	return where, true
}

// name identifies a place among those tried.
func (p place) name() string {
	if p.forward != "" {
		return p.forward
	}
	return p.lent.Instance
}

// respond writes the final answer.
func (e *Entry) respond(c echo.Context, id string, answer *wire.CallAnswer) error {
	header := c.Response().Header()
	header.Set(api.HeaderVerdict, answer.Verdict)
	if id != "" {
		header.Set(api.HeaderRequestID, id)
	}
	if e.stopping.Load() {
		header.Set(echo.HeaderConnection, "close")
	}
	if answer.Verdict == string(api.Done) {
		return e.respondDone(c, answer)
	}
	refusal := asRefusal(answer)
	refusal.RequestID = id
	if refusal.RetryAfterMS > 0 {
		seconds := (refusal.RetryAfterMS + 999) / 1000
		header.Set(api.HeaderRetryAfter, strconv.FormatInt(seconds, 10))
	}
	return c.JSON(refusal.Status, refusal)
}

func (e *Entry) respondDone(c echo.Context, answer *wire.CallAnswer) error {
	contentType := answer.ContentType
	if contentType == "" {
		contentType = echo.MIMEOctetStream
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(answer.Body)))
	if answer.Code != "" {
		header.Set(headerCode, answer.Code)
	}
	return c.Blob(answer.Status, contentType, answer.Body)
}

// headerCode carries the code of an answer whose body is not kept.
const headerCode = "Samphire-Code"
