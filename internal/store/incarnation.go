package store

// checkIncarnations reports whether the message comes from the data folder that this
// store has recorded for the sender. A member whose folder was lost or emptied no
// longer knows its votes and acknowledged entries; accepting it under its previous
// identifier could lose a committed entry. The recorded incarnations are durable and
// are sent with each message, so that a member that never had contact with the
// previous folder refuses the new one, too.
//
// If a peer knows this store with another folder, the loop ends with
// ErrReplacedMember.
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

// recordIncarnation records the incarnation of a member the first time that it is received.
func (n *Node) recordIncarnation(id, incarnation uint64) {
	if _, ok := n.peerIncarnations[id]; ok || id == n.cfg.ID {
		return
	}
	n.peerIncarnations[id] = incarnation
	n.incarnationsDirty = true
	n.network.setIncarnations(n.peerIncarnations)
}

// logReplacedMember logs once per member that its messages are refused.
func (n *Node) logReplacedMember(id uint64) {
	if n.replacedLogged[id] {
		return
	}
	n.replacedLogged[id] = true
	n.log.Error().Uint64("member", id).Msg("refusing messages of a member whose data folder was replaced")
}
