package admission

import "time"

const (
	// seenPeriod is the time for which an identifier is remembered, at least.
	seenPeriod = 30 * time.Second
	// seenLimit bounds the remembered identifiers of one period.
	seenLimit = 100_000
)

// RecentIDs remembers recent request identifiers, to tell a repeated one. It is not
// safe for concurrent use.
type RecentIDs struct {
	current, previous map[string]struct{}
	since             time.Time
}

// NewRecentIDs returns an empty memory.
func NewRecentIDs(now time.Time) *RecentIDs {
	return &RecentIDs{current: map[string]struct{}{}, since: now}
}

// Add remembers the identifier and reports whether it was seen before.
func (s *RecentIDs) Add(now time.Time, id string) bool {
	if now.Sub(s.since) >= seenPeriod || len(s.current) >= seenLimit {
		s.previous, s.current = s.current, map[string]struct{}{}
		s.since = now
	}
	_, current := s.current[id]
	_, previous := s.previous[id]
	s.current[id] = struct{}{}
	return current || previous
}
