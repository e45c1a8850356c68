package raft

import "slices"

const (
	// entryOverheadBytes is the size that is counted for the fields of an entry other than its data.
	entryOverheadBytes = 64
	// resendTicks is the number of ticks without progress after which messages in
	// flight to a member are considered lost and are sent again.
	resendTicks = 4
	// maxResendDoublings bounds the resend delay, which doubles while a member shows no
	// sign of having received anything, to 32 ticks. On a congested path, resending at a
	// fixed rate adds to the queue faster than it drains.
	maxResendDoublings = 3
	// quorumLossFactor is the number of minimum election timeouts without contact
	// with a majority after which a leader steps down.
	quorumLossFactor = 2
)

// Core is the state machine of one member of a Raft group. It is not safe for
// concurrent use.
type Core struct {
	cfg    Config
	term   uint64
	vote   uint64
	role   Role
	leader uint64
	log    *entryLog

	members      []Member
	membersIndex uint64

	now             int64
	elapsed         int
	electionTimeout int
	// leaderHeardAt is the time of the last message from a leader. It is initialized to
	// the start time: the member may have acknowledged a leader's lease just before it
	// was restarted.
	leaderHeardAt int64
	electedAt     int64
	// startedAt is when this process of the member started.
	startedAt int64
	// heardLeader is true once a leader has sent a message to this process.
	heardLeader bool
	// guard is nil once it was lifted or has expired; guardLifted is true if it was lifted.
	guard       *restartGuard
	guardLifted bool

	votes          map[uint64]bool
	peers          map[uint64]*progress
	snapshot       Snapshot
	incoming       Snapshot
	pendingInstall *Snapshot

	transferTo    uint64
	transferTicks int

	durable      HardState
	messages     []Message
	afterPersist []Message
}

// New returns a follower that continues from the given persisted state.
func New(cfg Config, state PersistedState) *Core {
	c := &Core{
		cfg:           cfg,
		term:          state.HardState.Term,
		vote:          state.HardState.Vote,
		log:           newLog(state.Snapshot.Position, state.Entries),
		snapshot:      state.Snapshot,
		now:           cfg.Now,
		leaderHeardAt: cfg.Now,
		startedAt:     cfg.Now,
		durable:       state.HardState,
	}
	c.refreshMembers()
	c.randomizeElectionTimeout()
	c.guard = newRestartGuard(c)
	return c
}

// Tick advances the election, heartbeat and resend timers by one tick. now is the
// current time in the unit of Config.Now; a time before an earlier one is ignored.
// A leader without contact with a majority of voters for twice
// Config.MinElectionTimeout steps down.
func (c *Core) Tick(now int64) {
	c.now = max(c.now, now)
	c.elapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickRestartGuard()
	if c.elapsed >= c.electionTimeout && c.isVoter(c.cfg.ID) && !c.supportsLeader() {
		c.campaign(PreCandidate, false)
	}
}

// Step handles a message received at time now, in the unit of Config.Now. Messages
// that are not addressed to this member are ignored. It panics if another member
// claims to lead the term that this member leads, or if the leader's log conflicts
// with a committed entry: either shows a fault that the protocol excludes.
func (c *Core) Step(now int64, m Message) {
	c.now = max(c.now, now)
	if m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term > c.term && !c.handleHigherTerm(m) {
		return
	}
	if m.Kind == MsgLeaderQuery {
		c.answerLeaderQuery(m)
		return
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return
	}
	c.dispatch(m)
}

// handleHigherTerm adopts the term of a message and becomes a follower. It returns
// false without doing so if the message is a pre-vote request or a granted pre-vote,
// both of which it handles, or a vote request that must be ignored because this member
// supports a leader.
func (c *Core) handleHigherTerm(m Message) bool {
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

// rejectStaleTerm answers a pre-vote or a leader's message of an older term with the
// current term, which the sender then adopts.
func (c *Core) rejectStaleTerm(m Message) {
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
		c.handleFromLeader(m)
	case MsgAppendReply, MsgHeartbeatReply, MsgSnapshotReply:
		c.handleReply(m)
	case MsgNotLeading:
		c.noteNotLeading(m)
	case MsgTimeoutNow:
		if c.isVoter(c.cfg.ID) && c.role != Leader {
			c.campaign(Candidate, true)
		}
	}
}

