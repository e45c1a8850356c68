package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// manualClock is a Clock that moves only when advance is called.
type manualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers map[chan time.Time]time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) Timer(d time.Duration) (<-chan time.Time, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.timers[ch] = c.now.Add(d)
	return ch, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.timers, ch)
	}
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	for ch, at := range c.timers {
		if !c.now.Before(at) {
			ch <- c.now
			delete(c.timers, ch)
		}
	}
}

// fakeLog is a fleet.Log that applies each command to one state in memory.
type fakeLog struct {
	mu      sync.Mutex
	clock   *manualClock
	s       *fleet.State
	changed chan struct{}
	lead    fleet.Leadership
	grants  int
}

func (l *fakeLog) Propose(_ context.Context, cmd fleet.Command) (fleet.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.lead.Leading {
		return fleet.Result{}, fleet.ErrNotLeader
	}
	if cmd.Grant != nil {
		l.grants++
	}
	cmd.Time = l.Now()
	r := l.s.Apply(l.s.Applied+1, cmd)
	close(l.changed)
	l.changed = make(chan struct{})
	return r, nil
}

func (l *fakeLog) Read(f func(*fleet.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.s)
}

func (l *fakeLog) Leadership() fleet.Leadership {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lead
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) Now() fleet.Time { return fleet.Time(l.clock.Now().UnixMilli()) }

func (l *fakeLog) setLeading(leading bool, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lead = fleet.Leadership{Leader: "other:1", Leading: leading, Term: term, Since: l.clock.Now()}
}

// testServer is a Server with a fake log and clock. Tests call reconcile instead of
// Run.
type testServer struct {
	*Server
	t     testing.TB
	log   *fakeLog
	clock *manualClock
	seq   uint64
	ids   int
}

// newTestServer returns a server in a term in which the leases of the previous leader
// have expired. The fleet has a team with the given limit and one key.
func newTestServer(t testing.TB, limit int) *testServer {
	clock := &manualClock{now: time.Unix(1000, 0), timers: map[chan time.Time]time.Time{}}
	log := &fakeLog{clock: clock, s: fleet.NewState(), changed: make(chan struct{})}
	b := &testServer{t: t, log: log, clock: clock, Server: NewServer(log, Options{Clock: clock})}
	log.setLeading(true, 1)
	size := fleet.Resources{CPUMilli: 100000}
	b.change(fleet.ChangeItem{PutDataCentre: &fleet.DataCentre{Name: "dc"}},
		fleet.ChangeItem{PutPool: &fleet.Pool{Name: "p"}},
		fleet.ChangeItem{PutInstance: &fleet.Instance{Name: "w", Pool: "p", DataCentre: "dc", Kind: fleet.KindWorker}},
		fleet.ChangeItem{PutQueue: &fleet.Queue{Name: "q", Pool: "p", Class: fleet.ClassNormal, MaxQueuedPerTeam: 100}},
		fleet.ChangeItem{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: limit}},
		fleet.ChangeItem{IssueKey: &fleet.Key{ID: "k", Team: "a", SecretSHA256: strings.Repeat("ab", 32)}})
	b.propose(fleet.Command{Observe: &fleet.Observe{Observations: []fleet.Observation{{Instance: "w", Incarnation: "1", Capacity: size}}}})
	require.NoError(t, b.confirmTerm(1))
	clock.advance(3 * time.Second)
	b.reconcile(context.Background())
	return b
}

func (b *testServer) propose(cmd fleet.Command) fleet.Result {
	reply, err := b.Propose(context.Background(), wire.ProposeRequest{Command: cmd})
	require.NoError(b.t, err)
	return reply.Result
}

func (b *testServer) changeCommand(items ...fleet.ChangeItem) fleet.Command {
	b.ids++
	return fleet.Command{Change: &fleet.ConfigChange{RequestID: fmt.Sprint("c", b.ids), ExpectedRevision: b.revision(), Items: items}}
}

func (b *testServer) change(items ...fleet.ChangeItem) fleet.Revision {
	r := b.propose(b.changeCommand(items...))
	require.Nil(b.t, r.Refusal)
	return r.Revision
}

func (b *testServer) revision() (rev fleet.Revision) {
	b.log.Read(func(s *fleet.State) { rev = s.Config.Revision })
	return rev
}

func (b *testServer) inForce() (rev fleet.Revision) {
	b.reconcile(context.Background())
	b.log.Read(func(s *fleet.State) { rev = s.InForce })
	return rev
}

func (b *testServer) granted() (n int) {
	b.log.Read(func(s *fleet.State) { n = s.Granted("a") })
	return n
}

// request returns the next renewal request of an entry that wants and uses units of
// team a, and that was last granted the given number of them.
func (b *testServer) request(entry string, rev fleet.Revision, wanted, used, granted int) wire.RenewRequest {
	b.seq++
	m := func(n int) map[string]int { return map[string]int{"a": n} }
	return wire.RenewRequest{Instance: entry, Incarnation: "1", Sequence: b.seq, Revision: rev, Wanted: m(wanted), Used: m(used), Granted: m(granted)}
}

func (b *testServer) renew(req wire.RenewRequest) *wire.RenewReply {
	reply, err := b.Renew(context.Background(), req)
	require.NoError(b.t, err)
	return reply
}

func (b *testServer) wireCode(err error) wire.ErrorCode {
	var body *wire.ErrorBody
	require.ErrorAs(b.t, err, &body)
	return body.Code
}
