package dispatch

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/wire"
)

// Part serves the workers of the product's own interface. It is a store.Component.
type Part struct{ *Dispatcher }

// Register implements store.Component.
func (p Part) Register(mux wire.Mux) {
	mux[wire.TypeStepReport] = p.serveReport
	mux[wire.TypeStepLeave] = p.serveLeave
}

func (p Part) serveReport(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.StepReport
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	var rep Report
	if err := json.Unmarshal(msg.Body, &rep); err != nil {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	}
	if reason := rep.check(msg.Worker); reason != "" {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: reason}
	}
	orders, err := p.Report(ctx, rep)
	if err != nil {
		return nil, asWireError(err)
	}
	body, err := json.Marshal(orders)
	return wire.StepOrders{Body: body}, errors.Wrap(err, "dispatch: encode orders")
}

// check returns the reason why a report is invalid, or "".
func (r *Report) check(worker string) string {
	switch {
	case worker == "" || r.Life.ID != worker:
		return "life.id is not the worker's identifier"
	case r.Pool == "":
		return "pool is missing"
	case r.Sequence <= 0:
		return "sequence is not positive"
	case r.Capacity.CPUMilli < 0 || r.Capacity.MemoryMiB < 0 || r.Capacity.Accelerators < 0:
		return "capacity has a negative amount"
	default:
		return ""
	}
}

func (p Part) serveLeave(_ context.Context, req wire.Request) (any, error) {
	var msg wire.StepReport
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if err := p.Leave(msg.Worker); err != nil {
		return nil, asWireError(err)
	}
	return wire.StepOrders{}, nil
}

func asWireError(err error) error {
	var other *ErrNotLeader
	if errors.As(err, &other) {
		return &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: other.Leader}
	}
	return err
}
