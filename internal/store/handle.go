package store

import (
	"context"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// pendingChange is a membership change that was proposed to the log and is not applied
// yet. done receives its error.
type pendingChange struct {
	raft.Change
	index uint64
	done  chan error
}

// Handle handles the messages of the types wire.TypeRaft and wire.TypeMembership. For
// other types it returns a *wire.ErrorBody with the code wire.CodeUnsupported.
func (n *Node) Handle(ctx context.Context, req wire.Request) (any, error) {
	switch req.Type {
	case wire.TypeRaft:
		return nil, n.receive(req)
	case wire.TypeMembership:
		return n.handleMembership(ctx, req)
	default:
		return nil, &wire.ErrorBody{Code: wire.CodeUnsupported, Message: "the log takes no such message"}
	}
}

// receive passes a message of a peer to the loop. It never blocks the connection: if
// the inbox is full, the message is dropped.
func (n *Node) receive(req wire.Request) error {
	var e envelope
	if err := req.Decode(&e); err != nil {
		n.metrics.dropped.Inc(1)
		n.receiveLog.Error().Err(err).Str("from", req.From).Msg("a message of a peer store can't be decoded and is dropped")
		return err
	}
	select {
	case n.inbox <- e:
	default:
		n.metrics.dropped.Inc(1)
		n.receiveLog.Warn().Str("from", req.From).Msg("a message of a peer store is dropped, the inbox is full")
	}
	return nil
}

// handleMembership makes one membership change. A change that is already in place
// succeeds, so that it can be retried.
func (n *Node) handleMembership(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.MembershipChange
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	l := n.Leadership()
	if !l.Leading {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: l.Leader}
	}
	if !n.alreadyApplied(msg) {
		if err := n.ChangeMembers(ctx, msg); err != nil {
			return nil, n.changeError(err)
		}
	}
	return wire.StatusReply{Leader: l.Leader, Term: l.Term, Applied: n.Applied(), Members: n.Members()}, nil
}

// alreadyApplied reports whether the membership change msg is already in place.
func (n *Node) alreadyApplied(msg wire.MembershipChange) bool {
	for _, m := range n.Members() {
		if msg.Add != nil && m.ID == msg.Add.ID && m.Address == msg.Add.Address {
			return true
		}
		if msg.Promote != 0 && m.ID == msg.Promote && !m.Learner {
			return true
		}
		if msg.Remove != 0 && m.ID == msg.Remove {
			return false
		}
	}
	return msg.Remove != 0 && msg.Add == nil && msg.Promote == 0
}

// ChangeMembers makes one membership change and returns nil once it is applied. It
// returns fleet.ErrNotLeader or raft.ErrNotLeader if this store does not lead,
// fleet.ErrUncertain if the change may or may not be applied, and the error of the
// consensus core if that refuses the change, such as raft.ErrChangePending,
// raft.ErrNotCaughtUp or raft.ErrNoQuorum.
func (n *Node) ChangeMembers(ctx context.Context, msg wire.MembershipChange) error {
	ch := &pendingChange{Change: raft.Change{Promote: msg.Promote, Remove: msg.Remove}, done: make(chan error, 1)}
	if a := msg.Add; a != nil {
		ch.Add = &raft.Member{ID: a.ID, Instance: a.Instance, DataCentre: a.DataCentre, Address: a.Address}
	}
	select {
	case n.changes <- ch:
	case <-ctx.Done():
		return fleet.ErrNotLeader
	case <-n.stopped:
		return fleet.ErrNotLeader
	}
	select {
	case err := <-ch.done:
		return err
	case <-ctx.Done():
	case <-n.stopped:
	}
	return fleet.ErrUncertain
}

func (n *Node) proposeChange(ch *pendingChange) {
	index, err := n.core.ChangeMembers(ch.Change)
	if err != nil {
		ch.done <- err
		return
	}
	ch.index = index
	n.change = ch
}

// completeChange reports the pending change as applied. There is at most one, since the
// core refuses a second change until the first is applied.
func (n *Node) completeChange(e raft.Entry) {
	if n.change == nil || n.change.index != e.Index {
		return
	}
	n.change.done <- nil
	n.change = nil
}

func (n *Node) changeError(err error) error {
	body := &wire.ErrorBody{Code: wire.CodeBadMessage, Message: err.Error()}
	switch {
	case errors.Is(err, fleet.ErrNotLeader), errors.Is(err, raft.ErrNotLeader):
		body.Code = wire.CodeNotLeader
		body.Leader = n.Leadership().Leader
	case errors.Is(err, fleet.ErrUncertain):
		body.Code = wire.CodeUncertain
	case errors.Is(err, raft.ErrChangePending), errors.Is(err, raft.ErrNotCaughtUp), errors.Is(err, raft.ErrNoQuorum):
		body.Code = wire.CodeBusy
	}
	return body
}
