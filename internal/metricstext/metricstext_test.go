package metricstext

import (
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Guards against output that a Prometheus scraper cannot parse, and against timers in
// a unit other than seconds.
func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("b.calls", r).Inc(3)
	metrics.GetOrRegisterGauge("a_size", r).Update(7)
	metrics.GetOrRegisterTimer("c_seconds", r).Update(2 * time.Second)
	var out strings.Builder
	require.NoError(t, Write(&out, r))
	require.Equal(t, `# TYPE a_size gauge
a_size 7
# TYPE b_calls counter
b_calls 3
# TYPE c_seconds summary
c_seconds{quantile="0.5"} 2
c_seconds{quantile="0.9"} 2
c_seconds{quantile="0.99"} 2
c_seconds_sum 2
c_seconds_count 1
`, out.String())
}
