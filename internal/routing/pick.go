package routing

import (
	"sort"
	"time"
)

// Slot is one slot of a backend server, held by a call from Pick until Release.
type Slot struct {
	Instance    string
	Incarnation string
	Address     string
	// Connections is the maximum number of connections that this entry may open to
	// the backend server.
	Connections int
	// Probe is true for the single probe call to an ejected backend server.
	Probe bool
}

// Outcome is the result of a call as it counts for the backend server's health.
type Outcome int

// Outcomes. Unused means that the slot was released without a call, or that the
// call says nothing about the backend server's health.
const (
	Unused Outcome = iota
	Succeeded
	Failed
)

// Pick takes a slot of a backend server of the service. A backend server that is
// due for a probe comes first; otherwise it is the less loaded of two random ones.
// Instances in exclude are skipped. Pick returns false when no slot is free.
func (r *Registry) Pick(now time.Time, service string, exclude map[string]bool) (Slot, bool) {
	r.dropExpiredSplits(now)
	available, probes := r.candidates(now, service, exclude)
	if len(probes) > 0 {
		return r.acquire(now, probes[r.rnd.IntN(len(probes))], true), true
	}
	if len(available) == 0 {
		return Slot{}, false
	}
	b := available[r.rnd.IntN(len(available))]
	other := available[r.rnd.IntN(len(available))]
	if r.load(other) < r.load(b) {
		b = other
	}
	return r.acquire(now, b, false), true
}

// candidates returns the backend servers of the service that have a free slot: those
// that are not ejected, and the ejected ones that are due for a probe call. Both are
// sorted by instance name, so that the choice depends only on the random source.
func (r *Registry) candidates(now time.Time, service string, exclude map[string]bool) (available, probes []*backend) {
	for _, b := range r.backends {
		if b.info.Service != service || exclude[b.info.Instance] || !r.usable(b, now) {
			continue
		}
		if b.running >= r.limit(b) {
			continue
		}
		switch {
		case !b.health.ejected:
			available = append(available, b)
		case b.health.probeDue(now):
			probes = append(probes, b)
		}
	}
	byName := func(list []*backend) func(i, j int) bool {
		return func(i, j int) bool { return list[i].info.Instance < list[j].info.Instance }
	}
	sort.Slice(available, byName(available))
	sort.Slice(probes, byName(probes))
	return available, probes
}

// load returns the fraction of this entry's slots of the backend server that is in
// use.
func (r *Registry) load(b *backend) float64 {
	return float64(b.running) / float64(max(r.limit(b), 1))
}

func (r *Registry) acquire(now time.Time, b *backend, probe bool) Slot {
	b.running++
	b.health.probing = b.health.probing || probe
	return Slot{
		Instance:    b.info.Instance,
		Incarnation: b.info.Incarnation,
		Address:     b.info.Address,
		Connections: r.Connections(now, b.info.Instance),
		Probe:       probe,
	}
}

// Release returns a slot and records the outcome of its call. The outcome is ignored
// when the backend server has restarted since Pick.
func (r *Registry) Release(now time.Time, slot Slot, outcome Outcome) {
	b, ok := r.backends[slot.Instance]
	if !ok {
		return
	}
	if b.running > 0 {
		b.running--
	}
	if b.info.Incarnation != slot.Incarnation {
		return
	}
	b.health.record(now, outcome, slot.Probe, r.mayEject(b.info.Service))
}

// SlotValid reports whether a call may still be started with the slot. It may not
// when the backend server is leaving, draining or evacuated, its registration has
// expired, or it has restarted since Pick.
func (r *Registry) SlotValid(now time.Time, slot Slot) bool {
	b, ok := r.backends[slot.Instance]
	return ok && b.info.Incarnation == slot.Incarnation && r.usable(b, now)
}

// Capacity returns the number of slots of the service that this entry may use, and
// how many of them are free. Ejected backend servers do not count.
func (r *Registry) Capacity(now time.Time, service string) (total, free int) {
	r.dropExpiredSplits(now)
	for _, b := range r.backends {
		if b.info.Service == service && r.usable(b, now) && !b.health.ejected {
			limit := r.limit(b)
			total += limit
			free += max(limit-b.running, 0)
		}
	}
	return total, free
}

// HasBackend reports whether this entry has slots on any usable backend server of the
// service, including ejected ones and those without a free slot.
func (r *Registry) HasBackend(now time.Time, service string) bool {
	r.dropExpiredSplits(now)
	for _, b := range r.backends {
		if b.info.Service == service && r.usable(b, now) && r.limit(b) > 0 {
			return true
		}
	}
	return false
}

// Services returns the sorted names of the services with a registered backend server.
// An expired registration counts until RemoveExpired removes it.
func (r *Registry) Services() []string {
	seen := map[string]bool{}
	var out []string
	for _, b := range r.backends {
		if !seen[b.info.Service] {
			seen[b.info.Service] = true
			out = append(out, b.info.Service)
		}
	}
	sort.Strings(out)
	return out
}
