package dispatch

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/strictjson"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// WorkerHandler handles the messages of step workers that use the product's own interface
// rather than the platform's. It implements store.Component.
type WorkerHandler struct{ *Dispatcher }

// Register implements store.Component.
func (h WorkerHandler) Register(mux wire.Mux) {
	mux[wire.TypeStepReport] = h.serveReport
	mux[wire.TypeStepLeave] = h.serveLeave
	mux[wire.TypeStalled] = h.serveStalled
	mux[wire.TypeWhere] = h.serveWhere
}

func (h WorkerHandler) serveWhere(_ context.Context, req wire.Request) (any, error) {
	var msg wire.WhereRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	reply, err := h.Where(msg.Job)
	var invalid *PreviewError
	switch {
	case errors.Is(err, ErrPreviewBusy):
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: err.Error()}
	case errors.As(err, &invalid):
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: invalid.Reason}
	case err != nil:
		return nil, toWireError(err)
	}
	return reply, nil
}

// maxStalledEntries bounds the entries of one reply, so that it fits into a frame.
const maxStalledEntries = 5000

func (h WorkerHandler) serveStalled(_ context.Context, req wire.Request) (any, error) {
	var msg wire.StalledRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	stalls, now, err := h.Stalled()
	if err != nil {
		return nil, toWireError(err)
	}
	reply := wire.StalledReply{NowMS: now}
	for _, s := range stalls {
		switch {
		case !msg.AllTeams && s.Team != msg.Team, msg.Queue != "" && s.Queue != msg.Queue, msg.Reason != "" && s.Reason != msg.Reason:
		case len(reply.Stalls) == maxStalledEntries:
			reply.Omitted++
		default:
			reply.Stalls = append(reply.Stalls, s)
		}
	}
	return reply, nil
}

func (h WorkerHandler) serveReport(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.StepReport
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	var rep Report
	if err := strictjson.Unmarshal(msg.Body, &rep); err != nil {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	}
	if reason := rep.validate(msg.Worker); reason != "" {
		return nil, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: reason}
	}
	orders, err := h.HandleReport(ctx, rep)
	if err != nil {
		return nil, toWireError(err)
	}
	body, err := json.Marshal(orders)
	return wire.StepOrders{Body: body}, errors.Wrap(err, "dispatch: encode orders")
}

// validate returns the reason why a report of the named worker is invalid, or an empty
// string.
func (r *Report) validate(worker string) string {
	if r.Incarnation.ID != worker {
		return "life.id is not the worker's identifier"
	}
	if err := r.Validate(); err != nil {
		return err.Error()
	}
	return ""
}

func (h WorkerHandler) serveLeave(_ context.Context, req wire.Request) (any, error) {
	var msg wire.StepReport
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	if err := h.HandleLeave(msg.Worker); err != nil {
		return nil, toWireError(err)
	}
	return wire.StepOrders{}, nil
}

func toWireError(err error) error {
	var notLeader *NotLeaderError
	var invalid *InvalidReportError
	switch {
	case errors.As(err, &notLeader):
		return &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: notLeader.Leader}
	case errors.As(err, &invalid):
		return &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	}
	return err
}
