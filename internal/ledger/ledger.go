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
	// expireInterval is the time between two runs of expiry and compaction.
	expireInterval = time.Second
	// compactBytes is the minimum size of a journal for compaction. compactRatio is the
	// ratio of its size to the size after the last compaction at which it is compacted
	// again.
	compactBytes = 32 << 20
	compactRatio = 3
	// maxClaimWait bounds the time that a caller of Claim can ask to wait.
	maxClaimWait = 10 * time.Second
)

// ErrClosed is returned by the methods of a ledger that was closed.
var ErrClosed = errors.New("ledger: closed")

// Options configures a ledger. The zero value is valid.
type Options struct {
	// Clock returns the wall-clock time. The default reads the wall clock once and then
	// advances it by the monotonic clock, so that a wall-clock step expires no record.
	Clock func() time.Time
	// FirstStart states that this data centre has never had a ledger. If it is false, a
	// folder without a journal counts as a lost disk: for 24 hours, an identifier without
	// a record gets the state wire.LedgerForgotten and is refused as may_have_run, unless
	// the request is marked as a first attempt or the identifier was generated after the
	// ledger was created.
	FirstStart bool
	// Sync replaces (*os.File).Sync for the journal, for fault injection in tests.
	Sync func(*os.File) error
}

// Ledger is the request ledger of one data centre, stored in a journal. It is safe
// for concurrent use.
type Ledger struct {
	folder string
	opts   Options

	mu      sync.Mutex
	table   *table
	pending []op
	// seq is the number of the last change, synced that of the last durable one.
	seq, synced uint64
	// changed is closed and replaced when changes become durable, after each run of expiry
	// and when the ledger fails.
	changed chan struct{}
	err     error

	// The fields below are used only by the writer goroutine after Open.
	header   header
	file     *os.File
	size     int64
	baseSize int64

	wakeWriter chan struct{}
	closed     chan struct{}
	done       chan struct{}
	failed     chan struct{}
}

// Open opens the ledger in folder and starts its writer. It creates the folder, and a
// new journal if there is none, and truncates an incomplete last batch. The error is
// an *ErrCorrupt if the header of the journal or a frame before a valid one is damaged.
func Open(folder string, opts Options) (*Ledger, error) {
	if opts.Clock == nil {
		opts.Clock = monotonicClock()
	}
	if opts.Sync == nil {
		opts.Sync = (*os.File).Sync
	}
	l := &Ledger{
		folder:     folder,
		opts:       opts,
		table:      newTable(0),
		changed:    make(chan struct{}),
		wakeWriter: make(chan struct{}, 1),
		closed:     make(chan struct{}),
		done:       make(chan struct{}),
		failed:     make(chan struct{}),
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
		return errors.Wrap(err, "ledger: create data folder")
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

// Close makes pending changes durable and closes the journal. It returns the
// error of a failed write or sync, if any. It must be called only once.
func (l *Ledger) Close() error {
	close(l.closed)
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	err := l.err
	l.fail(ErrClosed)
	return err
}

// Failed returns a channel that is closed when a write or sync of the journal has
// failed. The ledger then returns that error from every call, and the process
// should exit.
func (l *Ledger) Failed() <-chan struct{} { return l.failed }

// Err returns the first failure of the ledger, ErrClosed after Close, or nil.
func (l *Ledger) Err() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// Claim claims an identifier for req.Owner, or returns its existing record. The
// result has the state wire.LedgerNew if the claim succeeded. If another claim is in
// progress, Claim waits up to req.WaitMS milliseconds, at most 10 s, for its outcome or
// its release. When the time is over or ctx ends, it returns the record without an answer.
// The error is that of a failed or closed ledger.
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

// tryClaim makes one attempt at a claim. final is false while waiting may still
// produce an outcome; changed is closed when the next attempt is worthwhile.
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

// recordedOutcome adds the outcome to the reply to a claim that did not succeed. A
// finished record that is not durable yet is reported as dispatched.
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

// Dispatch records that the owner of the claim is about to dispatch the request. It
// returns nil once the record is durable; the caller must not dispatch before. The
// error is a *wire.ErrorBody with the code CodeNotHeld if owner does not hold the
// claim, or with wire.CodeUncertain if the record may or may not be durable; a failed
// or closed ledger returns its own error.
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

// CodeNotHeld is the error code for a change to a record that another owner holds.
const CodeNotHeld wire.ErrorCode = "not_held"

// Finish records the outcome of a request and returns nil once it is durable. An
// answer with the verdict not_run releases the identifier, so that a retry can claim
// it. The error is a *wire.ErrorBody with the code wire.CodeBadMessage if answer is
// nil, CodeNotHeld if owner does not hold the record, or wire.CodeUncertain if the
// outcome may or may not be durable; a failed or closed ledger returns its own error.
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

// append applies a change and queues it for the writer. The caller holds mu.
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

// uncertainError returns the error for a change that may or may not be durable.
func uncertainError(err error) error {
	return &wire.ErrorBody{Code: wire.CodeUncertain, Message: err.Error()}
}

// notifyWaiters wakes all callers that wait for a change. The caller holds mu.
func (l *Ledger) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// fail records the first failure, which is permanent. The caller holds mu.
func (l *Ledger) fail(err error) {
	if l.err == nil {
		l.err = err
		if !errors.Is(err, ErrClosed) {
			close(l.failed)
		}
	}
	l.notifyWaiters()
}
