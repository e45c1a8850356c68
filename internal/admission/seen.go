package admission

import "time"

const (
	// recentIDsPeriod is the length of a period. Identifiers of the current and the
	// previous period are remembered.
	recentIDsPeriod = 30 * time.Second
	// recentIDsLimit is the number of identifiers after which a period ends early.
	recentIDsLimit = 100_000
)

// RecentIDs is a set of recent request identifiers, for the detection of repeated
// requests. An identifier is remembered for at least 30 seconds or until 100,000
// others were added, whichever comes first. It is not safe for concurrent use.
type RecentIDs struct {
	current, previous map[string]struct{}
	since             time.Time
}

// NewRecentIDs returns an empty set whose first period begins at now.
func NewRecentIDs(now time.Time) *RecentIDs {
	return &RecentIDs{current: map[string]struct{}{}, since: now}
}

// Add adds an identifier and reports whether it was in the set before.
func (s *RecentIDs) Add(now time.Time, id string) bool {
	if now.Sub(s.since) >= recentIDsPeriod || len(s.current) >= recentIDsLimit {
		s.previous, s.current = s.current, map[string]struct{}{}
		s.since = now
	}
	_, current := s.current[id]
	_, previous := s.previous[id]
	s.current[id] = struct{}{}
	return current || previous
}
