// Package api holds the types of the callers' HTTP interface: headers, JSON
// bodies, and the typed refusal whose verdict tells a caller what it may conclude
// about its request.
package api

import (
	"net/http"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Verdict is what a final answer says about the request.
type Verdict string

// Verdicts.
const (
	Done       Verdict = "done"
	NotRun     Verdict = "not_run"
	MayHaveRun Verdict = "may_have_run"
)

// Headers of the callers' and backend servers' interfaces.
const (
	HeaderKey         = "Samphire-Key"
	HeaderRequestID   = "Samphire-Request-Id"
	HeaderIdempotent  = "Samphire-Idempotent"
	HeaderTimeoutMS   = "Samphire-Timeout-Ms"
	HeaderDeadlineMS  = "Samphire-Deadline-Ms"
	HeaderAttempt     = "Samphire-Attempt"
	HeaderVerdict     = "Samphire-Verdict"
	HeaderNotRun      = "Samphire-Not-Run"
	HeaderTeam        = "Samphire-Team"
	HeaderRetryAfter  = "Retry-After"
	HeaderContentType = "Content-Type"
)

// Code is the machine-readable reason of a refusal.
type Code string

// Refusal codes of the callers' interface.
const (
	CodeBadRequest          Code = "bad_request"
	CodeKeyMissing          Code = "key_missing"
	CodeKeyUnknown          Code = "key_unknown"
	CodeKeyWithdrawn        Code = "key_withdrawn"
	CodeWrongTeam           Code = "wrong_team"
	CodeNotFound            Code = "not_found"
	CodeRequestIDReused     Code = "request_id_reused"
	CodeRequestIDExpired    Code = "request_id_expired"
	CodeTooLarge            Code = "too_large"
	CodeQueueFull           Code = "queue_full"
	CodeOverloaded          Code = "overloaded"
	CodeLimit               Code = "limit"
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	CodeRetryBudget         Code = "retry_budget"
	CodeNoLease             Code = "no_lease"
	CodeNoQuorum            Code = "no_quorum"
	CodeNoBackend           Code = "no_backend"
	CodeStopping            Code = "stopping"
	CodeBackendFailed       Code = "backend_failed"
	CodeAnswerMismatch      Code = "answer_mismatch"
	CodeAnswerTruncated     Code = "answer_truncated"
	CodeTimeout             Code = "timeout"
	CodeOutcomeUnknown      Code = "outcome_unknown"
	CodeLedgerUnreachable   Code = "ledger_unreachable"
)

// Refusal is any final answer other than done.
type Refusal struct {
	Verdict      Verdict `json:"verdict"`
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	RetryAfterMS int64   `json:"retry_after_ms,omitempty"`
	RequestID    string  `json:"request_id,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Refuse returns a refusal of a request that was not run and that a repetition
// does not change.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Verdict: NotRun, Code: code, Message: message, Status: status}
}

// RetryLater returns a refusal of a request that was not run, with the time after
// which the caller should try again.
func RetryLater(code Code, message string, after time.Duration) *Refusal {
	r := Refuse(http.StatusServiceUnavailable, code, message)
	if code == CodeQueueFull || code == CodeOverloaded || code == CodeLimit || code == CodeRetryBudget {
		r.Status = http.StatusTooManyRequests
	}
	r.RetryAfterMS = after.Milliseconds()
	return r
}

// UnknownOutcome returns the answer to a request that may have run.
func UnknownOutcome(code Code, message string) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Code: code, Message: message, Status: http.StatusGatewayTimeout}
}

// CancelReply answers the cancellation of a job.
type CancelReply struct {
	Job *fleet.Job `json:"job"`
	// Ran tells whether the job ran: "no", "yes", or "maybe" while that is open.
	Ran string `json:"ran"`
}
