package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/lease"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestInForceWaitsForSilentEntry guards against reporting a withdrawn key as in force
// while an entry that has not received the change may still admit work.
func TestInForceWaitsForSilentEntry(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", b.revision(), 0, 0, 0))
	b.renew(b.request("e2", b.revision(), 0, 0, 0))
	rev := b.change(fleet.ChangeItem{WithdrawKey: "k"})
	b.clock.advance(lease.Duration / 2)
	reply := b.renew(b.request("e1", rev-1, 0, 0, 0))
	require.Nil(t, reply.Config)
	require.True(t, reply.Delta.Keys[0].Withdrawn)
	b.renew(b.request("e1", rev, 0, 0, 0))
	require.Equal(t, rev-1, b.inForce(), "e2 holds a lease")
	b.clock.advance(lease.Duration/2 + lease.Margin(lease.Duration))
	require.Equal(t, rev, b.inForce(), "the lease of e2 has expired")
}

// TestInForceWithAcknowledgements guards against a change that waits for a lease to
// expire although every entry has acknowledged it, and against a waiting operator who
// gets no reply.
func TestInForceWithAcknowledgements(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", b.revision(), 0, 0, 0))
	cmd := b.changeCommand(fleet.ChangeItem{WithdrawKey: "k"})
	want := b.revision() + 1
	done := make(chan *wire.ProposeReply)
	go func() {
		reply, _ := b.Propose(context.Background(), wire.ProposeRequest{Command: cmd, WaitInForceMS: 7000})
		done <- reply
	}()
	require.Eventually(t, func() bool { return b.revision() == want }, 10*time.Second, time.Millisecond)
	require.Equal(t, want-1, b.inForce())
	b.renew(b.request("e1", want, 0, 0, 0))
	require.Equal(t, want, b.inForce())
	reply := <-done
	require.True(t, reply.InForce)
	require.Equal(t, b.log.Now(), reply.InForceAt)
	resent := b.propose(cmd)
	require.True(t, resent.Resent, "the answer was lost and the change is sent again")
	require.Equal(t, want, resent.Revision)
}

// TestRunMarksInForce guards against a Run that does not notice a new revision, or
// that does not return when its context ends.
func TestRunMarksInForce(t *testing.T) {
	b := newTestServer(t, 10)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.Run(ctx)
	}()
	rev := b.change(fleet.ChangeItem{WithdrawKey: "k"})
	marked := func() (ok bool) {
		b.log.Read(func(s *fleet.State) { ok = s.InForce == rev })
		return ok
	}
	require.Eventually(t, marked, 10*time.Second, time.Millisecond)
	cancel()
	<-ended
}

// TestTwoOperators guards against two changes that expect the same revision and both
// succeed.
func TestTwoOperators(t *testing.T) {
	b := newTestServer(t, 10)
	first := b.changeCommand(fleet.ChangeItem{WithdrawKey: "k"})
	second := b.changeCommand(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "b", Share: 1}})
	require.Nil(t, b.propose(first).Refusal)
	r := b.propose(second)
	require.Equal(t, fleet.CodeRevisionConflict, r.Refusal.Code)
	require.Equal(t, b.revision(), r.Refusal.PresentRevision)
}

// TestLeaderChange guards against a store that answers after losing its leadership,
// and against a new leader that reuses units or reports a change as in force before
// the leases and calls of its predecessor's entries have ended.
func TestLeaderChange(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", b.revision(), 6, 6, 0))
	b.log.setLeading(false, 2)
	_, err := b.Renew(context.Background(), b.request("e1", b.revision(), 6, 6, 6))
	require.Equal(t, wire.CodeNotLeader, b.wireCode(err))
	_, err = b.Propose(context.Background(), wire.ProposeRequest{Command: b.changeCommand()})
	require.Equal(t, wire.CodeNotLeader, b.wireCode(err))
	b.log.setLeading(true, 3)
	rev := b.change(fleet.ChangeItem{PutTeam: &fleet.Team{Name: "b", Share: 1}})
	require.Equal(t, rev-1, b.inForce())
	require.Equal(t, 1, b.renew(b.request("e2", rev, 10, 0, 0)).Grants["a"], "e1 may run 9")
	b.clock.advance(lease.Duration + lease.Margin(lease.Duration))
	b.renew(b.request("e2", rev, 10, 1, 1))
	require.Equal(t, rev, b.inForce())
	b.clock.advance(fleet.MaxCallTime)
	b.reconcile(context.Background())
	require.Equal(t, 10, b.granted())
	b.clock.advance(releaseDelay - fleet.MaxCallTime)
	b.reconcile(context.Background())
	require.Equal(t, 1, b.granted(), "the units of e1 are free")
}

