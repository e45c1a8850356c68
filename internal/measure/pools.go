package measure

import (
	"context"
	"sync"
	"time"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	pollPeriod = 100 * time.Millisecond
	poolPeriod = 500 * time.Millisecond
)

// poolWatch is what was seen of the membership of pools.
type poolWatch struct {
	samples int
	moves   int
}

// watchPools counts the instances that change pools until the returned function
// is called.
func (b *bench) watchPools(ctx context.Context) func() poolWatch {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	var seen poolWatch
	running.Go(func() {
		before := map[string]string{}
		for ctx.Err() == nil {
			status, err := b.op.Status(ctx)
			if err == nil {
				seen.compare(before, status)
			}
			wait.For(ctx, poolPeriod)
		}
	})
	return func() poolWatch {
		cancel()
		running.Wait()
		return seen
	}
}

func (w *poolWatch) compare(before map[string]string, status *samphireforkv1.StatusResponse) {
	w.samples++
	for _, i := range status.GetInstances() {
		if old, ok := before[i.GetInstance()]; ok && old != i.GetPool() {
			w.moves++
		}
		before[i.GetInstance()] = i.GetPool()
	}
}

// reportPools adds the cost of the buffer: the spare instances, and the idle part
// of the pool that bursts.
func (b *bench) reportPools(w poolWatch, from time.Time) {
	b.value(Value{Name: "moves between pools under the bursting demand", Unit: "moves", Value: float64(w.moves), Samples: w.samples, Target: atMost(0)})
	spare, workers := 0, 0
	for _, name := range harness.SortedKeys(b.cfg.Instances) {
		i := b.cfg.Instances[name]
		if i.Kind != fleet.KindWorker {
			continue
		}
		workers++
		if b.cfg.Pools[i.Pool].Spare {
			spare++
		}
	}
	b.value(Value{Name: "spare instances of all workers", Unit: "part", Value: ratio(float64(spare), float64(workers)), Samples: workers})
	runs := b.workerRuns()
	to := time.Now()
	busy := 0.0
	n := 0
	for _, r := range runs {
		if b.cfg.Instances[r.worker].Pool != b.main {
			continue
		}
		busy += r.within(from, to).Seconds() * burstJobCPU
		n++
	}
	total := float64(b.workersOf(b.main)*workerCPU) * to.Sub(from).Seconds()
	b.value(Value{Name: "idle capacity of the bursting pool", Unit: "part", Value: 1 - ratio(busy, total), Samples: n})
}
