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
	// ledgerTimeout bounds one exchange with a ledger, without a wait for an outcome.
	ledgerTimeout = time.Second
	// ledgerWait is the longest time for which one claim waits for an outcome, so
	// that a frozen ledger is noticed.
	ledgerWait = time.Second
	// finishAttempts bounds the further tries to record an outcome.
	finishAttempts = 5
	finishSpacing  = 500 * time.Millisecond
)

// claim is a request identifier that this entry may dispatch.
type claim struct {
	home  string
	id    string
	owner string
	// until is the end of the time for which the ledger gives the claim to no other.
	until time.Time
}

// runOnce runs a call that must not run twice, under a record of its home ledger.
func (e *Entry) runOnce(ctx context.Context, req *callRequest) *wire.CallAnswer {
	held, answer := e.claim(ctx, req)
	if answer != nil {
		return answer
	}
	where, refusal := e.admit(ctx, req)
	if refusal != nil {
		return e.finish(held, asAnswer(refusal))
	}
	defer func() { e.sched.leave(req.team) }()
	if refusal := e.beforeDispatch(req, held); refusal != nil {
		e.sched.release(req.service, where, routing.Unused, 0)
		return e.finish(held, asAnswer(refusal))
	}
	got := e.dispatchOnce(ctx, req, where)
	if got.late == nil {
		return e.finish(held, got.answer)
	}
	e.finishLate(held, got.late)
	return got.answer
}

// finishLate records the outcome of an attempt that ran out of time, so that a
// retry gets an answer that arrived late.
func (e *Entry) finishLate(held claim, late <-chan attempt) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		got := <-late
		e.finish(held, got.answer)
	}()
}

// beforeDispatch records the dispatch durably, between two checks of the right to
// run: the first spares the ledger, and the second covers the time it took.
func (e *Entry) beforeDispatch(req *callRequest, held claim) *api.Refusal {
	if refusal := e.permitted(req); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	update := wire.LedgerUpdate{RequestID: held.id, Owner: held.owner}
	if err := e.pool.Call(ctx, held.home, wire.TypeLedgerDispatch, update, nil); err != nil {
		e.log.Warn().Err(err).Str("request_id", held.id).Msg("dispatch was not recorded")
		return api.RetryLater(api.CodeLedgerUnreachable, "the request ledger did not record the dispatch", defaultRetryAfter)
	}
	return e.permitted(req)
}

// dispatchOnce tries places until one may have run the call.
func (e *Entry) dispatchOnce(ctx context.Context, req *callRequest, where place) attempt {
	tried := map[string]bool{}
	for n := 1; ; n++ {
		if !e.sched.current(where) {
			e.sched.release(req.service, where, routing.Unused, 0)
			return notRun(routing.Unused, api.CodeNoBackend, "the backend server left")
		}
		got := e.try(ctx, req, where, n)
		if got.effect != effectNotRun {
			return got
		}
		tried[where.name()] = true
		next, ok := e.elsewhere(req, got, tried, n)
		if !ok {
			return got
		}
		if refusal := e.permitted(req); refusal != nil {
			e.sched.release(req.service, next, routing.Unused, 0)
			return attempt{effect: effectNotRun, answer: asAnswer(refusal)}
		}
		where = next
	}
}

// finish records the outcome, and returns the answer. When the ledger doesn't
// answer, the caller has its answer without the record, and the recording goes on
// in the background. An outcome that is never recorded leaves a record that was
// dispatched, which stands for may_have_run. A refusal is not_run only while the
// claim is held: another attempt may have taken a lapsed one over and run.
func (e *Entry) finish(held claim, answer *wire.CallAnswer) *wire.CallAnswer {
	final, lost := e.recordOutcome(held, answer)
	lost = lost || !final && !e.clock().Before(held.until)
	if lost && answer.Verdict == string(api.NotRun) {
		answer = asAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "another attempt may have run"))
	}
	if final {
		return answer
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		for range finishAttempts {
			if final, _ := e.recordOutcome(held, answer); final {
				return
			}
			wait.For(context.Background(), finishSpacing)
		}
	}()
	return answer
}

