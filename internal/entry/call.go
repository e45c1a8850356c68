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

// maxAttempts bounds the attempts of one call, each of which uses another target.
const maxAttempts = 3

// handleCall serves POST /v1/call/:service.
func (e *Entry) handleCall(c echo.Context) error {
	started := e.clock()
	req, refusal := e.parseCall(c)
	var answer *wire.CallAnswer
	switch {
	case refusal != nil:
		answer = refusalToAnswer(weakenVerdict(req, refusal))
	case req.idempotent:
		answer = e.runIdempotent(c.Request().Context(), req)
	default:
		answer = e.runAtMostOnce(c.Request().Context(), req)
	}
	e.metrics.recordCall(answer, e.clock().Sub(started))
	return e.respond(c, req.id, answer)
}

// weakenVerdict changes the verdict of a refusal from not_run to may_have_run if an
// earlier attempt with the same identifier may have run and no ledger was asked.
// The statuses 429 and 503 then become 504.
func weakenVerdict(req *callRequest, refusal *api.Refusal) *api.Refusal {
	if refusal.Verdict != api.NotRun || !req.retry && !mayHaveRunBefore(req, refusal) {
		return refusal
	}
	out := *refusal
	out.Verdict = api.MayHaveRun
	if out.Status == http.StatusTooManyRequests || out.Status == http.StatusServiceUnavailable || out.Status == http.StatusRequestTimeout {
		out.Status = http.StatusGatewayTimeout
	}
	return &out
}

// mayHaveRunBefore reports whether a request that is not marked as a first attempt
// may have run before and is now refused for a reason that did not apply then. An
// idempotent call may simply be sent again, so its refusal concerns the present
// attempt only.
func mayHaveRunBefore(req *callRequest, refusal *api.Refusal) bool {
	if req.firstAttempt || req.idempotent {
		return false
	}
	switch refusal.Status {
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// admit waits for a target and for a unit of the team's limit grant, at most until
// the deadline of the call.
func (e *Entry) admit(ctx context.Context, req *callRequest) (callTarget, *api.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, req.deadline.Sub(e.clock()))
	defer cancel()
	target, refused := e.sched.acquire(ctx, &admission.Request{
		Team:     req.team,
		Service:  req.service,
		Deadline: req.deadline,
		Retry:    req.retry,
	})
	if refused == nil {
		return target, nil
	}
	return callTarget{}, api.RetryLater(refused.Code, refusalMessage(refused.Code), refused.RetryAfter)
}

func refusalMessage(code api.Code) string {
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

// runIdempotent runs a call that may be run again on another target after a failed
// attempt.
func (e *Entry) runIdempotent(ctx context.Context, req *callRequest) *wire.CallAnswer {
	target, refusal := e.admit(ctx, req)
	if refusal != nil {
		return refusalToAnswer(weakenVerdict(req, refusal))
	}
	defer func() { e.sched.releaseUnit(req.team) }()
	mayHaveRun := req.retry
	tried := map[string]bool{}
	for number := 1; ; number++ {
		if refusal := e.checkPermitted(req); refusal != nil {
			e.sched.releaseTarget(req.service, target, routing.Unused, 0)
			return weakenIfUncertain(mayHaveRun, refusalToAnswer(refusal))
		}
		result := e.waitForUnit(req, e.runIfUsable(ctx, req, target, number), number)
		if result.status == attemptAnswered {
			return result.answer
		}
		mayHaveRun = mayHaveRun || result.status == attemptUnknown
		tried[target.id()] = true
		next, ok := e.nextTarget(req, result, tried, number)
		if !ok {
			return weakenIfUncertain(mayHaveRun, e.waitForLateResult(req, result))
		}
		target = next
	}
}

// waitForUnit waits, after an attempt that may still be running, until the team has
// a unit for a further attempt, the result of the last attempt arrives, or the
// deadline passes. The wait also gives the leader time to raise the grant.
func (e *Entry) waitForUnit(req *callRequest, last attemptResult, number int) attemptResult {
	if last.status != attemptUnknown || number >= maxAttempts {
		return last
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !e.sched.withinGrant(req.team) && e.clock().Before(req.deadline) {
		select {
		case result := <-last.lateResult:
			return result
		case <-ticker.C:
		}
	}
	return last
}

// waitForLateResult waits until the deadline of the call for an attempt that
// exceeded its own timeout. It returns the late answer, or the answer of last if
// none arrives.
func (e *Entry) waitForLateResult(req *callRequest, last attemptResult) *wire.CallAnswer {
	if last.lateResult == nil {
		return last.answer
	}
	timer := time.NewTimer(req.deadline.Sub(e.clock()))
	defer timer.Stop()
	select {
	case result := <-last.lateResult:
		return result.answer
	case <-timer.C:
		return last.answer
	}
}

// weakenIfUncertain changes the verdict of a refusal from not_run to may_have_run
// if an earlier attempt may have run.
func weakenIfUncertain(mayHaveRun bool, answer *wire.CallAnswer) *wire.CallAnswer {
	if answer.Verdict == string(api.Done) {
		return answer
	}
	return refusalToAnswer(weakenVerdict(&callRequest{retry: mayHaveRun, idempotent: true}, answerToRefusal(answer)))
}

// nextTarget acquires a target for a further attempt. Unless the last attempt
// certainly ran nothing, the further attempt needs a unit in addition to that of
// the last one, which may still be running, and must be within the retry budget.
func (e *Entry) nextTarget(req *callRequest, last attemptResult, tried map[string]bool, number int) (callTarget, bool) {
	if number >= maxAttempts || !e.clock().Before(req.deadline) {
		return callTarget{}, false
	}
	target, ok := e.sched.acquireRetryTarget(req.service, tried)
	if !ok {
		return callTarget{}, false
	}
	if last.status == attemptUnknown && !(e.sched.withinGrant(req.team) && e.sched.takeRetry(req.team)) {
		e.sched.releaseTarget(req.service, target, routing.Unused, 0)
		return callTarget{}, false
	}
	return target, true
}

// id identifies a target among those already tried.
func (t callTarget) id() string {
	if t.forwardAddr != "" {
		return t.forwardAddr
	}
	return t.slot.Instance
}

// respond writes the final answer to a request. The identifier is left out if it is
// empty.
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
	refusal := answerToRefusal(answer)
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

// headerCode carries the code of a completed call whose answer body is not kept.
const headerCode = "Samphire-Code"
