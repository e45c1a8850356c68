// Package wait holds the pauses between attempts and between samples.
package wait

import (
	"context"
	"time"
)

// For waits for d or the end of ctx. It reports whether d has passed.
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

// ForAttempt waits for d before a further attempt that needs at least the given
// time. It reports false at once when the deadline of ctx leaves less.
func ForAttempt(ctx context.Context, d, attempt time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < d+attempt {
		return false
	}
	return For(ctx, d)
}
