package entry

import (
	"context"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/routing"
)

const (
	// firstAttemptShare is the fraction of the time limit that the first attempt of
	// an idempotent call may use, so that an unresponsive backend server leaves
	// time for another attempt.
	firstAttemptShare = 0.6
	// callGracePeriod is the time after the deadline of a call for which its slot is
	// held and its answer awaited. The backend server may still be running the
	// call; releasing the slot at once would let it run more calls than it has
	// slots.
	callGracePeriod = fleet.CallGracePeriod
	// expectedTimeFactor is the multiple of the smoothed run time that an attempt
	// may normally need. A first attempt is not given less time than this, and an
	// attempt with less time that gets no answer is not held against the backend
	// server.
	expectedTimeFactor = 5
)

// attempt is one attempt to run a call. It may continue after its timeout.
type attempt struct {
	entry   *Entry
	req     *callRequest
	target  callTarget
	started time.Time
	timeout time.Duration
	// expectedTime is the time that the attempt may normally need, or 0 if it is
	// not known.
	expectedTime time.Duration
	// done receives the result when the attempt ends.
	done chan attemptResult

	mu       sync.Mutex
	finished bool
	// holdsUnit is true if the attempt holds a unit of its own, since it exceeded
	// its timeout or lost its connection while the call may still be running.
	holdsUnit bool
}

// runAttempt makes one attempt at a target and returns its result. number counts
// the attempts of the call from 1; only the first attempt of an idempotent call
// gets a shorter timeout than the call.
//
// An attempt that exceeds its timeout gives attemptUnknown and continues in the
// background, also after the caller has disconnected, since its outcome is
// recorded. The target is released when the attempt ends.
func (e *Entry) runAttempt(ctx context.Context, req *callRequest, target callTarget, number int) attemptResult {
	a := &attempt{entry: e, req: req, target: target, started: e.clock(), done: make(chan attemptResult, 1)}
	a.timeout = req.deadline.Sub(a.started)
	a.expectedTime = expectedTimeFactor * e.sched.runTime(req.service)
	if part := time.Duration(firstAttemptShare * float64(a.timeout)); req.idempotent && number == 1 && part > a.expectedTime {
		a.timeout = part
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		a.run(context.WithoutCancel(ctx))
	}()
	timer := time.NewTimer(a.timeout)
	defer timer.Stop()
	select {
	case result := <-a.done:
		return result
	case <-timer.C:
		return a.onTimeout()
	}
}

// run runs the attempt, releases its target and sends the result to done. While the
// call may still be running, it keeps the attempt's unit until the call can no
// longer run.
func (a *attempt) run(ctx context.Context) {
	e := a.entry
	// The backend server is told the deadline of the call, not of the attempt, and
	// may run until then.
	maxTime := a.req.deadline.Sub(a.started) + callGracePeriod
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	var result attemptResult
	if a.target.forwardAddr != "" {
		result = e.forward(ctx, a.req, a.target.forwardAddr)
	} else {
		result = e.backends.call(ctx, a.started, a.target.slot, a.req)
	}
	ran := e.clock().Sub(a.started)
	result.outcome = a.routingOutcome(result, ran)
	if result.status != attemptAnswered {
		ran = 0
	}
	e.sched.releaseTarget(a.req.service, a.target, result.outcome, ran)
	held := a.finish(result.mayStillRun)
	if held && result.mayStillRun {
		defer e.sched.releaseUnit(a.req.team)
	} else if held {
		e.sched.releaseUnit(a.req.team)
	}
	a.done <- result
	if held && result.mayStillRun {
		<-ctx.Done()
	}
}

// runIfUsable is runAttempt unless the target may no longer be called: a call that waited
// for its unit or ledger since then was not run, and may try another target.
func (e *Entry) runIfUsable(ctx context.Context, req *callRequest, target callTarget, number int) attemptResult {
	if !e.sched.isUsable(target) {
		e.sched.releaseTarget(req.service, target, routing.Unused, 0)
		return notRunResult(routing.Unused, api.CodeNoBackend, "the backend server left")
	}
	return e.runAttempt(ctx, req, target, number)
}

// finish marks the attempt as finished and reports whether it holds a unit of its
// own. An attempt that lost its connection while the call may still be running
// takes one.
func (a *attempt) finish(mayStillRun bool) (held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.finished = true
	if !a.holdsUnit && mayStillRun && !a.req.forwarded {
		a.holdsUnit = true
		a.entry.sched.takeExtraUnit(a.req.team)
	}
	return a.holdsUnit
}

// routingOutcome returns the outcome to report to routing. A result after the
// timeout is a failure of the backend server only if the timeout was not short
// compared with the usual run time.
func (a *attempt) routingOutcome(result attemptResult, ran time.Duration) routing.Outcome {
	if result.status == attemptNotRun || ran < a.timeout {
		return result.outcome
	}
	if a.timeout < a.expectedTime {
		return routing.Unused
	}
	return routing.Failed
}

// onTimeout ends the wait for the attempt. Until the attempt ends, it holds a unit
// of its own in addition to the one that the handler releases.
func (a *attempt) onTimeout() attemptResult {
	a.mu.Lock()
	if !a.finished && !a.req.forwarded {
		a.holdsUnit = true
		a.entry.sched.takeExtraUnit(a.req.team)
	}
	a.mu.Unlock()
	refusal := api.UnknownOutcome(api.CodeTimeout, "no answer within the time limit")
	return attemptResult{status: attemptUnknown, answer: refusalToAnswer(refusal), lateResult: a.done}
}
