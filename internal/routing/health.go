package routing

import "time"

const (
	// ejectThreshold is the number of consecutive failures after which a backend
	// server is ejected, that is, gets no calls except probes.
	ejectThreshold = 3
	// ejectDivisor limits ejection to one in ejectDivisor backend servers of a
	// service. When more of them fail at once, the cause is more likely the service
	// or the network than the single backend servers.
	ejectDivisor = 3
	// initialEjection is the length of the first ejection. Each failed probe
	// doubles it, up to maxEjection.
	initialEjection = time.Second
	maxEjection     = 16 * time.Second
)

// health is the passive health state of one incarnation of a backend server.
type health struct {
	consecutiveFailures int
	ejected             bool
	// probing is true while the probe call to an ejected backend server runs.
	probing bool
	// ejectedUntil is the earliest time of the next probe, and ejectionTime the
	// length of the current ejection. Both are set only while ejected is true.
	ejectedUntil time.Time
	ejectionTime time.Duration
}

// probeDue reports whether an ejected backend server may get a probe call.
func (h *health) probeDue(now time.Time) bool {
	return h.ejected && !h.probing && !now.Before(h.ejectedUntil)
}

// record updates the health with the outcome of a call. probe marks the outcome of a
// probe call, and mayEject permits an ejection.
func (h *health) record(now time.Time, outcome Outcome, probe, mayEject bool) {
	if probe {
		h.probing = false
	}
	switch outcome {
	case Succeeded:
		h.recordSuccess(probe)
	case Failed:
		h.recordFailure(now, probe, mayEject)
	}
}

// recordSuccess resets the health. Only a probe ends an ejection, because calls that
// started before the ejection may still succeed.
func (h *health) recordSuccess(probe bool) {
	if h.ejected && !probe {
		return
	}
	*h = health{}
}

func (h *health) recordFailure(now time.Time, probe, mayEject bool) {
	h.consecutiveFailures++
	switch {
	case h.ejected && probe:
		h.ejectionTime = min(2*h.ejectionTime, maxEjection)
		h.ejectedUntil = now.Add(h.ejectionTime)
	case !h.ejected && h.consecutiveFailures >= ejectThreshold && mayEject:
		h.ejected = true
		h.ejectionTime = initialEjection
		h.ejectedUntil = now.Add(h.ejectionTime)
	}
}

// mayEject reports whether one more backend server of the service may be ejected.
// One of two backend servers may be ejected, a single one never.
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
	bound := total / ejectDivisor
	if total > 1 {
		bound = max(bound, 1)
	}
	return ejected < bound
}
