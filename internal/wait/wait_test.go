package wait

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a wait that continues after its context is done, and against an
// attempt that starts with too little time left to complete.
func TestWaitsRespectContext(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, For(canceled, time.Hour))
	require.False(t, For(canceled, 0))
	require.True(t, For(context.Background(), time.Nanosecond))

	limited, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	require.False(t, ForAttempt(limited, time.Second, time.Hour))
	require.True(t, ForAttempt(limited, time.Nanosecond, time.Second))
}
