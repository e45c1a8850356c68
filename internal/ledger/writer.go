package ledger

import (
	"time"

	"github.com/pkg/errors"
)

// writeLoop writes and syncs pending changes in batches, and expires records and
// compacts the journal, until the ledger is closed or fails.
func (l *Ledger) writeLoop() {
	defer close(l.done)
	defer func() { _ = l.file.Close() }()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.wakeWriter:
			if !l.writeBatch() {
				return
			}
		case <-ticker.C:
			if !l.expireAndCompact() {
				return
			}
		case <-l.closed:
			l.writeBatch()
			return
		}
	}
}

// writeBatch makes all pending changes durable, with one sync for each frame that they
// need. It returns false if the ledger has failed.
func (l *Ledger) writeBatch() bool {
	l.mu.Lock()
	batch := l.pending
	l.pending = nil
	first := l.seq - uint64(len(batch))
	l.mu.Unlock()
	for start := 0; start < len(batch); {
		end := batchEnd(batch, start)
		if err := l.writeFrame(batch[start:end]); err != nil {
			l.mu.Lock()
			l.fail(err)
			l.mu.Unlock()
			return false
		}
		start = end
		l.mu.Lock()
		l.synced = first + uint64(end)
		l.notifyWaiters()
		l.mu.Unlock()
	}
	return true
}

func (l *Ledger) writeFrame(ops []op) error {
	frame, err := l.header.encodeFrame(ops)
	if err != nil {
		return err
	}
	n, err := l.file.Write(frame)
	l.size += int64(n)
	if err != nil {
		return errors.Wrap(err, "ledger: write frame")
	}
	return errors.Wrap(l.opts.Sync(l.file), "ledger: sync journal")
}

// expireAndCompact expires records, wakes callers that wait for an owner that may have
// timed out, and compacts the journal if it has grown enough. It returns false if the
// ledger has failed.
func (l *Ledger) expireAndCompact() bool {
	l.mu.Lock()
	l.table.expire(l.now())
	l.notifyWaiters()
	l.mu.Unlock()
	if l.size < compactBytes || l.size < compactRatio*l.baseSize {
		return true
	}
	if err := l.compact(); err != nil {
		l.mu.Lock()
		l.fail(err)
		l.mu.Unlock()
		return false
	}
	return true
}

// compact replaces the journal by one that contains only the current records. Pending
// changes are included, and are appended a second time by the next batch.
func (l *Ledger) compact() error {
	l.mu.Lock()
	ops := l.table.snapshot()
	epoch := l.table.epoch
	l.mu.Unlock()
	h, file, size, err := create(l.folder, epoch, ops)
	if err != nil {
		return err
	}
	_ = l.file.Close()
	l.header, l.file, l.size, l.baseSize = h, file, size, size
	return nil
}
