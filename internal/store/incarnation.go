package store

// checkIncarnations pins the data folder that each member identifier stands for.
// A member whose folder was lost or emptied has forgotten its votes and its
// acknowledged entries; counting it as its former self could lose a committed
// entry. The pins are durable and travel with each message, so that a member
// that never met the former one refuses the new one too.
func (n *Node) checkIncarnations(e envelope) bool {
	if own, ok := e.Peers[n.cfg.ID]; ok && own != n.incarnation {
		n.fatal = &ErrReplacedMember{ID: n.cfg.ID}
		return false
	}
	if recorded, ok := n.peerIncarnations[e.Message.From]; ok && recorded != e.Incarnation {
		n.logReplacedMember(e.Message.From)
		return false
	}
	n.recordIncarnation(e.Message.From, e.Incarnation)
	for id, incarnation := range e.Peers {
		n.recordIncarnation(id, incarnation)
	}
	return true
}

func (n *Node) recordIncarnation(id, incarnation uint64) {
	if _, ok := n.peerIncarnations[id]; ok || id == n.cfg.ID {
		return
	}
	n.peerIncarnations[id] = incarnation
	n.incarnationsDirty = true
	n.network.setIncarnations(n.peerIncarnations)
}

func (n *Node) logReplacedMember(id uint64) {
	if n.replacedLogged[id] {
		return
	}
	n.replacedLogged[id] = true
	n.log.Error().Uint64("member", id).Msg("messages of a member with another data folder than before are refused")
}
