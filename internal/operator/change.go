package operator

import (
	"context"
	"regexp"
	"time"

	"connectrpc.com/connect"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	maxWaitInForceMS   = 30_000
	maxOperatorBytes   = 128
	minDrainTimeoutMS  = 1000
	maxDrainTimeoutMS  = 24 * 60 * 60 * 1000
	maxItems           = 10_000
	maxEntityNameBytes = 63
)

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

// planStates maps an action on a maintenance plan to the state that it requests.
var planStates = map[samphireforkv1.MaintenanceAction]fleet.PlanState{
	samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_PAUSE:  fleet.PlanPaused,
	samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_RESUME: fleet.PlanRunning,
	samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_ABORT:  fleet.PlanAborted,
}

// propose validates the header, submits the items as one change to the leader, and
// returns the outcome. All errors are Connect errors.
func (s *service) propose(ctx context.Context, h *samphireforkv1.ChangeHeader, items ...fleet.ChangeItem) (*samphireforkv1.ChangeOutcome, error) {
	if err := checkHeader(h); err != nil {
		return nil, err
	}
	req := wire.ProposeRequest{
		Command: fleet.Command{Change: &fleet.ConfigChange{
			RequestID:        h.GetRequestId(),
			Operator:         h.GetOperator(),
			ExpectedRevision: fleet.Revision(h.GetExpectedRevision()),
			Items:            items,
		}},
		WaitInForceMS: h.GetWaitInForceMs(),
	}
	waitInForce := time.Duration(h.GetWaitInForceMs()) * time.Millisecond
	ctx, cancel := s.withDeadline(ctx, waitInForce)
	defer cancel()
	var reply wire.ProposeReply
	if err := s.leader.Call(ctx, wire.TypePropose, req, &reply, waitInForce); err != nil {
		return nil, changeError(err)
	}
	if reply.Result.Refusal != nil {
		return nil, refusalError(reply.Result.Refusal, reply.Result.Resent)
	}
	return &samphireforkv1.ChangeOutcome{
		Revision:    uint64(reply.Result.Revision),
		InForce:     reply.InForce,
		InForceAtMs: int64(reply.InForceAt),
		Resent:      reply.Result.Resent,
	}, nil
}

func checkHeader(h *samphireforkv1.ChangeHeader) error {
	if !requestIDPattern.MatchString(h.GetRequestId()) {
		return invalidArgument("change.request_id: expected 1 to 128 characters from A-Z a-z 0-9 . _ : -")
	}
	if n := len(h.GetOperator()); n == 0 || n > maxOperatorBytes {
		return invalidArgument("change.operator: expected 1 to %d bytes", maxOperatorBytes)
	}
	if wait := h.GetWaitInForceMs(); wait < 0 || wait > maxWaitInForceMS {
		return invalidArgument("change.wait_in_force_ms: %d is not between 0 and %d", wait, maxWaitInForceMS)
	}
	return nil
}

// checkName returns an error if name is empty or longer than any entity name. field is
// the name of the request field in the error.
func checkName(field, name string) error {
	if name == "" || len(name) > maxEntityNameBytes {
		return invalidArgument("%s: expected a name of 1 to %d bytes", field, maxEntityNameBytes)
	}
	return nil
}

// Apply puts and deletes declared entities in one change.
func (s *service) Apply(ctx context.Context, req *connect.Request[samphireforkv1.ApplyRequest]) (*connect.Response[samphireforkv1.ApplyResponse], error) {
	items, err := convertItems(req.Msg.GetItems())
	if err != nil {
		return nil, err
	}
	out, err := s.propose(ctx, req.Msg.GetChange(), items...)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.ApplyResponse{Outcome: out}), nil
}

func convertItems(items []*samphireforkv1.ChangeItem) ([]fleet.ChangeItem, error) {
	if len(items) == 0 || len(items) > maxItems {
		return nil, invalidArgument("items: expected 1 to %d items, got %d", maxItems, len(items))
	}
	out := make([]fleet.ChangeItem, 0, len(items))
	for i, it := range items {
		item, err := schema.ToItem(it)
		if err != nil {
			return nil, invalidArgument("items[%d]: %v", i, err)
		}
		for _, v := range declare.CheckItem(item) {
			return nil, invalidArgument("items[%d].%s: %s", i, v.Field, v.Reason)
		}
		out = append(out, item)
	}
	return out, nil
}

