package ledger

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	expireInterval = time.Second
	// compactBytes is the smallest journal that is compacted, and compactRatio
	// the ratio to the size after the last compaction that triggers the next.
	compactBytes = 32 << 20
	compactRatio = 3
	maxClaimWait      = 10 * time.Second
)

// ErrClosed is returned by a ledger that was closed.
var ErrClosed = errors.New("ledger: closed")

// Options are the parts of a ledger that its owner sets.
type Options struct {
	// Clock returns wall time; the default takes it once and then counts
	// monotonic time, so that a step of the clock expires no record.
	Clock func() time.Time
	// FirstStart says that this data centre never had a ledger before. Without
	// it, a folder without a journal is taken for a lost disk: for 24 hours,
	// identifiers that may be older are refused as may_have_run.
	FirstStart bool
	// Sync replaces the sync of the journal file, for fault injection.
	Sync func(*os.File) error
}

// Ledger is the request ledger of one data centre.
type Ledger struct {
	folder string
	opts   Options

	mu      sync.Mutex
	table   *table
	pending []op
	// seq numbers the changes; synced is the last durable one.
	seq, synced uint64
	// changed is closed and replaced when records become durable or are released.
	changed chan struct{}
	err     error

	// The writer goroutine alone uses these.
	header   header
	file     *os.File
	size     int64
	baseSize int64

	wakeWriter   chan struct{}
	closed chan struct{}
	done   chan struct{}
	failed chan struct{}
}

// Open opens the ledger in folder, or starts one with a new epoch when there is
// none. A journal with a damaged middle is an *ErrCorrupt.
func Open(folder string, opts Options) (*Ledger, error) {
	if opts.Clock == nil {
		opts.Clock = monotonicClock()
	}
	if opts.Sync == nil {
		opts.Sync = (*os.File).Sync
	}
	l := &Ledger{
		folder:  folder,
		opts:    opts,
		table:   newTable(0),
		changed: make(chan struct{}),
		wakeWriter:    make(chan struct{}, 1),
		closed:  make(chan struct{}),
		done:    make(chan struct{}),
		failed:  make(chan struct{}),
	}
	if err := l.load(); err != nil {
		return nil, err
	}
	go l.writeLoop()
	return l, nil
}

func monotonicClock() func() time.Time {
	start := time.Now()
	return func() time.Time { return start.Add(time.Since(start)) }
}

func (l *Ledger) load() error {
	if err := os.MkdirAll(l.folder, 0o750); err != nil {
		return errors.Wrap(err, "ledger: folder")
	}
	var err error
	l.header, l.file, l.size, err = load(l.folder, func(change op) { l.table.apply(change, 0) })
	if errors.Is(err, os.ErrNotExist) {
		epoch := l.now()
		if l.opts.FirstStart {
			epoch = 0
		}
		l.header, l.file, l.size, err = create(l.folder, epoch, nil)
	}
	if err != nil {
		return err
	}
	l.table.epoch = l.header.epoch
	l.baseSize = l.size
	l.table.expire(l.now())
	return nil
}

func (l *Ledger) now() int64 { return l.opts.Clock().UnixMilli() }

// Close syncs what is pending and closes the journal.
func (l *Ledger) Close() error {
	close(l.closed)
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.err
	l.fail(ErrClosed)
	return err
}

// Failed is closed when a write or sync failed; the ledger then refuses
// everything and the process should end.
func (l *Ledger) Failed() <-chan struct{} { return l.failed }

// Err returns the failure of a ledger whose Failed is closed.
func (l *Ledger) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Claim claims an identifier, or returns its record. With a wait it returns when
// the outcome is known or the wait is over.
func (l *Ledger) Claim(ctx context.Context, req wire.LedgerClaimRequest) (wire.LedgerRecord, error) {
	wait := min(time.Duration(max(req.WaitMS, 0))*time.Millisecond, maxClaimWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		rec, final, changed, err := l.tryClaim(req)
		if err != nil || final || wait == 0 {
			return rec, err
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			return rec, nil
		}
	}
}

