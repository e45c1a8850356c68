package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// Lease is the time for which a registration stays valid after an announcement.
	Lease = 3 * time.Second
	// expiredRetention is the time after the last announcement for which a
	// registration is kept. An older announcement that arrives out of order is then
	// still recognised and cannot renew an expired registration.
	expiredRetention = 30 * time.Second
)

// Registry holds the backend servers of one data centre that are known to one entry,
// and the slots of each that this entry may use. The live entries of the data centre
// divide the slots of each backend server among themselves.
type Registry struct {
	self         string
	rnd          *rand.Rand
	currentSplit split
	// previousSplits are the splits that still limit the slots because they were
	// replaced less than SplitTransition ago.
	previousSplits []split
	// backends holds the registrations by instance.
	backends map[string]*backend
	// draining holds the instances that operators or maintenance plans drain.
	draining map[string]bool
	// evacuated reports whether the data centre of an instance is evacuated.
	evacuated func(instance string) bool
}

type backend struct {
	info wire.BackendInfo
	// receivedAt is when the first entry received the latest announcement.
	receivedAt time.Time
	// running is the number of slots that this entry holds.
	running int
	health  health
	// replacedIncarnations are the latest incarnations that a newer one replaced.
	replacedIncarnations []string
}

// NewRegistry returns an empty registry for the entry named self. The entry gets no
// slots until SplitTransition after now, because the other entries need that time to
// learn of it and reduce their own slots.
func NewRegistry(now time.Time, self string, rnd *rand.Rand) *Registry {
	return &Registry{
		self:           self,
		rnd:            rnd,
		currentSplit:   newSplit(self, nil),
		previousSplits: []split{{until: now.Add(SplitTransition)}},
		backends:       map[string]*backend{},
		evacuated:      func(string) bool { return false },
	}
}

// Settled reports whether SplitTransition has passed since the set of live entries
// last changed.
func (r *Registry) Settled(now time.Time) bool {
	r.dropExpiredSplits(now)
	return len(r.previousSplits) == 0
}

// SetEntries sets the names of the live entries of the data centre. The registry's
// own entry is always included. After a change, the old and the new set both limit the
// slots for SplitTransition.
func (r *Registry) SetEntries(now time.Time, live []string) {
	r.dropExpiredSplits(now)
	next := newSplit(r.self, live)
	if next == r.currentSplit {
		return
	}
	old := r.currentSplit
	old.until = now.Add(SplitTransition)
	r.previousSplits = append(r.previousSplits, old)
	r.currentSplit = next
}

// dropExpiredSplits removes the previous splits whose transition is over.
func (r *Registry) dropExpiredSplits(now time.Time) {
	kept := r.previousSplits[:0]
	for _, s := range r.previousSplits {
		if now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	r.previousSplits = kept
}

// Announce applies an announcement that this entry received from a backend server or
// from another entry. info.AgeMS is the time in milliseconds since the first entry
// received it. Announce returns false for an announcement that it ignores: one with
// a sequence that is not newer, or of an incarnation that was replaced.
func (r *Registry) Announce(now time.Time, info wire.BackendInfo) bool {
	receivedAt := now.Add(-time.Duration(info.AgeMS) * time.Millisecond)
	info.AgeMS = 0
	b, known := r.backends[info.Instance]
	if !known {
		r.backends[info.Instance] = &backend{info: info, receivedAt: receivedAt}
		return true
	}
	if b.info.Incarnation != info.Incarnation {
		return b.replace(info, receivedAt)
	}
	if info.Sequence <= b.info.Sequence {
		return false
	}
	info.Leaving = info.Leaving || b.info.Leaving
	b.info = info
	b.receivedAt = receivedAt
	return true
}

// replace applies the announcement of another incarnation. It returns false when that
// incarnation was replaced before, or when the announcement was received before the
// latest one of the current incarnation.
func (b *backend) replace(info wire.BackendInfo, receivedAt time.Time) bool {
	for _, old := range b.replacedIncarnations {
		if old == info.Incarnation {
			return false
		}
	}
	if receivedAt.Before(b.receivedAt) {
		return false
	}
	b.replacedIncarnations = append(b.replacedIncarnations, b.info.Incarnation)
	if len(b.replacedIncarnations) > 8 {
		b.replacedIncarnations = b.replacedIncarnations[1:]
	}
	b.info = info
	b.receivedAt = receivedAt
	b.health = health{}
	return true
}

// NextSequence returns the sequence number to give to an announcement that has none.
func (r *Registry) NextSequence(instance, incarnation string) uint64 {
	b, ok := r.backends[instance]
	if !ok || b.info.Incarnation != incarnation {
		return 1
	}
	return b.info.Sequence + 1
}

// Snapshot returns the registrations that have not expired, sorted by instance name,
// with AgeMS set to their age in milliseconds at now.
func (r *Registry) Snapshot(now time.Time) []wire.BackendInfo {
	out := make([]wire.BackendInfo, 0, len(r.backends))
	for _, b := range r.backends {
		if now.Sub(b.receivedAt) >= Lease {
			continue
		}
		info := b.info
		info.AgeMS = now.Sub(b.receivedAt).Milliseconds()
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// RemoveExpired removes the registrations without an announcement for 30 seconds that
// hold no running call.
func (r *Registry) RemoveExpired(now time.Time) {
	for name, b := range r.backends {
		if b.running == 0 && now.Sub(b.receivedAt) > expiredRetention {
			delete(r.backends, name)
		}
	}
}

// SetDraining sets the instances that get no new calls even while they announce
// themselves as available. It replaces the previous set.
func (r *Registry) SetDraining(instances []string) {
	r.draining = make(map[string]bool, len(instances))
	for _, name := range instances {
		r.draining[name] = true
	}
}

// SetEvacuated sets the function that tells the instances whose data centre is evacuated.
// They get no new calls and no probes; calls that run there are not affected.
func (r *Registry) SetEvacuated(evacuated func(instance string) bool) { r.evacuated = evacuated }

// usable reports whether new calls may be sent to b, regardless of its health and free
// slots.
func (r *Registry) usable(b *backend, now time.Time) bool {
	return !b.info.Leaving && !r.draining[b.info.Instance] && !r.evacuated(b.info.Instance) && now.Sub(b.receivedAt) < Lease
}

// limit returns the number of calls that this entry may run on b at once. It is the
// least portion under the current and previous splits, so that the entries never exceed the
// slots together while they learn of a change.
func (r *Registry) limit(b *backend) int {
	units := min(b.info.Slots, b.info.Connections)
	limit := r.currentSplit.portion(units, b.info.Instance)
	for _, s := range r.previousSplits {
		limit = min(limit, s.portion(units, b.info.Instance))
	}
	return limit
}

// Connections returns the number of connections that this entry may open to the
// backend server, or 0 for an unknown instance.
func (r *Registry) Connections(now time.Time, instance string) int {
	r.dropExpiredSplits(now)
	b, ok := r.backends[instance]
	if !ok {
		return 0
	}
	connections := r.currentSplit.portion(b.info.Connections, instance)
	for _, s := range r.previousSplits {
		connections = min(connections, s.portion(b.info.Connections, instance))
	}
	return connections
}
