// Package wait provides pauses that end early with their context, for use between
// retries and between samples.
package wait

import (
	"context"
	"time"
)

// For blocks until d has elapsed or ctx is done, and reports whether d has elapsed. If
// d is not positive, it returns at once and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// ForAttempt waits like For before another attempt that needs at least minAttemptTime.
// If the deadline of ctx leaves less time than d plus minAttemptTime, it returns false
// without waiting.
func ForAttempt(ctx context.Context, d, minAttemptTime time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d+minAttemptTime {
		return false
	}
	return For(ctx, d)
}
