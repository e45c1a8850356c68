package ledger

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func done(body string) *wire.CallAnswer {
	return &wire.CallAnswer{Verdict: string(api.Done), Status: http.StatusOK, Body: []byte(body)}
}

func notRun() *wire.CallAnswer {
	return &wire.CallAnswer{Verdict: string(api.NotRun), Status: http.StatusServiceUnavailable}
}

// model is a ledger with its journal in memory, so that a crash can truncate it
// anywhere after the last sync.
type model struct {
	table   *table
	header  header
	journal []byte
	pending []op
	now     int64
	owners  int
	// dispatched maps identifiers to the owners of acknowledged dispatches that were not released.
	dispatched map[string]string
	answers    map[string]string
	// unsynced maps identifiers to the owners of dispatches whose records are not synced yet.
	unsynced map[string]string
}

func (m *model) change(change op, ok bool) {
	if ok {
		m.table.apply(change, 0)
		m.pending = append(m.pending, change)
	}
}

func (m *model) sync(t *rapid.T) {
	frame, err := m.header.encodeFrame(m.pending)
	require.NoError(t, err)
	m.journal = append(m.journal, frame...)
	m.pending = nil
	for id, owner := range m.unsynced {
		if other, ok := m.dispatched[id]; ok && other != owner {
			t.Fatalf("%s was dispatched by %s and by %s", id, other, owner)
		}
		m.dispatched[id] = owner
	}
	m.unsynced = map[string]string{}
}

func (m *model) crash(t *rapid.T) {
	frame, err := m.header.encodeFrame(m.pending)
	require.NoError(t, err)
	torn := frame[:rapid.IntRange(0, len(frame)-1).Draw(t, "torn")]
	m.table = newTable(0)
	valid, err := m.header.decodeFrames(append(append([]byte(nil), m.journal...), torn...), func(c op) { m.table.apply(c, 0) })
	require.NoError(t, err)
	require.Equal(t, len(m.journal), valid)
	m.pending = nil
	m.unsynced = map[string]string{}
}

// call runs one call as an entry does, stopping after a random step.
func (m *model) call(t *rapid.T) {
	id := fmt.Sprintf("dc1.%d", rapid.IntRange(0, 2).Draw(t, "id"))
	m.owners++
	owner := fmt.Sprint(m.owners)
	steps := rapid.IntRange(1, 4).Draw(t, "steps")
	state := m.table.claim(m.now, wire.LedgerClaimRequest{RequestID: id, Owner: owner, DeadlineMS: 1000})
	if state != wire.LedgerNew {
		m.checkAnswer(t, id, state)
		return
	}
	if steps < 2 {
		return
	}
	change, ok := m.table.dispatch(m.now, id, owner)
	require.True(t, ok)
	m.change(change, ok)
	m.unsynced[id] = owner
	if steps < 3 {
		return
	}
	m.sync(t)
	answer := done(owner)
	if steps == 3 {
		answer = notRun()
		delete(m.dispatched, id)
	}
	change, changed, held := m.table.finish(m.now, id, owner, answer)
	require.True(t, held)
	m.change(change, changed)
	if rapid.Bool().Draw(t, "synced") {
		m.sync(t)
		if steps == 4 {
			m.answers[id] = owner
		}
	}
}

func (m *model) checkAnswer(t *rapid.T, id string, state wire.LedgerState) {
	if want, ok := m.answers[id]; ok && state == wire.LedgerFinished {
		require.Equal(t, want, string(m.table.records[id].answer.Body))
	}
}

// Guards against a second dispatch of an identifier and against a changed answer,
// across crashes with torn tails, timed-out owners and expiry.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{table: newTable(0), now: 1, dispatched: map[string]string{}, answers: map[string]string{}, unsynced: map[string]string{}}
		t.Repeat(map[string]func(*rapid.T){
			"call":  m.call,
			"sync":  m.sync,
			"crash": m.crash,
			"time": func(t *rapid.T) {
				m.now += int64(rapid.SampledFrom([]int{100, 2000, 700_000}).Draw(t, "ms"))
				m.table.expire(m.now)
			},
			"late finish": func(t *rapid.T) {
				for id, owner := range m.dispatched {
					if _, finished := m.answers[id]; !finished && rapid.Bool().Draw(t, "finish") {
						change, changed, _ := m.table.finish(m.now, id, owner, done(owner))
						m.change(change, changed)
					}
				}
			},
		})
	})
}

