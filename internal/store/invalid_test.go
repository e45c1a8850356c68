package store

import (
	"context"
	"net"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wal"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// notUTF8 is a byte sequence that encodes as CBOR text and does not decode.
const notUTF8 = "i-5ea3\xff\xfe1b"

// restartAll restarts the stores of a group, with all of them down in between.
func restartAll(t *testing.T, group []*testStore) {
	t.Helper()
	for _, s := range group {
		require.NoError(t, s.stop())
	}
	for _, s := range group {
		s.start(nil)
	}
}

// Guards against a leader that commits a command which no store can decode: every store
// would fail at its entry, again after each restart.
func TestUndecodableCommandIsNotCommitted(t *testing.T) {
	group := newGroup(t, 3, nil)
	propose(t, group, "before")
	tooMany := make([]fleet.JobOutcome, 1<<20+1)
	for name, cmd := range map[string]fleet.Command{
		"text that is not UTF-8":      cancelCommand(notUTF8),
		"a list that is too long":     {Outcome: &fleet.JobOutcomes{Outcomes: tooMany}},
		"a command that is too large": cancelCommand(strings.Repeat("x", maxCommandBytes+1)),
	} {
		_, err := leaderOf(t, group).node.Propose(context.Background(), cmd)
		require.ErrorIs(t, err, fleet.ErrCommand, name)
	}
	propose(t, group, "after")
	restartAll(t, group)
	for _, s := range group {
		eventually(t, "the restarted store holds both commands", func() bool { return s.has("before") && s.has("after") })
	}
}

// appendEntry appends a command to the log in the data folder of a stopped store.
func appendEntry(t *testing.T, s *testStore, data []byte) {
	t.Helper()
	log, contents, err := wal.Open(filepath.Join(s.cfg.DataFolder, "wal"), wal.Options{FS: disk.OS{}})
	require.NoError(t, err)
	last := contents.Entries[len(contents.Entries)-1]
	entry := raft.Entry{Index: last.Index + 1, Term: last.Term, Kind: raft.EntryCommand, Data: data}
	require.NoError(t, log.Append(wal.Batch{Entries: []raft.Entry{entry}}))
	require.NoError(t, log.Close())
}

// Guards against stores that fail for good at a committed entry that they can't decode.
func TestUndecodableEntryIsSkipped(t *testing.T) {
	s := newGroup(t, 1, nil)[0]
	group := []*testStore{s}
	propose(t, group, "before")
	data, err := fleet.EncodeCommand(cancelCommand(notUTF8))
	require.NoError(t, err)
	for _, malformed := range [][]byte{data, []byte("\xff"), nil} {
		require.NoError(t, s.stop())
		appendEntry(t, s, malformed)
		s.start(nil)
		eventually(t, "the store leads and serves again", func() bool { return s.node.Leadership().Leading && s.has("before") })
	}
	propose(t, group, "after")
	require.Equal(t, int64(3), s.node.metrics.skipped.Count())
}

// Guards against a group that never serves again on the log of an earlier version: every store ended
// at an entry, elected another leader, and ended again, so that terms rose and neither
// configuration nor jobs were in reach. A store that joins later receives the entry, too.
func TestGroupServesOnALogWithAnUndecodableEntry(t *testing.T) {
	group := newGroup(t, 3, nil)
	propose(t, group, "before")
	for _, s := range group {
		eventually(t, "replication", func() bool { return s.has("before") })
	}
	data, err := fleet.EncodeCommand(cancelCommand(notUTF8))
	require.NoError(t, err)
	for _, s := range group {
		require.NoError(t, s.stop())
		appendEntry(t, s, data)
	}
	for _, s := range group {
		s.start(nil)
	}
	propose(t, group, "after")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	joined := settings.Member{ID: 4, Instance: "s4", DataCentre: "a", Address: listener.Addr().String()}
	fourth := newTestStore(t, joined, nil, func(cfg *settings.Store) { cfg.Join = true })
	fourth.start(listener)
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	info := wire.MemberInfo{ID: joined.ID, Instance: joined.Instance, DataCentre: joined.DataCentre, Address: joined.Address}
	require.NoError(t, leaderOf(t, group).node.ChangeMembers(ctx, wire.MembershipChange{Add: &info}))
	propose(t, group, "joined")
	term := leaderOf(t, group).node.Leadership().Term
	for _, s := range append(group, fourth) {
		eventually(t, "all commands but the skipped one", func() bool { return s.has("before") && s.has("after") && s.has("joined") })
		require.Equal(t, int64(1), s.node.metrics.skipped.Count())
	}
	require.Equal(t, term, leaderOf(t, group).node.Leadership().Term)
}

// Guards against stores that fail for good at a committed command whose application panics,
// and against a state that keeps a part of its changes.
func TestPanickingEntryIsSkipped(t *testing.T) {
	small := func(cfg *settings.Store) { cfg.SnapshotEntries = 5 }
	group := newGroup(t, 3, small)
	propose(t, group, "before")
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		result, err := leaderOf(t, group).node.Propose(ctx, cancelCommand(panicID))
		cancel()
		require.NoError(t, err)
		require.Equal(t, fleet.CodeInvalid, result.Refusal.Code)
		for range 4 {
			propose(t, group, "between")
		}
	}
	propose(t, group, "after")
	restartAll(t, group)
	propose(t, group, "restarted")
	for _, s := range group {
		eventually(t, "replication", func() bool { return s.has("after") && s.has("restarted") })
		require.False(t, s.has(panicID), "a part of the command was applied")
		counts := map[string]int{}
		s.node.Read(func(*fleet.State) {
			counts["before"], counts["between"] = s.machine.seen["before"], s.machine.seen["between"]
		})
		require.Equal(t, map[string]int{"before": 1, "between": 12}, counts, "commands before the skipped ones")
	}
}

// Guards against a member of the log whose names its peers can't decode.
func TestMemberWithUnreadableNameIsNotAdded(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	group := newGroup(t, 1, nil)
	n := leaderOf(t, group).node
	ch := &pendingChange{Change: raft.Change{Add: &raft.Member{ID: 9, Instance: notUTF8, Address: listener.Addr().String()}}, done: make(chan error, 1)}
	n.changes <- ch
	require.ErrorIs(t, <-ch.done, raft.ErrBadChange)
	propose(t, group, "after")
}
