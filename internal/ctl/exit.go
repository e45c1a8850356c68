package ctl

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Exit codes of the process.
const (
	// ExitOK means that the command was carried out.
	ExitOK = 0
	// ExitRefused means that the request was refused or invalid; nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the arguments or flags are wrong.
	ExitUsage = 2
	// ExitConflict means that the fleet has another revision than expected, or that
	// the request identifier was used for another request.
	ExitConflict = 3
	// ExitMayHaveRun means that the change may have been carried out, or was accepted
	// and is not yet known to be in force.
	ExitMayHaveRun = 4
	// ExitUnavailable means that no final answer was received; nothing was changed.
	ExitUnavailable = 5
)

// Error is the error of a command together with its exit code.
type Error struct {
	// Exit is the exit code, one of the Exit constants other than ExitOK.
	Exit int
	// Message is the text for the operator. It may have several lines.
	Message string
	// Detail is the typed error from the server, or nil.
	Detail *samphireforkv1.ErrorDetail
}

// Error returns the message.
func (e *Error) Error() string { return e.Message }

func usage(format string, args ...any) error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

func refusedf(format string, args ...any) error {
	return &Error{Exit: ExitRefused, Message: fmt.Sprintf(format, args...)}
}

// reportError prints the error and returns its exit code. Errors that are not of
// type *Error are treated as usage errors, since they come from flag parsing.
func (a *app) reportError(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Exit: ExitUsage, Message: err.Error()}
	}
	fmt.Fprintf(a.env.Stderr, "samphirectl: %s\n", e.Message)
	return e.Exit
}

// detailOf returns the ErrorDetail of a Connect error, or nil if there is none.
func detailOf(err error) *samphireforkv1.ErrorDetail {
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return nil
	}
	for _, d := range ce.Details() {
		value, derr := d.Value()
		if detail, ok := value.(*samphireforkv1.ErrorDetail); derr == nil && ok {
			return detail
		}
	}
	return nil
}

// refusalOf converts the detail of a refusal to an Error.
func refusalOf(d *samphireforkv1.ErrorDetail) *Error {
	e := &Error{Exit: ExitRefused, Message: describe(d), Detail: d}
	switch fleet.Code(d.GetCode()) {
	case fleet.CodeRevisionConflict, fleet.CodeRequestIDReused:
		e.Exit = ExitConflict
	}
	return e
}

func describe(d *samphireforkv1.ErrorDetail) string {
	parts := []string{d.GetCode() + ": " + d.GetMessage()}
	if d.GetPresentRevision() > 0 {
		parts = append(parts, fmt.Sprintf("present revision %d", d.GetPresentRevision()))
	}
	if d.GetRetryAfterMs() > 0 {
		parts = append(parts, fmt.Sprintf("try again after %d ms", d.GetRetryAfterMs()))
	}
	if d.GetResent() {
		parts = append(parts, "this is the stored answer to an earlier identical request; -request-id makes a new one")
	}
	return strings.Join(parts, "; ")
}
