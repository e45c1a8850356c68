// Package wal implements the write-ahead log of a store: segment files of records
// with a CRC each, which are appended and synced in batches. After a failed write or
// sync the log accepts no further operations.
package wal

import (
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/disk"
	"github.com/samphirefork/samphirefork/internal/raft"
)

const (
	segmentSuffix       = ".wal"
	defaultSegmentBytes = 8 << 20
)

// ErrFailed is returned by Append and Trim after an earlier file operation has failed,
// since the contents of the file are then unknown, and after Close.
var ErrFailed = errors.New("wal: an earlier write or sync failed")

// ErrTooLarge is returned for a record whose encoded payload exceeds 16 MiB.
var ErrTooLarge = errors.New("wal: record exceeds the size limit")

// ErrCorrupt reports a log that is damaged other than by a torn last batch: a damaged
// record, a missing segment, missing entries or the records of another member. Offset
// is in bytes from the start of File; it is 0 if the damage is not in a record.
type ErrCorrupt struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Meta identifies the member that owns a log.
type Meta struct {
	MemberID uint64 `cbor:"1,keyasint"`
	// Incarnation is a random number drawn when the log is created, so that it
	// differs after the member has lost its disk.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Options configures a log. SegmentBytes is the size in bytes after which a new segment
// is started; 0 means 8 MiB.
type Options struct {
	FS           disk.FS
	SegmentBytes int
}

// Contents is the state recorded in a log. Base is the position at which the log was
// initialized or last restarted; Trim may have removed the first entries after it.
type Contents struct {
	Meta      Meta
	HardState raft.HardState
	Base      raft.Position
	Entries   []raft.Entry
	// PeerIncarnations is the known incarnation of each other member, by member ID.
	PeerIncarnations map[uint64]uint64
	// TornBytes is the number of bytes of a torn last batch that Open removed.
	TornBytes int
}

// Empty reports whether the folder contains no initialized log.
func (c Contents) Empty() bool { return c.Meta.MemberID == 0 }

// Batch is the state written by one Append. Nil fields are not written.
type Batch struct {
	HardState *raft.HardState
	Entries   []raft.Entry
	// Base discards the entries of the log and restarts it after the position of a
	// snapshot. Entries in the same batch follow it.
	Base *raft.Position
	// PeerIncarnations replaces all known incarnations of the other members.
	PeerIncarnations map[uint64]uint64
}

type segment struct {
	number uint64
	// last is the largest entry index in the segment, or 0.
	last uint64
}

// Log is an open write-ahead log. It is not safe for concurrent use.
type Log struct {
	folder   string
	opts     Options
	segments []segment
	file     disk.File
	size     int
	failed   error

	meta             Meta
	hardState        raft.HardState
	base             raft.Position
	peerIncarnations map[uint64]uint64
}

// Open reads the log in an existing folder, and returns it once its contents are durable. If
// the last batch is torn, it truncates the file at the first damaged record; intact records of
// the batch before that stay. It returns an ErrCorrupt for any other damage. If the contents are
// empty, Init must be called before the first Append.
func Open(folder string, opts Options) (*Log, Contents, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	l := &Log{folder: folder, opts: opts}
	contents, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, Contents{}, err
	}
	l.meta = contents.Meta
	l.hardState = contents.HardState
	l.base = contents.Base
	l.peerIncarnations = contents.PeerIncarnations
	return l, contents, nil
}

// Init initializes a new log: it writes the first segment, with the owner and the
// position before the first entry, and syncs it.
func (l *Log) Init(meta Meta, base raft.Position) error {
	l.meta = meta
	l.base = base
	return l.rollSegment()
}

// Append writes a batch and syncs it. It returns ErrTooLarge, and writes
// nothing of the batch, if a record is too large. After a failed file operation the log is
// unusable: Append returns the cause, and ErrFailed from then on.
func (l *Log) Append(b Batch) error {
	if l.failed != nil {
		return errors.WithStack(ErrFailed)
	}
	if l.file == nil || l.size >= l.opts.SegmentBytes {
		if err := l.rollSegment(); err != nil {
			return err
		}
	}
	buf, err := l.encode(b)
	if err != nil {
		return err
	}
	if err := l.write(buf); err != nil {
		return err
	}
	l.updateState(b)
	return nil
}

