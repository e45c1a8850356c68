package store

import "github.com/rcrowley/go-metrics"

type meters struct {
	proposals    metrics.Counter
	applied      metrics.Counter
	elections    metrics.Counter
	dropped      metrics.Counter
	syncs        metrics.Timer
	term         metrics.Gauge
	appliedIndex metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		proposals:    metrics.GetOrRegisterCounter("store_proposals_total", r),
		applied:      metrics.GetOrRegisterCounter("store_applied_entries_total", r),
		elections:    metrics.GetOrRegisterCounter("store_leaderships_total", r),
		dropped:      metrics.GetOrRegisterCounter("store_dropped_messages_total", r),
		syncs:        metrics.GetOrRegisterTimer("store_sync_seconds", r),
		term:         metrics.GetOrRegisterGauge("store_term", r),
		appliedIndex: metrics.GetOrRegisterGauge("store_applied_index", r),
	}
}
