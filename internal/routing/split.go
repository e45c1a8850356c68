// Package routing keeps the registry of backend servers and chooses one for a
// call. It does no I/O and reads no clock: time is a parameter, and randomness is
// a source given at construction. It is not safe for concurrent use.
package routing

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// SplitHold is the time for which an entry uses the smaller of its old and new
// part of a backend server after the set of live entries changed. It is as long
// as a registration, so every entry has heard of the change when it ends.
const SplitHold = Lease

// split is the position of an entry among the live entries of its data centre.
// A split with count 0 gives the entry nothing.
type split struct {
	rank  int
	count int
	// until ends the use of a former split; the present one has none.
	until time.Time
}

// newSplit returns the position of self among the live entries.
func newSplit(self string, live []string) split {
	names := append([]string{self}, live...)
	sort.Strings(names)
	s := split{}
	for i, name := range names {
		if i > 0 && name == names[i-1] {
			continue
		}
		if name == self {
			s.rank = s.count
		}
		s.count++
	}
	return s
}

// part returns the entry's part of total units of the named backend server. The
// name rotates the remainder, so that no entry loses it on every backend server.
func (s split) part(total int, backend string) int {
	if s.count == 0 {
		return 0
	}
	part := total / s.count
	rotation := int(xxhash.Sum64String(backend) % uint64(s.count))
	if (s.rank+rotation)%s.count < total%s.count {
		part++
	}
	return part
}
