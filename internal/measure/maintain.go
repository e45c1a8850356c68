package measure

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	lightRate    = 8.0
	lightCPU     = 2000
	lightRun     = 400 * time.Millisecond
	drainTimeout = 5 * time.Second
	planLimit    = 60 * time.Second
	rollOutBound = 1.1
	planName     = "measured-wave"
)

// measureMaintenance reboots the second pool under a light load of jobs.
func measureMaintenance(ctx context.Context, b *bench) error {
	l := b.newLoad(b.callers("light"), 40)
	for _, c := range l.callers {
		c.Attempts = attempts
	}
	loading, endLoad := context.WithCancel(ctx)
	defer endLoad()
	shape := jobShape{cpuMilli: lightCPU, run: lightRun}
	l.running.Go(func() {
		l.at(loading, lightRate, planLimit, func() { l.job(ctx, b.light, shape, planLimit/4) })
	})
	pools := b.watchPools(ctx)
	began := time.Now()
	if err := b.op.StartMaintenance(ctx, planName, b.second, drainTimeout); err != nil {
		return err
	}
	done, err := b.awaitPlan(ctx)
	took := time.Since(began)
	endLoad()
	l.close()
	watched := pools()
	if err != nil {
		return err
	}
	b.reportMaintenance(began, took, done, l, watched)
	return nil
}

// awaitPlan waits for the end of the plan and returns when each instance was
// first seen as completed.
func (b *bench) awaitPlan(ctx context.Context) (map[string]time.Time, error) {
	done := map[string]time.Time{}
	for limit := time.Now().Add(planLimit); time.Now().Before(limit) && ctx.Err() == nil; {
		status, err := b.op.Status(ctx)
		if err != nil {
			return nil, err
		}
		for _, p := range status.GetPlans() {
			if p.GetName() != planName {
				continue
			}
			for _, name := range p.GetCompleted() {
				if _, ok := done[name]; !ok {
					done[name] = time.Now()
				}
			}
			if p.GetState() == string(fleet.PlanDone) {
				return done, nil
			}
		}
		wait.For(ctx, pollPeriod)
	}
	return done, ctx.Err()
}

func (b *bench) reportMaintenance(began time.Time, took time.Duration, done map[string]time.Time, l *load, w poolWatch) {
	one := newTimes()
	for name, events := range b.workerEvents() {
		for _, e := range events {
			if at, ok := done[name]; ok && e.Kind == history.Drain && e.UnixNS >= began.UnixNano() {
				one.record(at.Sub(time.Unix(0, e.UnixNS)))
				break
			}
		}
	}
	instances := b.workersOf(b.second)
	waves := math.Ceil(float64(instances) / poolBudget)
	bound := waves * one.seconds(50)
	right := 0
	for _, s := range l.jobs.all {
		if s.right {
			right++
		}
	}
	b.value(Value{Name: "roll-out time", Unit: "s", Value: took.Seconds(), Samples: len(done), Note: fmt.Sprintf("%d instances, budget %d", instances, poolBudget)})
	b.value(Value{Name: "time of one instance, median", Unit: "s", Value: one.seconds(50), Samples: one.n()})
	b.value(Value{Name: "roll-out time / bound", Unit: "ratio", Value: ratio(took.Seconds(), bound), Samples: len(done), Target: atMost(rollOutBound)})
	b.value(Value{Name: "moves between pools during the roll-out", Unit: "moves", Value: float64(w.moves), Samples: w.samples, Target: atMost(0)})
	b.value(Value{Name: "jobs without a right answer during the roll-out", Unit: "jobs", Value: float64(len(l.jobs.all) - right), Samples: len(l.jobs.all), Target: atMost(0)})
}
