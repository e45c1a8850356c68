package store

import (
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/wal"
)

// persistRequest is one synced append to the log. The log is then trimmed up to trimTo,
// if that is not 0.
type persistRequest struct {
	ready            raft.Ready
	trimTo           uint64
	peerIncarnations map[uint64]uint64
}

type persistResult struct {
	ready raft.Ready
	took  time.Duration
	err   error
}

type snapshotResult struct {
	snapshot raft.Snapshot
	oldest   uint64
	err      error
}

// persistLoop makes one request durable at a time. Meanwhile the loop handles messages and
// ticks, and proposals collect for the next write.
func (n *Node) persistLoop() {
	defer n.running.Done()
	for req := range n.persistRequests {
		start := time.Now()
		err := n.persist(req)
		n.persisted <- persistResult{ready: req.ready, took: time.Since(start), err: err}
	}
}

func (n *Node) persist(req persistRequest) error {
	batch := wal.Batch{HardState: req.ready.HardState, Entries: req.ready.Entries, PeerIncarnations: req.peerIncarnations}
	if s := req.ready.Snapshot; s != nil {
		if _, err := n.writeSnapshot(*s); err != nil {
			return err
		}
		batch.Base = &s.Position
	}
	if err := n.wal.Append(batch); err != nil {
		return err
	}
	if req.trimTo == 0 {
		return nil
	}
	return n.wal.Trim(req.trimTo)
}

func (n *Node) writeSnapshot(s raft.Snapshot) (uint64, error) {
	n.snapMu.Lock()
	defer n.snapMu.Unlock()
	return n.snaps.Save(s)
}

// snapshotIfDue starts to write a snapshot if enough entries or bytes were applied since
// the last one.
func (n *Node) snapshotIfDue() {
	due := n.applied >= n.snapshotIndex+uint64(n.cfg.SnapshotEntries) || n.bytesSinceSnapshot >= snapshotBytes
	if n.savingSnapshot || !due {
		return
	}
	position, ok := n.core.PositionAt(n.applied)
	if !ok {
		// A snapshot received from the leader replaced the log and will be installed next.
		return
	}
	encode := n.machine.Capture()
	n.savingSnapshot = true
	n.retainFrom = n.snapshotIndex
	n.snapshotIndex = n.applied
	n.bytesSinceSnapshot = 0
	n.running.Go(func() { n.snapshotSaved <- n.encodeAndSave(position, encode) })
}

// encodeAndSave runs outside the loop, since encoding a large state takes longer than an
// election timeout.
func (n *Node) encodeAndSave(position raft.Position, encode func() ([]byte, error)) snapshotResult {
	data, err := encode()
	if err != nil {
		return snapshotResult{err: errors.Wrap(err, "store: encode snapshot")}
	}
	s := raft.Snapshot{Position: position, Data: data}
	oldest, err := n.writeSnapshot(s)
	return snapshotResult{snapshot: s, oldest: oldest, err: err}
}

// afterSnapshotSaved drops the entries that the snapshot covers from memory, except those
// since the previous snapshot, so that members that are slightly behind need no
// snapshot. The log on disk keeps the entries after the older of the two stored
// snapshots, so that the newer one can be skipped if it is damaged.
func (n *Node) afterSnapshotSaved(res snapshotResult) error {
	n.savingSnapshot = false
	if res.err != nil {
		return res.err
	}
	n.core.Compact(res.snapshot, n.retainFrom)
	n.forgetSkipped(res.snapshot.Index)
	n.trimTo = res.oldest
	n.log.Info().Uint64("index", res.snapshot.Index).Int("bytes", len(res.snapshot.Data)).Msg("snapshot written")
	return nil
}
