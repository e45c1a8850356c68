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

// attempts holds the submissions that are being answered. Load pattern: a caller that got no
// answer in time repeats its submission through another entry. If one of two attempts at a time
// is accepted, the refusal of the other must not say that the job never runs. It is safe for
// concurrent use.
type attempts struct {
	mu       sync.Mutex
	underWay map[string]*attempt
}

type attempt struct {
	count      int
	overlapped bool
}

func (a *attempts) begin(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.underWay[id]
	if !ok {
		at = &attempt{}
		a.underWay[id] = at
	}
	at.count++
	at.overlapped = at.overlapped || at.count > 1
}

func (a *attempts) end(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.underWay[id]
	at.count--
	if at.count == 0 {
		delete(a.underWay, id)
	}
}

// alone reports whether there was no other attempt since the one under way has begun.
func (a *attempts) alone(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.underWay[id].overlapped
}
