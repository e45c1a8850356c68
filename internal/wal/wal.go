// Package wal is the durable log of one store: segment files of records with a
// CRC each, appended and synced in batches. A failed write or sync is final.
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

// ErrFailed is returned after a failed write or sync: what the file holds is
// unknown, so the log takes no further work.
var ErrFailed = errors.New("wal: an earlier write or sync failed")

// ErrTooLarge is a record beyond the size limit.
var ErrTooLarge = errors.New("wal: record exceeds the size limit")

// ErrCorrupt is a damaged record that is not a torn last batch.
type ErrCorrupt struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *ErrCorrupt) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Meta identifies the owner of the log.
type Meta struct {
	MemberID uint64 `cbor:"1,keyasint"`
	// Incarnation is drawn when the log is started, and so differs after the
	// loss of a disk.
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Options configures a log. SegmentBytes is the size after which a new segment is started.
type Options struct {
	FS           disk.FS
	SegmentBytes int
}

// Contents is what a log holds. Base is the position before the first entry.
type Contents struct {
	Meta      Meta
	HardState raft.HardState
	Base      raft.Position
	Entries   []raft.Entry
	// PeerIncarnations holds the incarnation of each other member that was heard of.
	PeerIncarnations map[uint64]uint64
	// TornBytes is the size of the torn last batch that was cut.
	TornBytes int
}

// Empty tells whether no log was ever started in the folder.
func (c Contents) Empty() bool { return c.Meta.MemberID == 0 }

// Batch is one synced append.
type Batch struct {
	HardState *raft.HardState
	Entries   []raft.Entry
	// Base restarts the log after a snapshot that replaces it.
	Base *raft.Position
	// PeerIncarnations replaces the known incarnations of the other members.
	PeerIncarnations map[uint64]uint64
}

type segment struct {
	number uint64
	// last is the largest entry index in the segment.
	last uint64
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	folder   string
	opts     Options
	segments []segment
	file     disk.File
	size     int
	failed   error

	meta      Meta
	hardState raft.HardState
	base      raft.Position
	peers     map[uint64]uint64
}

// Open reads the log in the folder, which exists, and cuts a torn last batch. A
// new log takes no appends before Start.
func Open(folder string, opts Options) (*Log, Contents, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = defaultSegmentBytes
	}
	l := &Log{folder: folder, opts: opts}
	contents, err := l.load()
	if err != nil {
		return nil, Contents{}, err
	}
	l.meta = contents.Meta
	l.hardState = contents.HardState
	l.base = contents.Base
	l.peers = contents.PeerIncarnations
	return l, contents, nil
}

// Init makes a new log durable.
func (l *Log) Init(meta Meta, base raft.Position) error {
	l.meta = meta
	l.base = base
	return l.roll()
}

// Append writes a batch and syncs it. After an error the log is unusable.
func (l *Log) Append(b Batch) error {
	if l.failed != nil {
		return errors.WithStack(ErrFailed)
	}
	if l.file == nil || l.size >= l.opts.SegmentBytes {
		if err := l.roll(); err != nil {
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
	l.note(b)
	return nil
}

func (l *Log) encode(b Batch) ([]byte, error) {
	var buf []byte
	var err error
	if b.HardState != nil {
		buf, err = l.add(buf, kindHardState, b.HardState)
	}
	if b.Base != nil && err == nil {
		buf, err = l.add(buf, kindBase, b.Base)
	}
	if b.PeerIncarnations != nil && err == nil {
		buf, err = l.add(buf, kindPeers, b.PeerIncarnations)
	}
	for i := range b.Entries {
		if err == nil {
			buf, err = l.add(buf, kindEntry, &b.Entries[i])
		}
	}
	return buf, err
}

func (l *Log) add(buf []byte, k kind, v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "wal: encode")
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

func (l *Log) fail(err error) error {
	l.failed = errors.Wrap(err, "wal")
	return l.failed
}

func (l *Log) note(b Batch) {
	if b.HardState != nil {
		l.hardState = *b.HardState
	}
	if b.Base != nil {
		l.base = *b.Base
	}
	if b.PeerIncarnations != nil {
		l.peers = b.PeerIncarnations
	}
	if n := len(b.Entries); n > 0 {
		current := &l.segments[len(l.segments)-1]
		current.last = max(current.last, b.Entries[n-1].Index)
	}
}

// roll starts a new segment, which repeats the meta data, so that older
// segments can be removed.
func (l *Log) roll() error {
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

// writeHeader writes the records at the start of a segment. The first segment
// also holds the base; later ones must not repeat it, since a base restarts the log.
func (l *Log) writeHeader(first bool) error {
	buf, err := l.add(nil, kindMeta, header{Meta: l.meta, Base: l.base})
	if err == nil && !first {
		buf, err = l.add(buf, kindHardState, &l.hardState)
	}
	if l.peers != nil && err == nil {
		buf, err = l.add(buf, kindPeers, l.peers)
	}
	if err != nil {
		return err
	}
	return l.write(buf)
}

// header is the payload of the first record of a segment. Base applies only
// when no earlier segment is left.
type header struct {
	Meta Meta          `cbor:"1,keyasint"`
	Base raft.Position `cbor:"2,keyasint"`
}

// Trim removes the segments that hold only entries up to index.
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

// Close closes the current segment.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	err := l.file.Close()
	l.file = nil
	if l.failed == nil {
		l.failed = ErrFailed
	}
	return errors.Wrap(err, "wal: close")
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