// tryClaim claims once. settled is false while a wait may bring an outcome.
func (l *Ledger) tryClaim(req wire.LedgerClaimRequest) (out wire.LedgerRecord, final bool, changed chan struct{}, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return out, false, nil, l.err
	}
	now := l.now()
	state := l.table.claim(now, req)
	rec := l.table.records[req.RequestID]
	out = wire.LedgerRecord{State: state}
	if rec == nil || state == wire.LedgerNew {
		return out, true, l.changed, nil
	}
	out.Owner = rec.owner
	out.Fingerprint = rec.fingerprint
	if rec.fingerprint != req.Fingerprint {
		return out, true, l.changed, nil
	}
	return l.recordedOutcome(now, rec, out)
}

// recordedOutcome completes the answer to a claim of an identifier that another owner
// holds. A finished record counts only when it is durable.
func (l *Ledger) recordedOutcome(now int64, rec *record, out wire.LedgerRecord) (wire.LedgerRecord, bool, chan struct{}, error) {
	switch {
	case rec.state == wire.LedgerFinished && rec.seq <= l.synced:
		out.Answer = rec.answer
		return out, true, l.changed, nil
	case rec.state == wire.LedgerFinished:
		out.State = wire.LedgerDispatched
		return out, false, l.changed, nil
	case rec.state == wire.LedgerDispatched && rec.ownerTimedOut(now):
		out.Answer = unknownOutcome()
		return out, true, l.changed, nil
	}
	return out, false, l.changed, nil
}

// Dispatch records that the owner of the claim dispatches the request. It
// returns after the record is durable; the work may leave only then.
func (l *Ledger) Dispatch(ctx context.Context, id, owner string) error {
	l.mu.Lock()
	change, ok := l.table.dispatch(l.now(), id, owner)
	seq, err := l.append(change, ok)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	if !ok {
		return &wire.ErrorBody{Code: CodeNotHeld, Message: "the owner does not hold the claim"}
	}
	return l.waitSynced(ctx, seq)
}

// CodeNotHeld refuses the change of a record by another than its owner.
const CodeNotHeld wire.ErrorCode = "not_held"

// Finish records the outcome of a request. The verdict not_run releases the
// identifier, so that a retry may claim it.
func (l *Ledger) Finish(ctx context.Context, id, owner string, answer *wire.CallAnswer) error {
	if answer == nil {
		return &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "an outcome has an answer"}
	}
	l.mu.Lock()
	change, changed, held := l.table.finish(l.now(), id, owner, answer)
	seq, err := l.append(change, changed)
	l.mu.Unlock()
	if err != nil {
		return err
	}
	if !held {
		return &wire.ErrorBody{Code: CodeNotHeld, Message: "the owner does not hold the record"}
	}
	return l.waitSynced(ctx, seq)
}

// append makes a change and hands it to the writer. The lock is held.
func (l *Ledger) append(change op, changed bool) (uint64, error) {
	if l.err != nil {
		return 0, l.err
	}
	if !changed {
		return l.seq, nil
	}
	l.seq++
	l.table.apply(change, l.seq)
	l.pending = append(l.pending, change)
	select {
	case l.wakeWriter <- struct{}{}:
	default:
	}
	return l.seq, nil
}

func (l *Ledger) waitSynced(ctx context.Context, seq uint64) error {
	for {
		l.mu.Lock()
		err, synced, changed := l.err, l.synced, l.changed
		l.mu.Unlock()
		if synced >= seq {
			return nil
		}
		if err != nil {
			return uncertainError(err)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return uncertainError(ctx.Err())
		}
	}
}

// uncertainError is the error of a change that may or may not be durable.
func uncertainError(err error) error {
	return &wire.ErrorBody{Code: wire.CodeUncertain, Message: err.Error()}
}

// notifyWaiters wakes everybody that waits for a change. The lock is held.
func (l *Ledger) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// fail makes the first failure final. The lock is held.
func (l *Ledger) fail(err error) {
	if l.err == nil {
		l.err = err
		if !errors.Is(err, ErrClosed) {
			close(l.failed)
		}
	}
	l.notifyWaiters()
}
