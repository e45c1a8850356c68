package raft

import "slices"

// maxPromoteLag is the number of entries that a learner may lack when it is promoted.
const maxPromoteLag = 64

// ChangeMembers appends one membership change and returns its index. The change
// takes effect when it is appended; a second one is refused until it is applied.
// A leader does not remove itself: it hands over and returns ErrNotLeader, since
// a member whose own log excludes it cannot stand for election, and its longer
// log would keep it from voting for the others.
func (c *Core) ChangeMembers(ch Change) (uint64, error) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, ErrNotLeader
	}
	if c.membersFrom > c.log.applied || !c.ownTermApplied() {
		return 0, ErrChangePending
	}
	members, err := c.changed(ch)
	if err != nil {
		return 0, err
	}
	if ch.Remove == c.cfg.ID {
		c.Transfer()
		return 0, ErrNotLeader
	}
	if !c.inContact(members) {
		return 0, ErrNoQuorum
	}
	c.appendOwn(Entry{Kind: EntryMembership, Members: members})
	c.broadcastAppend()
	return c.log.last(), nil
}

func (c *Core) changed(ch Change) ([]Member, error) {
	if !ch.single() {
		return nil, ErrBadChange
	}
	members := slices.Clone(c.members)
	switch {
	case ch.Add != nil:
		return withLearner(members, *ch.Add)
	case ch.Promote != 0:
		return c.withPromoted(members, ch.Promote)
	default:
		return without(members, ch.Remove)
	}
}

// inContact reports whether a majority of the voters answered a short time ago. A
// change that leaves less, such as the removal of a live voter while another one is
// lost, could not commit itself nor be undone.
func (c *Core) inContact(members []Member) bool {
	voters, live := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if p := c.peers[m.ID]; m.ID == c.cfg.ID || p != nil && c.now-p.acked < c.cfg.MinElectionTimeout {
			live++
		}
	}
	return live > voters/2
}

func (ch Change) single() bool {
	count := 0
	for _, set := range []bool{ch.Add != nil, ch.Promote != 0, ch.Remove != 0} {
		if set {
			count++
		}
	}
	return count == 1
}

func withLearner(members []Member, m Member) ([]Member, error) {
	if m.ID == 0 || m.Address == "" {
		return nil, ErrBadChange
	}
	if indexOf(members, m.ID) >= 0 {
		return nil, ErrMemberExists
	}
	m.Learner = true
	return append(members, m), nil
}

func (c *Core) withPromoted(members []Member, id uint64) ([]Member, error) {
	i := indexOf(members, id)
	if i < 0 {
		return nil, ErrUnknownMember
	}
	if !members[i].Learner {
		return nil, ErrMemberExists
	}
	p := c.peers[id]
	if p == nil || p.match+maxPromoteLag < c.log.last() || c.now-p.acked >= c.cfg.MinElectionTimeout {
		return nil, ErrNotCaughtUp
	}
	members[i].Learner = false
	return members, nil
}

func without(members []Member, id uint64) ([]Member, error) {
	i := indexOf(members, id)
	if i < 0 {
		return nil, ErrUnknownMember
	}
	members = slices.Delete(members, i, i+1)
	if !slices.ContainsFunc(members, func(m Member) bool { return !m.Learner }) {
		return nil, ErrLastVoter
	}
	return members, nil
}

func indexOf(members []Member, id uint64) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func (c *Core) isMember(id uint64) bool { return indexOf(c.members, id) >= 0 }

func (c *Core) isVoter(id uint64) bool {
	i := indexOf(c.members, id)
	return i >= 0 && !c.members[i].Learner
}

// refreshMembers takes the newest membership in the log.
func (c *Core) refreshMembers() {
	c.members, c.membersFrom = c.log.members(c.log.last())
	if c.peers == nil {
		return
	}
	for id := range c.peers {
		if !c.isMember(id) {
			delete(c.peers, id)
		}
	}
	for _, m := range c.members {
		if m.ID != c.cfg.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: c.log.last() + 1, probing: true, acked: neverAcked}
		}
	}
}

// ownTermApplied tells whether an entry of the present term is applied.
func (c *Core) ownTermApplied() bool {
	term, ok := c.log.term(c.log.applied)
	return ok && term == c.term
}

// Transfer hands the leadership to the voter with the newest log. It accepts no
// proposals from now on, and steps down after one election timeout at the latest.
func (c *Core) Transfer() {
	if c.role != Leader || c.transferTo != 0 {
		return
	}
	best := uint64(0)
	for _, m := range c.members {
		p := c.peers[m.ID]
		if p == nil || m.Learner || c.now-p.acked >= c.cfg.MinElectionTimeout {
			continue
		}
		if best == 0 || p.match > c.peers[best].match {
			best = m.ID
		}
	}
	if best == 0 {
		return
	}
	c.transferTo = best
	c.transferTicks = 0
	c.continueTransfer()
}

func (c *Core) continueTransfer() {
	if c.role != Leader || c.transferTo == 0 {
		return
	}
	if p := c.peers[c.transferTo]; p != nil && p.match == c.log.last() {
		c.send(Message{Kind: MsgTimeoutNow, To: c.transferTo})
	}
}

// Status is the view of one member.
type Status struct {
	Term      uint64
	Role      Role
	Leader    uint64
	Committed uint64
	Applied   uint64
	// Ready is true on a leader that has applied an entry of its term and is
	// not handing over its leadership.
	Ready bool
	// QuorumContact is QuorumContact on a leader.
	QuorumContact int64
	// LeaderHeardAt is when this member last heard a leader.
	LeaderHeardAt int64
	Members       []Member
}

// Status returns the present view. Members must not be changed.
func (c *Core) Status() Status {
	s := Status{
		Term: c.term, Role: c.role, Leader: c.leader,
		Committed: c.log.committed, Applied: c.log.applied, Members: c.members, LeaderHeardAt: c.heardAt,
	}
	if c.role == Leader {
		s.Ready = c.transferTo == 0 && c.ownTermApplied()
		s.QuorumContact = c.QuorumContact()
	}
	return s
}

// Match returns the last index that the member is known to hold; on other
// members than the leader it is known for the member itself only.
func (c *Core) Match(id uint64) uint64 { return c.matchOf(id) }

// MemberContact returns when the newest message that the member has answered was sent, on
// the leader; it is far in the past for a member that never answered.
func (c *Core) MemberContact(id uint64) int64 {
	if p := c.peers[id]; p != nil {
		return p.acked
	}
	return neverAcked
}
