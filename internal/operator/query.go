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
	// snapshotAuditRecords is the number of audit records in a snapshot. It keeps the
	// status reply within the frame limit even if the records describe changes of a
	// whole fleet.
	snapshotAuditRecords = 200
	snapshotChunkBytes   = 256 << 10
)

// queryStatus requests the detailed status from the leader, with at most auditLimit
// audit records. A reply without a configuration is an error.
func (s *service) queryStatus(ctx context.Context, auditLimit int) (wire.StatusReply, error) {
	ctx, cancel := s.withDeadline(ctx, 0)
	defer cancel()
	var reply wire.StatusReply
	req := wire.StatusRequest{Detail: true, AuditLimit: auditLimit}
	if err := s.leader.Call(ctx, wire.TypeStatus, req, &reply, 0); err != nil {
		return reply, queryError(err)
	}
	if reply.Config == nil {
		return reply, notRunError(connect.CodeInternal, CodeStore, "the store's status has no configuration")
	}
	return reply, nil
}

// GetConfig returns the current configuration.
func (s *service) GetConfig(ctx context.Context, _ *connect.Request[samphireforkv1.GetConfigRequest]) (*connect.Response[samphireforkv1.GetConfigResponse], error) {
	reply, err := s.queryStatus(ctx, 0)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.GetConfigResponse{Config: schema.FromConfig(*reply.Config)}), nil
}

// Status returns the state of the replicated log and of the fleet.
func (s *service) Status(ctx context.Context, _ *connect.Request[samphireforkv1.StatusRequest]) (*connect.Response[samphireforkv1.StatusResponse], error) {
	reply, err := s.queryStatus(ctx, 0)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(schema.FromStatus(reply)), nil
}

// Audit returns the most recent records of the audit trail, newest first.
func (s *service) Audit(ctx context.Context, req *connect.Request[samphireforkv1.AuditRequest]) (*connect.Response[samphireforkv1.AuditResponse], error) {
	limit := int(req.Msg.GetLimit())
	if limit < 0 || limit > maxAuditRecords {
		return nil, invalidArgument("limit: %d is not between 1 and %d", limit, maxAuditRecords)
	}
	if limit == 0 {
		limit = defaultAuditRecords
	}
	reply, err := s.queryStatus(ctx, limit)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&samphireforkv1.AuditResponse{Records: schema.FromAudit(reply.Audit)}), nil
}

// Snapshot streams a snapshot document in chunks; see schema.Snapshot.
func (s *service) Snapshot(ctx context.Context, _ *connect.Request[samphireforkv1.SnapshotRequest], stream *connect.ServerStream[samphireforkv1.SnapshotChunk]) error {
	reply, err := s.queryStatus(ctx, snapshotAuditRecords)
	if err != nil {
		return err
	}
	data, err := schema.EncodeSnapshot(reply)
	if err != nil {
		return notRunError(connect.CodeInternal, CodeStore, err.Error())
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

// Membership carries out the membership change of the request, if any, and returns the
// members of the replicated log.
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
	reply, err := s.queryStatus(ctx, 0)
	if err != nil {
		return nil, listingError(change != nil, err)
	}
	return connect.NewResponse(&samphireforkv1.MembershipResponse{Members: schema.FromMembers(reply.Members)}), nil
}

// listingError converts the error of listing the members. After a change, the verdict
// is may_have_run: not_run would wrongly apply to the change.
func listingError(changed bool, err error) error {
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
	ctx, cancel := s.withDeadline(ctx, 0)
	defer cancel()
	if err := s.leader.Call(ctx, wire.TypeMembership, change, nil, 0); err != nil {
		return changeError(err)
	}
	return nil
}

// membershipChange validates and converts the action of the request. It returns nil if
// the request only lists the members.
func membershipChange(m *samphireforkv1.MembershipRequest) (*wire.MembershipChange, error) {
	switch a := m.GetAction().(type) {
	case *samphireforkv1.MembershipRequest_List:
		return nil, nil
	case *samphireforkv1.MembershipRequest_AddLearner:
		return addLearnerChange(a.AddLearner)
	case *samphireforkv1.MembershipRequest_Promote:
		if a.Promote != 0 {
			return &wire.MembershipChange{Promote: a.Promote}, nil
		}
	case *samphireforkv1.MembershipRequest_Remove:
		if a.Remove != 0 {
			return &wire.MembershipChange{Remove: a.Remove}, nil
		}
	}
	return nil, invalidArgument("action: expected list, add_learner, promote or remove with an identifier above 0")
}
