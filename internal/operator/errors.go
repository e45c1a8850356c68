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

// Values of ErrorDetail.code. The refusal codes of package fleet and the error codes of
// package wire occur as well.
const (
	// CodeNoLeader means that no leader answered within the time limit. Nothing was
	// changed.
	CodeNoLeader = "no_leader"
	// CodeOutcomeUnknown means that a change may have been carried out, but its result
	// is not known.
	CodeOutcomeUnknown = "outcome_unknown"
	// CodeTooLarge means that the change does not fit into one message to the leader.
	// It was not carried out.
	CodeTooLarge = "too_large"
	// CodeStore means that the store failed or returned an unusable reply. The verdict
	// says whether a change may have been carried out.
	CodeStore = "store_error"
	// CodeNoKeySecret means that the entry instance has no secret to derive keys from.
	CodeNoKeySecret = "no_key_secret"
)

// retryAfterMS is the retry delay in errors that are caused by a missing leader. A new
// leader is usually elected within this time.
const retryAfterMS = 1000

// connectCodes maps the refusal codes of the state machine to Connect codes. All other
// refusals are connect.CodeFailedPrecondition.
var connectCodes = map[fleet.Code]connect.Code{
	fleet.CodeRevisionConflict: connect.CodeAborted,
	fleet.CodeStale:            connect.CodeAborted,
	fleet.CodeRequestIDReused:  connect.CodeAlreadyExists,
	fleet.CodeInvalid:          connect.CodeInvalidArgument,
	fleet.CodeNotFound:         connect.CodeNotFound,
	fleet.CodeUnauthorized:     connect.CodeUnauthenticated,
}

// newError returns a Connect error with detail attached.
func newError(code connect.Code, detail *samphireforkv1.ErrorDetail) *connect.Error {
	err := connect.NewError(code, errors.New(detail.GetCode()+": "+detail.GetMessage()))
	if d, detailErr := connect.NewErrorDetail(detail); detailErr == nil {
		err.AddDetail(d)
	}
	return err
}

// notRunError returns an error with the verdict not_run.
func notRunError(code connect.Code, errorCode, message string) *connect.Error {
	return newError(code, &samphireforkv1.ErrorDetail{
		Code:    errorCode,
		Message: message,
		Verdict: samphireforkv1.Verdict_VERDICT_NOT_RUN,
	})
}

func unauthorizedError() *connect.Error {
	return notRunError(connect.CodeUnauthenticated, string(fleet.CodeUnauthorized), "operator token missing or wrong")
}

func invalidArgument(format string, args ...any) *connect.Error {
	return notRunError(connect.CodeInvalidArgument, string(fleet.CodeInvalid), fmt.Sprintf(format, args...))
}

// refusalError converts a refusal of the state machine. Its verdict is not_run. resent
// tells that the refusal is the stored response to an earlier request.
func refusalError(r *fleet.Refusal, resent bool) *connect.Error {
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

// queryError converts the error of a query. The verdict is not_run, because queries
// change nothing. An error that the store itself returned has no retry delay, since a
// retry would fail in the same way.
func queryError(err error) *connect.Error {
	var body *wire.ErrorBody
	var unavailable *leader.ErrUnavailable
	if !errors.As(err, &unavailable) && errors.As(err, &body) {
		return notRunError(connect.CodeInternal, CodeStore, body.Message)
	}
	return newError(connect.CodeUnavailable, &samphireforkv1.ErrorDetail{
		Code:         CodeNoLeader,
		Message:      err.Error(),
		RetryAfterMs: retryAfterMS,
		Verdict:      samphireforkv1.Verdict_VERDICT_NOT_RUN,
	})
}

// changeError converts the error of a change. An error that a store returned has the
// verdict not_run only if every store would refuse the same message, because an earlier
// attempt may have reached another store.
func changeError(err error) *connect.Error {
	var unavailable *leader.ErrUnavailable
	if errors.As(err, &unavailable) && unavailable.Unsent {
		return queryError(err)
	}
	if errors.Is(err, wire.ErrTooLarge) {
		return notRunError(connect.CodeResourceExhausted, CodeTooLarge, err.Error())
	}
	var body *wire.ErrorBody
	if errors.As(err, &body) {
		return storeError(body)
	}
	return newError(connect.CodeDeadlineExceeded, &samphireforkv1.ErrorDetail{
		Code:         CodeOutcomeUnknown,
		Message:      err.Error(),
		RetryAfterMs: retryAfterMS,
		Verdict:      samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN,
	})
}

func storeError(body *wire.ErrorBody) *connect.Error {
	switch body.Code {
	case wire.CodeBadMessage:
		return notRunError(connect.CodeInvalidArgument, string(body.Code), body.Message)
	case wire.CodeUnsupported, wire.CodeVersion, wire.CodeUnauthenticated:
		return notRunError(connect.CodeUnimplemented, string(body.Code), body.Message)
	}
	return newError(connect.CodeInternal, &samphireforkv1.ErrorDetail{
		Code:    CodeStore,
		Message: body.Message,
		Verdict: samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN,
	})
}
