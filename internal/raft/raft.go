package raft

import "slices"

const (
	// entryOverheadBytes is the size of an entry's fields other than its data.
	entryOverheadBytes = 64
	// resendTicks is the time without progress after which appends in flight
	// count as lost.
	resendTicks = 4
	// quorumLossFactor times the minimum election timeout without contact to a
	// majority makes a leader step down.
	quorumLossFactor = 2
)

// Core is one member of the group. It is not safe for concurrent use.
type Core struct {
	cfg    Config
	term   uint64
	vote   uint64
	role   Role
	leader uint64
	log    *entryLog

	members     []Member
	membersFrom uint64

	now     int64
	elapsed int
	timeout int
	// heardAt is when this member last heard a leader. A start counts too: the
	// member may have supported a leader just before it stopped.
	heardAt   int64
	electedAt int64

	votes    map[uint64]bool
	peers    map[uint64]*progress
	snapshot Snapshot
	incoming Snapshot
	install  *Snapshot

	transferTo    uint64
	transferTicks int

	durable      HardState
	messages     []Message
	afterPersist []Message
}

// New returns a member in the state that it finds on its disk.
func New(cfg Config, found PersistedState) *Core {
	c := &Core{
		cfg:      cfg,
		term:     found.HardState.Term,
		vote:     found.HardState.Vote,
		log:      newLog(found.Snapshot.Position, found.Entries),
		snapshot: found.Snapshot,
		now:      cfg.Now,
		heardAt:  cfg.Now,
		durable:  found.HardState,
	}
	c.refreshMembers()
	c.drawTimeout()
	return c
}

// Tick advances the timers by one tick. now never decreases.
func (c *Core) Tick(now int64) {
	c.now = max(c.now, now)
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.elapsed >= c.timeout && c.isVoter(c.cfg.ID) && !c.supportsLeader() {
		c.campaign(PreCandidate, false)
	}
}

// Step handles a message that arrived at time now.
func (c *Core) Step(now int64, m Message) {
	c.now = max(c.now, now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	if m.Term < c.term {
		c.refuseOldTerm(m)
		return
	}
	c.dispatch(m)
}

// adoptTerm follows a higher term. It returns false when the message is
// complete or must be ignored.
func (c *Core) adoptTerm(m Message) bool {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
		return false
	case MsgPreVoteReply:
		if !m.Reject {
			c.countPreVote(m)
			return false
		}
	case MsgVote:
		if c.supportsLeader() && !m.Force {
			return false
		}
	}
	c.becomeFollower(m.Term, 0)
	return true
}

// refuseOldTerm tells a member with an older term about ours.
func (c *Core) refuseOldTerm(m Message) {
	switch m.Kind {
	case MsgPreVote:
		c.sendDurable(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.sendDurable(Message{Kind: MsgHeartbeatReply, To: m.From, Reject: true})
	}
}

func (c *Core) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgVote:
		c.handleVote(m)
	case MsgVoteReply:
		c.countVote(m)
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.fromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		c.fromMember(m)
	case MsgTimeoutNow:
		if c.isVoter(c.cfg.ID) && c.role != Leader {
			c.campaign(Candidate, true)
		}
	}
}

func (c *Core) fromLeader(m Message) {
	if c.role == Leader {
		panic("raft: two leaders in one term")
	}
	c.role = Follower
	c.leader = m.From
	c.elapsed = 0
	c.heardAt = c.now
	switch m.Kind {
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.commitTo(min(m.Commit, c.log.last()))
		c.send(Message{Kind: MsgHeartbeatReply, To: m.From, Sent: m.Sent})
	case MsgSnapshot:
		c.handleSnapshot(m)
	}
}

// send queues a message that depends on nothing but the durable term. It waits
// for the disk only while the term is not durable yet.
func (c *Core) send(m Message) {
	if c.durable != c.hardState() {
		c.sendDurable(m)
		return
	}
	c.messages = append(c.messages, c.signed(m))
}

// sendDurable queues a message that claims what is being persisted.
func (c *Core) sendDurable(m Message) {
	c.afterPersist = append(c.afterPersist, c.signed(m))
}

func (c *Core) signed(m Message) Message {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

func (c *Core) hardState() HardState { return HardState{Term: c.term, Vote: c.vote} }

// Messages takes the messages that may be sent while an earlier Ready is being persisted.
func (c *Core) Messages() []Message {
	out := c.messages
	c.messages = nil
	return out
}

// Ready returns the next work and true, or false when there is none. Each Ready
// is followed by one Advance before the next Ready.
func (c *Core) Ready() (Ready, bool) {
	rd := Ready{Messages: c.Messages(), AfterPersist: c.afterPersist, Snapshot: c.install}
	c.afterPersist, c.install = nil, nil
	if hs := c.hardState(); hs != c.durable {
		rd.HardState = &hs
	}
	rd.Entries = c.log.between(c.log.handed, c.log.last())
	c.log.handed = c.log.last()
	to := min(c.log.committed, c.log.stable)
	rd.Committed = c.log.between(c.log.delivered, to)
	c.log.delivered = max(c.log.delivered, to)
	return rd, !rd.empty()
}

// Advance reports that the work of rd is done.
func (c *Core) Advance(rd Ready) {
	if rd.HardState != nil {
		c.durable = *rd.HardState
	}
	if rd.Snapshot != nil {
		c.log.applied = max(c.log.applied, rd.Snapshot.Index)
	}
	if n := len(rd.Entries); n > 0 {
		c.log.persisted(rd.Entries[n-1].Index, rd.Entries[n-1].Term)
	}
	if n := len(rd.Committed); n > 0 {
		c.log.applied = max(c.log.applied, rd.Committed[n-1].Index)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Propose appends commands and returns the index of the first one.
func (c *Core) Propose(commands [][]byte) (uint64, error) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, ErrNotLeader
	}
	first := c.log.last() + 1
	for _, data := range commands {
		c.appendOwn(Entry{Kind: EntryCommand, Data: data})
	}
	c.broadcastAppend()
	return first, nil
}

func (c *Core) appendOwn(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.entries = append(c.log.entries, e)
	if e.Kind == EntryMembership {
		c.refreshMembers()
	}
}

// Compact records a snapshot of the applied state and drops the log up to
// keepFrom, which is at most the snapshot's index.
func (c *Core) Compact(snap Snapshot, keepFrom uint64) {
	if snap.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snap
	c.log.compact(min(keepFrom, snap.Index))
}

// PositionAt returns the position of an applied index, for a snapshot, and false
// when a received snapshot has replaced the log up to a later index.
func (c *Core) PositionAt(index uint64) (Position, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return Position{}, false
	}
	members, _ := c.log.members(index)
	return Position{Index: index, Term: term, Members: slices.Clone(members)}, true
}
