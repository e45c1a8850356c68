package routing

import "time"

const (
	// ejectAfter is the number of failures in a row that eject a backend server.
	ejectAfter = 3
	// ejectShare is the inverse of the largest part of a service that is ejected
	// at once; beyond it a wave of failures says more about the service or the
	// network than about single backend servers.
	ejectShare   = 3
	firstEject   = time.Second
	longestEject = 16 * time.Second
)

// health tracks the failures of one incarnation of a backend server.
type health struct {
	failures int
	ejected  bool
	// probing is true while the trial call of an ejected backend server runs.
	probing bool
	until   time.Time
	period  time.Duration
}

func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.until)
}

// note takes the end of a call.
func (h *health) note(now time.Time, outcome Outcome, probe, mayEject bool) {
	if probe {
		h.probing = false
	}
	switch outcome {
	case Succeeded:
		h.succeed(probe)
	case Failed:
		h.fail(now, probe, mayEject)
	}
}

// succeed readmits an ejected backend server only after its trial call; calls
// from before the ejection may still succeed.
func (h *health) succeed(probe bool) {
	if h.ejected && !probe {
		return
	}
	*h = health{}
}

func (h *health) fail(now time.Time, probe, mayEject bool) {
	h.failures++
	switch {
	case h.ejected && probe:
		h.period = min(2*h.period, longestEject)
		h.until = now.Add(h.period)
	case !h.ejected && h.failures >= ejectAfter && mayEject:
		h.ejected = true
		h.period = firstEject
		h.until = now.Add(h.period)
	}
}

// mayEject reports whether one more backend server of the service may be ejected.
// A service of two may lose one, and a service of one none.
func (r *Registry) mayEject(service string) bool {
	total, ejected := 0, 0
	for _, b := range r.backends {
		if b.info.Service != service || b.info.Leaving {
			continue
		}
		total++
		if b.health.ejected {
			ejected++
		}
	}
	bound := total / ejectShare
	if total > 1 {
		bound = max(bound, 1)
	}
	return ejected < bound
}
