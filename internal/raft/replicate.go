package raft

import (
	"math"
	"slices"
)

// noContact is the contact time of a member that has not answered yet. It is half the
// minimum so that subtracting it from a time does not overflow.
const noContact = math.MinInt64 / 2

// progress is the replication state of another member, as the leader knows it.
type progress struct {
	match uint64
	next  uint64
	// inflight holds the unacknowledged appends. While probing is set, the index up to
	// which the logs agree is unknown and only one append may be in flight.
	inflight []inflightAppend
	probing  bool
	// stalledTicks is the number of ticks without progress while a message is in flight,
	// and resends the number of times that messages were sent again since the member last
	// showed that it had received one. sentAt is when the last of them was sent.
	stalledTicks int
	resends      int
	sentAt       int64
	// contact is the send time of the newest message that the member has answered.
	contact int64

	// snap is the snapshot that is being sent to the member, or nil. snapOffset is the
	// offset of its next chunk, and chunkInFlight is set while that chunk is in flight.
	snap          *Snapshot
	snapOffset    uint64
	chunkInFlight bool
}

// inflightAppend is an unacknowledged append: its last index, and the size of its entries.
type inflightAppend struct {
	last  uint64
	bytes int
}

func (c *Core) tickLeader() {
	if c.now-max(c.QuorumContact(), c.electedAt) >= quorumLossFactor*c.cfg.MinElectionTimeout {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferTo != 0 {
		c.transferTicks++
		if c.transferTicks >= c.cfg.ElectionTicks {
			c.becomeFollower(c.term, 0)
			return
		}
	}
	for _, p := range c.peers {
		p.tick()
	}
	c.broadcastHeartbeat()
	c.broadcastAppend()
}

func (p *progress) tick() {
	if len(p.inflight) == 0 && !p.chunkInFlight {
		p.stalledTicks = 0
		return
	}
	p.stalledTicks++
	if p.stalledTicks < resendTicks<<min(p.resends, maxResendDoublings) {
		return
	}
	p.stalledTicks = 0
	p.resends++
	p.chunkInFlight = false
	p.probe(p.match + 1)
}

// recordReceipt ends the growth of the resend delay when a reply shows that the member
// has received the messages up to the last append or chunk. Messages arrive in order.
func (p *progress) recordReceipt(m Message) {
	if m.Kind != MsgHeartbeatReply || m.Sent > p.sentAt {
		p.resends = 0
	}
}

func (p *progress) probe(next uint64) {
	p.next = next
	p.inflight = nil
	p.probing = true
}

func (c *Core) broadcastHeartbeat() {
	for _, m := range c.members {
		if p, ok := c.peers[m.ID]; ok {
			c.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: min(p.match, c.log.committed), Sent: c.now})
		}
	}
}

func (c *Core) broadcastAppend() {
	for _, m := range c.members {
		if _, ok := c.peers[m.ID]; ok {
			c.sendAppends(m.ID)
		}
	}
}

// sendAppends sends the entries that the member lacks, up to the limit of appends in
// flight, or a chunk of a snapshot if the log no longer holds them.
func (c *Core) sendAppends(to uint64) {
	p := c.peers[to]
	for p.next <= c.log.last() && p.hasRoom(c.cfg) {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok || p.snap != nil {
			c.sendSnapshotChunk(to, p)
			return
		}
		entries := c.log.slice(p.next, c.cfg.MaxAppendBytes)
		c.send(Message{
			Kind: MsgAppend, To: to, Index: p.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: c.log.committed, Sent: c.now,
		})
		last := entries[len(entries)-1].Index
		p.inflight = append(p.inflight, inflightAppend{last: last, bytes: sizeOf(entries)})
		p.sentAt = c.now
		if p.probing {
			return
		}
		p.next = last + 1
	}
}

