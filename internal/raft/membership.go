package raft

import (
	"slices"
	"unicode/utf8"
)

// MaxPromoteLag is the largest number of entries by which a learner may be behind the
// leader when it is promoted.
const MaxPromoteLag = 64

// ChangeMembers appends a membership change to the log and returns its index. The
// change takes effect when it is appended. Until it is applied, another change returns
// ErrChangePending, as does any change before the leader has applied an entry of its
// term.
//
// A leader does not remove itself: it calls Transfer and returns ErrNotLeader. A member whose own log excludes it cannot become a candidate, and its
// longer log would keep it from voting for the others.
//
// Other errors are ErrNotLeader on a member that does not lead or is transferring its
// leadership, ErrBadChange for a change without exactly one valid action,
// ErrMemberExists, ErrUnknownMember, ErrLastVoter, ErrNotCaughtUp for a learner that is
// too far behind or not in contact, and ErrNoQuorum if no majority of the new voters is
// in contact with the leader or, for a removal, holds all committed entries.
func (c *Core) ChangeMembers(ch Change) (uint64, error) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, ErrNotLeader
	}
	if c.membersIndex > c.log.applied || !c.currentTermApplied() {
		return 0, ErrChangePending
	}
	members, err := c.membersAfter(ch)
	if err != nil {
		return 0, err
	}
	if ch.Remove == c.cfg.ID {
		c.Transfer()
		return 0, ErrNotLeader
	}
	if !c.hasMajorityOf(members, c.inContact) || ch.Remove != 0 && !c.hasMajorityOf(members, c.holdsCommitted) {
		return 0, ErrNoQuorum
	}
	c.appendAsLeader(Entry{Kind: EntryMembership, Members: members})
	c.broadcastAppend()
	return c.log.last(), nil
}

