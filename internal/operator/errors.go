package operator

import (
	"fmt"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Codes of error details, in addition to the refusal codes of the state machine.
const (
	CodeNoLeader       = "no_leader"
	CodeOutcomeUnknown = "outcome_unknown"
	CodeTooLarge       = "too_large"
	CodeStore          = "store_error"
	CodeNoKeySecret    = "no_key_secret"
)

// retryAfterMS is the time in which a new leader is usually elected.
const retryAfterMS = 1000

// connectCodes maps refusals of the state machine; any other refusal is
// CodeFailedPrecondition.
var connectCodes = map[fleet.Code]connect.Code{
	fleet.CodeRevisionConflict: connect.CodeAborted,
	fleet.CodeStale:            connect.CodeAborted,
	fleet.CodeRequestIDReused:  connect.CodeAlreadyExists,
	fleet.CodeInvalid:          connect.CodeInvalidArgument,
	fleet.CodeNotFound:         connect.CodeNotFound,
	fleet.CodeUnauthorized:     connect.CodeUnauthenticated,
}

// newError returns a Connect error with the detail attached.
func newError(code connect.Code, detail *samphireforkv1.ErrorDetail) *connect.Error {
	err := connect.NewError(code, errors.New(detail.GetCode()+": "+detail.GetMessage()))
	if d, derr := connect.NewErrorDetail(detail); derr == nil {
		err.AddDetail(d)
	}
	return err
}

func notRun(code connect.Code, name, message string) *connect.Error {
	return newError(code, &samphireforkv1.ErrorDetail{
		Code:    name,
		Message: message,
		Verdict: samphireforkv1.Verdict_VERDICT_NOT_RUN,
	})
}

func errUnauthorized() *connect.Error {
	return notRun(connect.CodeUnauthenticated, string(fleet.CodeUnauthorized), "operator token missing or wrong")
}

func invalid(format string, args ...any) *connect.Error {
	return notRun(connect.CodeInvalidArgument, string(fleet.CodeInvalid), fmt.Sprintf(format, args...))
}

// refused converts a refusal, which states that the change was not carried out.
func refused(r *fleet.Refusal, resent bool) *connect.Error {
	code, ok := connectCodes[r.Code]
	if !ok {
		code = connect.CodeFailedPrecondition
	}
	return newError(code, &samphireforkv1.ErrorDetail{
		Code:            string(r.Code),
		Message:         r.Message,
		PresentRevision: uint64(r.PresentRevision),
		RetryAfterMs:    r.RetryAfterMS,
		Verdict:         samphireforkv1.Verdict_VERDICT_NOT_RUN,
		Resent:          resent,
	})
}

// queryFailed converts a failed query; queries change nothing. A store's own
// error is final, since a repetition meets it again.
func queryFailed(err error) *connect.Error {
	var body *wire.ErrorBody
	var unavailable *leader.ErrUnavailable
	if !errors.As(err, &unavailable) && errors.As(err, &body) {
		return notRun(connect.CodeInternal, CodeStore, body.Message)
	}
	return newError(connect.CodeUnavailable, &samphireforkv1.ErrorDetail{
		Code:         CodeNoLeader,
		Message:      err.Error(),
		RetryAfterMs: retryAfterMS,
		Verdict:      samphireforkv1.Verdict_VERDICT_NOT_RUN,
	})
}

// changeFailed converts a failed change. A store's own error is taken as "not
// run" only when every store would refuse the same message, since an earlier
// attempt may have reached another store.
func changeFailed(err error) *connect.Error {
	var unavailable *leader.ErrUnavailable
	if errors.As(err, &unavailable) && unavailable.Unsent {
		return queryFailed(err)
	}
	if errors.Is(err, wire.ErrTooLarge) {
		return notRun(connect.CodeResourceExhausted, CodeTooLarge, err.Error())
	}
	var body *wire.ErrorBody
	if errors.As(err, &body) {
		return storeFailed(body)
	}
	return newError(connect.CodeDeadlineExceeded, &samphireforkv1.ErrorDetail{
		Code:         CodeOutcomeUnknown,
		Message:      err.Error(),
		RetryAfterMs: retryAfterMS,
		Verdict:      samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN,
	})
}

func storeFailed(body *wire.ErrorBody) *connect.Error {
	switch body.Code {
	case wire.CodeBadMessage:
		return notRun(connect.CodeInvalidArgument, string(body.Code), body.Message)
	case wire.CodeUnsupported, wire.CodeVersion, wire.CodeUnauthenticated:
		return notRun(connect.CodeUnimplemented, string(body.Code), body.Message)
	}
	return newError(connect.CodeInternal, &samphireforkv1.ErrorDetail{
		Code:    CodeStore,
		Message: body.Message,
		Verdict: samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN,
	})
}