// TestStepDownBeforeReply guards against a reply from a store that lost its leadership
// while it held the reply.
func TestStepDownBeforeReply(t *testing.T) {
	b := newTestServer(t, 10)
	req := b.request("e1", b.revision(), 0, 0, 0)
	req.HoldMS = 500
	errs := make(chan error)
	go func() {
		_, err := b.Renew(context.Background(), req)
		errs <- err
	}()
	b.waitForTimer()
	b.log.setLeading(false, 2)
	b.clock.advance(500 * time.Millisecond)
	require.Equal(t, wire.CodeNotLeader, b.wireCode(<-errs))
}

// waitForTimer waits until the server holds a reply.
func (b *testServer) waitForTimer() {
	require.Eventually(b.t, func() bool {
		b.clock.mu.Lock()
		defer b.clock.mu.Unlock()
		return len(b.clock.timers) > 0
	}, 10*time.Second, time.Millisecond)
}

// TestHeldReplyIsWoken guards against a change that reaches entries only at the end of
// the hold time, and against a held reply to a request that was overtaken.
func TestHeldReplyIsWoken(t *testing.T) {
	b := newTestServer(t, 10)
	req := b.request("e1", b.revision(), 0, 0, 0)
	req.HoldMS = 500
	replies := make(chan *wire.RenewReply)
	go func() {
		reply, _ := b.Renew(context.Background(), req)
		replies <- reply
	}()
	b.waitForTimer()
	rev := b.change(fleet.ChangeItem{WithdrawKey: "k"})
	require.Equal(t, rev, (<-replies).Revision)

	req = b.request("e1", rev, 0, 0, 0)
	req.HoldMS = 500
	errs := make(chan error)
	go func() {
		_, err := b.Renew(context.Background(), req)
		errs <- err
	}()
	b.waitForTimer()
	b.renew(b.request("e1", rev, 4, 0, 0))
	require.Equal(t, wire.CodeOvertaken, b.wireCode(<-errs))
	_, err := b.Renew(context.Background(), req)
	require.Equal(t, wire.CodeOvertaken, b.wireCode(err))
}

// TestGrantsAreLoweredSafely guards against granting units to a second entry while the
// first may still admit calls with them.
func TestGrantsAreLoweredSafely(t *testing.T) {
	b := newTestServer(t, 10)
	require.Equal(t, 10, b.renew(b.request("e1", 1, 10, 0, 0)).Grants["a"])
	require.Equal(t, 0, b.renew(b.request("e2", 1, 10, 0, 0)).Grants["a"])
	lowered := b.request("e1", 1, 10, 10, 10)
	require.Equal(t, 5, b.renew(lowered).Grants["a"])
	require.Equal(t, 0, b.renew(b.request("e2", 1, 10, 0, 0)).Grants["a"], "e1 may not have the reply")
	b.renew(b.request("e1", 1, 10, 7, 5))
	require.Equal(t, 3, b.renew(b.request("e2", 1, 10, 0, 0)).Grants["a"], "7 calls of e1 still run")
	resent := b.request("e1", 1, 10, 5, 5)
	b.renew(resent)
	resent.Used = map[string]int{"a": 0}
	resent.Wanted = resent.Used
	b.renew(resent)
	require.Equal(t, 5, b.renew(b.request("e2", 1, 10, 3, 3)).Grants["a"])
	before := b.log.grants
	b.renew(b.request("e1", 1, 10, 5, 5))
	require.Equal(t, before, b.log.grants, "nothing changed, so nothing is committed")
}

// TestOvertakenWhileWaiting guards against a request that waits for the grant lock and
// then lowers a grant that the reply to a later request has raised.
func TestOvertakenWhileWaiting(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", 1, 10, 0, 0))
	b.renew(b.request("e2", 1, 10, 0, 0))
	unlock, err := b.lockGrants(context.Background())
	require.NoError(t, err)
	late := b.request("e1", 1, 0, 0, 10)
	errs := make(chan error)
	go func() {
		_, err := b.Renew(context.Background(), late)
		errs <- err
	}()
	received := func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.entries["e1/1"].sequence == late.Sequence
	}
	require.Eventually(t, received, 10*time.Second, time.Millisecond)
	_, err = b.recordRenewal(b.request("e1", 1, 10, 0, 10))
	require.NoError(t, err)
	unlock()
	require.Equal(t, wire.CodeOvertaken, b.wireCode(<-errs))
	require.Equal(t, 10, b.granted())
}

