package workerlink

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// fakeLeader answers reports with queued orders and counts the reports of each worker.
type fakeLeader struct {
	mu      sync.Mutex
	down    bool
	term    uint64
	orders  []wire.Order
	reports map[string]int
}

func (f *fakeLeader) Call(ctx context.Context, _ wire.Type, req, resp any, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frame, err := cbor.Marshal(req); err != nil || f.down || len(frame) > wire.MaxFrameBytes {
		return errors.New("no leader")
	}
	for _, w := range req.(wire.WorkerReport).Workers {
		f.reports[w.Instance]++
	}
	out := resp.(*wire.WorkerOrders)
	out.Term = f.term
	out.Orders = f.orders
	f.orders = nil
	return ctx.Err()
}

func (f *fakeLeader) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// fakeSender passes the orders for all workers but the frozen one to sent.
type fakeSender struct {
	sent chan wire.Order
}

// frozen is the address of a worker that accepts connections but never answers.
const frozen = "127.0.0.1:2"

func (f *fakeSender) Send(ctx context.Context, address string, o wire.Order) error {
	if address == frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	f.sent <- o
	return nil
}

func startManager(t *testing.T, l *fakeLeader) (*Manager, *fakeSender) {
	t.Helper()
	l.reports = map[string]int{}
	sender := &fakeSender{sent: make(chan wire.Order, 16)}
	m := NewManager("e1", l, sender, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, sender
}

func announcement(sequence uint64) Announcement {
	return Announcement{
		WorkerState: wire.WorkerState{Instance: "w1", Incarnation: "i1", Address: "127.0.0.1:1"},
		Sequence:    sequence,
	}
}

// Guards against renewing the leases of a worker whose announcements reach only the
// entry, not the leader, during a partition.
func TestLeaderSequenceFollowsAcknowledgement(t *testing.T) {
	l := &fakeLeader{term: 1, down: true}
	m, _ := startManager(t, l)
	require.Zero(t, m.Announce(announcement(1)).LeaderSequence)
	require.Zero(t, m.Announce(announcement(2)).LeaderSequence)
	l.set(func() { l.down = false })
	require.Eventually(t, func() bool {
		return m.Announce(announcement(2)).LeaderSequence == 2
	}, 10*time.Second, 5*time.Millisecond)
}

// Guards against starting work by an order of a replaced leader, or for an earlier
// incarnation, that the present leader has placed elsewhere.
func TestOrdersOfOldTermAndIncarnationAreDropped(t *testing.T) {
	l := &fakeLeader{term: 5}
	m, sender := startManager(t, l)
	m.Announce(announcement(1))
	start := wire.Order{Worker: "w1", Incarnation: "i1", Kind: wire.OrderStart, Task: wire.TaskKey{JobID: "new", Attempt: 1}}
	stale := start
	stale.Incarnation = "i0"
	l.set(func() { l.orders = []wire.Order{stale, start} })
	require.Equal(t, "new", (<-sender.sent).Task.JobID)

	late := start
	late.Task.JobID = "late"
	l.set(func() { l.term = 4; l.orders = []wire.Order{late} })
	next := start
	next.Task.JobID = "next"
	require.Eventually(t, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.orders) == 0
	}, 10*time.Second, 5*time.Millisecond)
	l.set(func() { l.term = 5; l.orders = []wire.Order{next} })
	require.Equal(t, "next", (<-sender.sent).Task.JobID)
}

// Guards against accepting announcements without the fields that fencing needs.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	tests := map[string]func(*Announcement){
		"no incarnation": func(a *Announcement) { a.Incarnation = "" },
		"no sequence":    func(a *Announcement) { a.Sequence = 0 },
		"long name":      func(a *Announcement) { a.Incarnation = strings.Repeat("x", 257) },
		"host name":      func(a *Announcement) { a.Address = "worker:80" },
	}
	for name, spoil := range tests {
		t.Run(name, func(t *testing.T) {
			a := announcement(1)
			spoil(&a)
			require.ErrorIs(t, a.validate(), ErrBadAnnouncement)
		})
	}
}

// Guards against a frozen worker whose unanswered orders delay the orders and reports
// of other workers, so that healthy workers are declared lost.
func TestFrozenWorkerHoldsUpNoOther(t *testing.T) {
	l := &fakeLeader{term: 1}
	m, sender := startManager(t, l)
	m.Announce(announcement(1))
	stuck := announcement(1)
	stuck.Instance, stuck.Address = "w2", frozen
	m.Announce(stuck)
	var orders []wire.Order
	for i := range 1000 {
		orders = append(orders, wire.Order{Worker: "w2", Incarnation: "i1", Kind: wire.OrderStop, Task: wire.TaskKey{JobID: "j", Attempt: i}})
	}
	orders = append(orders, wire.Order{Worker: "w1", Incarnation: "i1", Kind: wire.OrderStop})
	l.set(func() { l.orders = orders })
	select {
	case o := <-sender.sent:
		require.Equal(t, "w1", o.Worker)
	case <-time.After(10 * time.Second):
		t.Fatal("the order for the healthy worker waits for those of the frozen one")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Greater(t, len(m.inProgress), 900, "orders for the frozen worker are still waiting")
}

// Guards against results that together exceed the size of a frame. No report of the
// entry would reach the leader then, and all its workers would be declared lost.
func TestReportsWithManyResultsFitIntoFrames(t *testing.T) {
	l := &fakeLeader{term: 1}
	m, _ := startManager(t, l)
	a := announcement(1)
	for i := range 100 {
		a.Tasks = append(a.Tasks, wire.TaskReport{JobID: "j", Attempt: i, State: wire.TaskDone, Result: make([]byte, fleet.MaxBlobBytes)})
	}
	for i := range 20 {
		a.Instance = "w" + strconv.Itoa(i)
		m.Announce(a)
	}
	for i := range 20 {
		a.Instance = "w" + strconv.Itoa(i)
		require.Eventually(t, func() bool { return m.Announce(a).LeaderSequence == 1 }, 10*time.Second, 5*time.Millisecond)
	}
	a.Tasks[0].Result = make([]byte, 2*fleet.MaxBlobBytes)
	cut := limitResults(a.WorkerState).Tasks
	require.Len(t, cut, 100)
	require.Equal(t, wire.TaskDone, cut[0].State)
	require.Len(t, cut[0].Result, fleet.MaxBlobBytes+1)
	require.Equal(t, wire.TaskRunning, cut[99].State)
	require.Len(t, a.Tasks[99].Result, fleet.MaxBlobBytes, "the announcement itself is unchanged")
}
