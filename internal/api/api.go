// Package api defines the HTTP interface of an entry to callers: headers, JSON bodies, and
// [Refusal], whose verdict tells the caller whether its request was run.
package api

import (
	"net/http"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Verdict is the statement of a final answer on whether the request was run.
type Verdict string

// Verdicts. After MayHaveRun the caller can't tell whether the request was run.
const (
	Done       Verdict = "done"
	NotRun     Verdict = "not_run"
	MayHaveRun Verdict = "may_have_run"
)

// Headers of the HTTP interfaces to callers and to backend servers.
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

// Code is the machine-readable reason for a refusal.
type Code string

// Refusal codes of the HTTP interface to callers.
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

// Refusal is a final answer with another verdict than Done. It is an error and the JSON body
// of the answer.
type Refusal struct {
	Verdict Verdict `json:"verdict"`
	Code    Code    `json:"code"`
	Message string  `json:"message"`
	// RetryAfterMS is the time in milliseconds after which the caller should retry, 0 when
	// none is suggested.
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	// Status is the HTTP status code.
	Status int `json:"-"`
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Refuse returns a refusal with the verdict NotRun for a request that is not worth
// retrying, since it would be refused again. status is the HTTP status code.
func Refuse(status int, code Code, message string) *Refusal {
	return &Refusal{Verdict: NotRun, Code: code, Message: message, Status: status}
}

// RetryLater returns a refusal with the verdict NotRun for a request that the caller should
// retry after the given time. Its HTTP status code is 429 when a queue, limit or retry
// budget is exhausted or the entry is overloaded, and else 503.
func RetryLater(code Code, message string, after time.Duration) *Refusal {
	r := Refuse(http.StatusServiceUnavailable, code, message)
	if code == CodeQueueFull || code == CodeOverloaded || code == CodeLimit || code == CodeRetryBudget {
		r.Status = http.StatusTooManyRequests
	}
	r.RetryAfterMS = after.Milliseconds()
	return r
}

// UnknownOutcome returns a refusal with the verdict MayHaveRun and the HTTP status code 504.
func UnknownOutcome(code Code, message string) *Refusal {
	return &Refusal{Verdict: MayHaveRun, Code: code, Message: message, Status: http.StatusGatewayTimeout}
}

// CancelReply is the JSON body of the answer to the cancellation of a job.
type CancelReply struct {
	Job *fleet.Job `json:"job"`
	// Ran says whether the job ran: "no", "yes", or "maybe" when that is not known.
	Ran string `json:"ran"`
}
