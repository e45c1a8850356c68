package membership

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/store"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// checkInterval is the time between two checks of the membership by the leader.
	checkInterval = 200 * time.Millisecond
	// joinInterval is the time between two join requests of a store that knows no leader.
	joinInterval = 300 * time.Millisecond
	// joinTimeout bounds a join request to one store. A learner that has been silent for
	// at least as long is not promoted and does not replace a voter.
	joinTimeout = 700 * time.Millisecond
	// minSilenceLimit is the least Policy.SilenceLimit. An election takes up to 1 s.
	minSilenceLimit = time.Second
	// minVoters is the number of voters that are kept whatever the target, so that the log is
	// on two disks.
	minVoters = 2
	// learnerSilenceLimit is the silence after which a learner is removed.
	learnerSilenceLimit = 30 * time.Second
	changeTimeout       = time.Second
)

// ErrRemoved is returned by Manager.Run when the store's log belongs to a member that
// was removed. The data folder must be emptied before the store can join again.
var ErrRemoved = errors.New("membership: this store was removed from the log")

// Manager maintains the membership of the log. On the leader it adds, promotes and
// removes members; on a store that knows no leader it sends join requests. It is a
// store.Component.
type Manager struct {
	node   *store.Node
	self   wire.MemberInfo
	policy Policy
	pool   *wire.Pool
	seeds  func() []string
	logger zerolog.Logger
	// leader is the address of the last known leader, empty for none.
	leader string
}

// Policy determines the voters that the leader aims for.
type Policy struct {
	// Voters is the target number of voters.
	Voters int
	// SilenceLimit is the silence after which a voter is replaced if a learner that has
	// caught up can take its place; at least 1 s. Until then the loss of the voter counts
	// against what the log tolerates. A store that was only cut off joins again as a learner.
	SilenceLimit time.Duration
}

// Options are the dependencies of a Manager. All fields but Logger are required.
type Options struct {
	// Node is the local member of the log.
	Node *store.Node
	// Self describes this store in join requests.
	Self   wire.MemberInfo
	Policy Policy
	// Pool holds the connections to other stores.
	Pool *wire.Pool
	// Seeds returns addresses of other stores, which are tried after those of the members.
	Seeds  func() []string
	Logger zerolog.Logger
}

// NewManager returns a manager, which takes no action until Run is called.
func NewManager(o Options) *Manager {
	o.Policy.SilenceLimit = max(o.Policy.SilenceLimit, minSilenceLimit)
	return &Manager{node: o.Node, self: o.Self, policy: o.Policy, pool: o.Pool, seeds: o.Seeds, logger: o.Logger}
}

// Register implements store.Component.
func (mgr *Manager) Register(mux wire.Mux) {
	mux[wire.TypeJoin] = mgr.serveJoin
	mux[wire.TypeLeader] = mgr.serveLeader
}