// hasRoom reports whether another append may be sent. The window is also bounded in bytes:
// a member that was cut off lacks megabytes, and while it receives them in one burst, its
// heartbeats wait behind and every resend adds to the burst.
func (p *progress) hasRoom(cfg Config) bool {
	if p.probing || len(p.inflight) == 0 {
		return len(p.inflight) == 0
	}
	bytes := 0
	for _, a := range p.inflight {
		bytes += a.bytes
	}
	return len(p.inflight) < cfg.MaxInflight && bytes < cfg.MaxInflightBytes
}

func sizeOf(entries []Entry) int {
	size := 0
	for i := range entries {
		size += len(entries[i].Data) + entryOverheadBytes
	}
	return size
}

func (c *Core) handleAppend(m Message) {
	reply := Message{Kind: MsgAppendReply, To: m.From, Sent: m.Sent}
	if m.Index < c.log.committed {
		reply.Index = c.log.committed
		c.sendDurable(reply)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.Index = m.Index
		reply.Hint, reply.HintTerm = c.log.findConflictByTerm(m.Index, m.LogTerm)
		c.sendDurable(reply)
		return
	}
	if c.log.merge(m.Entries) {
		c.refreshMembers()
	}
	reply.Index = m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, reply.Index))
	c.sendDurable(reply)
}

func (c *Core) commitTo(index uint64) {
	c.log.committed = max(c.log.committed, index)
}

// handleReply handles a reply to a message that this member sent as the leader.
func (c *Core) handleReply(m Message) {
	p, ok := c.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.contact = max(p.contact, m.Sent)
	p.recordReceipt(m)
	switch m.Kind {
	case MsgAppendReply:
		c.handleAppendReply(p, m)
	case MsgSnapshotReply:
		c.handleSnapshotReply(p, m)
	}
	if _, still := c.peers[m.From]; still {
		c.sendAppends(m.From)
	}
}

func (c *Core) handleAppendReply(p *progress, m Message) {
	if m.Reject {
		if m.Index <= p.match {
			return
		}
		hint, _ := c.log.findConflictByTerm(m.Hint, m.HintTerm)
		p.stalledTicks = 0
		p.probe(max(p.match, min(hint, m.Index-1)) + 1)
		return
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(a inflightAppend) bool { return a.last <= m.Index })
	if m.Index <= p.match && !p.probing {
		return
	}
	p.stalledTicks = 0
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.snap != nil && p.match >= p.snap.Index {
		p.endSnapshot()
	}
	c.advanceCommit()
	c.continueTransfer()
}

// advanceCommit advances the commit index to the highest index that is durable on a
// majority of voters, if its entry is of the current term. Entries of earlier terms
// are committed only together with such an entry: a later leader could still replace
// them even if a majority holds them.
func (c *Core) advanceCommit() {
	index := majorityValue(c, c.matchIndex)
	term, ok := c.log.term(index)
	if !ok || index <= c.log.committed || term != c.term {
		return
	}
	c.log.committed = index
}

// matchIndex returns the last index known to be durable on a member.
func (c *Core) matchIndex(id uint64) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	if p, ok := c.peers[id]; ok {
		return p.match
	}
	return 0
}

// QuorumContact returns the latest time, in the unit of Config.Now, for which a
// majority of voters has answered a message that the leader sent at that time or
// later. The leader counts as answering now. The lease of a leader runs from this
// time. The result is meaningful only on the leader.
func (c *Core) QuorumContact() int64 {
	return majorityValue(c, func(id uint64) int64 {
		if id == c.cfg.ID {
			return c.now
		}
		if p, ok := c.peers[id]; ok {
			return p.contact
		}
		return noContact
	})
}

// majorityValue returns the largest value that a majority of voters has reached, or 0
// if there are no voters.
func majorityValue[T int64 | uint64](c *Core, of func(id uint64) T) T {
	values := make([]T, 0, len(c.members))
	for _, m := range c.members {
		if !m.Learner {
			values = append(values, of(m.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

func (c *Core) hasMajority(has func(id uint64) bool) bool { return c.hasMajorityOf(c.members, has) }
