package raft

import (
	"math"
	"slices"
)

// neverAcked is the send time of a member that has not answered yet. Half the
// range keeps differences from overflowing.
const neverAcked = math.MinInt64 / 2

// progress is what the leader knows of another member.
type progress struct {
	match uint64
	next  uint64
	// inflight holds the last index of each unacknowledged append. While
	// probing, the point of agreement is unknown and only one may be in flight.
	inflight []uint64
	probing  bool
	// stalled counts ticks without progress while something is in flight.
	stalled int
	// acked is the send time of the newest message that the member answered.
	acked int64

	snap       *Snapshot
	snapOffset uint64
	snapSent   bool
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
	if len(p.inflight) == 0 && !p.snapSent {
		p.stalled = 0
		return
	}
	p.stalled++
	if p.stalled < resendTicks {
		return
	}
	p.stalled = 0
	p.snapSent = false
	p.probe(p.match + 1)
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

// sendAppends sends what the member lacks, within the window.
func (c *Core) sendAppends(to uint64) {
	p := c.peers[to]
	for p.next <= c.log.last() && p.hasRoom(c.cfg.MaxInflight) {
		prevTerm, ok := c.log.term(p.next - 1)
		if !ok || p.snap != nil {
			c.sendChunk(to, p)
			return
		}
		entries := c.log.slice(p.next, c.cfg.MaxAppendBytes)
		c.send(Message{
			Kind: MsgAppend, To: to, Index: p.next - 1, LogTerm: prevTerm,
			Entries: entries, Commit: c.log.committed, Sent: c.now,
		})
		last := entries[len(entries)-1].Index
		p.inflight = append(p.inflight, last)
		if p.probing {
			return
		}
		p.next = last + 1
	}
}

func (p *progress) hasRoom(window int) bool {
	if p.probing {
		return len(p.inflight) == 0
	}
	return len(p.inflight) < window
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
		reply.Hint, reply.HintTerm = c.log.conflict(m.Index, m.LogTerm)
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

// fromMember handles the replies to a leader.
func (c *Core) fromMember(m Message) {
	p, ok := c.peers[m.From]
	if c.role != Leader || !ok {
		return
	}
	p.acked = max(p.acked, m.Sent)
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
		hint, _ := c.log.conflict(m.Hint, m.HintTerm)
		p.stalled = 0
		p.probe(max(p.match, min(hint, m.Index-1)) + 1)
		return
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= m.Index })
	if m.Index <= p.match && !p.probing {
		return
	}
	p.stalled = 0
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	if p.snap != nil && p.match >= p.snap.Index {
		p.endSnapshot()
	}
	c.advanceCommit()
	c.continueTransfer()
}

// advanceCommit commits what a majority of voters has made durable, if the
// entry is of the leader's own term.
func (c *Core) advanceCommit() {
	index := majorityValue(c, c.matchOf)
	term, ok := c.log.term(index)
	if !ok || index <= c.log.committed || term != c.term {
		return
	}
	c.log.committed = index
}

func (c *Core) matchOf(id uint64) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	if p, ok := c.peers[id]; ok {
		return p.match
	}
	return 0
}

// QuorumContact returns the send time of the newest message round that a
// majority of voters has acknowledged. It is meaningful on the leader only.
func (c *Core) QuorumContact() int64 {
	return majorityValue(c, func(id uint64) int64 {
		if id == c.cfg.ID {
			return c.now
		}
		if p, ok := c.peers[id]; ok {
			return p.acked
		}
		return neverAcked
	})
}

// majorityValue returns the largest value that a majority of voters has reached.
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

func (c *Core) majority(has func(id uint64) bool) bool {
	voters, count := 0, 0
	for _, m := range c.members {
		if m.Learner {
			continue
		}
		voters++
		if has(m.ID) {
			count++
		}
	}
	return count > voters/2
}
