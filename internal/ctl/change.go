package ctl

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"strconv"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
)

// changeFlags holds the flags with which an operator repeats a change whose
// answer was lost.
type changeFlags struct {
	requestID string
	// revision is the expected revision, or currentRevision when it is not given.
	revision int64
}

// currentRevision selects the fleet's current revision. It can't be 0, which is
// the revision of a new fleet.
const currentRevision = -1

func (c *changeFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&c.requestID, "request-id", "", "request identifier, to repeat an earlier change")
	fs.Int64Var(&c.revision, "revision", currentRevision, "expected revision; -1 takes the present one")
}

// changeFunc sends a change with the given header to one entry instance.
type changeFunc func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error)

// header builds the header of a change from its flags. It queries the current
// revision and calls newID for the request identifier when they are not given.
func (a *app) header(ctx context.Context, c changeFlags, newID func(revision uint64) string) (*samphireforkv1.ChangeHeader, error) {
	if c.revision == currentRevision {
		cfg, err := a.config(ctx)
		if err != nil {
			return nil, err
		}
		c.revision = int64(cfg.Revision)
	}
	if c.revision < 0 {
		return nil, usage("-revision %d: expected -1 or a revision", c.revision)
	}
	if c.requestID == "" {
		c.requestID = newID(uint64(c.revision))
	}
	return &samphireforkv1.ChangeHeader{
		RequestId:        c.requestID,
		ExpectedRevision: uint64(c.revision),
		Operator:         a.operator,
		WaitInForceMs:    inForceWait.Milliseconds(),
	}, nil
}

// derivedID returns a function that derives the request identifier of a change
// from its operator, revision and content, so that running the same command again
// at the same revision repeats the same change.
func (a *app) derivedID(verb string, parts ...string) func(uint64) string {
	return func(revision uint64) string {
		h := sha256.New()
		for _, p := range append([]string{verb, a.operator, strconv.FormatUint(revision, 10)}, parts...) {
			h.Write([]byte(p))
			h.Write([]byte{0})
		}
		return fmt.Sprintf("%s-%d-%s", verb, revision, hex.EncodeToString(h.Sum(nil)[:8]))
	}
}

// change sends a change repeatedly until it is known to be in force. When the
// time limit is reached first, the error has the exit code ExitMayHaveRun if the
// change was or may have been accepted.
func (a *app) change(ctx context.Context, h *samphireforkv1.ChangeHeader, do changeFunc) (*samphireforkv1.ChangeOutcome, error) {
	try := func(ctx context.Context, t target) (*samphireforkv1.ChangeOutcome, error) { return do(ctx, t, h) }
	out, err := call(ctx, a, try)
	if err != nil {
		return nil, withRepeatHint(err, h)
	}
	if !out.GetInForce() {
		a.progress("accepted as revision %d, waiting until it is in force", out.GetRevision())
	}
	accepted := out.GetRevision()
	for !out.GetInForce() {
		if !wait.ForAttempt(ctx, retryDelay, minAttemptTime) {
			return nil, notInForce(accepted, h)
		}
		out, err = call(ctx, a, try)
		if err != nil {
			return nil, notInForce(accepted, h)
		}
	}
	a.progress("revision %d is in force", out.GetRevision())
	return out, nil
}

// withRepeatHint adds the request identifier and revision with which to repeat the
// command to an error that leaves the outcome open.
func withRepeatHint(err error, h *samphireforkv1.ChangeHeader) error {
	var e *Error
	if !errors.As(err, &e) || e.Exit != ExitMayHaveRun {
		return err
	}
	return &Error{Exit: e.Exit, Detail: e.Detail, Message: e.Message + "\n" + repeatHint(h)}
}

func notInForce(revision uint64, h *samphireforkv1.ChangeHeader) error {
	msg := fmt.Sprintf("accepted as revision %d, not yet known to be in force", revision)
	return &Error{Exit: ExitMayHaveRun, Message: msg + "\n" + repeatHint(h)}
}

func repeatHint(h *samphireforkv1.ChangeHeader) string {
	return fmt.Sprintf("repeat the command with -request-id %s -revision %d to learn the outcome", h.GetRequestId(), h.GetExpectedRevision())
}

// withTimeout returns a context that ends after the duration of the -timeout flag.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.timeout)
}

// outcome extracts the outcome from the response to a change.
func outcome[T any, R interface {
	*T
	GetOutcome() *samphireforkv1.ChangeOutcome
}](resp *connect.Response[T], err error) (*samphireforkv1.ChangeOutcome, error) {
	if err != nil {
		return nil, err
	}
	return R(resp.Msg).GetOutcome(), nil
}

func (a *app) printOutcome(out *samphireforkv1.ChangeOutcome) error {
	if a.format == formatJSON {
		return a.printMessage(out)
	}
	a.printf("revision %d in force at %s\n", out.GetRevision(), clusterTime(fleet.Time(out.GetInForceAtMs())))
	return nil
}
