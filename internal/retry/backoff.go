// Package retry decides when failed jobs run again, and whether a job or a
// worker is to blame for failures.
//
// The package does no I/O; time and randomness are parameters.
package retry

import (
	"math/rand"
	"time"
)

// Policy names a way of handling failures.
type Policy string

// Policies. PolicyImmediate retries at once without a budget and blames no worker.
const (
	PolicyBlame     Policy = "blame"
	PolicyImmediate Policy = "immediate"
)

// Backoff bounds.
const (
	FirstDelay = 500 * time.Millisecond
	MaxDelay   = time.Minute
	// WithheldDelay holds back a retry for which the team has no budget, or that
	// falls into a failure wave.
	WithheldDelay = 30 * time.Second
)

// Backoff returns the delay before the attempt after the given number of failed
// ones. It doubles with each failure, and half of it is random, so that jobs that
// failed together don't return together.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	d := MaxDelay
	if shift := max(failures-1, 0); shift < 7 {
		d = min(FirstDelay<<shift, MaxDelay)
	}
	return d/2 + time.Duration(rng.Int63n(int64(d/2)+1))
}

// Budget parameters: retries may be this part of a team's first attempts, and a
// quiet team can save up this many.
const (
	BudgetPart  = 0.1
	BudgetBurst = 10.0
)

// Budget bounds the retries of each team. It is not safe for concurrent use.
type Budget struct {
	tokens map[string]float64
}

// NewBudget returns a budget in which each team has its full burst.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// RecordFirstAttempt accounts for a first attempt.
func (b *Budget) RecordFirstAttempt(team string) {
	b.tokens[team] = min(b.left(team)+BudgetPart, BudgetBurst)
}

// TakeRetry takes one retry from the team's budget, and reports whether there was one.
func (b *Budget) TakeRetry(team string) bool {
	left := b.left(team)
	// The tolerance keeps ten additions of 0.1 equal to one retry.
	if left < 1-1e-9 {
		return false
	}
	b.tokens[team] = left - 1
	return true
}

func (b *Budget) left(team string) float64 {
	if t, ok := b.tokens[team]; ok {
		return t
	}
	return BudgetBurst
}