func (l *Log) encode(b Batch) ([]byte, error) {
	var buf []byte
	var err error
	if b.HardState != nil {
		buf, err = l.encodeRecord(buf, kindHardState, b.HardState)
	}
	if b.Base != nil && err == nil {
		buf, err = l.encodeRecord(buf, kindBase, b.Base)
	}
	if b.PeerIncarnations != nil && err == nil {
		buf, err = l.encodeRecord(buf, kindPeerIncarnations, b.PeerIncarnations)
	}
	for i := range b.Entries {
		if err == nil {
			buf, err = l.encodeRecord(buf, kindEntry, &b.Entries[i])
		}
	}
	return buf, err
}

// encodeRecord appends the record of v to buf, which starts at the end of the segment.
func (l *Log) encodeRecord(buf []byte, k kind, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "wal: encode record")
	}
	if len(payload) > maxPayloadBytes {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	return appendRecord(buf, l.size, k, payload), nil
}

func (l *Log) write(buf []byte) error {
	n, err := l.file.Write(buf)
	if err == nil && n < len(buf) {
		err = errors.Wrapf(io.ErrShortWrite, "%d of %d bytes", n, len(buf))
	}
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		return l.fail(err)
	}
	l.size += len(buf)
	return nil
}

// fail makes the log unusable and returns the cause.
func (l *Log) fail(err error) error {
	l.failed = errors.Wrap(err, "wal")
	return l.failed
}

// updateState records a written batch, for the headers of new segments and for Trim.
func (l *Log) updateState(b Batch) {
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	if b.Base != nil {
		l.base = *b.Base
	}
	if b.PeerIncarnations != nil {
		l.peerIncarnations = b.PeerIncarnations
	}
	if n := len(b.Entries); n > 0 {
		current := &l.segments[len(l.segments)-1]
		current.last = max(current.last, b.Entries[n-1].Index)
	}
}

// rollSegment starts a new segment. Its header repeats the current metadata, so that
// older segments can be removed.
func (l *Log) rollSegment() error {
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(err)
		}
	}
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	file, err := l.opts.FS.Create(l.path(number))
	if err != nil {
		return l.fail(err)
	}
	l.file = file
	l.size = 0
	l.segments = append(l.segments, segment{number: number})
	if err := l.writeHeader(number == 1); err != nil {
		return err
	}
	if err := l.opts.FS.SyncFolder(l.folder); err != nil {
		return l.fail(err)
	}
	return nil
}

// writeHeader writes the records at the start of a segment. Every header contains the
// base, but no segment starts with a base record, since that would restart the log.
func (l *Log) writeHeader(first bool) error {
	buf, err := l.encodeRecord(nil, kindMeta, header{Meta: l.meta, Base: l.base})
	if err == nil && !first {
		buf, err = l.encodeRecord(buf, kindHardState, &l.hardState)
	}
	if l.peerIncarnations != nil && err == nil {
		buf, err = l.encodeRecord(buf, kindPeerIncarnations, l.peerIncarnations)
	}
	if err != nil {
		return err
	}
	return l.write(buf)
}

// header is the payload of the first record of a segment. Base is used only when no
// earlier segment is left.
type header struct {
	Meta Meta          `cbor:"1,keyasint"`
	Base raft.Position `cbor:"2,keyasint"`
}

// Trim removes the oldest segments that contain no entry after index. The newest segment
// always stays.
func (l *Log) Trim(index uint64) error {
	if l.failed != nil {
		return errors.WithStack(ErrFailed)
	}
	removed := 0
	for _, s := range l.segments[:max(len(l.segments)-1, 0)] {
		if s.last > index {
			break
		}
		if err := l.opts.FS.Remove(l.path(s.number)); err != nil {
			return l.fail(err)
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.segments = l.segments[removed:]
	if err := l.opts.FS.SyncFolder(l.folder); err != nil {
		return l.fail(err)
	}
	return nil
}

// Close closes the current segment. The log cannot be used afterwards.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failed == nil {
		l.failed = ErrFailed
	}
	return errors.Wrap(err, "wal: close segment")
}

func (l *Log) path(number uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%020d%s", number, segmentSuffix))
}

func segmentNumber(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}
