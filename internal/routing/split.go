// Package routing keeps an entry's registry of backend servers and chooses a backend
// server for each call.
//
// The entries of a data centre divide the slots of each backend server among
// themselves without coordination: each computes its portion from the sorted names of
// the live entries. Backend servers that fail repeatedly are ejected and probed.
//
// The package does no I/O and reads no clock: time is a parameter, and the random
// source is given at construction. Its types are not safe for concurrent use.
package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SplitTransition is the time after a change of the live entries for which an entry
// uses the smaller of its old and new number of slots of each backend server. It
// equals Lease, after which every entry has learned of the change.
const SplitTransition = Lease

// split is the position of an entry among the live entries of its data centre, which
// determines its portion of each backend server. A split with count 0 gives the entry
// nothing.
type split struct {
	position int
	count    int
	// until is the end of the transition of a previous split; it is zero for the
	// current one.
	until time.Time
}

// newSplit returns the position of self in the sorted names of the live entries.
// live may contain self and duplicates.
func newSplit(self string, live []string) split {
	names := append([]string{self}, live...)
	sort.Strings(names)
	s := split{}
	for i, name := range names {
		if i > 0 && name == names[i-1] {
			continue
		}
		if name == self {
			s.position = s.count
		}
		s.count++
	}
	return s
}

// portion returns how many of the total units (slots or connections) of the named
// backend server the entry may use. The hash of the name rotates the assignment of the
// remainder, so that no entry misses out on every backend server.
func (s split) portion(total int, backend string) int {
	if s.count == 0 {
		return 0
	}
	n := total / s.count
	rotation := int(xxhash.Sum64String(backend) % uint64(s.count))
	if (s.position+rotation)%s.count < total%s.count {
		n++
	}
	return n
}
