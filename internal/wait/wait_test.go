package wait

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a pause that outlasts its context, and against an attempt that
// starts with too little time left to be answered.
func TestWaitsEndWithTheirContext(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	require.False(t, For(ended, time.Hour))
	require.False(t, For(ended, 0))
	require.True(t, For(context.Background(), time.Nanosecond))

	short, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	require.False(t, ForAttempt(short, time.Second, time.Hour))
	require.True(t, ForAttempt(short, time.Nanosecond, time.Second))
}