// Guards against a wrong state for an identifier whose record expired or was lost.
func TestClaimStates(t *testing.T) {
	const day = int64(24 * time.Hour / time.Millisecond)
	const minute = int64(time.Minute / time.Millisecond)
	const random = "0123456789abcdef01234567"
	now := 20_000 * day
	finished := func(tb *table, ago int64) {
		tb.apply(op{Kind: opDispatch, ID: "dc1.a", Owner: "o", ClaimedAt: now - ago, Deadline: now - ago}, 1)
		tb.apply(op{Kind: opFinish, ID: "dc1.a", Owner: "o", FinishedAt: now - ago, Answer: done("x")}, 2)
	}
	cases := []struct {
		name  string
		epoch int64
		setup func(*table)
		req   wire.LedgerClaimRequest
		want  wire.LedgerState
	}{
		{name: "no record", req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerNew},
		{name: "finished", setup: func(tb *table) { finished(tb, 1000) }, req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerFinished},
		{name: "tombstone", setup: func(tb *table) { finished(tb, day/2) }, req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerExpired},
		{name: "tombstone expired", setup: func(tb *table) { finished(tb, day+1) }, req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerNew},
		{name: "generated more than a day ago", req: wire.LedgerClaimRequest{RequestID: fmt.Sprintf("dc1.%d-%s", now-day-1, random)}, want: wire.LedgerExpired},
		{name: "identifier chosen by the caller", req: wire.LedgerClaimRequest{RequestID: "dc1.20261204-7"}, want: wire.LedgerNew},
		{name: "lost disk", epoch: now - 1, req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerForgotten},
		{name: "lost disk, first attempt", epoch: now - 1, req: wire.LedgerClaimRequest{RequestID: "dc1.a", FirstAttempt: true}, want: wire.LedgerNew},
		{name: "lost disk, generated since", epoch: now - 2*minute, req: wire.LedgerClaimRequest{RequestID: fmt.Sprintf("dc1.%d-%s", now-1, random)}, want: wire.LedgerNew},
		{name: "lost disk, generated within the clock margin", epoch: now - 9, req: wire.LedgerClaimRequest{RequestID: fmt.Sprintf("dc1.%d-%s", now-1, random)}, want: wire.LedgerForgotten},
		{name: "disk lost more than a day ago", epoch: now - day - 1, req: wire.LedgerClaimRequest{RequestID: "dc1.a"}, want: wire.LedgerNew},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tb := newTable(tc.epoch)
			if tc.setup != nil {
				tc.setup(tb)
			}
			tb.expire(now)
			require.Equal(t, tc.want, tb.claim(now, tc.req))
		})
	}
}

// Guards against unbounded memory use by stored answers, and against the loss of a
// record when its body is dropped.
func TestRetainedBodiesAreBounded(t *testing.T) {
	tb := newTable(0)
	body := string(make([]byte, MaxAnswerBytes))
	const calls = 2*maxRetainedBodyBytes/MaxAnswerBytes + 1
	for i := range calls {
		id := fmt.Sprintf("dc1.%d", i)
		tb.apply(op{Kind: opDispatch, ID: id, Owner: "o"}, 1)
		tb.apply(op{Kind: opFinish, ID: id, Owner: "o", Answer: done(body)}, 2)
	}
	held := 0
	for _, rec := range tb.records {
		held += len(rec.answer.Body)
	}
	require.Equal(t, maxRetainedBodyBytes, held)
	require.Equal(t, held, tb.bodyBytes)
	oldest := tb.records["dc1.0"]
	require.Equal(t, wire.LedgerFinished, oldest.state)
	require.Equal(t, CodeAnswerNotKept, oldest.answer.Code)
	tb.expire(answerRetention.Milliseconds() + 1)
	require.Zero(t, tb.bodyBytes)
	require.Empty(t, tb.withBody)
}

// Guards against a scan of all tombstones every second, which would hold the ledger's lock.
func BenchmarkExpire(b *testing.B) {
	tb := newTable(0)
	now := int64(tombstoneRetention / time.Millisecond)
	for i := range uint64(1_000_000) {
		tb.tombstones[i] = now
	}
	for b.Loop() {
		now += expireInterval.Milliseconds()
		tb.expire(now)
	}
}