// TestRequestOfAnEarlierTerm guards against a delayed request that lowers a grant
// although its entry has since received a larger one from the previous leader.
func TestRequestOfAnEarlierTerm(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", 1, 10, 0, 0))
	b.log.setLeading(true, 2)
	for range 2 {
		late := b.request("e1", 1, 0, 0, 0)
		late.Term = 1
		b.renew(late)
		require.Equal(t, 10, b.granted())
	}
	next := b.request("e1", 1, 0, 0, 10)
	next.Term = 2
	b.renew(next)
	require.Equal(t, 0, b.granted())
}

// TestDivideLimit guards against a team that cannot use its whole limit for one kind of
// work, and against starvation of one kind of work or one entry by another.
func TestDivideLimit(t *testing.T) {
	cases := []struct {
		name  string
		d     demand
		calls []int
		jobs  int
	}{
		{"only calls", demand{limit: 10, calls: []callDemand{{wanted: 50}}}, []int{10}, 0},
		{"only jobs", demand{limit: 10, queued: 50, calls: []callDemand{{}}}, []int{0}, 10},
		{"both want all", demand{limit: 10, queued: 50, calls: []callDemand{{wanted: 50}}}, []int{5}, 5},
		{"few jobs", demand{limit: 10, queued: 2, calls: []callDemand{{wanted: 50}}}, []int{8}, 2},
		{"few calls", demand{limit: 10, queued: 50, calls: []callDemand{{wanted: 2}}}, []int{2}, 8},
		{"odd unit, calls' turn", demand{limit: 1, queued: 9, calls: []callDemand{{wanted: 9}}}, []int{1}, 0},
		{"odd unit, jobs' turn", demand{limit: 1, queued: 9, rotation: 1, calls: []callDemand{{wanted: 9}}}, []int{0}, 1},
		{"running jobs yield", demand{limit: 10, running: 8, queued: 9, calls: []callDemand{{wanted: 9}}}, []int{2}, 5},
		{"fair between entries", demand{limit: 10, calls: []callDemand{{wanted: 2}, {wanted: 50}, {wanted: 50}}}, []int{2, 4, 4}, 0},
		{"remainder rotates", demand{limit: 2, rotation: 2, calls: []callDemand{{wanted: 5}, {wanted: 5}, {wanted: 5}}}, []int{1, 0, 1}, 0},
		{"reserved units", demand{limit: 10, reserved: 6, queued: 50, calls: []callDemand{{wanted: 50}}}, []int{2}, 2},
		{"headroom", demand{limit: 100, running: 10, calls: []callDemand{{wanted: 10}, {wanted: 4, granted: 9}}}, []int{15, 9}, 76},
		{"lowered limit", demand{limit: 0, running: 3, calls: []callDemand{{wanted: 1}}}, []int{0}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, division{c.calls, c.jobs}, divideLimit(c.d))
		})
	}
}

// TestJobWait guards against a wait that misses the end of its job, returns the job to
// another team, or leaks a goroutine.
func TestJobWait(t *testing.T) {
	b := newTestServer(t, 10)
	b.propose(fleet.Command{Submit: &fleet.JobSubmit{ID: "j", Team: "a", KeyID: "k", Queue: "q"}})
	reply, err := b.JobWait(context.Background(), wire.JobWaitRequest{ID: "j", Team: "b"})
	require.NoError(t, err)
	require.Nil(t, reply.Job)
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan fleet.JobState)
	wait := func(ctx context.Context) {
		reply, _ := b.JobWait(ctx, wire.JobWaitRequest{ID: "j", Team: "a", WaitMS: 1000})
		got <- reply.Job.State
	}
	go wait(ctx)
	cancel()
	require.Equal(t, fleet.JobQueued, <-got)
	go wait(context.Background())
	b.waitForTimer()
	b.propose(fleet.Command{Cancel: &fleet.JobCancel{ID: "j", Team: "a"}})
	require.Equal(t, fleet.JobCancelled, <-got)
}

// TestStatus guards against wrong counts in a status reply, and against one that lists
// more audit records than requested.
func TestStatus(t *testing.T) {
	b := newTestServer(t, 10)
	b.renew(b.request("e1", 1, 3, 2, 0))
	for i := range 3 {
		b.change(fleet.ChangeItem{PutDataCentre: &fleet.DataCentre{Name: fmt.Sprint("n", i)}})
	}
	reply, err := b.Status(context.Background(), wire.StatusRequest{AuditLimit: 2})
	require.NoError(t, err)
	require.Equal(t, map[string]int{"a": 2}, reply.Usage)
	require.Len(t, reply.Entries, 1)
	require.Len(t, reply.Audit, 2)
	require.Equal(t, b.revision(), reply.Audit[0].Revision)
	require.Nil(t, reply.Config)
}
