package routing

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	// Lease is the time for which a registration is valid without an announcement.
	Lease = 3 * time.Second
	// forgetAfter bounds how long an expired registration is remembered, so that
	// an announcement that was overtaken can't revive it.
	forgetAfter = 30 * time.Second
)

// Registry holds the backend servers of one data centre as one entry sees them.
type Registry struct {
	self     string
	rnd      *rand.Rand
	present  split
	former   []split
	backends map[string]*backend
	// draining names the instances that operators or maintenance plans drain.
	draining map[string]bool
}

type backend struct {
	info    wire.BackendInfo
	heardAt time.Time
	running int
	health  health
	// retired lists incarnations that a later one replaced.
	retired []string
}

// NewRegistry returns an empty registry of the entry self. The entry has no slots
// until SplitHold after now, the time that other entries need to notice it.
func NewRegistry(now time.Time, self string, rnd *rand.Rand) *Registry {
	return &Registry{
		self:     self,
		rnd:      rnd,
		present:  newSplit(self, nil),
		former:   []split{{until: now.Add(SplitHold)}},
		backends: map[string]*backend{},
	}
}

// Settled reports whether the hold after the last change of entries is over.
func (r *Registry) Settled(now time.Time) bool {
	r.dropFormer(now)
	return len(r.former) == 0
}

// SetEntries sets the live entries of the data centre. The registry's own entry
// is always one of them.
func (r *Registry) SetEntries(now time.Time, live []string) {
	r.dropFormer(now)
	next := newSplit(r.self, live)
	if next == r.present {
		return
	}
	old := r.present
	old.until = now.Add(SplitHold)
	r.former = append(r.former, old)
	r.present = next
}

func (r *Registry) dropFormer(now time.Time) {
	kept := r.former[:0]
	for _, s := range r.former {
		if now.Before(s.until) {
			kept = append(kept, s)
		}
	}
	r.former = kept
}

// Announce takes one announcement, heard here or passed on by another entry; its
// AgeMS is the time since it was first heard. It reports whether it was news.
func (r *Registry) Announce(now time.Time, info wire.BackendInfo) bool {
	heardAt := now.Add(-time.Duration(info.AgeMS) * time.Millisecond)
	info.AgeMS = 0
	b, known := r.backends[info.Instance]
	if !known {
		r.backends[info.Instance] = &backend{info: info, heardAt: heardAt}
		return true
	}
	if b.info.Incarnation != info.Incarnation {
		return b.replace(info, heardAt)
	}
	if info.Sequence <= b.info.Sequence {
		return false
	}
	info.Leaving = info.Leaving || b.info.Leaving
	b.info = info
	b.heardAt = heardAt
	return true
}

// replace takes the announcement of another incarnation, unless it is a former
// one or was heard before the present one.
func (b *backend) replace(info wire.BackendInfo, heardAt time.Time) bool {
	for _, old := range b.retired {
		if old == info.Incarnation {
			return false
		}
	}
	if heardAt.Before(b.heardAt) {
		return false
	}
	b.retired = append(b.retired, b.info.Incarnation)
	if len(b.retired) > 8 {
		b.retired = b.retired[1:]
	}
	b.info = info
	b.heardAt = heardAt
	b.health = health{}
	return true
}

// NextSequence returns the sequence for an announcement that carries none.
func (r *Registry) NextSequence(instance, incarnation string) uint64 {
	b, ok := r.backends[instance]
	if !ok || b.info.Incarnation != incarnation {
		return 1
	}
	return b.info.Sequence + 1
}

// Snapshot returns the unexpired registrations with their ages, by instance name.
func (r *Registry) Snapshot(now time.Time) []wire.BackendInfo {
	out := make([]wire.BackendInfo, 0, len(r.backends))
	for _, b := range r.backends {
		if now.Sub(b.heardAt) >= Lease {
			continue
		}
		info := b.info
		info.AgeMS = now.Sub(b.heardAt).Milliseconds()
		out = append(out, info)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Instance < out[j].Instance })
	return out
}

// RemoveExpired removes idle registrations that expired long ago.
func (r *Registry) RemoveExpired(now time.Time) {
	for name, b := range r.backends {
		if b.running == 0 && now.Sub(b.heardAt) > forgetAfter {
			delete(r.backends, name)
		}
	}
}

// SetDraining sets the instances that get no new calls, whatever they announce.
func (r *Registry) SetDraining(instances []string) {
	r.draining = make(map[string]bool, len(instances))
	for _, name := range instances {
		r.draining[name] = true
	}
}

func (r *Registry) usable(b *backend, now time.Time) bool {
	return !b.info.Leaving && !r.draining[b.info.Instance] && now.Sub(b.heardAt) < Lease
}

// limit returns the number of calls that this entry may run on b at once.
func (r *Registry) limit(b *backend) int {
	units := min(b.info.Slots, b.info.Connections)
	limit := r.present.part(units, b.info.Instance)
	for _, s := range r.former {
		limit = min(limit, s.part(units, b.info.Instance))
	}
	return limit
}

// Connections returns this entry's part of the connections of a backend server.
func (r *Registry) Connections(now time.Time, instance string) int {
	r.dropFormer(now)
	b, ok := r.backends[instance]
	if !ok {
		return 0
	}
	part := r.present.part(b.info.Connections, instance)
	for _, s := range r.former {
		part = min(part, s.part(b.info.Connections, instance))
	}
	return part
}
