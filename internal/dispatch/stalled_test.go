package dispatch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stallBoundMS is the time within which stalled work must be shown, and within which it
	// must be gone from the list once it goes on.
	stallBoundMS = 2000
	stallStepMS  = 100
)

// stallRig is a rig whose dispatcher writes its log and metrics where the test reads them.
type stallRig struct {
	*rig
	t        *testing.T
	log      bytes.Buffer
	registry metrics.Registry
}

func newStallRig(t *testing.T, workers int) *stallRig {
	r := &stallRig{rig: newRig(1), t: t, registry: metrics.NewRegistry()}
	r.dispatchers[0] = New(rigLog{r.rig, 0}, Settings{Lease: rigLease, JobRetention: time.Minute}, nil, nil, r.registry, zerolog.New(&r.log))
	for i := range workers {
		r.addWorker(string(rune('a'+i)), "r1")
	}
	r.run(2 * stallStepMS)
	return r
}

// run lets the given time pass with heartbeats of the workers that are up.
func (r *stallRig) run(ms int64) {
	for end := r.now + ms; r.now < end; {
		r.advance(stallStepMS)
		for range 2 {
			for _, w := range r.workers {
				w.heartbeat(0, false)
			}
			r.cycle()
		}
	}
}

func (r *stallRig) reasons() []stall.Reason {
	stalls, _, err := r.dispatchers[0].Stalled()
	require.NoError(r.t, err)
	var reasons []stall.Reason
	for _, s := range stalls {
		reasons = append(reasons, s.Reason)
	}
	return reasons
}

// Coordinators must see that work is stalled, and that it goes on again, within two seconds:
// in the list, in the metric of the queue and reason, and in one log line each.
func TestStalledWorkIsShownInTime(t *testing.T) {
	big := workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true}
	cases := map[stall.Reason]struct {
		stop, resume func(r *stallRig)
	}{
		stall.NoCapacity: {
			func(r *stallRig) {
				r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}, Label: "gpu"})
			},
			func(r *stallRig) { r.propose(&workload.Command{Cancel: &workload.Cancel{ID: "job", Queue: rigQueue}}) },
		},
		stall.TeamLimit: {
			func(r *stallRig) {
				r.submit("other", workload.Step{Count: 5, Size: workload.Resources{CPUMilli: rigCPU}, LongRunning: true})
				r.run(stallStepMS)
				r.submit("job", big)
			},
			func(r *stallRig) {
				r.propose(&workload.Command{Cancel: &workload.Cancel{ID: "other", Queue: rigQueue}})
			},
		},
		stall.Gang: {
			func(r *stallRig) {
				r.submit("job", workload.Step{Count: 7, Size: workload.Resources{CPUMilli: 5000}, Gang: true})
			},
			func(r *stallRig) { r.addWorker("z", "r1") },
		},
		stall.HeldBack: {
			func(r *stallRig) {
				for _, w := range r.workers {
					w.draining = true
				}
				r.run(stallStepMS)
				r.submit("job", big)
			},
			func(r *stallRig) { r.addWorker("z", "r1") },
		},
		stall.WorkerSilent: {
			func(r *stallRig) {
				r.submit("job", big)
				r.run(stallStepMS)
				for _, w := range r.workers {
					w.up = len(w.running) == 0
				}
			},
			func(r *stallRig) {
				for _, w := range r.workers {
					w.up = true
				}
			},
		},
	}
	for reason, c := range cases {
		t.Run(string(reason), func(t *testing.T) {
			r := newStallRig(t, 6)
			c.stop(r)
			r.run(stallBoundMS)
			require.Equal(t, []stall.Reason{reason}, r.reasons())
			gauge := stalledMetricPrefix + rigQueue + "_" + string(reason)
			require.Positive(t, r.registry.Get(gauge).(metrics.Gauge).Value())
			c.resume(r)
			r.run(stallBoundMS)
			require.Empty(t, r.reasons())
			require.Nil(t, r.registry.Get(gauge))
			require.Equal(t, 1, strings.Count(r.log.String(), `"message":"work is stalled"`))
			require.Equal(t, 1, strings.Count(r.log.String(), `"message":"work is no longer stalled"`))
			require.Empty(t, r.violation)
		})
	}
}

// A task that fails on each worker must be shown although it is started again and again.
func TestTaskThatFailsEverywhereIsShown(t *testing.T) {
	r := newStallRig(t, 3)
	for _, w := range r.workers {
		w.failsAll = true
	}
	config := r.state.Workload.Config
	config.Version = 2
	queue := config.Queues[rigQueue]
	queue.MaxAttempts = 50
	config.Queues = map[string]workload.Queue{rigQueue: queue}
	r.propose(&workload.Command{Configure: &config})
	r.submit("job", workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1000}})
	r.run(3*rigTaskMS + stallBoundMS)
	require.Equal(t, []stall.Reason{stall.FailsEverywhere}, r.reasons())
}

// The log lines about thousands of steps that stall at once must be bounded.
func TestLogOfStalledWorkIsBounded(t *testing.T) {
	r := newStallRig(t, 1)
	for i := range 200 {
		r.submit("job"+string(rune('0'+i)), workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU + 1}})
	}
	r.run(stallBoundMS)
	require.Len(t, r.reasons(), 200)
	require.Equal(t, maxStallLines, strings.Count(r.log.String(), `"message":"work is stalled"`))
	require.Contains(t, r.log.String(), `"more":180`)
}
