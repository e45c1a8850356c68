package store

import "github.com/rcrowley/go-metrics"

type nodeMetrics struct {
	proposals metrics.Counter
	applied   metrics.Counter
	elections metrics.Counter
	dropped   metrics.Counter
	expired   metrics.Counter
	refused   metrics.Counter
	// skipped counts the committed entries that could not be decoded or applied.
	skipped      metrics.Counter
	syncs        metrics.Timer
	term         metrics.Gauge
	appliedIndex metrics.Gauge
	// spareVoters is, on the leader, the number of voters in contact beyond a majority:
	// how many may fail before the log stops. It is -1 on other stores.
	spareVoters metrics.Gauge
}

func newNodeMetrics(r metrics.Registry) nodeMetrics {
	return nodeMetrics{
		proposals:    metrics.GetOrRegisterCounter("store_proposals_total", r),
		applied:      metrics.GetOrRegisterCounter("store_applied_entries_total", r),
		elections:    metrics.GetOrRegisterCounter("store_leaderships_total", r),
		dropped:      metrics.GetOrRegisterCounter("store_dropped_messages_total", r),
		expired:      metrics.GetOrRegisterCounter("store_expired_messages_total", r),
		refused:      metrics.GetOrRegisterCounter("store_refused_messages_total", r),
		skipped:      metrics.GetOrRegisterCounter("store_skipped_entries_total", r),
		syncs:        metrics.GetOrRegisterTimer("store_sync_seconds", r),
		term:         metrics.GetOrRegisterGauge("store_term", r),
		appliedIndex: metrics.GetOrRegisterGauge("store_applied_index", r),
		spareVoters:  metrics.GetOrRegisterGauge("store_spare_voters", r),
	}
}