// recordOutcome makes one try to record an outcome. final is true when a further
// one is pointless, and lost when the ledger does not know the claim.
func (e *Entry) recordOutcome(held claim, answer *wire.CallAnswer) (final, lost bool) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	update := wire.LedgerUpdate{RequestID: held.id, Owner: held.owner, Answer: ledger.Storable(answer)}
	err := e.pool.Call(ctx, held.home, wire.TypeLedgerFinish, update, nil)
	if err == nil {
		return true, false
	}
	e.log.Warn().Err(err).Str("request_id", held.id).Msg("outcome was not recorded")
	var body *wire.ErrorBody
	if !errors.As(err, &body) {
		return false, false
	}
	final = body.Code != wire.CodeUncertain && body.Code != wire.CodeBusy
	return final, body.Code == ledger.CodeNotHeld
}

// claim claims the request identifier at its home ledger. The answer is not nil
// when the call must not be dispatched.
func (e *Entry) claim(ctx context.Context, req *callRequest) (claim, *wire.CallAnswer) {
	held := claim{home: e.home(req.id), id: req.id, owner: e.nextOwner(), until: req.deadline}
	wait := time.Duration(0)
	for {
		rec, err := e.askLedger(ctx, held, req, wait)
		if err != nil {
			return held, asAnswer(ledgerRefusal(req, err))
		}
		if rec.State == wire.LedgerNew {
			return held, nil
		}
		if answer := judgeRecord(req, rec); answer != nil {
			return held, answer
		}
		if ctx.Err() != nil || !e.clock().Before(req.deadline) {
			return held, asAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "an earlier attempt is still in progress"))
		}
		wait = ledgerWait
	}
}

func (e *Entry) askLedger(ctx context.Context, held claim, req *callRequest, wait time.Duration) (wire.LedgerRecord, error) {
	left := max(req.deadline.Sub(e.clock()), time.Millisecond)
	wait = min(wait, left)
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout+wait)
	defer cancel()
	msg := wire.LedgerClaimRequest{
		RequestID:    req.id,
		Owner:        held.owner,
		Fingerprint:  req.fingerprint(),
		FirstAttempt: req.first,
		WaitMS:       wait.Milliseconds(),
		DeadlineMS:   left.Milliseconds(),
	}
	var rec wire.LedgerRecord
	if held.home == "" {
		return rec, wire.ErrNotSent
	}
	err := e.pool.Call(ctx, held.home, wire.TypeLedgerClaim, msg, &rec)
	return rec, err
}

// ledgerRefusal answers a call whose home ledger can't be asked. Only a first
// attempt has certainly not run.
func ledgerRefusal(req *callRequest, err error) *api.Refusal {
	message := "the request ledger can't be reached"
	var body *wire.ErrorBody
	if errors.As(err, &body) {
		message = "the request ledger can't answer: " + string(body.Code)
	}
	if req.first {
		return api.RetryLater(api.CodeLedgerUnreachable, message, defaultRetryAfter)
	}
	refusal := api.UnknownOutcome(api.CodeLedgerUnreachable, message)
	refusal.RetryAfterMS = defaultRetryAfter.Milliseconds()
	return refusal
}

// judgeRecord answers from a record of an earlier attempt; nil means that the
// attempt is still in progress.
func judgeRecord(req *callRequest, rec wire.LedgerRecord) *wire.CallAnswer {
	if rec.Fingerprint != 0 && rec.Fingerprint != req.fingerprint() {
		return asAnswer(api.Refuse(http.StatusConflict, api.CodeRequestIDReused, "the request identifier was used for another request"))
	}
	switch rec.State {
	case wire.LedgerFinished:
		return rec.Answer
	case wire.LedgerExpired:
		refusal := api.UnknownOutcome(api.CodeRequestIDExpired, "the request identifier is too old; its answer is no longer kept")
		refusal.Status = http.StatusGone
		return asAnswer(refusal)
	case wire.LedgerForgotten:
		return asAnswer(api.UnknownOutcome(api.CodeOutcomeUnknown, "an earlier attempt may have run"))
	case wire.LedgerDispatched:
		if rec.Answer != nil {
			return rec.Answer
		}
	}
	return nil
}

// home returns the peer address of the ledger that an identifier belongs to.
func (e *Entry) home(id string) string {
	prefix, _, _ := strings.Cut(id, ".")
	if addr, ok := e.set.Ledgers[prefix]; ok {
		return addr
	}
	names := make([]string, 0, len(e.set.Ledgers))
	for name := range e.set.Ledgers {
		names = append(names, name)
	}
	if len(names) == 0 {
		return ""
	}
	slices.Sort(names)
	return e.set.Ledgers[names[xxhash.Sum64String(id)%uint64(len(names))]]
}
