package wire

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// PanicError is the error of a handler that panicked. The request may have been carried
// out in part.
type PanicError struct {
	// Type is the type of the message.
	Type Type
	// Value is the value that the handler panicked with.
	Value any
}

// Error implements error.
func (e *PanicError) Error() string {
	return fmt.Sprintf("wire: handler of message type %d panicked: %v", e.Type, e.Value)
}

// RecoverPanics wraps all handlers of the mux, so that a message which makes a handler
// panic costs its sender a reply with CodeInternal and does not end the process. Each
// panic is logged with its stack.
func (m Mux) RecoverPanics(log zerolog.Logger) {
	for t, handle := range m {
		m[t] = recovering(t, handle, log)
	}
}

func recovering(t Type, handle Handler, log zerolog.Logger) Handler {
	return func(ctx context.Context, req Request) (reply any, err error) {
		defer func() {
			if value := recover(); value != nil {
				reply, err = nil, &PanicError{Type: t, Value: value}
				log.Error().Err(err).Str("from", req.From).Bytes("stack", debug.Stack()).Msg("message handler panicked")
			}
		}()
		return handle(ctx, req)
	}
}
