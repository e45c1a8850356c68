package ctl

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/gen/samphirefork/v1/samphireforkv1connect"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/operator"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	// attemptTimeout bounds one attempt at one entry instance, so that a frozen
	// one does not use up the command's time.
	attemptTimeout = 3 * time.Second
	// inForceWait is how long an entry instance holds the answer to a change
	// until the change is in force.
	inForceWait = 2 * time.Second
	retryDelay  = 100 * time.Millisecond
	// minAttemptTime is the least time for a further attempt. One that is cut
	// off by the command's own time limit would turn a known outcome into an
	// unknown one.
	minAttemptTime = 500 * time.Millisecond
)

// target is one entry instance.
type target struct {
	base string
	rpc  samphireforkv1connect.OperatorClient
}

// targets returns the entry instances of the -entry flag.
func (a *app) targets() ([]target, error) {
	var out []target
	for _, addr := range strings.Split(a.entries, ",") {
		addr = strings.TrimSpace(addr)
		if addr == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, usage("-entry %q: expected an IP address and a port", addr)
		}
		out = append(out, a.newTarget("http://"+addr))
	}
	if len(out) == 0 {
		return nil, usage("-entry or %s is missing", EnvEntry)
	}
	return out, nil
}

func (a *app) newTarget(base string) target {
	auth := connect.WithInterceptors(bearer(a.token))
	return target{base: base, rpc: samphireforkv1connect.NewOperatorClient(http.DefaultClient, base, auth)}
}

// bearer adds the operator token to each request.
type bearer string

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		req.Header().Set("Authorization", "Bearer "+string(b))
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		conn.RequestHeader().Set("Authorization", "Bearer "+string(b))
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

// attempt is one call to one entry instance.
type attempt[T any] func(ctx context.Context, t target) (T, error)

// call tries the entry instances in turn until one gives a final answer or the
// context ends. The request must be safe to send again. The error tells
// whether an attempt may have been carried out.
func call[T any](ctx context.Context, a *app, try attempt[T]) (T, error) {
	var zero T
	targets, err := a.targets()
	if err != nil {
		return zero, err
	}
	uncertain := false
	var last error
	for i := 0; ; i++ {
		out, err := callOnce(ctx, targets[i%len(targets)], try)
		if err == nil {
			return out, nil
		}
		last = err
		final, mayHaveRun := judge(err)
		if final != nil && uncertain && !answeredByStore(err) {
			return zero, gaveUp(true, err)
		}
		if final != nil {
			return zero, final
		}
		uncertain = uncertain || mayHaveRun
		if !wait.ForAttempt(ctx, retryDelay, minAttemptTime) {
			return zero, gaveUp(uncertain, last)
		}
	}
}

func callOnce[T any](ctx context.Context, t target, try attempt[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+inForceWait)
	defer cancel()
	return try(ctx, t)
}

// judge returns the final error of an attempt, or nil and whether the attempt
// may have been carried out when it is worth another one.
func judge(err error) (final error, mayHaveRun bool) {
	var own *Error
	if errors.As(err, &own) {
		return own, false
	}
	d := detailOf(err)
	if d == nil {
		return judgeTransport(err)
	}
	if d.GetVerdict() == samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN {
		return nil, true
	}
	if d.GetCode() == operator.CodeNoLeader {
		return nil, false
	}
	return refusalOf(d), false
}

// answeredByStore tells whether a refusal is the stored answer to the request.
// One by the entry instance itself says nothing about earlier attempts at others.
func answeredByStore(err error) bool {
	switch detailOf(err).GetCode() {
	case "", string(fleet.CodeUnauthorized), operator.CodeNoKeySecret:
		return false
	}
	return true
}

// judgeTransport judges an error that did not come from the service. Only a
// failed dial is sure not to have reached it.
func judgeTransport(err error) (final error, mayHaveRun bool) {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return refusedf("the address does not serve the operators' interface: %v", err), false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, false
	}
	return nil, true
}

func gaveUp(uncertain bool, last error) error {
	reason := last.Error()
	d := detailOf(last)
	if d != nil {
		reason = describe(d)
	}
	if uncertain {
		return &Error{Exit: ExitMayHaveRun, Message: "no final answer in time; the change may have been carried out: " + reason, Detail: d}
	}
	return &Error{Exit: ExitUnavailable, Message: "unavailable; nothing was changed: " + reason, Detail: d}
}

// query is call for requests that change nothing, which cannot have run.
func query[T any](ctx context.Context, a *app, try attempt[T]) (T, error) {
	out, err := call(ctx, a, try)
	var e *Error
	if errors.As(err, &e) && e.Exit == ExitMayHaveRun {
		return out, &Error{Exit: ExitUnavailable, Message: "no answer in time", Detail: e.Detail}
	}
	return out, err
}
