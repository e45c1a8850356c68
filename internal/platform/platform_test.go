package platform

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
)

// fakeLeader answers reports with queued orders and records what it heard.
type fakeLeader struct {
	mu     sync.Mutex
	down   bool
	term   uint64
	orders []wire.Order
	heard  map[string]int
}

func (f *fakeLeader) Call(ctx context.Context, _ wire.Type, req, resp any, _ time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errors.New("no leader")
	}
	for _, w := range req.(wire.WorkerReport).Workers {
		f.heard[w.Instance]++
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

type fakeDriver struct {
	carried chan wire.Order
}

func (f *fakeDriver) Carry(_ context.Context, _ string, o wire.Order) error {
	f.carried <- o
	return nil
}

func startManager(t *testing.T, l *fakeLeader) (*Manager, *fakeDriver) {
	t.Helper()
	l.heard = map[string]int{}
	driver := &fakeDriver{carried: make(chan wire.Order, 16)}
	m := NewManager("e1", l, driver, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, driver
}

func announcement(sequence uint64) Announcement {
	return Announcement{
		WorkerState: wire.WorkerState{Instance: "w1", Incarnation: "i1", Address: "127.0.0.1:1"},
		Sequence:    sequence,
	}
}

// Guards against a worker that keeps its lease from the leader during a
// partition, where only the entry hears it.
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

// Guards against an order of a replaced leader, or for an earlier incarnation,
// that starts work which the present leader has placed elsewhere.
func TestOrdersOfOldTermAndIncarnationAreDropped(t *testing.T) {
	l := &fakeLeader{term: 5}
	m, driver := startManager(t, l)
	m.Announce(announcement(1))
	start := wire.Order{Worker: "w1", Incarnation: "i1", Kind: wire.OrderStart, Task: wire.TaskKey{JobID: "new", Attempt: 1}}
	stale := start
	stale.Incarnation = "i0"
	l.set(func() { l.orders = []wire.Order{stale, start} })
	require.Equal(t, "new", (<-driver.carried).Task.JobID)

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
	require.Equal(t, "next", (<-driver.carried).Task.JobID)
}

// Guards against announcements without the fields that fencing needs.
func TestBadAnnouncementsAreRefused(t *testing.T) {
	tests := map[string]func(*Announcement){
		"no incarnation": func(a *Announcement) { a.Incarnation = "" },
		"no sequence":    func(a *Announcement) { a.Sequence = 0 },
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
