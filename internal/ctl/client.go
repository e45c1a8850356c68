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
	// attemptTimeout limits one attempt at one entry instance, so that one that
	// hangs does not use up the time limit of the command. The time for which the
	// entry instance may hold the answer is added to it.
	attemptTimeout = 3 * time.Second
	// inForceWait is how long an entry instance holds the answer to a change
	// until the change is in force.
	inForceWait = 2 * time.Second
	retryDelay  = 100 * time.Millisecond
	// minAttemptTime is the remaining time that a further attempt requires. An
	// attempt that the time limit of the command interrupts would turn a known
	// outcome into an unknown one.
	minAttemptTime = 500 * time.Millisecond
)

// target is one entry instance.
type target struct {
	base string
	rpc  samphireforkv1connect.OperatorClient
}

// targets returns the entry instances listed in the -entry flag.
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

// attemptFunc is one call to one entry instance.
type attemptFunc[T any] func(ctx context.Context, t target) (T, error)

// call tries the entry instances in turn until one gives a final answer or the
// context ends. The request must be idempotent. The exit code of the error
// states whether an attempt may have been carried out.
func call[T any](ctx context.Context, a *app, try attemptFunc[T]) (T, error) {
	var zero T
	targets, err := a.targets()
	if err != nil {
		return zero, err
	}
	outcomeUnknown := false
	var last error
	for i := 0; ; i++ {
		out, err := callOnce(ctx, targets[i%len(targets)], try)
		if err == nil {
			return out, nil
		}
		last = err
		final, mayHaveRun := classifyError(err)
		if final != nil && outcomeUnknown && !answeredByStore(err) {
			return zero, noFinalAnswer(true, err)
		}
		if final != nil {
			return zero, final
		}
		outcomeUnknown = outcomeUnknown || mayHaveRun
		if !wait.ForAttempt(ctx, retryDelay, minAttemptTime) {
			return zero, noFinalAnswer(outcomeUnknown, last)
		}
	}
}

func callOnce[T any](ctx context.Context, t target, try attemptFunc[T]) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+inForceWait)
	defer cancel()
	return try(ctx, t)
}

// classifyError returns the error of an attempt that must not be retried. For one
// that can be retried it returns nil and whether it may have been carried out.
func classifyError(err error) (final error, mayHaveRun bool) {
	var cmdErr *Error
	if errors.As(err, &cmdErr) {
		return cmdErr, false
	}
	d := detailOf(err)
	if d == nil {
		return classifyTransportError(err)
	}
	if d.GetVerdict() == samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN {
		return nil, true
	}
	if d.GetCode() == operator.CodeNoLeader {
		return nil, false
	}
	return refusalOf(d), false
}

// answeredByStore reports whether a refusal comes from the store and thus settles
// the outcome of the request. A refusal by an entry instance itself says nothing
// about earlier attempts at other instances.
func answeredByStore(err error) bool {
	switch detailOf(err).GetCode() {
	case "", string(fleet.CodeUnauthorized), operator.CodeNoKeySecret:
		return false
	}
	return true
}

// classifyTransportError is classifyError for errors that the service did not
// return. Only a failed dial proves that the request did not reach the service.
func classifyTransportError(err error) (final error, mayHaveRun bool) {
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return refusedf("the address does not serve the operators' interface: %v", err), false
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return nil, false
	}
	return nil, true
}

func noFinalAnswer(outcomeUnknown bool, last error) error {
	reason := last.Error()
	d := detailOf(last)
	if d != nil {
		reason = describe(d)
	}
	if outcomeUnknown {
		return &Error{Exit: ExitMayHaveRun, Message: "no final answer in time; the change may have been carried out: " + reason, Detail: d}
	}
	return &Error{Exit: ExitUnavailable, Message: "unavailable; nothing was changed: " + reason, Detail: d}
}

// query is call for read-only requests. Their errors never have the exit code
// ExitMayHaveRun.
func query[T any](ctx context.Context, a *app, try attemptFunc[T]) (T, error) {
	out, err := call(ctx, a, try)
	var e *Error
	if errors.As(err, &e) && e.Exit == ExitMayHaveRun {
		return out, &Error{Exit: ExitUnavailable, Message: "no final answer to the query in time", Detail: e.Detail}
	}
	return out, err
}
