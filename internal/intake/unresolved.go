package intake

import (
	"sync"
	"time"
)

const (
	// unresolvedRetention is how long a submission may be committed after its attempt
	// timed out: a leader that can't commit loses its leadership much earlier.
	unresolvedRetention = 10 * time.Second
	// unresolvedSweepSize is the number of identifiers from which on expired ones are
	// removed when one is added.
	unresolvedSweepSize = 20000
)

// recentIDs holds identifiers for a retention time. Load pattern: the disk of the leader
// stalls under overload, callers repeat submissions that are still in the log, and a
// refusal of the repetition must not say that the job never runs. It is safe for
// concurrent use.
type recentIDs struct {
	retention time.Duration

	mu    sync.Mutex
	added map[string]time.Time
}

func newRecentIDs(retention time.Duration) *recentIDs {
	return &recentIDs{retention: retention, added: map[string]time.Time{}}
}

func (r *recentIDs) add(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.added) >= unresolvedSweepSize {
		r.dropExpired(now)
	}
	r.added[id] = now
}

func (r *recentIDs) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.added, id)
}

func (r *recentIDs) contains(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.added[id]
	return ok && now.Sub(at) < r.retention
}

// dropExpired removes the expired identifiers. The caller holds mu.
func (r *recentIDs) dropExpired(now time.Time) {
	for id, at := range r.added {
		if now.Sub(at) >= r.retention {
			delete(r.added, id)
		}
	}
}