func (c *Core) handleFromLeader(m Message) {
	if c.role == Leader {
		panic("raft: two leaders in one term")
	}
	c.role = Follower
	c.leader = m.From
	c.elapsed = 0
	c.leaderHeardAt, c.heardLeader, c.guard = c.now, true, nil
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

// send queues a message that depends on no state other than the hard state. The
// message waits for the disk only if the hard state is not durable yet.
func (c *Core) send(m Message) {
	if c.durable != c.hardState() {
		c.sendDurable(m)
		return
	}
	c.messages = append(c.messages, c.withSender(m))
}

// sendDurable queues a message that may be sent only when the state that it
// reports is durable.
func (c *Core) sendDurable(m Message) {
	c.afterPersist = append(c.afterPersist, c.withSender(m))
}

// withSender sets the sender of a message, and its term unless it has one.
func (c *Core) withSender(m Message) Message {
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

func (c *Core) hardState() HardState { return HardState{Term: c.term, Vote: c.vote} }

// Messages returns and removes the queued messages that do not depend on unpersisted
// state. They may be sent while an earlier Ready is still being persisted.
func (c *Core) Messages() []Message {
	out := c.messages
	c.messages = nil
	return out
}

// Ready returns the pending work of the caller, and false if there is none. The caller
// must call Advance with a returned Ready before it calls Ready again.
func (c *Core) Ready() (Ready, bool) {
	rd := Ready{Messages: c.Messages(), AfterPersist: c.afterPersist, Snapshot: c.pendingInstall}
	c.afterPersist, c.pendingInstall = nil, nil
	if hs := c.hardState(); hs != c.durable {
		rd.HardState = &hs
	}
	rd.Entries = c.log.between(c.log.persisting, c.log.last())
	c.log.persisting = c.log.last()
	to := min(c.log.committed, c.log.stable)
	rd.Committed = c.log.between(c.log.applying, to)
	c.log.applying = max(c.log.applying, to)
	return rd, !rd.empty()
}

// Advance reports that the caller has persisted and applied all of rd. A leader may
// commit further entries as a result.
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

// Propose appends commands to the log, replicates them and returns the index of the
// first one. It does not wait until they are committed; they may still be lost if
// the leadership changes. It returns ErrNotLeader on a member that does not lead or
// that is transferring its leadership.
func (c *Core) Propose(commands [][]byte) (uint64, error) {
	if c.role != Leader || c.transferTo != 0 {
		return 0, ErrNotLeader
	}
	first := c.log.last() + 1
	for _, data := range commands {
		c.appendAsLeader(Entry{Kind: EntryCommand, Data: data})
	}
	c.broadcastAppend()
	return first, nil
}

// appendAsLeader appends an entry of the current term at the end of the log.
func (c *Core) appendAsLeader(e Entry) {
	e.Index = c.log.last() + 1
	e.Term = c.term
	c.log.entries = append(c.log.entries, e)
	if e.Kind == EntryMembership {
		c.refreshMembers()
	}
}

// Compact records snap as the snapshot for members whose next entry is no longer in
// the log, and discards the entries up to and including keepFrom, or up to the
// snapshot's index if that is lower. snap must cover only applied entries; a
// snapshot that is not newer than the recorded one is ignored.
func (c *Core) Compact(snap Snapshot, keepFrom uint64) {
	if snap.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = snap
	c.log.compact(min(keepFrom, snap.Index))
}

// Replay returns the newest snapshot and the entries after it that were handed out to be
// applied, up to and including the given index. It returns false if the snapshot is newer.
func (c *Core) Replay(upTo uint64) (Snapshot, []Entry, bool) {
	if c.snapshot.Index > upTo || upTo > c.log.applying {
		return Snapshot{}, nil, false
	}
	return c.snapshot, c.log.between(c.snapshot.Index, upTo), true
}

// PositionAt returns the position of an applied index, for a snapshot of the state at
// that index. It returns false if a snapshot received from the leader has replaced the
// log up to a later index.
func (c *Core) PositionAt(index uint64) (Position, bool) {
	term, ok := c.log.term(index)
	if !ok {
		return Position{}, false
	}
	members, _ := c.log.members(index)
	return Position{Index: index, Term: term, Members: slices.Clone(members)}, true
}
