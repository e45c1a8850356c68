package operator

import (
	"context"

	"connectrpc.com/connect"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	defaultAuditRecords = 50
	maxAuditRecords     = 1000
	// snapshotAuditRecords keeps the status reply within the frame limit when
	// the records describe changes of a whole fleet.
	snapshotAuditRecords = 200
	snapshotChunkBytes   = 256 << 10
)

// status queries the leader; the reply always holds the configuration.
func (s *service) status(ctx context.Context, auditLimit int) (wire.StatusReply, error) {
	ctx, cancel := s.deadline(ctx, 0)
	defer cancel()
	var reply wire.StatusReply
	req := wire.StatusRequest{Detail: true, AuditLimit: auditLimit}
	if err := s.leader.Call(ctx, wire.TypeStatus, req, &reply, 0); err != nil {
		return reply, queryFailed(err)
	}
	if reply.Config == nil {
		return reply, notRun(connect.CodeInternal, CodeStore, "the store's status has no configuration")
	}
	return reply, nil
}

// GetConfig implements the RPC.
func (s *service) GetConfig(ctx context.Context, _ *connect.Request[samphireforkv1.GetConfigRequest]) (*connect.Response[samphireforkv1.GetConfigResponse], error) {
	reply, err := s.status(ctx, 0)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.GetConfigResponse{Config: schema.FromConfig(*reply.Config)}), nil
}

// Status implements the RPC.
func (s *service) Status(ctx context.Context, _ *connect.Request[samphireforkv1.StatusRequest]) (*connect.Response[samphireforkv1.StatusResponse], error) {
	reply, err := s.status(ctx, 0)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(schema.FromStatus(reply)), nil
}

// Audit implements the RPC.
func (s *service) Audit(ctx context.Context, req *connect.Request[samphireforkv1.AuditRequest]) (*connect.Response[samphireforkv1.AuditResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit < 0 || limit > maxAuditRecords {
		return nil, invalid("limit: %d is not between 1 and %d", limit, maxAuditRecords)
	}
	if limit == 0 {
		limit = defaultAuditRecords
	}
	reply, err := s.status(ctx, limit)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.AuditResponse{Records: schema.FromAudit(reply.Audit)}), nil
}

// Snapshot implements the RPC.
func (s *service) Snapshot(ctx context.Context, _ *connect.Request[samphireforkv1.SnapshotRequest], stream *connect.ServerStream[samphireforkv1.SnapshotChunk]) error {
	reply, err := s.status(ctx, snapshotAuditRecords)
	if err != nil {
		return err
	}
	data, err := schema.EncodeSnapshot(reply)
	if err != nil {
		return notRun(connect.CodeInternal, CodeStore, err.Error())
	}
	for len(data) > 0 {
		n := min(len(data), snapshotChunkBytes)
		if err := stream.Send(&samphireforkv1.SnapshotChunk{Data: data[:n]}); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// Membership implements the RPC. After a change it lists the members anew.
func (s *service) Membership(ctx context.Context, req *connect.Request[samphireforkv1.MembershipRequest]) (*connect.Response[samphireforkv1.MembershipResponse], error) {
	change, err := membershipChange(req.Msg)
	if err != nil {
		return nil, err
	}
	if change != nil {
		if err := s.changeMembers(ctx, *change); err != nil {
			return nil, err
		}
	}
	reply, err := s.status(ctx, 0)
	if err != nil {
		return nil, membersUnknown(change != nil, err)
	}
	return connect.NewResponse(&samphireforkv1.MembershipResponse{Members: schema.FromMembers(reply.Members)}), nil
}

// membersUnknown keeps the failure of the listing from stating that the
// change before it was not run.
func membersUnknown(changed bool, err error) error {
	if !changed {
		return err
	}
	return newError(connect.CodeDeadlineExceeded, &samphireforkv1.ErrorDetail{
		Code:         CodeOutcomeUnknown,
		Message:      "the change was accepted, but the members could not be listed: " + err.Error(),
		RetryAfterMs: retryAfterMS,
		Verdict:      samphireforkv1.Verdict_VERDICT_MAY_HAVE_RUN,
	})
}

func (s *service) changeMembers(ctx context.Context, change wire.MembershipChange) error {
	ctx, cancel := s.deadline(ctx, 0)
	defer cancel()
	if err := s.leader.Call(ctx, wire.TypeMembership, change, nil, 0); err != nil {
		return changeFailed(err)
	}
	return nil
}

// membershipChange returns nil for the listing.
func membershipChange(m *samphireforkv1.MembershipRequest) (*wire.MembershipChange, error) {
	switch a := m.GetAction().(type) {
	case *samphireforkv1.MembershipRequest_List:
		return nil, nil
	case *samphireforkv1.MembershipRequest_AddLearner:
		return addLearner(a.AddLearner)
	case *samphireforkv1.MembershipRequest_Promote:
		if a.Promote != 0 {
			return &wire.MembershipChange{Promote: a.Promote}, nil
		}
	case *samphireforkv1.MembershipRequest_Remove:
		if a.Remove != 0 {
			return &wire.MembershipChange{Remove: a.Remove}, nil
		}
	}
	return nil, invalid("action: expected list, add_learner, promote or remove with an identifier above 0")
}
