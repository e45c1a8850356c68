// Package lease holds the arithmetic of configuration leases and limit grants.
//
// A holder counts its lease from the moment it sent the request, and a granter
// from the moment it sent the reply, both on their own monotonic clocks. Since a
// reply never leaves before its request was sent, the holder's lease ends first,
// as long as the clocks run equally fast up to MaxClockSkew. The package reads no
// clock; callers pass times that carry a monotonic reading.
package lease

import "time"

const (
	// Duration is the length of a configuration lease.
	Duration = 2 * time.Second
	// TaskDuration is the time for which a worker may run tasks without a renewal, and
	// TaskMargin is added to it before the leader gives a silent worker up.
	TaskDuration = 5 * time.Second
	TaskMargin   = time.Second
	// RenewInterval is the longest time between two requests of a holder.
	RenewInterval = 500 * time.Millisecond
	// ClockDriftDivisor is the largest difference in rate of two monotonic clocks, as a
	// fraction 1/ClockDriftDivisor. Quartz clocks differ by at most about 1/5000.
	ClockDriftDivisor = 1000
)

// Margin returns by how much clocks may disagree on the length of d.
func Margin(d time.Duration) time.Duration {
	return d / ClockDriftDivisor
}

// Holder is the lease of one entry. The zero value holds no lease. It is not safe
// for concurrent use.
type Holder struct {
	until time.Time
	term  uint64
}

// Renew takes over a reply to a request that was sent at sentAt. It reports
// false and changes nothing when the reply is of an older term than an earlier
// one, since that store may have been replaced.
func (h *Holder) Renew(term uint64, sentAt time.Time, length time.Duration) bool {
	if term < h.term {
		return false
	}
	h.term = term
	until := sentAt.Add(length - Margin(length))
	if until.After(h.until) {
		h.until = until
	}
	return true
}

// Valid reports whether the lease still runs.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.until)
}

// Until returns the end of the lease.
func (h *Holder) Until() time.Time { return h.until }

// Term returns the highest term of a leader that renewed the lease.
func (h *Holder) Term() uint64 { return h.term }

// Granter records until when each holder may hold a lease. It is not safe for
// concurrent use.
type Granter struct {
	length time.Duration
	// unknown is the end of the leases that an earlier leader may have granted.
	unknown time.Time
	until   map[string]time.Time
}

// NewGranter returns the granter of a leader that was elected at the given time.
// Every holder may still hold a lease of an earlier leader, which had stopped
// granting by then.
func NewGranter(length time.Duration, elected time.Time) *Granter {
	return &Granter{
		length:  length,
		unknown: elected.Add(length + Margin(length)),
		until:   map[string]time.Time{},
	}
}

// RecordGrant records a lease. It is called before the reply is sent, with the time
// at or after which the holder's request was received.
func (g *Granter) RecordGrant(holder string, now time.Time) {
	g.until[holder] = now.Add(g.length + Margin(g.length))
}

// Expiry returns the time at which the holder's lease has certainly lapsed.
func (g *Granter) Expiry(holder string) time.Time {
	if until, ok := g.until[holder]; ok && until.After(g.unknown) {
		return until
	}
	return g.unknown
}

// MayHold reports whether the holder may hold a lease.
func (g *Granter) MayHold(holder string, now time.Time) bool {
	return now.Before(g.Expiry(holder))
}

// GracePeriodEnd returns the time from which every holder of a lease is known.
func (g *Granter) GracePeriodEnd() time.Time { return g.unknown }

// RemoveExpired drops the holders whose lease has lapsed.
func (g *Granter) RemoveExpired(now time.Time) {
	for holder, until := range g.until {
		if !now.Before(until) {
			delete(g.until, holder)
		}
	}
}