// membersAfter returns the membership that results from a change.
func (c *Core) membersAfter(ch Change) ([]Member, error) {
	if !ch.hasSingleAction() {
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

// hasMajorityOf reports whether a majority of the voters in members fulfils the condition.
//
// A change that leaves no majority in contact, such as the removal of a live voter while
// another one is lost, could neither be committed nor be reverted. A removal that leaves a
// committed entry without a majority could lose it.
func (c *Core) hasMajorityOf(members []Member, condition func(id uint64) bool) bool {
	voters, count := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if condition(m.ID) {
			count++
		}
	}
	return count > voters/2
}

// inContact reports whether the member has answered within the minimum election timeout.
func (c *Core) inContact(id uint64) bool {
	p := c.peers[id]
	return id == c.cfg.ID || p != nil && c.now-p.contact < c.cfg.MinElectionTimeout
}

// holdsCommitted reports whether all committed entries are durable on the member. One whose
// disk stalls may be in contact without them.
func (c *Core) holdsCommitted(id uint64) bool { return c.matchIndex(id) >= c.log.committed }

// hasSingleAction reports whether exactly one field is set.
func (ch Change) hasSingleAction() bool {
	count := 0
	for _, set := range []bool{ch.Add != nil, ch.Promote != 0, ch.Remove != 0} {
		if set {
			count++
		}
	}
	return count == 1
}

func withLearner(members []Member, m Member) ([]Member, error) {
	if m.ID == 0 || m.Address == "" || !m.hasReadableNames() {
		return nil, ErrBadChange
	}
	if indexOf(members, m.ID) >= 0 {
		return nil, ErrMemberExists
	}
	m.Learner = true
	return append(members, m), nil
}

// hasReadableNames reports whether the names are UTF-8. Entries, snapshots and messages that
// contain other text can be encoded but not decoded.
func (m *Member) hasReadableNames() bool {
	return utf8.ValidString(m.Instance) && utf8.ValidString(m.DataCentre) && utf8.ValidString(m.Address)
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
	if p == nil || p.match+MaxPromoteLag < c.log.last() || c.now-p.contact >= c.cfg.MinElectionTimeout {
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

// refreshMembers adopts the newest membership in the log, committed or not, and on a
// leader tracks the progress of exactly its other members.
func (c *Core) refreshMembers() {
	c.members, c.membersIndex = c.log.members(c.log.last())
	if c.peers == nil {
		return
	}
	for id := range c.peers {
		if !c.isMember(id) {
			delete(c.peers, id)
		}
	}
	// A new member is sent at least the last entry, so that it learns also on an idle log
	// which entries it lacks.
	next := max(c.log.last(), c.log.base.Index+1)
	for _, m := range c.members {
		if m.ID != c.cfg.ID && c.peers[m.ID] == nil {
			c.peers[m.ID] = &progress{next: next, probing: true, contact: noContact}
		}
	}
}

// currentTermApplied reports whether the last applied entry is of the current term.
func (c *Core) currentTermApplied() bool {
	term, ok := c.log.term(c.log.applied)
	return ok && term == c.term
}

// Transfer starts a transfer of the leadership to the voter with the highest match
// index among those in contact. From then on the leader accepts no proposals and no
// membership changes, and it steps down if the transfer is not complete within
// Config.ElectionTicks ticks. Transfer does nothing on a member that does not lead,
// during a transfer, or if no other voter is in contact.
func (c *Core) Transfer() {
	if c.role != Leader || c.transferTo != 0 {
		return
	}
	best := uint64(0)
	for _, m := range c.members {
		p := c.peers[m.ID]
		if p == nil || m.Learner || c.now-p.contact >= c.cfg.MinElectionTimeout {
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

// continueTransfer asks the target of a transfer to start an election once it holds
// the whole log.
func (c *Core) continueTransfer() {
	if c.role != Leader || c.transferTo == 0 {
		return
	}
	if p := c.peers[c.transferTo]; p != nil && p.match == c.log.last() {
		c.send(Message{Kind: MsgTimeoutNow, To: c.transferTo})
	}
}

// Status is the state of a member as the member itself sees it. Times are in the unit
// of Config.Now.
type Status struct {
	Term      uint64
	Role      Role
	Leader    uint64
	Committed uint64
	Applied   uint64
	// Ready is true on a leader that has applied an entry of its term and is not
	// transferring its leadership.
	Ready bool
	// QuorumContact is the result of Core.QuorumContact on a leader, and 0 otherwise.
	QuorumContact int64
	// LeaderHeardAt is the time of the last message from a leader, or the start time of
	// the member. A leader does not update it.
	LeaderHeardAt int64
	// Members is the newest membership in the log, and MembersCommitted is true once the
	// entry with it is committed.
	Members          []Member
	MembersCommitted bool
}

// Status returns the current status. The caller must not modify Members.
func (c *Core) Status() Status {
	s := Status{
		Term: c.term, Role: c.role, Leader: c.leader,
		Committed: c.log.committed, Applied: c.log.applied, Members: c.members, LeaderHeardAt: c.leaderHeardAt,
		MembersCommitted: c.membersIndex <= c.log.committed,
	}
	if c.role == Leader {
		s.Ready = c.transferTo == 0 && c.currentTermApplied()
		s.QuorumContact = c.QuorumContact()
	}
	return s
}

// Match returns the last index up to which the log of the given member is known to be
// durable and to agree with this member's log. A member that does not lead knows it
// only for itself and returns 0 for others.
func (c *Core) Match(id uint64) uint64 { return c.matchIndex(id) }

// MemberContact returns the time at which the leader sent the newest message that the
// given member has answered, in the unit of Config.Now. It returns -1<<62, a time far in
// the past, for a member that has not answered since the leader was elected or the
// member was added, for an unknown member, for the leader itself, and on a member that
// does not lead.
func (c *Core) MemberContact(id uint64) int64 {
	if p := c.peers[id]; p != nil {
		return p.contact
	}
	return noContact
}
