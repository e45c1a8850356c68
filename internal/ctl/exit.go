package ctl

import (
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitMayHaveRun  = 4
	ExitUnavailable = 5
)

// Error is the failure of a command, with its exit code.
type Error struct {
	Exit    int
	Message string
	// Detail is the server's typed error, if there is one.
	Detail *samphireforkv1.ErrorDetail
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

func usage(format string, args ...any) error {
	return &Error{Exit: ExitUsage, Message: fmt.Sprintf(format, args...)}
}

func refusedf(format string, args ...any) error {
	return &Error{Exit: ExitRefused, Message: fmt.Sprintf(format, args...)}
}

// fail prints the error and returns its exit code. An error of another type
// comes from parsing the flags.
func (a *app) fail(err error) int {
	var e *Error
	if !errors.As(err, &e) {
		e = &Error{Exit: ExitUsage, Message: err.Error()}
	}
	fmt.Fprintf(a.env.Stderr, "samphirectl: %s\n", e.Message)
	return e.Exit
}

// detailOf returns the typed detail of a Connect error, or nil.
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

// refusalOf converts a final answer that carries a detail.
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
