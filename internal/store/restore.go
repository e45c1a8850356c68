package store

import (
	"maps"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/wal"
)

// restore restores the state from the newest valid snapshot and the entries after it.
func (n *Node) restore(contents wal.Contents, walFolder string) (raft.PersistedState, error) {
	snapshot, found, damaged, err := n.snaps.Newest()
	if err != nil {
		return raft.PersistedState{}, err
	}
	for _, d := range damaged {
		n.log.Error().Err(d).Msg("skipping a damaged snapshot")
	}
	if contents.TornBytes > 0 {
		n.log.Warn().Int("bytes", contents.TornBytes).Msg("truncated an incomplete last batch of the log")
	}
	if contents.Empty() {
		if found || len(damaged) > 0 {
			return raft.PersistedState{}, &wal.ErrCorrupt{File: walFolder, Reason: "folder has snapshots but no log"}
		}
		return n.startLog()
	}
	if contents.Meta.MemberID != n.cfg.ID {
		return raft.PersistedState{}, &ErrWrongMember{Folder: n.cfg.DataFolder, Found: contents.Meta.MemberID, Configured: n.cfg.ID}
	}
	n.incarnation = contents.Meta.Incarnation
	n.peerIncarnations = map[uint64]uint64{}
	maps.Copy(n.peerIncarnations, contents.PeerIncarnations)
	if !found {
		snapshot = raft.Snapshot{Position: contents.Base}
	}
	if err := n.restoreMachine(contents, snapshot, found, walFolder); err != nil {
		return raft.PersistedState{}, err
	}
	entries, err := n.entriesAfter(contents, snapshot.Position, walFolder)
	if err != nil {
		return raft.PersistedState{}, err
	}
	return raft.PersistedState{HardState: contents.HardState, Snapshot: snapshot, Entries: entries}, nil
}

// startLog starts a new log, with the members in the settings or, for a store that joins,
// without members. It refuses to start otherwise: a member that lost its log may have
// voted and acknowledged entries that it no longer knows.
func (n *Node) startLog() (raft.PersistedState, error) {
	if !n.cfg.Join && !n.initialize {
		return raft.PersistedState{}, &ErrNoLog{Folder: n.cfg.DataFolder}
	}
	var base raft.Position
	if !n.cfg.Join {
		for _, m := range n.cfg.Members {
			base.Members = append(base.Members, raft.Member{ID: m.ID, Instance: m.Instance, DataCentre: m.DataCentre, Address: m.Address})
		}
	}
	n.incarnation = randomNumber()
	n.peerIncarnations = map[uint64]uint64{}
	if err := n.wal.Init(wal.Meta{MemberID: n.cfg.ID, Incarnation: n.incarnation}, base); err != nil {
		return raft.PersistedState{}, err
	}
	return raft.PersistedState{Snapshot: raft.Snapshot{Position: base}}, nil
}

// restoreMachine restores the state machine from the snapshot, after checking that no
// entry is missing between the snapshot and the base of the log.
func (n *Node) restoreMachine(contents wal.Contents, snapshot raft.Snapshot, found bool, walFolder string) error {
	if snapshot.Index < contents.Base.Index || (!found && contents.Base.Index > 0) {
		return &wal.ErrCorrupt{File: walFolder, Reason: "snapshot at the base of the log is missing"}
	}
	if !found {
		return nil
	}
	return errors.Wrap(n.machine.Restore(snapshot.Data), "store: restore snapshot")
}

// entriesAfter returns the entries of the log after the snapshot. If the log does not
// contain the snapshot's position, a crash came between the write of a snapshot from
// the leader and that of the log's new base. The log is then restarted from the
// snapshot.
func (n *Node) entriesAfter(contents wal.Contents, at raft.Position, walFolder string) ([]raft.Entry, error) {
	entries := contents.Entries
	if len(entries) == 0 {
		if contents.Base.Index == at.Index {
			return nil, nil
		}
		return nil, n.wal.Append(wal.Batch{Base: &at})
	}
	first := entries[0].Index
	if first > at.Index+1 {
		return nil, &wal.ErrCorrupt{File: walFolder, Reason: "entries between the snapshot and the first entry of the log are missing"}
	}
	if first == at.Index+1 {
		return entries, nil
	}
	last := entries[len(entries)-1].Index
	if at.Index <= last && entries[at.Index-first].Term == at.Term {
		return entries[at.Index-first+1:], nil
	}
	return nil, n.wal.Append(wal.Batch{Base: &at})
}
