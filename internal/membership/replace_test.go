package membership

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/store"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// successorTime is the time after its start by which a successor must be able to take
	// the place of the voter that is gone.
	successorTime = 4 * time.Second
	replaceWait   = 20 * time.Second
)

var testCredentials = wire.Credentials{Instance: "test", Secret: []byte("a secret of the tests")}

// stallingFS is a disk whose syncs wait while its lock is held.
type stallingFS struct {
	disk.OS
	sync.RWMutex
}

type stallingFile struct {
	disk.File
	fs *stallingFS
}

func (f *stallingFS) Create(path string) (disk.File, error) {
	file, err := f.OS.Create(path)
	return &stallingFile{File: file, fs: f}, err
}

func (f *stallingFile) Sync() error {
	f.fs.RLock()
	defer f.fs.RUnlock()
	return f.File.Sync()
}

// managedStore is a store with a Manager. stop ends it for good, and done receives the error
// with which it ended before.
type managedStore struct {
	id   uint64
	node *store.Node
	fs   *stallingFS
	stop func()
	done chan error
}

// startManaged starts a store on the listener. Without members it joins through the seeds.
func startManaged(t *testing.T, id uint64, listener net.Listener, members []settings.Member, seeds []string) managedStore {
	t.Helper()
	address := listener.Addr().String()
	cfg := settings.Store{
		ID: id, Listen: address, Advertise: address, DataFolder: t.TempDir(), Members: members, Join: members == nil,
	}
	cfg.SharedSecret = string(testCredentials.Secret)
	fs := &stallingFS{}
	node, err := store.Open(cfg, store.Options{Machine: store.NewFleetMachine(), Initialize: members != nil, FS: fs})
	require.NoError(t, err)
	manager := NewManager(Options{
		Node: node, Self: wire.MemberInfo{ID: id, Address: address}, Policy: Policy{Voters: 3, SilenceLimit: successorTime / 2}, Pool: wire.NewPool(testCredentials, nil),
		Seeds: func() []string { return seeds }, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- store.NewServer(node, nil, metrics.NewRegistry(), zerolog.Nop(), manager).Run(ctx, listener)
	}()
	s := managedStore{id: id, node: node, fs: fs, done: done, stop: sync.OnceFunc(func() {
		cancel()
		<-done
	})}
	t.Cleanup(s.stop)
	return s
}

func leads(stores []managedStore) bool {
	for _, s := range stores {
		if s.node.Leadership().Leading {
			return true
		}
	}
	return false
}

// votes reports whether the member is a voter by the membership that the leader knows.
func votes(stores []managedStore, id uint64) bool {
	for _, s := range stores {
		for _, m := range s.node.Members() {
			if m.ID == id && !m.Learner && s.node.Leadership().Leading {
				return true
			}
		}
	}
	return false
}

// commits reports whether one of the stores commits a command within a second.
func commits(stores []managedStore) bool {
	for _, s := range stores {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := s.node.Propose(ctx, fleet.Command{Cancel: &fleet.JobCancel{ID: "job"}})
		cancel()
		if err == nil {
			return true
		}
	}
	return false
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// startVoters starts three stores that are the first voters, waits until one leads, and
// returns them with their addresses.
func startVoters(t *testing.T) (stores []managedStore, seeds []string) {
	t.Helper()
	var listeners []net.Listener
	var members []settings.Member
	for id := uint64(1); id <= 3; id++ {
		l := listen(t)
		listeners = append(listeners, l)
		seeds = append(seeds, l.Addr().String())
		members = append(members, settings.Member{ID: id, Address: l.Addr().String()})
	}
	for i, m := range members {
		stores = append(stores, startManaged(t, m.ID, listeners[i], members, seeds))
	}
	require.Eventually(t, func() bool { return leads(stores) }, replaceWait, 10*time.Millisecond)
	return stores, seeds
}

// A voter that is gone for good must have given its vote to its successor by the time at
// which the next voter may be lost, or two of three voters are lost and no leader is elected.
func TestVoterGoneForGoodIsReplacedBeforeTheNextIsLost(t *testing.T) {
	stores, seeds := startVoters(t)
	stores[0].stop()
	successor := startManaged(t, 4, listen(t), nil, seeds)
	require.Eventually(t, func() bool { return votes(stores[1:], 4) && !votes(stores[1:], 1) }, successorTime, 10*time.Millisecond)
	stores[1].stop()
	remaining := []managedStore{stores[2], successor}
	require.Eventually(t, func() bool { return leads(remaining) && commits(remaining) }, replaceWait, 100*time.Millisecond)
}

// A store that asks to join while its removal is not committed must not be told that it was
// removed: it would empty its folder, which may hold the only further copy of an entry.
func TestUncommittedRemovalEmptiesNoStore(t *testing.T) {
	stores, _ := startVoters(t)
	require.Eventually(t, func() bool { return commits(stores) }, replaceWait, 10*time.Millisecond)
	var leader, removed, stalled managedStore
	// A store that no longer leads refuses the change, as does a leader to which the
	// acknowledgement of the stalled store is still on its way. Nothing has happened then.
	proposed := func() bool {
		leading := slices.IndexFunc(stores, func(s managedStore) bool { return s.node.Leadership().Leading })
		if leading < 0 {
			return false
		}
		leader, removed, stalled = stores[leading], stores[(leading+1)%3], stores[(leading+2)%3]
		if stalled.node.Applied() != leader.node.Applied() {
			return false
		}
		stalled.fs.Lock()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		err := leader.node.ChangeMembers(ctx, wire.MembershipChange{Remove: removed.id})
		if errors.Is(err, fleet.ErrNotLeader) || errors.Is(err, raft.ErrNoQuorum) {
			stalled.fs.Unlock()
			return false
		}
		require.ErrorIs(t, err, fleet.ErrUncertain)
		return true
	}
	begin := time.Now()
	for !proposed() {
		require.Less(t, time.Since(begin), replaceWait)
		time.Sleep(10 * time.Millisecond)
	}
	select {
	case err := <-removed.done:
		stalled.fs.Unlock()
		removed.done <- err
		t.Fatal(err)
	case <-time.After(successorTime):
	}
	stalled.fs.Unlock()
	select {
	case err := <-removed.done:
		removed.done <- err
		require.ErrorIs(t, err, ErrRemoved)
	case <-time.After(replaceWait):
		t.Fatal("a store whose removal is committed was not told so")
	}
}
