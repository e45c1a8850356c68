package entry

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/ledger"
	"github.com/samphirefork/samphirefork/internal/routing"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// ledgerTimeout bounds one request to a ledger, excluding the wait for an
	// outcome.
	ledgerTimeout = time.Second
	// ledgerWait is the longest time for which one claim request waits for an
	// outcome, so that an unresponsive ledger is noticed.
	ledgerWait = time.Second
	// maxRecordRetries bounds the further attempts to record an outcome.
	maxRecordRetries    = 5
	recordRetryInterval = 500 * time.Millisecond
)

// claim is the right to dispatch the request with the identifier id. The ledger at
// homeAddr grants it to owner.
type claim struct {
	homeAddr string
	id       string
	owner    string
	// expiresAt is the time until which the ledger grants the claim to no other
	// owner.
	expiresAt time.Time
}

// runAtMostOnce runs a call that must not run twice, protected by a record in its
// home ledger.
func (e *Entry) runAtMostOnce(ctx context.Context, req *callRequest) *wire.CallAnswer {
	held, answer := e.claim(ctx, req)
	if answer != nil {
		return answer
	}
	target, refusal := e.admit(ctx, req)
	if refusal != nil {
		return e.finishClaim(held, refusalToAnswer(refusal))
	}
	defer func() { e.sched.releaseUnit(req.team) }()
	if refusal := e.recordDispatch(req, held); refusal != nil {
		e.sched.releaseTarget(req.service, target, routing.Unused, 0)
		return e.finishClaim(held, refusalToAnswer(refusal))
	}
	result := e.dispatchAtMostOnce(ctx, req, target)
	if result.lateResult == nil {
		return e.finishClaim(held, result.answer)
	}
	e.finishWhenLate(held, result.lateResult)
	return result.answer
}

// finishWhenLate waits in the background for the late result of an attempt that
// timed out, and records it, so that a retry gets the late answer.
func (e *Entry) finishWhenLate(held claim, late <-chan attemptResult) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		result := <-late
		e.finishClaim(held, result.answer)
	}()
}

// recordDispatch records the dispatch durably in the ledger, between two checks
// that the call may run: the first avoids a needless request to the ledger, and the
// second covers the time that the request took.
func (e *Entry) recordDispatch(req *callRequest, held claim) *api.Refusal {
	if refusal := e.checkPermitted(req); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	update := wire.LedgerUpdate{RequestID: held.id, Owner: held.owner}
	if err := e.pool.Call(ctx, held.homeAddr, wire.TypeLedgerDispatch, update, nil); err != nil {
		e.log.Warn().Err(err).Str("request_id", held.id).Msg("request ledger did not record the dispatch; the call is not run")
		return api.RetryLater(api.CodeLedgerUnreachable, "the request ledger did not record the dispatch", defaultRetryAfter)
	}
	return e.checkPermitted(req)
}

// dispatchAtMostOnce tries targets until one may have run the call.
func (e *Entry) dispatchAtMostOnce(ctx context.Context, req *callRequest, target callTarget) attemptResult {
	tried := map[string]bool{}
	for number := 1; ; number++ {
		result := e.runIfUsable(ctx, req, target, number)
		if result.status != attemptNotRun {
			return result
		}
		tried[target.id()] = true
		next, ok := e.nextTarget(req, result, tried, number)
		if !ok {
			return result
		}
		if refusal := e.checkPermitted(req); refusal != nil {
			e.sched.releaseTarget(req.service, next, routing.Unused, 0)
			return attemptResult{status: attemptNotRun, answer: refusalToAnswer(refusal)}
		}
		target = next
	}
}

// finishClaim records the outcome and returns the answer for the caller. If the
// ledger does not respond, the answer is returned without a record, and further
// attempts to record it are made in the background. An outcome that is never
// recorded leaves a record in the dispatched state, which stands for may_have_run.
//
// A refusal remains not_run only while the claim is held: once it has expired,
// another attempt may have taken it over and run.
func (e *Entry) finishClaim(held claim, answer *wire.CallAnswer) *wire.CallAnswer {
	final, lost := e.recordOutcome(held, answer)
	lost = lost || !final && !e.clock().Before(held.expiresAt)
	if lost && answer.Verdict == string(api.NotRun) {
		answer = refusalToAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "another attempt may have run"))
	}
	if final {
		return answer
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		for range maxRecordRetries {
			if final, _ := e.recordOutcome(held, answer); final {
				return
			}
			wait.For(context.Background(), recordRetryInterval)
		}
	}()
	return answer
}

