// Package metricstext writes a go-metrics registry in the Prometheus text format.
package metricstext

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text format, version 0.0.4.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

var quantiles = []float64{0.5, 0.9, 0.99}

// Write writes the metrics of the registry, sorted by name. Characters that are not
// allowed in Prometheus metric names are replaced by underscores. Meters are written as
// counters; histograms and timers as summaries with the quantiles 0.5, 0.9 and 0.99,
// timers in seconds. Metrics of other types are omitted. An error is that of w.
func Write(w io.Writer, r metrics.Registry) error {
	all := map[string]any{}
	r.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		if err := writeMetric(w, sanitizeName(name), all[name]); err != nil {
			return err
		}
	}
	return nil
}

// Handler returns an echo handler that serves the registry as Write writes it. The
// output is buffered, so that no partial response is sent if writing fails.
func Handler(r metrics.Registry) echo.HandlerFunc {
	return func(c echo.Context) error {
		var out bytes.Buffer
		if err := Write(&out, r); err != nil {
			return err
		}
		return c.Blob(http.StatusOK, ContentType, out.Bytes())
	}
}

func writeMetric(w io.Writer, name string, metric any) error {
	switch m := metric.(type) {
	case metrics.Counter:
		return writeValue(w, name, "counter", float64(m.Count()))
	case metrics.Gauge:
		return writeValue(w, name, "gauge", float64(m.Value()))
	case metrics.GaugeFloat64:
		return writeValue(w, name, "gauge", m.Value())
	case metrics.Meter:
		return writeValue(w, name, "counter", float64(m.Snapshot().Count()))
	case metrics.Histogram:
		s := m.Snapshot()
		return writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), 1)
	case metrics.Timer:
		s := m.Snapshot()
		return writeSummary(w, name, s.Percentiles(quantiles), float64(s.Sum()), s.Count(), float64(time.Second))
	default:
		return nil
	}
}

func writeValue(w io.Writer, name, metricType string, value float64) error {
	_, err := fmt.Fprintf(w, "# TYPE %s %s\n%s %v\n", name, metricType, name, value)
	return err
}

func writeSummary(w io.Writer, name string, values []float64, sum float64, count int64, unit float64) error {
	if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
		return err
	}
	for i, q := range quantiles {
		if _, err := fmt.Fprintf(w, "%s{quantile=\"%v\"} %v\n", name, q, values[i]/unit); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_sum %v\n%s_count %d\n", name, sum/unit, name, count)
	return err
}

// sanitizeName replaces characters that are not allowed in metric names by underscores
// and puts an underscore before a leading digit and in place of an empty name.
func sanitizeName(name string) string {
	clean := strings.Map(func(r rune) rune {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '_' || r == ':'
		if isLetter || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
	if clean == "" || clean[0] >= '0' && clean[0] <= '9' {
		return "_" + clean
	}
	return clean
}
