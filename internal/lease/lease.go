// Package lease implements the arithmetic of the leases that entries hold on the
// configuration and on their limit grants, and defines the length of the leases
// under which workers run tasks.
//
// A holder counts its lease from the time at which it sent the request, and a
// granter from the time at which it sent the reply, each on its own monotonic
// clock. A reply is never sent before its request, so the lease expires at the
// holder first, provided that the drift between the clocks is within
// 1/ClockDriftDivisor. The package does not read the clock; callers pass times
// that carry a monotonic reading.
package lease

import "time"

const (
	// Duration is the length of a configuration lease.
	Duration = 2 * time.Second
	// TaskDuration is the length of a task lease: the time for which a worker may
	// run tasks without a renewal.
	TaskDuration = 5 * time.Second
	// TaskMargin is the time that the leader adds to TaskDuration before it
	// declares a worker that does not report lost.
	TaskMargin = time.Second
	// RenewInterval is the longest time between two renewal requests of a holder.
	RenewInterval = 500 * time.Millisecond
	// ClockDriftDivisor bounds the drift between two monotonic clocks: their rates
	// differ by at most 1/ClockDriftDivisor. Quartz clocks differ by at most about
	// 1/5000.
	ClockDriftDivisor = 1000
)

// Margin returns the largest difference between two clocks that measure d.
func Margin(d time.Duration) time.Duration {
	return d / ClockDriftDivisor
}

// Holder tracks the lease of one entry on the side of the entry. The zero value
// holds no lease. A Holder is not safe for concurrent use.
type Holder struct {
	until time.Time
	term  uint64
}

// Renew processes the reply of the leader of the given term to a request that was
// sent at sentAt. It extends the lease to sentAt plus length less the clock
// margin, and never shortens it. It returns false and changes nothing if an
// earlier reply had a higher term, since another store may lead by now.
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

// Valid reports whether the lease is in force at now.
func (h *Holder) Valid(now time.Time) bool {
	return now.Before(h.until)
}

// Expiry returns the time at which the lease expires, or the zero time if there
// has been none.
func (h *Holder) Expiry() time.Time { return h.until }

// Term returns the highest term of a leader that renewed the lease, or 0 if there
// has been none.
func (h *Holder) Term() uint64 { return h.term }

// Granter tracks, on the side of the leader, how long each holder may hold a
// lease. It is not safe for concurrent use.
type Granter struct {
	length time.Duration
	// gracePeriodEnd is the time at which all leases of earlier leaders have expired.
	gracePeriodEnd time.Time
	until          map[string]time.Time
}

// NewGranter returns the granter of a leader that was elected at the given time
// and grants leases of the given length. During a grace period after the election
// every holder may still hold a lease of an earlier leader. Earlier leaders must
// have stopped granting leases by the time of the election.
func NewGranter(length time.Duration, elected time.Time) *Granter {
	return &Granter{
		length:         length,
		gracePeriodEnd: elected.Add(length + Margin(length)),
		until:          map[string]time.Time{},
	}
}

// RecordGrant records that a lease is granted to the holder. It must be called
// before the reply is sent, with a time at or after the receipt of the request.
func (g *Granter) RecordGrant(holder string, now time.Time) {
	g.until[holder] = now.Add(g.length + Margin(g.length))
}

// Expiry returns the time by which the holder's lease has expired at the holder,
// allowing for clock drift. It is never before the end of the grace period.
func (g *Granter) Expiry(holder string) time.Time {
	if until, ok := g.until[holder]; ok && until.After(g.gracePeriodEnd) {
		return until
	}
	return g.gracePeriodEnd
}

// MayHold reports whether the holder may hold a lease at now.
func (g *Granter) MayHold(holder string, now time.Time) bool {
	return now.Before(g.Expiry(holder))
}

// GracePeriodEnd returns the end of the grace period after the election. From then
// on, every holder of a lease is one that RecordGrant has recorded.
func (g *Granter) GracePeriodEnd() time.Time { return g.gracePeriodEnd }

// RemoveExpired removes the records of the leases that have expired at now.
func (g *Granter) RemoveExpired(now time.Time) {
	for holder, until := range g.until {
		if !now.Before(until) {
			delete(g.until, holder)
		}
	}
}
