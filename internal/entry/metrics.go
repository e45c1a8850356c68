package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirefork/samphirefork/internal/wire"
)

// counters are the metrics of an entry.
type counters struct {
	registry      metrics.Registry
	callTime      metrics.Timer
	renewFailures metrics.Counter
}

func newCounters() *counters {
	registry := metrics.NewRegistry()
	return &counters{
		registry:      registry,
		callTime:      metrics.NewRegisteredTimer("entry.call", registry),
		renewFailures: metrics.NewRegisteredCounter("entry.renew_failures", registry),
	}
}

func (c *counters) call(answer *wire.CallAnswer, took time.Duration) {
	c.callTime.Update(took)
	name := "entry.calls." + answer.Verdict
	if answer.Code != "" {
		name += "." + answer.Code
	}
	metrics.GetOrRegisterCounter(name, c.registry).Inc(1)
}

// handleMetrics serves GET /metrics in the Prometheus text format.
func (e *Entry) handleMetrics(c echo.Context) error {
	var out bytes.Buffer
	var lines []string
	e.metrics.registry.Each(func(name string, metric any) {
		lines = append(lines, metricLines(name, metric)...)
	})
	sort.Strings(lines)
	for _, line := range lines {
		out.WriteString(line)
	}
	fmt.Fprintf(&out, "samphire_entry_queued %d\n", e.sched.queued())
	fmt.Fprintf(&out, "samphire_entry_busy %d\n", e.sched.busy())
	return c.Blob(http.StatusOK, "text/plain; version=0.0.4", out.Bytes())
}

func metricLines(name string, metric any) []string {
	name = "samphire_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
	switch m := metric.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s_total %d\n", name, m.Count())}
	case metrics.Timer:
		s := m.Snapshot()
		return []string{
			fmt.Sprintf("%s_seconds_count %d\n", name, s.Count()),
			fmt.Sprintf("%s_seconds{quantile=\"0.5\"} %g\n", name, s.Percentile(0.5)/float64(time.Second)),
			fmt.Sprintf("%s_seconds{quantile=\"0.99\"} %g\n", name, s.Percentile(0.99)/float64(time.Second)),
		}
	}
	return nil
}
