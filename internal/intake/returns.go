package intake

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxReturns bounds the refused callers whose place in the order is kept.
	maxReturns = 4096
	// returnGrace is how late a caller may return and keep its place.
	returnGrace = 2 * time.Second
)

// returnOrder keeps the refused submissions in the order of their first refusal, so that an
// attempt that comes again goes before newcomers. It is safe for concurrent use.
type returnOrder struct {
	mu      sync.Mutex
	entries []refusedSubmission
}

type refusedSubmission struct {
	id, team string
	// dueAt is the time at which the caller was told to return.
	dueAt time.Time
}

// ahead returns the number of submissions that were refused before this one and are due back
// or on time still. Those whose caller has not come back lose their place.
func (r *returnOrder) ahead(id string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e refusedSubmission) bool { return now.Sub(e.dueAt) > returnGrace })
	if i := r.index(id); i >= 0 {
		return i
	}
	return len(r.entries)
}

// refuse records a refusal. The place of a submission that was refused before stays.
func (r *returnOrder) refuse(id, team string, dueAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.index(id); i >= 0 {
		r.entries[i].dueAt = dueAt
		return
	}
	if len(r.entries) < maxReturns {
		r.entries = append(r.entries, refusedSubmission{id: id, team: team, dueAt: dueAt})
	}
}

// remove forgets a submission that was accepted.
func (r *returnOrder) remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.index(id); i >= 0 {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
}

// teams returns the teams of the submissions.
func (r *returnOrder) teams() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	teams := map[string]bool{}
	for _, e := range r.entries {
		teams[e.team] = true
	}
	return teams
}

// removeTeam forgets all submissions of a team.
func (r *returnOrder) removeTeam(team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = slices.DeleteFunc(r.entries, func(e refusedSubmission) bool { return e.team == team })
}

// index returns the place of a submission, or -1. The caller holds mu.
func (r *returnOrder) index(id string) int {
	return slices.IndexFunc(r.entries, func(e refusedSubmission) bool { return e.id == id })
}
