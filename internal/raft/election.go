package raft

// randomizeElectionTimeout draws a new election timeout, so that candidates seldom
// start at the same time and split the votes. It is short while no leader can be known.
func (c *Core) randomizeElectionTimeout() {
	if c.electsFast() {
		c.electionTimeout = c.fastElectionTimeout()
		return
	}
	c.electionTimeout = c.cfg.ElectionTicks + c.cfg.Rand.IntN(c.cfg.ElectionTicks)
}

// supportsLeader reports whether a leader's lease may still rely on this member, in
// which case the member must not help to elect another leader.
func (c *Core) supportsLeader() bool {
	if c.role == Leader {
		return c.now-max(c.QuorumContact(), c.electedAt) < c.cfg.MinElectionTimeout
	}
	return c.now-c.leaderHeardAt < c.cfg.MinElectionTimeout
}

func (c *Core) becomeFollower(term, leader uint64) {
	if term > c.term {
		c.term = term
		c.vote = 0
	}
	c.role = Follower
	c.leader = leader
	c.elapsed = 0
	c.peers = nil
	c.votes = nil
	c.transferTo = 0
	c.randomizeElectionTimeout()
}

// campaign starts an election as a PreCandidate, which requests pre-votes for the next
// term, or as a Candidate, which enters that term and requests votes.
func (c *Core) campaign(as Role, force bool) {
	c.role = as
	c.leader = 0
	c.elapsed = 0
	c.votes = map[uint64]bool{c.cfg.ID: true}
	c.randomizeElectionTimeout()
	request := Message{Kind: MsgPreVote, Term: c.term + 1, Index: c.log.last(), LogTerm: c.log.lastTerm(), Force: force}
	if as == Candidate {
		c.term++
		c.vote = c.cfg.ID
		request.Kind, request.Term = MsgVote, c.term
	}
	for _, m := range c.members {
		if m.Learner || m.ID == c.cfg.ID {
			continue
		}
		request.To = m.ID
		c.sendDurable(request)
	}
	c.checkVotes()
}

func (c *Core) handlePreVote(m Message) {
	if m.Term > c.term && c.upToDate(m) && (m.Force || !c.supportsLeader()) {
		c.sendDurable(Message{Kind: MsgPreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.sendDurable(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
}

func (c *Core) handleVote(m Message) {
	free := c.vote == 0 || c.vote == m.From
	if !free || !c.upToDate(m) || c.role == Leader {
		c.sendDurable(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.elapsed = 0
	c.sendDurable(Message{Kind: MsgVoteReply, To: m.From})
}

// upToDate reports whether the candidate's log is at least as up to date as this
// member's: its last term is higher, or equal with a last index at least as high.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) countPreVote(m Message) {
	if c.role == PreCandidate && m.Term == c.term+1 {
		c.votes[m.From] = true
		c.checkVotes()
	}
}

func (c *Core) countVote(m Message) {
	if c.role == Candidate && !m.Reject {
		c.votes[m.From] = true
		c.checkVotes()
	}
}

func (c *Core) checkVotes() {
	if !c.hasMajority(func(id uint64) bool { return c.votes[id] }) {
		return
	}
	switch c.role {
	case PreCandidate:
		c.campaign(Candidate, false)
	case Candidate:
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.elapsed = 0
	c.electedAt = c.now
	c.votes = nil
	c.transferTo = 0
	c.peers = map[uint64]*progress{}
	c.refreshMembers()
	c.appendAsLeader(Entry{Kind: EntryNoop})
	c.broadcastHeartbeat()
	c.broadcastAppend()
}
