package wire

import "context"

// Mux maps message types to their handlers. All handlers must be added before the
// first message arrives.
type Mux map[Type]Handler

// Handle is the Handler that calls the handler for the type of req. If there is none,
// it fails with CodeUnsupported.
func (m Mux) Handle(ctx context.Context, req Request) (any, error) {
	h, ok := m[req.Type]
	if !ok {
		return nil, &ErrorBody{Code: CodeUnsupported, Message: "no handler for this message type"}
	}
	return h(ctx, req)
}
