package raft

// fastElectionTicks is the time in which a candidate gets its votes, and the difference
// between the election timeouts of two members, after restart guards were lifted.
const fastElectionTicks = 2

// restartGuard keeps a member that was restarted from electing another leader while a
// former leader may still rely on what the previous process of this member acknowledged.
//
// It holds for the minimum election timeout, or until each other voter has answered that it
// leads no term up to the persisted one. A leader's lease belongs to one of them, since the
// guard can be lifted only if the last entry of the member's log is of its persisted term:
// then the leader of that term is a voter of the newest membership in this log, which it
// does not remove itself from.
//
// Load pattern: all members lose power at once during a burst. Waiting as after a single
// restart would double the time without a leader.
type restartGuard struct {
	term uint64
	// mayLead holds the voters that have not answered.
	mayLead map[uint64]bool
}

// newRestartGuard returns the guard of a member that starts, or nil if it can't be lifted
// before the minimum election timeout.
func newRestartGuard(c *Core) *restartGuard {
	if !c.isVoter(c.cfg.ID) || c.log.lastTerm() != c.term {
		return nil
	}
	g := &restartGuard{term: c.term, mayLead: map[uint64]bool{}}
	for _, m := range c.members {
		if !m.Learner && m.ID != c.cfg.ID {
			g.mayLead[m.ID] = true
		}
	}
	return g
}

// tickRestartGuard asks the voters that have not answered yet.
func (c *Core) tickRestartGuard() {
	g := c.guard
	if g == nil {
		return
	}
	if c.now-c.startedAt >= c.cfg.MinElectionTimeout {
		c.guard = nil
		return
	}
	c.liftRestartGuard()
	for _, m := range c.members {
		if g.mayLead[m.ID] {
			c.send(Message{Kind: MsgLeaderQuery, To: m.ID})
		}
	}
}

// answerLeaderQuery answers unless this member leads the sender's term or may do so: a
// candidate may still win the election of its term.
func (c *Core) answerLeaderQuery(m Message) {
	if c.role == Follower || c.role == PreCandidate || c.term > m.Term {
		c.sendDurable(Message{Kind: MsgNotLeading, To: m.From, LogTerm: m.Term})
	}
}

// noteNotLeading notes an answer. It may be to a query of an earlier process of this member,
// and the sender may lead a higher term than that query's, so only the term asked about counts.
func (c *Core) noteNotLeading(m Message) {
	if c.guard != nil && m.LogTerm >= c.guard.term {
		delete(c.guard.mayLead, m.From)
		c.liftRestartGuard()
	}
}

// liftRestartGuard lifts the guard if each other voter has answered.
func (c *Core) liftRestartGuard() {
	if c.guard == nil || len(c.guard.mayLead) > 0 {
		return
	}
	c.guard, c.guardLifted = nil, true
	c.leaderHeardAt = c.now - c.cfg.MinElectionTimeout
	c.elapsed = 0
	c.randomizeElectionTimeout()
}

// fastElectionTimeout returns an election timeout in ticks that grows with the rank of the
// member's identifier. Members that were restarted together tick together, so random ones
// from a short range would often split the votes.
func (c *Core) fastElectionTimeout() int {
	rank := 0
	for _, m := range c.members {
		if !m.Learner && m.ID < c.cfg.ID {
			rank++
		}
	}
	if c.role == Follower {
		return 1 + rank*fastElectionTicks
	}
	return (1 + rank) * fastElectionTicks * 2
}

// electsFast reports whether it is known that no leader of the former processes is left and
// none has been elected since. The time is bounded, so that members which keep failing to
// elect one return to longer timeouts.
func (c *Core) electsFast() bool {
	return c.guardLifted && !c.heardLeader && c.now-c.startedAt < 2*c.cfg.MinElectionTimeout
}
