package raft

import "slices"

// entryLog is the in-memory log: the entries that follow base.
type entryLog struct {
	base    Position
	entries []Entry
	// persisting is the last index handed to the caller for persisting, and stable
	// the last index known to be durable.
	persisting uint64
	stable     uint64
	committed  uint64
	// applying is the last index handed to the caller for applying, and applied the
	// last index that the caller has applied.
	applying uint64
	applied  uint64
}

func newLog(base Position, entries []Entry) *entryLog {
	l := &entryLog{base: base, entries: slices.Clone(entries)}
	last := l.last()
	l.persisting, l.stable = last, last
	l.committed, l.applying, l.applied = base.Index, base.Index, base.Index
	return l
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log does not hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries from index on, up to maxBytes with an overhead per entry,
// but at least one. It returns nil if index is after the last entry.
func (l *entryLog) slice(index uint64, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	rest := l.entries[index-l.base.Index-1:]
	size := 0
	for i, e := range rest {
		size += len(e.Data) + entryOverheadBytes
		if i > 0 && size > maxBytes {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

// between returns the entries in (after, to].
func (l *entryLog) between(after, to uint64) []Entry {
	if to <= after {
		return nil
	}
	return slices.Clone(l.entries[after-l.base.Index : to-l.base.Index])
}

// merge appends the entries from a leader that the log lacks and removes the local
// entries that conflict with them. It reports whether the log changed.
func (l *entryLog) merge(entries []Entry) bool {
	for i, e := range entries {
		if e.Index <= l.base.Index || l.matches(e.Index, e.Term) {
			continue
		}
		l.truncateFrom(e.Index)
		l.entries = append(l.entries, entries[i:]...)
		return true
	}
	return false
}

// truncateFrom removes the entries from index on. It panics if one of them is
// committed.
func (l *entryLog) truncateFrom(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.committed {
		panic("raft: a committed entry conflicts with the leader's log")
	}
	l.entries = slices.Clip(l.entries[:index-l.base.Index-1])
	l.persisting = min(l.persisting, index-1)
	l.stable = min(l.stable, index-1)
}

// findConflictByTerm returns the largest index, at most the given one, whose entry
// has at most the given term, and the term of that entry. It returns the base if
// there is none. The entries between the two indices cannot agree with a log that has
// the given term at the given index.
func (l *entryLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base.Index {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.base.Index, l.base.Term
}

// members returns the membership in effect at index, and the index of the entry that
// set it.
func (l *entryLog) members(index uint64) ([]Member, uint64) {
	for i := index; i > l.base.Index; i-- {
		e := &l.entries[i-l.base.Index-1]
		if e.Kind == EntryMembership {
			return e.Members, i
		}
	}
	return l.base.Members, l.base.Index
}

// persisted records that the entries up to index are durable, unless the entry at
// index has been replaced in the meantime.
func (l *entryLog) persisted(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

// reset replaces the log by an empty one that starts after the position of a snapshot.
func (l *entryLog) reset(pos Position) {
	l.base = pos
	l.entries = nil
	l.persisting, l.stable = pos.Index, pos.Index
	l.committed, l.applying = pos.Index, pos.Index
}

// compact discards the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	members, _ := l.members(index)
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = Position{Index: index, Term: term, Members: members}
}
