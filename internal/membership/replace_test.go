package membership

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
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

// managedStore is a store with a Manager. stop ends it for good.
type managedStore struct {
	node *store.Node
	stop func()
}

// startManaged starts a store on the listener. Without members it joins through the seeds.
func startManaged(t *testing.T, id uint64, listener net.Listener, members []settings.Member, seeds []string) managedStore {
	t.Helper()
	address := listener.Addr().String()
	cfg := settings.Store{
		ID: id, Listen: address, Advertise: address, DataFolder: t.TempDir(), Members: members, Join: members == nil,
	}
	cfg.SharedSecret = string(testCredentials.Secret)
	node, err := store.Open(cfg, store.Options{Machine: store.NewFleetMachine(), Initialize: members != nil})
	require.NoError(t, err)
	manager := NewManager(Options{
		Node: node, Self: wire.MemberInfo{ID: id, Address: address}, Policy: Policy{Voters: 3, SilenceLimit: successorTime / 2}, Pool: wire.NewPool(testCredentials, nil),
		Seeds: func() []string { return seeds }, Logger: zerolog.Nop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- store.NewServer(node, metrics.NewRegistry(), zerolog.Nop(), manager).Run(ctx, listener)
	}()
	stopped := false
	s := managedStore{node: node, stop: func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
		}
	}}
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

// A voter that is gone for good must have given its vote to its successor by the time at
// which the next voter may be lost, or two of three voters are lost and no leader is elected.
func TestVoterGoneForGoodIsReplacedBeforeTheNextIsLost(t *testing.T) {
	var listeners []net.Listener
	var members []settings.Member
	var seeds []string
	for id := uint64(1); id <= 4; id++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		if id <= 3 {
			seeds = append(seeds, l.Addr().String())
			members = append(members, settings.Member{ID: id, Address: l.Addr().String()})
		}
	}
	var stores []managedStore
	for i, m := range members {
		stores = append(stores, startManaged(t, m.ID, listeners[i], members, seeds))
	}
	require.Eventually(t, func() bool { return leads(stores) }, replaceWait, 10*time.Millisecond)
	stores[0].stop()
	successor := startManaged(t, 4, listeners[3], nil, seeds)
	require.Eventually(t, func() bool { return votes(stores[1:], 4) && !votes(stores[1:], 1) }, successorTime, 10*time.Millisecond)
	stores[1].stop()
	remaining := []managedStore{stores[2], successor}
	require.Eventually(t, func() bool { return leads(remaining) && commits(remaining) }, replaceWait, 100*time.Millisecond)
}
