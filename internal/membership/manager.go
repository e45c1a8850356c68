package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/store"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// checkInterval is the time between looks at the membership.
	checkInterval = 200 * time.Millisecond
	// joinInterval is the time between questions of a store that hears no leader.
	joinInterval = 300 * time.Millisecond
	joinTimeout  = 700 * time.Millisecond
	// voterSilenceLimit is the silence after which a voter is replaced, when a learner can
	// take its place. Restarts and cuts of links last up to 10 s.
	voterSilenceLimit = 12 * time.Second
	// learnerSilenceLimit is the silence after which a learner is removed.
	learnerSilenceLimit  = 30 * time.Second
	changeTimeout = time.Second
)

// ErrRemoved ends a store whose log belongs to a member that was removed. Its
// data folder has to be emptied before it joins again.
var ErrRemoved = errors.New("membership: this store was removed from the log")

// Manager keeps a store in the log, and on the leader the log's membership. It is
// a store.Component.
type Manager struct {
	node   *store.Node
	self   wire.MemberInfo
	voters int
	pool   *wire.Pool
	seeds  func() []string
	logger zerolog.Logger
	// leader is the address of the leader that was last seen, empty for none.
	leader string
}

// Options are the dependencies of a Keeper.
type Options struct {
	Node *store.Node
	Self wire.MemberInfo
	// Voters is the number of voters to keep.
	Voters int
	Pool   *wire.Pool
	// Seeds returns the addresses at which other stores may be found.
	Seeds  func() []string
	Logger zerolog.Logger
}

// NewManager returns a keeper; Run starts it.
func NewManager(o Options) *Manager {
	return &Manager{node: o.Node, self: o.Self, voters: o.Voters, pool: o.Pool, seeds: o.Seeds, logger: o.Logger}
}

// Register implements store.Component.
func (k *Manager) Register(mux wire.Mux) {
	mux[wire.TypeJoin] = k.serveJoin
	mux[wire.TypeLeader] = k.serveLeader
}

// Run implements store.Component.
func (k *Manager) Run(ctx context.Context) error {
	for {
		l := k.node.Leadership()
		k.logLeaderChange(l)
		switch {
		case l.Leading:
			k.reconcile(ctx)
			if !wait.For(ctx, checkInterval) {
				return nil
			}
		case l.Leader == "":
			if err := k.requestJoin(ctx); err != nil {
				return err
			}
			if !wait.For(ctx, joinInterval) {
				return nil
			}
		default:
			if !wait.For(ctx, joinInterval) {
				return nil
			}
		}
	}
}

// logLeaderChange logs when this store loses its leader or follows another one.
func (k *Manager) logLeaderChange(l fleet.Leadership) {
	if l.Leader == k.leader {
		return
	}
	k.leader = l.Leader
	k.logger.Info().Str("leader", l.Leader).Uint64("term", l.Term).Msg("the store's leader changed")
}

// reconcile carries out at most one change.
func (k *Manager) reconcile(ctx context.Context) {
	members := k.node.Members()
	change, reason := PlanChange(members, k.voters)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := k.node.ChangeMembers(ctx, *change)
	line := k.logger.Info().Err(err).Uint64("promote", change.Promote).Uint64("remove", change.Remove).Str("reason", reason).Uint64("applied", k.node.Applied())
	for _, m := range members {
		if m.ID == change.Promote || m.ID == change.Remove {
			line = line.Uint64("match", m.Match).Int64("silentMs", m.SilentMS)
		}
	}
	line.Msg("membership change")
}

// PlanChange returns the change that the leader should make to its membership, or
// nil. Voters that are silent are replaced only when a live learner can follow.
func PlanChange(members []wire.MemberInfo, target int) (*wire.MembershipChange, string) {
	voters := 0
	var learner, silentVoter, silentLearner *wire.MemberInfo
	for i := range members {
		m := &members[i]
		silent := time.Duration(m.SilentMS) * time.Millisecond
		switch {
		case !m.Learner:
			voters++
			if silent > voterSilenceLimit {
				silentVoter = m
			}
		case silent < joinTimeout:
			learner = m
		case silent > learnerSilenceLimit:
			silentLearner = m
		}
	}
	switch {
	case voters < target && learner != nil:
		return &wire.MembershipChange{Promote: learner.ID}, "fewer voters than wanted"
	case silentVoter != nil && learner != nil && voters > 1:
		return &wire.MembershipChange{Remove: silentVoter.ID}, "voter is silent and a learner can take its place"
	case silentLearner != nil:
		return &wire.MembershipChange{Remove: silentLearner.ID}, "learner is silent"
	default:
		return nil, ""
	}
}

// requestJoin looks for the leader, and offers this store as a learner when its log is empty.
func (k *Manager) requestJoin(ctx context.Context) error {
	req := wire.JoinRequest{Member: k.self, Fresh: len(k.node.Members()) == 0}
	for _, addr := range k.candidateAddresses() {
		reply, err := k.sendJoin(ctx, addr, req)
		if err != nil {
			continue
		}
		if reply.Removed {
			return ErrRemoved
		}
		return nil
	}
	return nil
}

// sendJoin asks one store, and the leader that it names.
func (k *Manager) sendJoin(ctx context.Context, addr string, req wire.JoinRequest) (wire.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply wire.JoinReply
	err := k.pool.Call(ctx, addr, wire.TypeJoin, req, &reply)
	var body *wire.ErrorBody
	if errors.As(err, &body) && body.Code == wire.CodeNotLeader && body.Leader != "" && body.Leader != addr {
		err = k.pool.Call(ctx, body.Leader, wire.TypeJoin, req, &reply)
	}
	return reply, err
}

// candidateAddresses returns the addresses of the members and the seeds, without our own.
func (k *Manager) candidateAddresses() []string {
	seen := map[string]bool{k.self.Address: true, "": true}
	var out []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, m := range k.node.Members() {
		add(m.Address)
	}
	for _, seed := range k.seeds() {
		add(seed)
	}
	return out
}

// serveJoin answers a store that hears no leader.
func (k *Manager) serveJoin(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.JoinRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	l := k.node.Leadership()
	if !l.Leading {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: l.Leader}
	}
	members := k.node.Members()
	for _, m := range members {
		if m.ID == msg.Member.ID {
			return wire.JoinReply{Member: true, Members: members}, nil
		}
	}
	if !msg.Fresh {
		return wire.JoinReply{Removed: true, Members: members}, nil
	}
	if err := k.addLearner(ctx, msg.Member, members); err != nil {
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: err.Error()}
	}
	return wire.JoinReply{Member: true, Members: k.node.Members()}, nil
}

// addLearner adds a store as a learner. A member at the same address has lost its disk.
func (k *Manager) addLearner(ctx context.Context, m wire.MemberInfo, members []wire.MemberInfo) error {
	for _, old := range members {
		if old.Address != m.Address {
			continue
		}
		k.logger.Info().Uint64("member", old.ID).Str("address", old.Address).Msg("member has lost its disk and is removed")
		if err := k.node.ChangeMembers(ctx, wire.MembershipChange{Remove: old.ID}); err != nil {
			return err
		}
	}
	err := k.node.ChangeMembers(ctx, wire.MembershipChange{Add: &m})
	k.logger.Info().Err(err).Uint64("member", m.ID).Str("address", m.Address).Msg("store joins as a learner")
	return err
}

func (k *Manager) serveLeader(context.Context, wire.Request) (any, error) {
	l := k.node.Leadership()
	if !l.Leading {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: l.Leader}
	}
	return wire.LeaderInfo{Term: l.Term, Members: k.node.Members()}, nil
}
