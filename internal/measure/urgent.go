package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	fillCPU     = 16000
	fillRun     = 14 * time.Second
	fillSettle  = 3 * time.Second
	urgentJobs  = 10
	urgentCPU   = 8000
	urgentRun   = 200 * time.Millisecond
	urgentPause = 400 * time.Millisecond
	urgentWait  = 16 * time.Second
	urgentBound = 6.0
	idleLimit   = 6 * time.Second
)

// measureUrgent fills the workers of the main pool with long jobs and submits
// urgent ones.
func measureUrgent(ctx context.Context, b *bench) error {
	fill := b.newLoad(b.callers("fill"), 30)
	filling, endFilling := context.WithCancel(ctx)
	defer endFilling()
	var ids []string
	count := b.workersOf(b.main) * workerCPU / fillCPU
	owner := fill.callers[0]
	for _, c := range fill.callers {
		if b.cfg.Teams[c.Team].Limit > b.cfg.Teams[owner.Team].Limit {
			owner = c
		}
	}
	for range count {
		id := owner.NextID()
		ids = append(ids, id)
		shape := jobShape{cpuMilli: fillCPU, run: fillRun, idempotent: true}
		fill.running.Go(func() { owner.JobWithID(filling, id, b.normal, shape.spec()) })
	}
	wait.For(ctx, fillSettle)
	full := b.runningNow(b.main)
	hist := newTimes()
	submitted := b.submitUrgent(ctx, hist)
	endFilling()
	for _, id := range ids {
		owner.Cancel(ctx, id)
	}
	fill.close()
	b.awaitIdle()
	note := fmt.Sprintf("%d of %d long jobs ran when the first urgent job came", full, count)
	b.value(Value{Name: "submission to start of urgent work on full workers, median", Unit: "s", Value: hist.seconds(50), Samples: hist.n(), Note: note})
	b.value(Value{Name: "submission to start of urgent work on full workers, largest", Unit: "s", Value: hist.seconds(100), Samples: hist.n(), Target: atMost(urgentBound)})
	b.value(Value{Name: "urgent jobs that started", Unit: "part", Value: ratio(float64(hist.n()), float64(submitted)), Samples: submitted, Target: atLeast(1)})
	return nil
}

// submitUrgent submits the urgent jobs and notes the time to the start of each.
func (b *bench) submitUrgent(ctx context.Context, hist *times) int {
	l := b.newLoad(b.callers("urgent"), 31)
	begun := map[string]time.Time{}
	for i := range urgentJobs {
		c := l.callers[i%len(l.callers)]
		c.Attempts = attempts
		id := c.NextID()
		begun[id] = time.Now()
		l.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, urgentWait)
			defer cancel()
			c.JobWithID(ctx, id, b.urgent, jobShape{cpuMilli: urgentCPU, run: urgentRun}.spec())
		})
		wait.For(ctx, urgentPause)
	}
	l.close()
	started := map[string]time.Time{}
	for _, r := range b.workerRuns() {
		if at, ok := started[r.id]; !ok || r.start.Before(at) {
			started[r.id] = r.start
		}
	}
	for id, at := range begun {
		if start, ok := started[id]; ok {
			hist.record(start.Sub(at))
		}
	}
	return len(begun)
}

// runningNow returns the number of jobs that run in a pool.
func (b *bench) runningNow(pool string) int {
	n := 0
	now := time.Now()
	for _, r := range b.workerRuns() {
		if b.cfg.Instances[r.worker].Pool == pool && !r.end.Before(now) {
			n++
		}
	}
	return n
}

// awaitIdle waits until no jobs are queued or assigned, for a bounded time.
func (b *bench) awaitIdle() {
	ctx, cancel := context.WithTimeout(context.Background(), idleLimit)
	defer cancel()
	for ctx.Err() == nil {
		status, err := b.op.Status(ctx)
		if err == nil && status.GetJobs()["queued"]+status.GetJobs()["assigned"] == 0 {
			return
		}
		wait.For(ctx, pollPeriod)
	}
}
