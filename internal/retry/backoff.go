// Package retry decides when failed jobs run again, whether a job fails for good, and
// which workers are quarantined.
//
// A FailureTracker attributes failures to jobs or to workers by comparing the outcomes
// of several jobs on several workers. The package does no I/O; time and the random
// source are parameters.
package retry

import (
	"math/rand"
	"time"
)

// Policy selects how failures are handled. Its values are used in settings.
type Policy string

// Policies. PolicyBlame delays retries, limits them by a Budget, and attributes failures
// with a FailureTracker. PolicyImmediate is the baseline: it retries at once, without a
// budget, and attributes no failures.
const (
	PolicyBlame     Policy = "blame"
	PolicyImmediate Policy = "immediate"
)

// Delays before retries.
const (
	// InitialDelay is the delay before the first retry, without jitter. It doubles
	// with each failure, up to MaxDelay.
	InitialDelay = 500 * time.Millisecond
	MaxDelay     = time.Minute
	// WithheldDelay is the least delay of a retry for which the team has no budget, or
	// of a failure that is correlated with others in its pool.
	WithheldDelay = 30 * time.Second
)

// Backoff returns the delay before the next attempt of a job that failed the given
// number of times. It doubles from InitialDelay with each failure, up to MaxDelay. A
// random part of up to half of it is left out, so that jobs that failed together are
// not retried together.
func Backoff(failures int, rng *rand.Rand) time.Duration {
	d := MaxDelay
	if shift := max(failures-1, 0); shift < 7 {
		d = min(InitialDelay<<shift, MaxDelay)
	}
	return d/2 + time.Duration(rng.Int63n(int64(d/2)+1))
}

// Parameters of Budget.
const (
	// BudgetRatio is the number of retries that each first attempt adds to a team's
	// budget, and BudgetBurst the maximum of the budget.
	BudgetRatio = 0.1
	BudgetBurst = 10.0
)

// Budget limits the retries of each team to a fraction of its first attempts. It is
// not safe for concurrent use.
type Budget struct {
	// tokens holds the retries left by team; a team without an entry has BudgetBurst.
	tokens map[string]float64
}

// NewBudget returns a budget in which each team starts with BudgetBurst retries.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]float64{}}
}

// RecordFirstAttempt adds BudgetRatio retries to the team's budget, up to BudgetBurst.
func (b *Budget) RecordFirstAttempt(team string) {
	b.tokens[team] = min(b.available(team)+BudgetRatio, BudgetBurst)
}

// TakeRetry takes one retry from the team's budget. It returns false and takes nothing
// when less than one is left.
func (b *Budget) TakeRetry(team string) bool {
	left := b.available(team)
	// The tolerance absorbs rounding, so that ten additions of 0.1 make one retry.
	if left < 1-1e-9 {
		return false
	}
	b.tokens[team] = left - 1
	return true
}

func (b *Budget) available(team string) float64 {
	if t, ok := b.tokens[team]; ok {
		return t
	}
	return BudgetBurst
}
