package raft

import "slices"

// entryLog holds the entries after base in memory.
type entryLog struct {
	base    Position
	entries []Entry
	// handed is the last index given to the caller for persisting, stable the
	// last one known to be durable.
	handed    uint64
	stable    uint64
	committed uint64
	// delivered is the last index given to the caller for applying, applied the
	// last one it applied.
	delivered uint64
	applied   uint64
}

func newLog(base Position, entries []Entry) *entryLog {
	l := &entryLog{base: base, entries: slices.Clone(entries)}
	last := l.last()
	l.handed, l.stable = last, last
	l.committed, l.delivered, l.applied = base.Index, base.Index, base.Index
	return l
}

func (l *entryLog) last() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term at index, and false when the log does not hold it.
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

// slice returns entries from index on, at least one and at most maxBytes of data.
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

// merge adds a leader's entries and cuts the local ones that conflict. It
// reports whether the log changed.
func (l *entryLog) merge(entries []Entry) bool {
	for i, e := range entries {
		if e.Index <= l.base.Index || l.matches(e.Index, e.Term) {
			continue
		}
		l.cut(e.Index)
		l.entries = append(l.entries, entries[i:]...)
		return true
	}
	return false
}

// cut removes the entries from index on.
func (l *entryLog) cut(index uint64) {
	if index > l.last() {
		return
	}
	if index <= l.committed {
		panic("raft: a committed entry conflicts with the leader's log")
	}
	l.entries = slices.Clip(l.entries[:index-l.base.Index-1])
	l.handed = min(l.handed, index-1)
	l.stable = min(l.stable, index-1)
}

// conflict returns the largest index up to index whose term is at most term.
func (l *entryLog) conflict(index, term uint64) (uint64, uint64) {
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

// members returns the newest membership up to index, and the index that set it.
func (l *entryLog) members(index uint64) ([]Member, uint64) {
	for i := index; i > l.base.Index; i-- {
		e := &l.entries[i-l.base.Index-1]
		if e.Kind == EntryMembership {
			return e.Members, i
		}
	}
	return l.base.Members, l.base.Index
}

// persisted records that the entries up to index are durable, unless they were replaced meanwhile.
func (l *entryLog) persisted(index, term uint64) {
	if index > l.stable && l.matches(index, term) {
		l.stable = index
	}
}

// reset replaces the log by a snapshot's position.
func (l *entryLog) reset(pos Position) {
	l.base = pos
	l.entries = nil
	l.handed, l.stable = pos.Index, pos.Index
	l.committed, l.delivered = pos.Index, pos.Index
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	if index <= l.base.Index {
		return
	}
	members, _ := l.members(index)
	term, _ := l.term(index)
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = Position{Index: index, Term: term, Members: members}
}
