package store

import (
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// leaseMarginDivisor makes the leader's lease shorter than the minimum election timeout by
// a tenth of it, to allow for clock rate differences.
const leaseMarginDivisor = 10

// leadership is a period in which this node leads. It starts when the node has applied an
// entry of its own term.
type leadership struct {
	term  uint64
	since time.Time
	// startTime is the cluster time, and startClock the node's clock, at the start.
	startTime  fleet.Time
	startClock int64
}

// now returns the cluster time at the given reading of the node's clock.
func (l leadership) now(clock int64) fleet.Time {
	return l.startTime.Add(time.Duration(clock - l.startClock))
}

// view is the state of the log that is published to readers outside the loop. lastContact
// is when the newest message that a majority answered was sent, by the node's clock.
type view struct {
	term        uint64
	leader      string
	ready       bool
	lastContact int64
	applied     uint64
	leadership  leadership
	members     []wire.MemberInfo
	// membersCommitted is true if no change of the members is in progress.
	membersCommitted bool
}

// updateLeadership handles the start and the end of this node's leadership.
func (n *Node) updateLeadership() {
	st := n.core.Status()
	if n.leadingTerm != 0 && (st.Role != raft.Leader || st.Term != n.leadingTerm) {
		n.log.Info().Uint64("term", n.leadingTerm).Msg("leadership ended")
		n.leadingTerm = 0
		n.leadership = leadership{}
		n.failPending(fleet.ErrUncertain)
	}
	if n.leadingTerm == 0 && st.Ready {
		n.leadingTerm = st.Term
		n.leadership = leadership{term: st.Term, since: time.Now(), startTime: n.machine.State().Now, startClock: n.clock()}
		n.log.Info().Uint64("term", st.Term).Msg("leadership started")
		n.metrics.elections.Inc(1)
	}
}

// publishView makes the current state of the log visible to readers outside the loop.
func (n *Node) publishView() {
	st := n.core.Status()
	v := &view{
		term:        st.Term,
		ready:       st.Ready && n.leadingTerm == st.Term,
		lastContact: st.QuorumContact,
		applied:     n.applied,
		leadership:  n.leadership,

		membersCommitted: st.MembersCommitted,
	}
	for _, m := range st.Members {
		n.network.recordAddress(m.ID, m.Address)
		if m.ID == st.Leader && n.heardLeaderRecently(st) {
			v.leader = m.Address
		}
		v.members = append(v.members, wire.MemberInfo{
			ID: m.ID, Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address,
			Learner: m.Learner, Match: n.core.Match(m.ID), SilentMS: n.silenceMS(st, m.ID),
		})
	}
	n.view.Store(v)
	n.metrics.term.Update(int64(st.Term))
	n.metrics.appliedIndex.Update(int64(n.applied))
	n.metrics.spareVoters.Update(n.spareVoters(st, v.members))
}

// spareVoters returns the number of voters beyond a majority that answer within the minimum
// election timeout, or -1 if this node does not lead.
func (n *Node) spareVoters(st raft.Status, members []wire.MemberInfo) int64 {
	if st.Role != raft.Leader {
		return -1
	}
	voters, live := int64(0), int64(0)
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.SilentMS < n.minElection().Milliseconds() {
			live++
		}
	}
	return max(live-voters/2-1, 0)
}

// heardLeaderRecently reports whether the leader that this member follows is likely to
// lead still. A learner follows its last leader until it hears from another one.
func (n *Node) heardLeaderRecently(st raft.Status) bool {
	return st.Role == raft.Leader || n.clock()-st.LeaderHeardAt < 2*int64(n.minElection())
}

// silenceMS returns the time since the leader last heard from a member, in milliseconds, or
// -1 if this node does not lead.
func (n *Node) silenceMS(st raft.Status, id uint64) int64 {
	switch {
	case st.Role != raft.Leader:
		return -1
	case id == n.cfg.ID:
		return 0
	default:
		since := max(n.core.MemberContact(id), n.leadership.startClock)
		return (n.clock() - since) / int64(time.Millisecond)
	}
}

// leading checks the leader's lease against the clock at the time of the call, so that a
// process that was suspended returns false even before its timers fire.
func (n *Node) leading(v *view) bool {
	minElection := int64(n.minElection())
	lease := minElection - minElection/leaseMarginDivisor
	return v.ready && n.clock()-v.lastContact < lease
}

// Leadership implements fleet.Log. Leader is empty if no leader was heard from recently.
func (n *Node) Leadership() fleet.Leadership {
	v := n.view.Load()
	return fleet.Leadership{Leader: v.leader, Term: v.term, Leading: n.leading(v), Since: v.leadership.since}
}

// Read implements fleet.Log.
func (n *Node) Read(f func(*fleet.State)) {
	n.stateMu.RLock()
	defer n.stateMu.RUnlock()
	f(n.machine.State())
}

// Changed implements fleet.Log.
func (n *Node) Changed() <-chan struct{} {
	n.stateMu.RLock()
	defer n.stateMu.RUnlock()
	return n.changed
}

// Now implements fleet.Log. On a store that does not lead it returns the time of the last
// applied command.
func (n *Node) Now() fleet.Time {
	v := n.view.Load()
	if v.ready {
		return v.leadership.now(n.clock())
	}
	n.stateMu.RLock()
	defer n.stateMu.RUnlock()
	return n.machine.State().Now
}

// Members returns the members of the log. Match is known on the leader, and elsewhere for
// the member itself only; SilentMS is -1 elsewhere. Callers must not change the slice.
func (n *Node) Members() []wire.MemberInfo { return n.view.Load().members }

// IsRemoved reports whether the committed membership does not contain a member. It may be
// called on the leader only.
func (n *Node) IsRemoved(id uint64) bool {
	v := n.view.Load()
	return v.membersCommitted && !slices.ContainsFunc(v.members, func(m wire.MemberInfo) bool { return m.ID == id })
}

// Applied returns the index of the last applied entry.
func (n *Node) Applied() uint64 { return n.view.Load().applied }
