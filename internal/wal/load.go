package wal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/raft"
)

// loader rebuilds the contents of a log from the records of all segments in order.
// last is the largest entry index in the current segment.
type loader struct {
	contents   Contents
	headerSeen bool
	last       uint64
}

func (l *Log) load() (Contents, error) {
	numbers, err := l.segmentNumbers()
	if err != nil {
		return Contents{}, err
	}
	var ld loader
	for i, number := range numbers {
		ld.last = 0
		if err := l.loadSegment(&ld, number, i == len(numbers)-1); err != nil {
			return Contents{}, err
		}
		l.segments = append(l.segments, segment{number: number, last: ld.last})
	}
	if len(numbers) > 0 {
		return ld.contents, l.reopen(&ld)
	}
	return ld.contents, nil
}

func (l *Log) segmentNumbers() ([]uint64, error) {
	names, err := l.opts.FS.List(l.folder)
	if err != nil {
		return nil, errors.Wrap(err, "wal: list segments")
	}
	var numbers []uint64
	for _, name := range names {
		number, ok := segmentNumber(name)
		if !ok {
			continue
		}
		if n := len(numbers); n > 0 && number != numbers[n-1]+1 {
			return nil, &ErrCorrupt{File: l.path(numbers[n-1] + 1), Reason: "segment is missing"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func (l *Log) loadSegment(ld *loader, number uint64, newest bool) error {
	path := l.path(number)
	data, err := l.opts.FS.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "wal: read segment")
	}
	offset := 0
	for offset < len(data) {
		rec, size, ok := readRecord(data, offset)
		if !ok {
			return l.truncateTorn(ld, path, data, offset, newest)
		}
		if err := ld.apply(rec); err != nil {
			return &ErrCorrupt{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	l.size = offset
	return nil
}

// truncateTorn truncates the newest segment at offset, where a torn last batch has its
// first damaged record. Any other damage is an ErrCorrupt.
func (l *Log) truncateTorn(ld *loader, path string, data []byte, offset int, newest bool) error {
	if !newest || !isTornTail(data, offset) {
		return &ErrCorrupt{File: path, Offset: int64(offset), Reason: "record is incomplete, of an unknown kind or fails its CRC"}
	}
	if err := l.opts.FS.Truncate(path, int64(offset)); err != nil {
		return errors.Wrap(err, "wal: truncate torn batch")
	}
	ld.contents.TornBytes = len(data) - offset
	l.size = offset
	return nil
}

// reopen opens the newest segment for appending. A segment whose header was torn is
// removed and replaced at the next append; a log whose only segment is removed this way
// counts as new.
//
// The process that wrote the last batch may have ended before its sync. What was read is made
// durable now, since the caller acknowledges it from here on.
func (l *Log) reopen(ld *loader) error {
	newest := l.segments[len(l.segments)-1]
	if l.size > 0 {
		file, err := l.opts.FS.Append(l.path(newest.number))
		if err != nil {
			return errors.Wrap(err, "wal: open segment")
		}
		l.file = file
		if err := file.Sync(); err != nil {
			return errors.Wrap(err, "wal: sync segment")
		}
		return errors.Wrap(l.opts.FS.SyncFolder(l.folder), "wal: sync folder")
	}
	if err := l.opts.FS.Remove(l.path(newest.number)); err != nil {
		return errors.Wrap(err, "wal: remove empty segment")
	}
	l.segments = l.segments[:len(l.segments)-1]
	return nil
}

func (ld *loader) apply(rec record) error {
	switch rec.kind {
	case kindMeta:
		return ld.applyHeader(rec.payload)
	case kindHardState:
		return cbor.Unmarshal(rec.payload, &ld.contents.HardState)
	case kindPeerIncarnations:
		ld.contents.PeerIncarnations = nil
		return cbor.Unmarshal(rec.payload, &ld.contents.PeerIncarnations)
	case kindBase:
		var base raft.Position
		if err := cbor.Unmarshal(rec.payload, &base); err != nil {
			return err
		}
		ld.contents.Base = base
		ld.contents.Entries = nil
		return nil
	default:
		return ld.applyEntry(rec.payload)
	}
}

func (ld *loader) applyHeader(payload []byte) error {
	var h header
	if err := cbor.Unmarshal(payload, &h); err != nil {
		return err
	}
	if !ld.headerSeen {
		ld.headerSeen = true
		ld.contents.Meta = h.Meta
		ld.contents.Base = h.Base
		return nil
	}
	if h.Meta != ld.contents.Meta {
		return errors.Wrapf(errForeignSegment, "member %d instead of %d", h.Meta.MemberID, ld.contents.Meta.MemberID)
	}
	return nil
}

// Reasons of an ErrCorrupt for records that are intact but do not belong together.
var (
	errForeignSegment = errors.New("segment belongs to another member")
	errMissingEntries = errors.New("entries are missing")
)

// applyEntry adds an entry. An entry whose index is already in use replaces the log
// from that index on. The first entry may have any index, since Trim may have removed
// those before it.
func (ld *loader) applyEntry(payload []byte) error {
	var e raft.Entry
	if err := cbor.Unmarshal(payload, &e); err != nil {
		return err
	}
	entries := ld.contents.Entries
	if len(entries) == 0 {
		ld.contents.Entries = append(entries, e)
		ld.last = max(ld.last, e.Index)
		return nil
	}
	first, next := entries[0].Index, entries[len(entries)-1].Index+1
	if e.Index > next {
		return errors.Wrapf(errMissingEntries, "entry %d follows entry %d", e.Index, next-1)
	}
	if e.Index < first {
		entries = entries[:0]
	} else {
		entries = entries[:e.Index-first]
	}
	ld.contents.Entries = append(entries, e)
	ld.last = max(ld.last, e.Index)
	return nil
}
