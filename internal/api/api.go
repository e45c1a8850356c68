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
	HeaderKey = "Samphire-Key"
	// HeaderRequestID is the identifier of the request, in requests and answers.
	HeaderRequestID = "Samphire-Request-Id"
	// HeaderIdempotent is "true" in a request that may be run more than once.
	HeaderIdempotent = "Samphire-Idempotent"
	// HeaderTimeoutMS is the time limit of a request in milliseconds.
	HeaderTimeoutMS = "Samphire-Timeout-Ms"
	// HeaderDeadlineMS is the time left to a backend server for its answer, in milliseconds.
	HeaderDeadlineMS = "Samphire-Deadline-Ms"
	// HeaderAttempt counts the attempts of a caller at one request, from 1.
	HeaderAttempt = "Samphire-Attempt"
	// HeaderVerdict is the Verdict of an answer to a caller.
	HeaderVerdict = "Samphire-Verdict"
	// HeaderNotRun is "true" in an answer with status 503 of a backend server that did not
	// run the call.
	HeaderNotRun = "Samphire-Not-Run"
	// HeaderTeam is the team of the call, in a request to a backend server.
	HeaderTeam = "Samphire-Team"
	// HeaderRetryAfter is the time in seconds after which a caller should retry.
	HeaderRetryAfter  = "Retry-After"
	HeaderContentType = "Content-Type"
)

// Code is the machine-readable reason for a refusal.
type Code string

// Refusal codes of the HTTP interface to callers.
const (
	CodeBadRequest       Code = "bad_request"
	CodeKeyMissing       Code = "key_missing"
	CodeKeyUnknown       Code = "key_unknown"
	CodeKeyWithdrawn     Code = "key_withdrawn"
	CodeWrongTeam        Code = "wrong_team"
	CodeNotFound         Code = "not_found"
	CodeRequestIDReused  Code = "request_id_reused"
	CodeRequestIDExpired Code = "request_id_expired"
	CodeTooLarge         Code = "too_large"
	CodeQueueFull        Code = "queue_full"
	CodeOverloaded       Code = "overloaded"
	CodeLimit            Code = "limit"
	// CodeDeadlineUnreachable means that the request can't be finished within its time limit.
	CodeDeadlineUnreachable Code = "deadline_unreachable"
	// CodeRetryBudget means that the retry budget of the team is exhausted.
	CodeRetryBudget Code = "retry_budget"
	// CodeNoLease means that the entry has no valid lease on a configuration.
	CodeNoLease Code = "no_lease"
	// CodeBusy means that the leader answers another request of this kind.
	CodeBusy Code = "busy"
	// CodeNoQuorum means that no leading store answered the entry.
	CodeNoQuorum      Code = "no_quorum"
	CodeNoBackend     Code = "no_backend"
	CodeStopping      Code = "stopping"
	CodeBackendFailed Code = "backend_failed"
	// CodeAnswerMismatch means that a backend server answered another request.
	CodeAnswerMismatch Code = "answer_mismatch"
	// CodeAnswerTruncated means that the answer of a backend server is incomplete or states
	// no length.
	CodeAnswerTruncated Code = "answer_truncated"
	CodeTimeout         Code = "timeout"
	// CodeOutcomeUnknown means that an attempt at the request may have run.
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeLedgerUnreachable Code = "ledger_unreachable"
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
