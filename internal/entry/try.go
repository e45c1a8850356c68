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
	// firstTryShare is the part of the time limit that the first attempt of an
	// idempotent call may use, so that a frozen backend server leaves time for another.
	firstTryShare = 0.6
	// linger is the time after the deadline of a call for which its place is
	// held and its answer awaited. The backend server may still run the call, and
	// a place that is given back at once would make it exceed its slots.
	linger = fleet.CallGracePeriod
	// patience is the multiple of the usual run time that an attempt needs: a
	// first attempt is not cut shorter, and a shorter one that gets no answer is
	// not held against the backend server.
	patience = 5
)

// running is one attempt, which may go on after its limit.
type running struct {
	entry   *Entry
	req     *callRequest
	where   place
	started time.Time
	limit   time.Duration
	// usual is the time that an attempt may well take.
	usual time.Duration
	end   chan attempt

	mu    sync.Mutex
	ended bool
	// overdue is true when the attempt holds a unit of its own, after it passed its
	// limit or lost its connection.
	overdue bool
}

// try makes one attempt; the place is given back at its end. The attempt goes on
// when the caller is gone, since its outcome is wanted for the record.
func (e *Entry) try(ctx context.Context, req *callRequest, where place, n int) attempt {
	r := &running{entry: e, req: req, where: where, started: e.clock(), end: make(chan attempt, 1)}
	r.limit = req.deadline.Sub(r.started)
	r.usual = patience * e.sched.runTime(req.service)
	if part := time.Duration(firstTryShare * float64(r.limit)); req.idempotent && n == 1 && part > r.usual {
		r.limit = part
	}
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		r.run(context.WithoutCancel(ctx))
	}()
	timer := time.NewTimer(r.limit)
	defer timer.Stop()
	select {
	case got := <-r.end:
		return got
	case <-timer.C:
		return r.passLimit()
	}
}

func (r *running) run(ctx context.Context) {
	e := r.entry
	// The backend server is told the deadline of the call, not of the attempt, and
	// may run until then.
	last := r.req.deadline.Sub(r.started) + linger
	ctx, cancel := context.WithTimeout(ctx, last)
	defer cancel()
	var got attempt
	if r.where.forward != "" {
		got = e.forward(ctx, r.req, r.where.forward)
	} else {
		got = e.backends.call(ctx, r.started, r.where.lent, r.req)
	}
	ran := e.clock().Sub(r.started)
	got.outcome = r.outcome(got, ran)
	if got.effect != effectAnswered {
		ran = 0
	}
	e.sched.release(r.req.service, r.where, got.outcome, ran)
	held := r.finish(got.goesOn)
	if held && got.goesOn {
		defer e.sched.leave(r.req.team)
	} else if held {
		e.sched.leave(r.req.team)
	}
	r.end <- got
	if held && got.goesOn {
		<-ctx.Done()
	}
}

// finish marks the end of the attempt and reports whether it holds a unit of its
// own. An attempt that goes on without its connection takes one.
func (r *running) finish(goesOn bool) (held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	if !r.overdue && goesOn && !r.req.forwarded {
		r.overdue = true
		r.entry.sched.hold(r.req.team)
	}
	return r.overdue
}

// outcome judges a late end: it is a failure of the backend server only when the
// limit was not short against the usual run time.
func (r *running) outcome(got attempt, ran time.Duration) routing.Outcome {
	if got.effect == effectNotRun || ran < r.limit {
		return got.outcome
	}
	if r.limit < r.usual {
		return routing.Unused
	}
	return routing.Failed
}

// passLimit gives up the wait. The call then counts as running until its end,
// besides the unit that its handler gives back.
func (r *running) passLimit() attempt {
	r.mu.Lock()
	if !r.ended && !r.req.forwarded {
		r.overdue = true
		r.entry.sched.hold(r.req.team)
	}
	r.mu.Unlock()
	refusal := api.UnknownOutcome(api.CodeTimeout, "no answer within the time limit")
	return attempt{effect: effectUnknown, answer: asAnswer(refusal), late: r.end}
}
