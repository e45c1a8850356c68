package raft

// sendSnapshotChunk sends the next chunk of the snapshot that is being sent to a
// member, and starts with the newest snapshot if there is none. One chunk is in flight
// at a time; its reply contains the offset of the next one.
func (c *Core) sendSnapshotChunk(to uint64, p *progress) {
	if p.chunkInFlight {
		return
	}
	if p.snap == nil {
		snap := c.snapshot
		p.snap = &snap
		p.snapOffset = 0
	}
	data := p.snap.Data
	end := min(p.snapOffset+uint64(c.cfg.SnapshotChunkBytes), uint64(len(data)))
	p.chunkInFlight = true
	p.sentAt = c.now
	c.send(Message{
		Kind: MsgSnapshot, To: to, Index: p.snap.Index, LogTerm: p.snap.Term, Members: p.snap.Members,
		Offset: p.snapOffset, Total: uint64(len(data)), Chunk: data[p.snapOffset:end], Sent: c.now,
	})
}

func (p *progress) endSnapshot() {
	p.snap = nil
	p.chunkInFlight = false
	p.snapOffset = 0
}

func (c *Core) handleSnapshotReply(p *progress, m Message) {
	if p.snap == nil || m.Index != p.snap.Index || m.Offset > uint64(len(p.snap.Data)) {
		return
	}
	p.snapOffset = m.Offset
	p.chunkInFlight = false
	p.stalledTicks = 0
}

func (c *Core) handleSnapshot(m Message) {
	if m.Index <= c.log.committed {
		c.sendDurable(Message{Kind: MsgAppendReply, To: m.From, Index: c.log.committed, Sent: m.Sent})
		return
	}
	if c.incoming.Index != m.Index || c.incoming.Term != m.LogTerm {
		c.incoming = Snapshot{Position: Position{Index: m.Index, Term: m.LogTerm, Members: m.Members}}
	}
	if m.Offset == uint64(len(c.incoming.Data)) {
		c.incoming.Data = append(c.incoming.Data, m.Chunk...)
	}
	if uint64(len(c.incoming.Data)) < m.Total {
		offset := uint64(len(c.incoming.Data))
		c.send(Message{Kind: MsgSnapshotReply, To: m.From, Index: m.Index, Offset: offset, Sent: m.Sent})
		return
	}
	c.installIncoming()
	c.sendDurable(Message{Kind: MsgAppendReply, To: m.From, Index: m.Index, Sent: m.Sent})
}

func (c *Core) installIncoming() {
	snap := c.incoming
	c.incoming = Snapshot{}
	if c.log.matches(snap.Index, snap.Term) {
		c.commitTo(snap.Index)
		return
	}
	c.log.reset(snap.Position)
	c.snapshot = snap
	c.pendingInstall = &snap
	c.refreshMembers()
}