// Run implements store.Component. It returns nil when ctx ends, and ErrRemoved if
// this store was removed from the log.
func (mgr *Manager) Run(ctx context.Context) error {
	for {
		l := mgr.node.Leadership()
		mgr.logLeaderChange(l)
		switch {
		case l.Leading:
			mgr.reconcile(ctx)
			if !wait.For(ctx, checkInterval) {
				return nil
			}
		case l.Leader == "":
			if err := mgr.requestJoin(ctx); err != nil {
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

// logLeaderChange logs when the leader that this store knows has changed.
func (mgr *Manager) logLeaderChange(l fleet.Leadership) {
	if l.Leader == mgr.leader {
		return
	}
	mgr.leader = l.Leader
	voters, learners := addressesByRole(mgr.node.Members())
	mgr.logger.Info().Str("leader", l.Leader).Uint64("term", l.Term).Strs("voters", voters).Strs("learners", learners).Msg("leader of the log changed")
}

// addressesByRole returns the addresses of the voters and of the learners.
func addressesByRole(members []wire.MemberInfo) (voters, learners []string) {
	for _, m := range members {
		if m.Learner {
			learners = append(learners, m.Address)
		} else {
			voters = append(voters, m.Address)
		}
	}
	return voters, learners
}

// reconcile makes at most one membership change.
func (mgr *Manager) reconcile(ctx context.Context) {
	members := mgr.node.Members()
	change, reason := mgr.policy.PlanChange(members, mgr.self.ID)
	if change == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := mgr.node.ChangeMembers(ctx, *change)
	line := mgr.logger.Info().Err(err).Uint64("promote", change.Promote).Uint64("remove", change.Remove).Str("reason", reason).Uint64("applied", mgr.node.Applied())
	for _, m := range members {
		if m.ID == change.Promote || m.ID == change.Remove {
			line = line.Uint64("match", m.Match).Int64("silentMs", m.SilentMS)
		}
	}
	line.Msg("membership change")
}

// PlanChange returns the next change that the leader should make to reach the target,
// and the reason for it. It returns nil and an empty reason if no change is due.
//
// A voter that is silent for too long is replaced: a live learner that has caught up is
// promoted first and the voter is removed then, so that at no time fewer voters hold the
// log. If the voter is back before that, the voter that is furthest behind is removed: an
// even number of voters tolerates no more losses and can be cut into halves.
func (p Policy) PlanChange(members []wire.MemberInfo, leader uint64) (*wire.MembershipChange, string) {
	m := classify(members, leader)
	silentVoter := m.voter != nil && m.voter.silence() > p.SilenceLimit
	replacing := m.voters > max(p.Voters, minVoters) && m.voters%2 == 0
	switch {
	case m.voters < p.Voters && m.learner != nil:
		return promote(m.learner), "fewer voters than the target"
	case !replacing && silentVoter && m.learner != nil && m.learner.Match+raft.MaxPromoteLag >= m.last:
		return promote(m.learner), "voter is silent and a learner can take its place"
	case replacing && silentVoter:
		return remove(m.voter), "voter is silent and was replaced"
	case replacing && m.voter.silence() < joinTimeout:
		return remove(m.behind), "replaced voter is back"
	case m.silentLearner != nil:
		return remove(m.silentLearner), "learner is silent"
	default:
		return nil, ""
	}
}

// member is a member as the leader sees it.
type member struct{ wire.MemberInfo }

func (m *member) silence() time.Duration { return time.Duration(m.SilentMS) * time.Millisecond }

func promote(m *member) *wire.MembershipChange { return &wire.MembershipChange{Promote: m.ID} }

func remove(m *member) *wire.MembershipChange { return &wire.MembershipChange{Remove: m.ID} }

// classified holds what PlanChange decides by. Pointers are nil if there is no such member.
type classified struct {
	voters int
	// last is the last index that any member holds.
	last uint64
	// voter is the voter that has been silent for longest, and behind the one other than the
	// leader that holds the least of the log.
	voter, behind *member
	// learner is the live learner that holds the most of the log.
	learner, silentLearner *member
}

func classify(members []wire.MemberInfo, leader uint64) classified {
	var c classified
	for _, info := range members {
		m := &member{info}
		c.last = max(c.last, m.Match)
		switch {
		case !m.Learner:
			c.voters++
			if c.voter == nil || m.SilentMS > c.voter.SilentMS {
				c.voter = m
			}
			if m.ID != leader && (c.behind == nil || m.Match < c.behind.Match) {
				c.behind = m
			}
		case m.silence() >= joinTimeout:
			if m.silence() > learnerSilenceLimit {
				c.silentLearner = m
			}
		case c.learner == nil || m.Match > c.learner.Match:
			c.learner = m
		}
	}
	return c
}

// requestJoin sends a join request to the other stores in turn until one answers. A
// store with an empty log offers to become a learner. The error is ErrRemoved if
// this store was removed from the log.
func (mgr *Manager) requestJoin(ctx context.Context) error {
	req := wire.JoinRequest{Member: mgr.self, Fresh: len(mgr.node.Members()) == 0}
	for _, addr := range mgr.candidateAddresses() {
		reply, err := mgr.sendJoin(ctx, addr, req)
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

// sendJoin sends a join request to one store, and to the leader if the store names one.
func (mgr *Manager) sendJoin(ctx context.Context, addr string, req wire.JoinRequest) (wire.JoinReply, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	var reply wire.JoinReply
	err := mgr.pool.Call(ctx, addr, wire.TypeJoin, req, &reply)
	var body *wire.ErrorBody
	if errors.As(err, &body) && body.Code == wire.CodeNotLeader && body.Leader != "" && body.Leader != addr {
		err = mgr.pool.Call(ctx, body.Leader, wire.TypeJoin, req, &reply)
	}
	return reply, err
}

// candidateAddresses returns the addresses of the members and the seeds, except this store's own.
func (mgr *Manager) candidateAddresses() []string {
	seen := map[string]bool{mgr.self.Address: true, "": true}
	var out []string
	add := func(addr string) {
		if !seen[addr] {
			seen[addr] = true
			out = append(out, addr)
		}
	}
	for _, m := range mgr.node.Members() {
		add(m.Address)
	}
	for _, seed := range mgr.seeds() {
		add(seed)
	}
	return out
}

// serveJoin handles the join request of a store that knows no leader.
func (mgr *Manager) serveJoin(ctx context.Context, req wire.Request) (any, error) {
	var msg wire.JoinRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	l := mgr.node.Leadership()
	if !l.Leading {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: l.Leader}
	}
	members := mgr.node.Members()
	for _, m := range members {
		if m.ID == msg.Member.ID {
			return wire.JoinReply{Member: true, Members: members}, nil
		}
	}
	if !msg.Fresh && !mgr.node.IsRemoved(msg.Member.ID) {
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: "a change of the members is in progress"}
	}
	if !msg.Fresh {
		return wire.JoinReply{Removed: true, Members: members}, nil
	}
	if err := mgr.addLearner(ctx, msg.Member, members); err != nil {
		return nil, &wire.ErrorBody{Code: wire.CodeBusy, Message: err.Error()}
	}
	return wire.JoinReply{Member: true, Members: mgr.node.Members()}, nil
}

// addLearner adds a store as a learner. It first removes any member with the same
// address, which lost its data folder.
func (mgr *Manager) addLearner(ctx context.Context, m wire.MemberInfo, members []wire.MemberInfo) error {
	for _, old := range members {
		if old.Address != m.Address {
			continue
		}
		mgr.logger.Info().Uint64("member", old.ID).Str("address", old.Address).Msg("member has lost its disk and is removed")
		if err := mgr.node.ChangeMembers(ctx, wire.MembershipChange{Remove: old.ID}); err != nil {
			return err
		}
	}
	err := mgr.node.ChangeMembers(ctx, wire.MembershipChange{Add: &m})
	mgr.logger.Info().Err(err).Uint64("member", m.ID).Str("address", m.Address).Msg("store joins as a learner")
	return err
}

func (mgr *Manager) serveLeader(context.Context, wire.Request) (any, error) {
	l := mgr.node.Leadership()
	if !l.Leading {
		return nil, &wire.ErrorBody{Code: wire.CodeNotLeader, Leader: l.Leader}
	}
	return wire.LeaderInfo{Term: l.Term, Members: mgr.node.Members()}, nil
}
