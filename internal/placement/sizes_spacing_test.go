package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Reports in quick succession, or before any usage is known, must not lower the
// charged size. A worker would otherwise get more tasks than it can hold.
func TestSizeIsNotLoweredByEarlyReports(t *testing.T) {
	z := NewSizer()
	key := wire.TaskKey{JobID: "j", Attempt: 1}
	declared := fleet.Resources{CPUMilli: 4000, MemoryMiB: 256}
	low := fleet.Resources{CPUMilli: 1000, MemoryMiB: 256}
	now := fleet.Time(0)
	for range 2 * lowerSamples {
		now = now.Add(sampleSpacing)
		z.Observe(key, "a", "q", declared, fleet.Resources{}, now)
	}
	require.Equal(t, declared, z.TaskSize(key, declared))
	for range 2 * lowerSamples {
		now = now.Add(time.Millisecond)
		z.Observe(key, "a", "q", declared, low, now)
	}
	require.Equal(t, declared, z.TaskSize(key, declared))
	for range lowerSamples {
		now = now.Add(sampleSpacing)
		z.Observe(key, "a", "q", declared, low, now)
	}
	require.Less(t, z.TaskSize(key, declared).CPUMilli, declared.CPUMilli)
}
