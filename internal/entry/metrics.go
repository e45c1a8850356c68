package entry

import (
	"time"

	"github.com/labstack/echo/v4"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/samphirefork/samphirefork/internal/metricstext"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// entryMetrics holds the metrics of an entry.
type entryMetrics struct {
	registry      metrics.Registry
	callTime      metrics.Timer
	renewFailures metrics.Counter
	queued        metrics.Gauge
	busy          metrics.Gauge
}

func newEntryMetrics() *entryMetrics {
	registry := metrics.NewRegistry()
	return &entryMetrics{
		registry:      registry,
		callTime:      metrics.NewRegisteredTimer("entry.call", registry),
		renewFailures: metrics.NewRegisteredCounter("entry.renew_failures", registry),
		queued:        metrics.NewRegisteredGauge("entry.queued", registry),
		busy:          metrics.NewRegisteredGauge("entry.busy", registry),
	}
}

// recordCall records the duration of a direct call and counts it by verdict and
// code.
func (m *entryMetrics) recordCall(answer *wire.CallAnswer, duration time.Duration) {
	m.callTime.Update(duration)
	name := "entry.calls." + answer.Verdict
	if answer.Code != "" {
		name += "." + answer.Code
	}
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// handleMetrics serves GET /metrics in the Prometheus text format.
func (e *Entry) handleMetrics(c echo.Context) error {
	e.metrics.queued.Update(int64(e.sched.queued()))
	e.metrics.busy.Update(int64(e.sched.inFlight()))
	return metricstext.Handler(e.metrics.registry)(c)
}
