package dispatch

import "github.com/rcrowley/go-metrics"

// meters holds the metrics of a Dispatcher.
type meters struct {
	heartbeats metrics.Counter
	stale      metrics.Counter
	starts     metrics.Counter
	stops      metrics.Counter
	ends       metrics.Counter
	lost       metrics.Counter
	crashed    metrics.Counter
	panics     metrics.Counter
	cycles     metrics.Timer
	delays     metrics.Timer
	// emptying is the number of machines that get new tasks only if no other can take them.
	emptying metrics.Gauge
	// learnedRuns is the number of runs whose run times were learned. overloadedPools and
	// behind are those of the latest plan.
	learnedRuns     metrics.Gauge
	overloadedPools metrics.Gauge
	behind          metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	return meters{
		heartbeats: metrics.GetOrRegisterCounter("dispatch_heartbeats", r),
		stale:      metrics.GetOrRegisterCounter("dispatch_stale_heartbeats", r),
		starts:     metrics.GetOrRegisterCounter("dispatch_start_orders", r),
		stops:      metrics.GetOrRegisterCounter("dispatch_stop_orders", r),
		ends:       metrics.GetOrRegisterCounter("dispatch_ends", r),
		lost:       metrics.GetOrRegisterCounter("dispatch_lost_runs", r),
		crashed:    metrics.GetOrRegisterCounter("dispatch_crashed_runs", r),
		panics:     metrics.GetOrRegisterCounter("dispatch_cycle_panics", r),
		cycles:     metrics.GetOrRegisterTimer("dispatch_cycle_seconds", r),
		delays:     metrics.GetOrRegisterTimer("dispatch_placement_delay_seconds", r),
		emptying:   metrics.GetOrRegisterGauge("dispatch_emptying_machines", r),

		learnedRuns:     metrics.GetOrRegisterGauge("dispatch_learned_runs", r),
		overloadedPools: metrics.GetOrRegisterGauge("dispatch_overloaded_pools", r),
		behind:          metrics.GetOrRegisterGauge("dispatch_overload_jobs_behind", r),
	}
}
