package ledger

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
)

func openLedger(t *testing.T, folder string, opts Options) *Ledger {
	opts.FirstStart = true
	l, err := Open(folder, opts)
	require.NoError(t, err)
	return l
}

func mustClaim(t *testing.T, l *Ledger, id, owner string) wire.LedgerRecord {
	rec, err := l.Claim(context.Background(), wire.LedgerClaimRequest{RequestID: id, Owner: owner, DeadlineMS: 1000})
	require.NoError(t, err)
	return rec
}

func runCall(t *testing.T, l *Ledger, id, owner string) {
	require.Equal(t, wire.LedgerNew, mustClaim(t, l, id, owner).State)
	require.NoError(t, l.Dispatch(context.Background(), id, owner))
	require.NoError(t, l.Finish(context.Background(), id, owner, done(id)))
}

// Guards against two concurrent claims of one identifier that both lead to a dispatch.
func TestConcurrentClaims(t *testing.T) {
	l := openLedger(t, t.TempDir(), Options{})
	defer l.Close()
	const owners = 20
	won := make(chan string, owners)
	answers := make(chan string, owners)
	for i := range owners {
		go func() {
			owner := string(rune('a' + i))
			rec, err := l.Claim(context.Background(), wire.LedgerClaimRequest{RequestID: "dc1.x", Owner: owner, WaitMS: 10_000, DeadlineMS: 10_000})
			if err == nil && rec.State == wire.LedgerNew && l.Dispatch(context.Background(), "dc1.x", owner) == nil {
				won <- owner
				_ = l.Finish(context.Background(), "dc1.x", owner, done(owner))
				answers <- owner
				return
			}
			answers <- string(rec.Answer.Body)
		}()
	}
	first := <-won
	for range owners {
		require.Equal(t, first, <-answers)
	}
	require.Empty(t, won)
}

// Guards against a restart that loses durable records, and against a claim that
// survives a restart although claims are not durable.
func TestRestart(t *testing.T) {
	folder := t.TempDir()
	l := openLedger(t, folder, Options{})
	runCall(t, l, "dc1.done", "o")
	mustClaim(t, l, "dc1.dispatched", "o")
	require.NoError(t, l.Dispatch(context.Background(), "dc1.dispatched", "o"))
	mustClaim(t, l, "dc1.claimed", "o")
	require.NoError(t, l.compact())
	runCall(t, l, "dc1.later", "o")
	require.NoError(t, l.Close())

	l = openLedger(t, folder, Options{})
	defer l.Close()
	require.Equal(t, "dc1.done", string(mustClaim(t, l, "dc1.done", "p").Answer.Body))
	require.Equal(t, "dc1.later", string(mustClaim(t, l, "dc1.later", "p").Answer.Body))
	require.Equal(t, wire.LedgerDispatched, mustClaim(t, l, "dc1.dispatched", "p").State)
	require.Error(t, l.Dispatch(context.Background(), "dc1.claimed", "o"))
	require.Equal(t, wire.LedgerNew, mustClaim(t, l, "dc1.claimed", "p").State)
}

// Guards against identifiers that stay blocked after their owner failed: after the
// owner's deadline a claim can be taken over, and a dispatched request is answered
// with an unknown outcome.
func TestOwnerTimeout(t *testing.T) {
	var ahead atomic.Int64
	clock := func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }
	l := openLedger(t, t.TempDir(), Options{Clock: clock})
	defer l.Close()
	mustClaim(t, l, "dc1.claimed", "dead")
	mustClaim(t, l, "dc1.sent", "dead")
	require.NoError(t, l.Dispatch(context.Background(), "dc1.sent", "dead"))
	require.Equal(t, wire.LedgerClaimed, mustClaim(t, l, "dc1.claimed", "p").State)
	ahead.Store(int64(time.Minute))
	require.Equal(t, wire.LedgerNew, mustClaim(t, l, "dc1.claimed", "p").State)
	require.Error(t, l.Dispatch(context.Background(), "dc1.claimed", "dead"))
	rec := mustClaim(t, l, "dc1.sent", "p")
	require.Equal(t, wire.LedgerDispatched, rec.State)
	require.Equal(t, unknownOutcome(), rec.Answer)
}

// Guards against a torn tail that prevents a start, and against damage before a valid
// frame that silently drops later records.
func TestDamagedJournal(t *testing.T) {
	folder := t.TempDir()
	l := openLedger(t, folder, Options{})
	runCall(t, l, "dc1.a", "o")
	runCall(t, l, "dc1.b", "o")
	require.NoError(t, l.Close())
	path := filepath.Join(folder, fileName)
	whole, err := os.ReadFile(path)
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(path, append(append([]byte(nil), whole...), whole[headerBytes:headerBytes+40]...), 0o644))
	l = openLedger(t, folder, Options{})
	require.Equal(t, wire.LedgerFinished, mustClaim(t, l, "dc1.b", "p").State)
	require.NoError(t, l.Close())
	repaired, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, whole, repaired)

	for _, at := range []int{4, headerBytes + 5, headerBytes + 20} {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x40
		require.NoError(t, os.WriteFile(path, damaged, 0o644))
		_, err = Open(folder, Options{})
		var corrupt *ErrCorrupt
		require.ErrorAs(t, err, &corrupt)
		require.Equal(t, path, corrupt.File)
	}
}

// Guards against a ledger that acknowledges changes after a failed sync, whose effect
// on the file is unknown.
func TestFailingSyncIsFinal(t *testing.T) {
	var broken atomic.Bool
	l := openLedger(t, t.TempDir(), Options{Sync: func(f *os.File) error {
		if broken.Load() {
			return errors.New("no space left")
		}
		return f.Sync()
	}})
	mustClaim(t, l, "dc1.a", "o")
	broken.Store(true)
	var body *wire.ErrorBody
	require.ErrorAs(t, l.Dispatch(context.Background(), "dc1.a", "o"), &body)
	require.Equal(t, wire.CodeUncertain, body.Code)
	<-l.Failed()
	broken.Store(false)
	_, err := l.Claim(context.Background(), wire.LedgerClaimRequest{RequestID: "dc1.b", Owner: "o"})
	require.Error(t, err)
	require.Error(t, l.Close())
}

// Guards against a panic or an unbounded allocation when a damaged journal is decoded.
func FuzzDecodeJournal(f *testing.F) {
	var h header
	frame, err := h.encodeFrame([]op{{Kind: opDispatch, ID: "dc1.a", Owner: "o"}})
	require.NoError(f, err)
	f.Add(append(h.encode(), frame...))
	f.Add(append(h.encode(), append(frame[:20:20], frame...)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decodeHeader(data)
		if err != nil {
			return
		}
		valid, _ := decoded.decodeFrames(data[headerBytes:], func(op) {})
		require.LessOrEqual(t, valid, len(data)-headerBytes)
	})
}
