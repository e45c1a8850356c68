package routing

import (
	"sort"
	"time"
)

// Slot is one slot of a backend server that a call holds until Release.
type Slot struct {
	Instance    string
	Incarnation string
	Address     string
	// Connections bounds the entry's connections to the backend server.
	Connections int
	// Probe marks the single trial call to an ejected backend server.
	Probe bool
}

// Outcome is how a call to a backend server ended, for its health.
type Outcome int

// Outcomes. Unused is a slot that was given back without a call, or a call that
// says nothing about the backend server's health.
const (
	Unused Outcome = iota
	Succeeded
	Failed
)

// Pick takes a slot of a backend server of the service, the less loaded of two
// random ones. Backend servers named in exclude are left out.
func (r *Registry) Pick(now time.Time, service string, exclude map[string]bool) (Slot, bool) {
	r.dropFormer(now)
	open, probes := r.candidates(now, service, exclude)
	if len(probes) > 0 {
		return r.lend(now, probes[r.rnd.IntN(len(probes))], true), true
	}
	if len(open) == 0 {
		return Slot{}, false
	}
	b := open[r.rnd.IntN(len(open))]
	other := open[r.rnd.IntN(len(open))]
	if r.load(other) < r.load(b) {
		b = other
	}
	return r.lend(now, b, false), true
}

// candidates returns the backend servers with a free slot, and the ejected ones
// that are due for a trial call.
func (r *Registry) candidates(now time.Time, service string, exclude map[string]bool) (open, probes []*backend) {
	for _, b := range r.backends {
		if b.info.Service != service || exclude[b.info.Instance] || !r.usable(b, now) {
			continue
		}
		if b.running >= r.limit(b) {
			continue
		}
		switch {
		case !b.health.ejected:
			open = append(open, b)
		case b.health.probeDue(now):
			probes = append(probes, b)
		}
	}
	byName := func(list []*backend) func(i, j int) bool {
		return func(i, j int) bool { return list[i].info.Instance < list[j].info.Instance }
	}
	sort.Slice(open, byName(open))
	sort.Slice(probes, byName(probes))
	return open, probes
}

func (r *Registry) load(b *backend) float64 {
	return float64(b.running) / float64(max(r.limit(b), 1))
}

func (r *Registry) lend(now time.Time, b *backend, probe bool) Slot {
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

// Release gives a slot back. The outcome counts only when it concerns the
// present incarnation.
func (r *Registry) Release(now time.Time, lent Slot, outcome Outcome) {
	b, ok := r.backends[lent.Instance]
	if !ok {
		return
	}
	if b.running > 0 {
		b.running--
	}
	if b.info.Incarnation != lent.Incarnation {
		return
	}
	b.health.note(now, outcome, lent.Probe, r.mayEject(b.info.Service))
}

// SlotValid reports whether the holder of the slot may still start a call with it:
// the backend server has not left, expired or restarted since the pick.
func (r *Registry) SlotValid(now time.Time, lent Slot) bool {
	b, ok := r.backends[lent.Instance]
	return ok && b.info.Incarnation == lent.Incarnation && r.usable(b, now)
}

// Capacity returns this entry's slots of a service and how many of them are free.
func (r *Registry) Capacity(now time.Time, service string) (total, free int) {
	r.dropFormer(now)
	for _, b := range r.backends {
		if b.info.Service == service && r.usable(b, now) && !b.health.ejected {
			limit := r.limit(b)
			total += limit
			free += max(limit-b.running, 0)
		}
	}
	return total, free
}

// HasBackend reports whether a backend server of the service has a part for this
// entry, be it ejected or fully used.
func (r *Registry) HasBackend(now time.Time, service string) bool {
	r.dropFormer(now)
	for _, b := range r.backends {
		if b.info.Service == service && r.usable(b, now) && r.limit(b) > 0 {
			return true
		}
	}
	return false
}

// Services returns the services that have a registered backend server.
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
