package store

// knownIncarnation pins the data folder that each member identifier stands for.
// A member whose folder was lost or emptied has forgotten its votes and its
// acknowledged entries; counting it as its former self could lose a committed
// entry. The pins are durable and travel with each message, so that a member
// that never met the former one refuses the new one too.
func (n *Node) knownIncarnation(e envelope) bool {
	if own, ok := e.Peers[n.cfg.ID]; ok && own != n.incarnation {
		n.fatal = &ErrReplacedMember{ID: n.cfg.ID}
		return false
	}
	if pinned, ok := n.peers[e.Message.From]; ok && pinned != e.Incarnation {
		n.warnReplaced(e.Message.From)
		return false
	}
	n.pin(e.Message.From, e.Incarnation)
	for id, incarnation := range e.Peers {
		n.pin(id, incarnation)
	}
	return true
}

func (n *Node) pin(id, incarnation uint64) {
	if _, ok := n.peers[id]; ok || id == n.cfg.ID {
		return
	}
	n.peers[id] = incarnation
	n.peersDirty = true
	n.network.announce(n.peers)
}

func (n *Node) warnReplaced(id uint64) {
	if n.warned[id] {
		return
	}
	n.warned[id] = true
	n.log.Error().Uint64("member", id).Msg("messages of a member with another data folder than before are refused")
}