// Drain starts the drain of an instance, or ends it when the request sets undo.
func (s *service) Drain(ctx context.Context, req *connect.Request[samphireforkv1.DrainRequest]) (*connect.Response[samphireforkv1.DrainResponse], error) {
	if err := checkName("instance", req.Msg.GetInstance()); err != nil {
		return nil, err
	}
	item := fleet.ChangeItem{Drain: &fleet.DrainRequest{Instance: req.Msg.GetInstance(), Undo: req.Msg.GetUndo()}}
	out, err := s.propose(ctx, req.Msg.GetChange(), item)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.DrainResponse{Outcome: out}), nil
}

// StartMaintenance starts a maintenance plan for a pool.
func (s *service) StartMaintenance(ctx context.Context, req *connect.Request[samphireforkv1.StartMaintenanceRequest]) (*connect.Response[samphireforkv1.StartMaintenanceResponse], error) {
	m := req.Msg
	if err := checkName("plan", m.GetPlan()); err != nil {
		return nil, err
	}
	if err := checkName("pool", m.GetPool()); err != nil {
		return nil, err
	}
	if d := m.GetDrainTimeoutMs(); d < minDrainTimeoutMS || d > maxDrainTimeoutMS {
		return nil, invalidArgument("drain_timeout_ms: %d is not between %d and %d", d, minDrainTimeoutMS, maxDrainTimeoutMS)
	}
	plan := &fleet.MaintenancePlan{
		Name:           m.GetPlan(),
		Pool:           m.GetPool(),
		State:          fleet.PlanRunning,
		DrainTimeoutMS: m.GetDrainTimeoutMs(),
	}
	out, err := s.propose(ctx, m.GetChange(), fleet.ChangeItem{StartPlan: plan})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.StartMaintenanceResponse{Outcome: out}), nil
}

// SetMaintenanceState pauses, resumes or aborts a maintenance plan.
func (s *service) SetMaintenanceState(ctx context.Context, req *connect.Request[samphireforkv1.SetMaintenanceStateRequest]) (*connect.Response[samphireforkv1.SetMaintenanceStateResponse], error) {
	if err := checkName("plan", req.Msg.GetPlan()); err != nil {
		return nil, err
	}
	state, ok := planStates[req.Msg.GetAction()]
	if !ok {
		return nil, invalidArgument("action: expected pause, resume or abort")
	}
	item := fleet.ChangeItem{SetPlanState: &fleet.PlanStateChange{Plan: req.Msg.GetPlan(), State: state}}
	out, err := s.propose(ctx, req.Msg.GetChange(), item)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.SetMaintenanceStateResponse{Outcome: out}), nil
}

// DeclareLost records that an instance and its tasks have stopped permanently.
func (s *service) DeclareLost(ctx context.Context, req *connect.Request[samphireforkv1.DeclareLostRequest]) (*connect.Response[samphireforkv1.DeclareLostResponse], error) {
	if err := checkName("instance", req.Msg.GetInstance()); err != nil {
		return nil, err
	}
	out, err := s.propose(ctx, req.Msg.GetChange(), fleet.ChangeItem{DeclareLost: req.Msg.GetInstance()})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.DeclareLostResponse{Outcome: out}), nil
}

// Evacuate begins the evacuation of a data centre, or ends it when the request sets end.
func (s *service) Evacuate(ctx context.Context, req *connect.Request[samphireforkv1.EvacuateRequest]) (*connect.Response[samphireforkv1.EvacuateResponse], error) {
	if err := checkName("data_centre", req.Msg.GetDataCentre()); err != nil {
		return nil, err
	}
	order := &fleet.EvacuationRequest{DataCentre: req.Msg.GetDataCentre(), End: req.Msg.GetEnd()}
	out, err := s.propose(ctx, req.Msg.GetChange(), fleet.ChangeItem{Evacuate: order})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.EvacuateResponse{Outcome: out}), nil
}
