package store

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wire"
)

var errSync = errors.New("sync failed")

// failingFS is a disk whose syncs fail after broken is set.
type failingFS struct {
	disk.OS
	broken atomic.Bool
}

type failingFile struct {
	disk.File
	fs *failingFS
}

func (f *failingFS) Create(path string) (disk.File, error) {
	file, err := f.OS.Create(path)
	return &failingFile{File: file, fs: f}, err
}

func (f *failingFile) Sync() error {
	if f.fs.broken.Load() {
		return errSync
	}
	return f.File.Sync()
}

// changeMembership sends a membership change to the leader until it succeeds.
func changeMembership(t *testing.T, group []*testStore, msg wire.MembershipChange) {
	t.Helper()
	pool := wire.NewPool(wire.Credentials{Instance: "operator", Secret: []byte("a secret of the tests")}, nil)
	defer pool.Close()
	eventually(t, "membership change", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		var reply wire.StatusReply
		return pool.Call(ctx, leaderOf(t, group).cfg.Listen, wire.TypeMembership, msg, &reply) == nil
	})
}

// Guards against a lost voter that can't be replaced: a new store joins as a learner from
// a snapshot, is promoted, and the old voter is removed.
func TestLearnerReplacesVoter(t *testing.T) {
	small := func(cfg *settings.Store) { cfg.SnapshotEntries = 5 }
	group := newGroup(t, 3, small)
	for i := range 30 {
		propose(t, group, fmt.Sprint("job", i))
	}
	require.NoError(t, group[2].stop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := settings.Member{ID: 4, Instance: "s4", DataCentre: "a", Address: listener.Addr().String()}
	joining := newTestStore(t, m, group[0].cfg.Members, func(cfg *settings.Store) { cfg.Join, cfg.SnapshotEntries = true, 5 })
	joining.start(listener)
	changeMembership(t, group, wire.MembershipChange{Add: &wire.MemberInfo{ID: 4, Instance: "s4", DataCentre: "a", Address: m.Address}})
	changeMembership(t, group, wire.MembershipChange{Promote: 4})
	changeMembership(t, group, wire.MembershipChange{Remove: 3})
	eventually(t, "the learner holds all jobs", func() bool { return joining.has("job0") && joining.has("job29") })
	require.NoError(t, group[1].stop())
	group[1] = joining
	propose(t, group, "with the new voter")
	require.NoError(t, joining.stop())
	joining.start(nil)
	eventually(t, "the new voter restarts", func() bool { return joining.has("with the new voter") })
}

// Guards against a store that votes and acknowledges under its previous identifier after
// its data folder was emptied.
func TestReplacedMemberStops(t *testing.T) {
	group := newGroup(t, 3, nil)
	propose(t, group, "kept")
	for _, s := range group {
		eventually(t, "replication", func() bool { return s.has("kept") })
	}
	require.NoError(t, group[0].stop())
	require.NoError(t, os.RemoveAll(group[0].cfg.DataFolder))
	group[0].start(nil)
	var replaced *ErrReplacedMember
	require.ErrorAs(t, <-group[0].done, &replaced)
	group[0].cancel = nil
	propose(t, group, "the others go on")
}

// Guards against a store that acknowledges commands or leads after a sync failed.
func TestFailingSyncEndsTheStore(t *testing.T) {
	fs := &failingFS{}
	group := newGroup(t, 1, nil)
	require.NoError(t, group[0].stop())
	require.NoError(t, os.RemoveAll(group[0].cfg.DataFolder))
	group[0].fs = fs
	group[0].start(nil)
	propose(t, group, "before")
	fs.broken.Store(true)
	_, err := group[0].node.Propose(context.Background(), cancelCommand("after"))
	require.ErrorIs(t, err, fleet.ErrUncertain)
	require.ErrorIs(t, <-group[0].done, errSync)
	group[0].cancel = nil
	require.False(t, group[0].node.Leadership().Leading)
	_, err = group[0].node.Propose(context.Background(), cancelCommand("later"))
	require.ErrorIs(t, err, fleet.ErrNotLeader)
}

// Guards against two processes that use one data folder, and against a store that uses the
// folder of another member.
func TestLockedOrForeignFolderIsRefused(t *testing.T) {
	group := newGroup(t, 1, nil)
	propose(t, group, "x")
	_, err := Open(group[0].cfg, Options{Machine: newCounter(), Log: zerolog.Nop()})
	require.ErrorIs(t, err, disk.ErrLocked)
	require.NoError(t, group[0].stop())
	cfg := group[0].cfg
	cfg.ID = 9
	_, err = Open(cfg, Options{Machine: newCounter(), Log: zerolog.Nop()})
	var wrong *ErrWrongMember
	require.ErrorAs(t, err, &wrong)
	require.Equal(t, uint64(1), wrong.Found)
}

// Guards against a false result without a quorum: a proposal must be uncertain or refused,
// never committed, and the leader must stop leading.
func TestNoQuorumNoCommit(t *testing.T) {
	group := newGroup(t, 3, nil)
	propose(t, group, "x")
	leader := leaderOf(t, group)
	for _, s := range group {
		if s != leader {
			_, err := s.node.Propose(context.Background(), cancelCommand("y"))
			require.ErrorIs(t, err, fleet.ErrNotLeader)
			require.NoError(t, s.stop())
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	_, err := leader.node.Propose(ctx, cancelCommand("y"))
	require.True(t, errors.Is(err, fleet.ErrUncertain) || errors.Is(err, fleet.ErrNotLeader), "%v", err)
	eventually(t, "the lease ends", func() bool { return !leader.node.Leadership().Leading })
	require.False(t, leader.has("y"))
}

// Guards against a leader that resumes after a suspension and reports from its last view,
// before its timers fire, that it leads.
func TestLeaseIsCheckedAtTheCall(t *testing.T) {
	group := newGroup(t, 1, nil)
	n := group[0].node
	fresh := view{ready: true, lastContact: n.clock()}
	stale := view{ready: true, lastContact: n.clock() - int64(n.minElection())}
	fresh.lastContact += int64(time.Hour)
	require.True(t, n.leading(&fresh))
	require.False(t, n.leading(&stale))
}

// BenchmarkDurableProposals measures the proposals of 8 callers per processor on one
// member, also as a ratio to plain synced appends on the same disk.
func BenchmarkDurableProposals(b *testing.B) {
	cfg := settings.Store{
		Common: settings.Common{Instance: "s1", SharedSecret: "a secret of the tests"}, ID: 1,
		Listen: "127.0.0.1:1", Members: []settings.Member{{ID: 1, Address: "127.0.0.1:1"}}, DataFolder: b.TempDir(),
	}
	node, err := Open(cfg, Options{Initialize: true, Machine: newCounter(), Log: zerolog.Nop()})
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	for !node.Leadership().Leading {
		<-time.After(time.Millisecond)
	}
	bare := syncsPerSecond(b)
	b.SetParallelism(8)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := node.Propose(ctx, cancelCommand("x")); err != nil {
				b.Error(err)
			}
		}
	})
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.ReportMetric(rate, "proposals/s")
	b.ReportMetric(bare, "bare_syncs/s")
	b.ReportMetric(rate/bare, "ratio")
	cancel()
	require.NoError(b, <-done)
}

// syncsPerSecond measures plain synced appends of 100 bytes.
func syncsPerSecond(b *testing.B) float64 {
	const syncs = 300
	file, err := disk.OS{}.Create(b.TempDir() + "/bare")
	require.NoError(b, err)
	defer file.Close()
	start := time.Now()
	for range syncs {
		_, err := file.Write(make([]byte, 100))
		require.NoError(b, err)
		require.NoError(b, file.Sync())
	}
	return syncs / time.Since(start).Seconds()
}

// Guards against a member that lost its data folder and starts with a new log while no
// other member is reachable to refuse it.
func TestMemberWithoutLogDoesNotStart(t *testing.T) {
	cfg := newGroup(t, 1, nil)[0].cfg
	cfg.DataFolder = t.TempDir()
	_, err := Open(cfg, Options{Machine: newCounter(), Log: zerolog.Nop()})
	var none *ErrNoLog
	require.ErrorAs(t, err, &none)
}
