package wire

import "context"

// Mux hands each message to the handler of its type. All handlers are
// registered before the first message arrives.
type Mux map[Type]Handler

// Handle is a Handler.
func (m Mux) Handle(ctx context.Context, req Request) (any, error) {
	h, ok := m[req.Type]
	if !ok {
		return nil, &ErrorBody{Code: CodeUnsupported, Message: "no handler for this message type"}
	}
	return h(ctx, req)
}