// recordOutcome makes one attempt to record an outcome. final is true if further
// attempts are pointless, and lost is true if the ledger does not know the claim.
func (e *Entry) recordOutcome(held claim, answer *wire.CallAnswer) (final, lost bool) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	update := wire.LedgerUpdate{RequestID: held.id, Owner: held.owner, Answer: ledger.LimitBody(answer)}
	err := e.pool.Call(ctx, held.homeAddr, wire.TypeLedgerFinish, update, nil)
	if err == nil {
		return true, false
	}
	e.log.Warn().Err(err).Str("request_id", held.id).Msg("request ledger did not record the outcome")
	var body *wire.ErrorBody
	if !errors.As(err, &body) {
		return false, false
	}
	final = body.Code != wire.CodeUncertain && body.Code != wire.CodeBusy && body.Code != wire.CodeInternal
	return final, body.Code == ledger.CodeNotHeld
}

// claim claims the request identifier at its home ledger, and waits there for an
// earlier attempt that is in progress. If the returned answer is not nil, the call
// must not be dispatched.
func (e *Entry) claim(ctx context.Context, req *callRequest) (claim, *wire.CallAnswer) {
	held := claim{homeAddr: e.homeLedger(req.id), id: req.id, owner: e.newClaimOwner(), expiresAt: req.deadline}
	wait := time.Duration(0)
	for {
		rec, err := e.requestClaim(ctx, held, req, wait)
		if err != nil {
			return held, refusalToAnswer(ledgerRefusal(req, err))
		}
		if rec.State == wire.LedgerNew {
			return held, nil
		}
		if answer := answerFromRecord(req, rec); answer != nil {
			return held, answer
		}
		if ctx.Err() != nil || !e.clock().Before(req.deadline) {
			return held, refusalToAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "an earlier attempt is still in progress"))
		}
		wait = ledgerWait
	}
}

// requestClaim sends one claim request to the home ledger. wait is the time for
// which the ledger may wait for the outcome of an earlier attempt.
func (e *Entry) requestClaim(ctx context.Context, held claim, req *callRequest, wait time.Duration) (wire.LedgerRecord, error) {
	remaining := max(req.deadline.Sub(e.clock()), time.Millisecond)
	wait = min(wait, remaining)
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout+wait)
	defer cancel()
	msg := wire.LedgerClaimRequest{
		RequestID:    req.id,
		Owner:        held.owner,
		Fingerprint:  req.fingerprint(),
		FirstAttempt: req.firstAttempt,
		WaitMS:       wait.Milliseconds(),
		DeadlineMS:   remaining.Milliseconds(),
	}
	var rec wire.LedgerRecord
	if held.homeAddr == "" {
		return rec, wire.ErrNotSent
	}
	err := e.pool.Call(ctx, held.homeAddr, wire.TypeLedgerClaim, msg, &rec)
	return rec, err
}

// ledgerRefusal is the answer to a call whose home ledger can't be reached or can't
// answer. Only a first attempt has certainly not run.
func ledgerRefusal(req *callRequest, err error) *api.Refusal {
	message := "the request ledger can't be reached"
	var body *wire.ErrorBody
	if errors.As(err, &body) {
		message = "the request ledger can't answer: " + string(body.Code)
	}
	if req.firstAttempt {
		return api.RetryLater(api.CodeLedgerUnreachable, message, defaultRetryAfter)
	}
	refusal := api.UnknownOutcome(api.CodeLedgerUnreachable, message)
	refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return refusal
}

// answerFromRecord returns the answer that follows from the record of an earlier
// attempt, or nil if that attempt is still in progress.
func answerFromRecord(req *callRequest, rec wire.LedgerRecord) *wire.CallAnswer {
	if rec.Fingerprint != 0 && rec.Fingerprint != req.fingerprint() {
		return refusalToAnswer(api.Refuse(http.StatusConflict, api.CodeRequestIDReused, "the request identifier was used for another request"))
	}
	switch rec.State {
	case wire.LedgerFinished:
		return rec.Answer
	case wire.LedgerExpired:
		refusal := api.UnknownOutcome(api.CodeRequestIDExpired, "the request identifier is too old; its answer is no longer kept")
		refusal.Status = http.StatusGone
		return refusalToAnswer(refusal)
	case wire.LedgerForgotten:
		return refusalToAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "an earlier attempt may have run"))
	case wire.LedgerDispatched:
		if rec.Answer != nil {
			return rec.Answer
		}
	}
	return nil
}

// homeLedger returns the peer address of the ledger that an identifier belongs to,
// or "" if there are no ledgers. The part of the identifier before the first dot
// names the data centre of the ledger; an identifier without a known prefix is
// assigned by its hash.
func (e *Entry) homeLedger(id string) string {
	prefix, _, _ := strings.Cut(id, ".")
	if addr, ok := e.settings.Ledgers[prefix]; ok {
		return addr
	}
	names := make([]string, 0, len(e.settings.Ledgers))
	for name := range e.settings.Ledgers {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return e.settings.Ledgers[names[xxhash.Sum64String(id)%uint64(len(names))]]
}
