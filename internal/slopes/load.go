package slopes

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/simworker"
)

const (
	jobRunMS    = 100
	jobCPUMilli = 500
	jobMemory   = 128
	bodyBytes   = 200
	callTimeout = 2 * time.Second
	// maxInFlight bounds the requests of one kind that wait for their answer.
	maxInFlight = 256
)

// load sends requests at fixed rates and counts the ones that were done.
type load struct {
	cancel  context.CancelFunc
	running sync.WaitGroup
	done    atomic.Int64
	failed  atomic.Int64
}

// startLoad starts the requests of a specification.
func startLoad(s Spec, f *harness.Fleet, c *changer, keys []harness.TeamKey) *load {
	ctx, cancel := context.WithCancel(context.Background())
	l := &load{cancel: cancel}
	callers := make([]*harness.Caller, len(keys))
	balancer := harness.NewBalancer(f.Entries, 1)
	for i, k := range keys {
		callers[i] = harness.NewCaller(teamName(i), k.ID, k.Key, balancer, nil, operatorName)
	}
	next := func(n int) *harness.Caller { return callers[n%len(callers)] }
	l.each(ctx, s.Calls, func(ctx context.Context, n int) bool { return call(ctx, next(n), true) })
	l.each(ctx, s.Once, func(ctx context.Context, n int) bool { return call(ctx, next(n), false) })
	l.each(ctx, s.Jobs, func(ctx context.Context, n int) bool { return job(ctx, next(n)) })
	if s.Changes > 0 {
		l.running.Go(func() { l.changes(ctx, s.Changes, c) })
	}
	return l
}

func call(ctx context.Context, c *harness.Caller, idempotent bool) bool {
	out := c.Call(ctx, svcName, make([]byte, bodyBytes), idempotent, callTimeout)
	return out.Verdict == string(api.Done)
}

func job(ctx context.Context, c *harness.Caller) bool {
	payload, _ := json.Marshal(simworker.Payload{RunMS: jobRunMS})
	out := c.Job(ctx, queueName, fleet.JobSpec{
		Size:      fleet.Resources{CPUMilli: jobCPUMilli, MemoryMiB: jobMemory},
		RunTimeMS: jobRunMS,
		Payload:   payload,
	})
	return out.Verdict == string(api.Done)
}

// each starts f at a rate, without waiting for earlier ones up to a bound.
func (l *load) each(ctx context.Context, rate float64, f func(context.Context, int) bool) {
	if rate <= 0 {
		return
	}
	slots := make(chan struct{}, maxInFlight)
	l.running.Go(func() {
		l.paced(ctx, rate, func(n int) {
			select {
			case slots <- struct{}{}:
			default:
				l.failed.Add(1)
				return
			}
			l.running.Go(func() {
				defer func() { <-slots }()
				l.count(ctx, f(context.WithoutCancel(ctx), n))
			})
		})
	})
}

// changes makes configuration changes one after the other.
func (l *load) changes(ctx context.Context, rate float64, c *changer) {
	l.paced(ctx, rate, func(int) {
		attempt, cancel := context.WithTimeout(context.WithoutCancel(ctx), operatorTimeout)
		defer cancel()
		l.count(ctx, c.changeLimit(attempt) == nil)
	})
}

func (l *load) paced(ctx context.Context, rate float64, f func(n int)) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(n)
		}
	}
}

func (l *load) count(ctx context.Context, done bool) {
	if done {
		l.done.Add(1)
	} else if ctx.Err() == nil {
		l.failed.Add(1)
	}
}

// stop ends the load and waits for the requests in flight.
func (l *load) stop() {
	l.cancel()
	l.running.Wait()
}
