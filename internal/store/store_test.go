package store

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/settings"
)

const deadline = 60 * time.Second

// panicID is the job identifier at which a counter panics, after it has changed its state.
const panicID = "panic"

// counter is a Machine that counts how often each job identifier was cancelled.
type counter struct {
	state *fleet.State
	seen  map[string]int
	// regressed is set when the time of a command is before that of its predecessor.
	regressed bool
}

func newCounter() *counter { return &counter{state: fleet.NewState(), seen: map[string]int{}} }

func (c *counter) Apply(index uint64, cmd fleet.Command) fleet.Result {
	c.regressed = c.regressed || cmd.Time < c.state.Now
	c.state.Applied, c.state.Now = index, cmd.Time
	if cmd.Cancel != nil {
		c.seen[cmd.Cancel.ID]++
		if cmd.Cancel.ID == panicID {
			panic("a command that can't be applied")
		}
	}
	return fleet.Result{Revision: fleet.Revision(len(c.seen))}
}

type counterSnapshot struct {
	Now  fleet.Time
	Seen map[string]int
}

func (c *counter) Capture() func() ([]byte, error) {
	copied := counterSnapshot{Now: c.state.Now, Seen: maps.Clone(c.seen)}
	return func() ([]byte, error) { return json.Marshal(copied) }
}

func (c *counter) Restore(data []byte) error {
	var s counterSnapshot
	err := json.Unmarshal(data, &s)
	c.state.Now, c.seen = s.Now, s.Seen
	return err
}

func (c *counter) State() *fleet.State { return c.state }

func cancelCommand(id string) fleet.Command { return fleet.Command{Cancel: &fleet.JobCancel{ID: id}} }

// testStore is one store of a test group. It can be stopped and started again.
type testStore struct {
	t       *testing.T
	cfg     settings.Store
	fs      disk.FS
	node    *Node
	machine *counter
	cancel  context.CancelFunc
	done    chan error
}

func (s *testStore) start(listener net.Listener) {
	s.t.Helper()
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", s.cfg.Listen)
		require.NoError(s.t, err)
	}
	s.machine = newCounter()
	registry := metrics.NewRegistry()
	node, err := Open(s.cfg, Options{Machine: s.machine, Initialize: true, FS: s.fs, Log: zerolog.Nop(), Metrics: registry, Seed: 1})
	require.NoError(s.t, err)
	s.node = node
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done = make(chan error, 1)
	server := NewServer(node, nil, registry, zerolog.Nop())
	go func() { s.done <- server.Run(ctx, listener) }()
}

func (s *testStore) stop() error {
	if s.cancel == nil {
		return nil
	}
	s.cancel()
	s.cancel = nil
	return <-s.done
}

func newGroup(t *testing.T, size int, adjust func(*settings.Store)) []*testStore {
	t.Helper()
	listeners := make([]net.Listener, size)
	members := make([]settings.Member, size)
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners[i] = l
		members[i] = settings.Member{ID: uint64(i + 1), Instance: fmt.Sprint("s", i+1), DataCentre: "a", Address: l.Addr().String()}
	}
	group := make([]*testStore, size)
	for i, m := range members {
		group[i] = newTestStore(t, m, members, adjust)
		group[i].start(listeners[i])
	}
	return group
}

func newTestStore(t *testing.T, m settings.Member, members []settings.Member, adjust func(*settings.Store)) *testStore {
	cfg := settings.Store{
		Common: settings.Common{Instance: m.Instance, DataCentre: m.DataCentre, SharedSecret: "a secret of the tests"},
		ID:     m.ID, Listen: m.Address, Members: members,
		DataFolder: filepath.Join(t.TempDir(), "data"),
	}
	if adjust != nil {
		adjust(&cfg)
	}
	s := &testStore{t: t, cfg: cfg}
	t.Cleanup(func() { _ = s.stop() })
	return s
}

// eventually waits for a condition for up to deadline.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	require.Eventually(t, cond, deadline, 5*time.Millisecond, what)
}

func leaderOf(t *testing.T, group []*testStore) *testStore {
	t.Helper()
	var leader *testStore
	eventually(t, "a leader", func() bool {
		for _, s := range group {
			if s.cancel != nil && s.node.Leadership().Leading {
				leader = s
				return true
			}
		}
		return false
	})
	return leader
}

// propose submits a command to the leader until it is committed.
func propose(t *testing.T, group []*testStore, id string) {
	t.Helper()
	eventually(t, "commit of "+id, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_, err := leaderOf(t, group).node.Propose(ctx, cancelCommand(id))
		return err == nil
	})
}

func (s *testStore) has(id string) bool {
	found := false
	s.node.Read(func(*fleet.State) { found = s.machine.seen[id] > 0 })
	return found
}

// Guards against committed commands that are lost, or missing on a member, when the leader
// stops, restarts and catches up, and against a cluster time that decreases.
func TestCommandsSurviveLeaderRestart(t *testing.T) {
	group := newGroup(t, 3, nil)
	for i := range 20 {
		propose(t, group, fmt.Sprint("before", i))
	}
	old := leaderOf(t, group)
	require.NoError(t, old.stop())
	for i := range 20 {
		propose(t, group, fmt.Sprint("after", i))
	}
	old.start(nil)
	for _, s := range group {
		eventually(t, "catch up", func() bool { return s.has("before19") && s.has("after19") })
	}
	for _, s := range group {
		require.NoError(t, s.stop())
		require.False(t, s.machine.regressed)
	}
}

// Guards against unbounded memory use by large commands when snapshots depend only on the
// number of commands, and against a restart that loses some of them.
func TestLargeCommandsTriggerSnapshot(t *testing.T) {
	s := newGroup(t, 1, nil)[0]
	large := strings.Repeat("x", 1<<20)
	for i := range 20 {
		propose(t, []*testStore{s}, fmt.Sprint(i, large))
	}
	snapshots := func() int {
		names, err := os.ReadDir(filepath.Join(s.cfg.DataFolder, "snapshots"))
		require.NoError(t, err)
		return len(names)
	}
	eventually(t, "a snapshot", func() bool { return snapshots() > 0 })
	require.NoError(t, s.stop())
	s.start(nil)
	eventually(t, "restored commands", func() bool { return s.has(fmt.Sprint(0, large)) && s.has(fmt.Sprint(19, large)) })
}

// Guards against a member that can't catch up from a snapshot of many chunks while further
// commands and snapshots follow.
func TestMemberCatchesUpFromLargeSnapshot(t *testing.T) {
	group := newGroup(t, 3, nil)
	behind := group[0]
	require.NoError(t, behind.stop())
	large := strings.Repeat("x", 1<<20)
	for i := range 30 {
		propose(t, group, fmt.Sprint(i, large))
	}
	behind.start(nil)
	for i := range 10 {
		propose(t, group, fmt.Sprint("more", i, large))
	}
	eventually(t, "catch up", func() bool { return behind.has(fmt.Sprint(0, large)) && behind.has(fmt.Sprint("more", 9, large)) })
	require.NoError(t, behind.stop())
	behind.start(nil)
	eventually(t, "restart", func() bool { return behind.has(fmt.Sprint(0, large)) && behind.has(fmt.Sprint("more", 9, large)) })
}
