package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/harness"
)

const (
	fullTime   = 3 * time.Second
	burstTime  = 3 * time.Second
	settleTime = 2 * time.Second
	afterTime  = 4 * time.Second
	// fullFactor is the demand at full load, as a part of the capacity.
	fullFactor = 1.1
	// burstFactor is 5 times the mean, as a part of the capacity.
	burstFactor  = 2.0
	meanFactor   = burstFactor / 5
	troughFactor = meanFactor / 20
	// probeRate is the least rate between bursts, so that recovery is seen.
	probeRate = 20.0

	burstJobCPU = 8000
	burstJobRun = 500 * time.Millisecond
	jobDeadline = 3 * time.Second
	jobPatience = 4 * time.Second
	jobProbe    = 4.0

	// jobNormal bounds the time of a normal job, with its wait for a worker.
	jobNormal    = 2 * time.Second
	seriesStep   = 250 * time.Millisecond
	goodputBound = 0.95
	recoverBound = 2.0
)

// interval is a time in which one target was asked for more than its pool holds.
type interval struct{ from, to time.Time }

// burstRun is the demand of the design on the services and queues.
type burstRun struct {
	b     *bench
	calls *load
	jobs  *load
	// full holds the time of full load without retries, and bursts that of each burst.
	full, fullJobs interval
	bursts         map[string]interval
	// calm is the end of the last burst, and end that of the measurement.
	calm, end time.Time
}

// measureBurst asks for full load without retries, and then in turns for about
// 5 times the mean of each service and queue with retries.
func measureBurst(ctx context.Context, b *bench) error {
	r := &burstRun{b: b, calls: b.newLoad(b.callers("calls"), 1), jobs: b.newLoad(b.callers("jobs"), 2), bursts: map[string]interval{}}
	pools := b.watchPools(ctx)
	began := time.Now()
	r.fullLoad(ctx)
	for _, l := range []*load{r.calls, r.jobs} {
		for _, c := range l.callers {
			c.Attempts = attempts
			c.AttemptTimeout = callLimit + answerMargin
		}
	}
	for _, c := range r.jobs.callers {
		c.AttemptTimeout = 0
	}
	r.turns(ctx)
	r.calls.close()
	r.jobs.close()
	r.debug()
	r.report()
	b.reportPools(pools(), began)
	return nil
}

func (r *burstRun) capacity(service string) float64 {
	return float64(r.b.backendsOf(service)*backendSlot) / serviceTime.Seconds()
}

func (r *burstRun) jobCapacity() float64 {
	return float64(r.b.workersOf(r.b.main)*(workerCPU/burstJobCPU)) / burstJobRun.Seconds()
}

func (r *burstRun) shape() jobShape {
	return jobShape{cpuMilli: burstJobCPU, run: burstJobRun, deadline: jobDeadline, idempotent: true}
}

// fullLoad measures the goodput of the first service and of the normal queue.
func (r *burstRun) fullLoad(ctx context.Context) {
	service := r.b.services[0]
	var both sync.WaitGroup
	warm := time.Second
	began := time.Now()
	both.Go(func() {
		r.calls.at(ctx, fullFactor*r.capacity(service), warm+fullTime, func() { r.calls.call(ctx, service, true, patience) })
	})
	both.Go(func() {
		r.jobs.at(ctx, fullFactor*r.jobCapacity(), warm+fullTime, func() { r.jobs.job(ctx, r.b.normal, r.shape(), jobPatience) })
	})
	both.Wait()
	r.full = interval{from: began.Add(warm), to: time.Now()}
	r.fullJobs = r.full
	pause(ctx, settleTime+time.Second)
}

// turns lets each service burst once, and the queues at the first and last turn.
func (r *burstRun) turns(ctx context.Context) {
	var queues []string
	for i := range r.b.services {
		queues = append(queues, []string{r.b.normal, r.b.urgent}[i%2])
	}
	queues[len(queues)-1] = ""
	for i, service := range r.b.services {
		r.turn(ctx, service, queues[i])
	}
	r.calm = time.Now()
	r.quiet(ctx, afterTime)
	r.end = time.Now()
}

func (r *burstRun) turn(ctx context.Context, service, queue string) {
	i := interval{from: time.Now()}
	var all sync.WaitGroup
	stream := uint64(len(r.bursts)+1) * 100
	for _, s := range r.b.services {
		rate := max(troughFactor*r.capacity(s), probeRate)
		if s == service {
			rate = burstFactor * r.capacity(s)
		}
		stream++
		l := r.calls.fork(stream)
		all.Go(func() { l.at(ctx, rate, burstTime, func() { l.call(ctx, s, true, patience) }) })
	}
	for _, q := range []string{r.b.normal, r.b.urgent} {
		rate := jobProbe
		if q == queue {
			rate = burstFactor * r.jobCapacity()
		}
		stream++
		l := r.jobs.fork(stream)
		all.Go(func() { l.at(ctx, rate, burstTime, func() { l.job(ctx, q, r.shape(), jobPatience) }) })
	}
	all.Wait()
	i.to = time.Now()
	r.bursts[service] = i
	if queue != "" {
		r.bursts[queue] = i
	}
}

func (r *burstRun) quiet(ctx context.Context, lasting time.Duration) {
	for began := time.Now(); time.Since(began) < lasting && ctx.Err() == nil; {
		for _, s := range r.b.services {
			r.calls.call(ctx, s, true, patience)
		}
		if r.calls.rng.Float64() < jobProbe/probeRate {
			r.jobs.job(ctx, r.b.normal, r.shape(), jobPatience)
			r.jobs.job(ctx, r.b.urgent, r.shape(), jobPatience)
		}
		pause(ctx, time.Duration(float64(time.Second)/probeRate))
	}
}

func (r *burstRun) report() {
	b := r.b
	full, n := goodput(r.calls.calls.all, b.services[0], r.full.from, r.full.to)
	b.value(Value{Name: "call goodput at full load, without retries", Unit: "calls/s", Value: full, Samples: n})
	r.targets("call", "calls/s", b.services, r.calls.calls.all, full, callLimit)
	full, n = goodput(r.jobs.jobs.all, b.normal, r.fullJobs.from, r.fullJobs.to)
	b.value(Value{Name: "job goodput at full load, without retries", Unit: "jobs/s", Value: full, Samples: n})
	r.targets("job", "jobs/s", []string{b.normal, b.urgent}, r.jobs.jobs.all, full, jobNormal)
	b.run.Series = append(b.run.Series, r.series())
}

// targets adds the figures of the bursts of some services or queues.
func (r *burstRun) targets(kind, unit string, targets []string, all []sample, full float64, normal time.Duration) {
	var seconds float64
	var n, asked, answered, probes int
	var slowest time.Duration
	for _, target := range targets {
		i := r.bursts[target]
		_, got := goodput(all, target, i.from, i.to)
		n += got
		seconds += i.to.Sub(i.from).Seconds()
		part, count := onTime(all, target, i.from, i.to)
		asked += count
		answered += int(part*float64(count) + 0.5)
		back, seen := recovery(all, target, r.calm, r.end, normal)
		probes += seen
		slowest = max(slowest, back)
	}
	sum := float64(n) / seconds
	r.b.value(Value{Name: kind + " goodput in bursts, with retries", Unit: unit, Value: sum, Samples: n})
	r.b.value(Value{Name: kind + " goodput in bursts / at full load", Unit: "ratio", Value: ratio(sum, full), Samples: n, Target: atLeast(goodputBound)})
	r.b.value(Value{Name: "on-time " + kind + "s of those begun in bursts", Unit: "part", Value: ratio(float64(answered), float64(asked)), Samples: asked})
	part, count := r.others(targets, all)
	r.b.value(Value{Name: "on-time " + kind + "s of those that did not burst, begun in bursts of others", Unit: "part", Value: part, Samples: count})
	r.b.value(Value{Name: kind + "s back to normal after the last burst", Unit: "s", Value: slowest.Seconds(), Samples: probes, Target: atMost(recoverBound)})
}

// others returns the on-time part of the requests to targets during the bursts of
// other targets.
func (r *burstRun) others(targets []string, all []sample) (float64, int) {
	right, asked := 0.0, 0
	for _, target := range targets {
		for _, burst := range r.b.services {
			if r.bursts[target] == r.bursts[burst] {
				continue
			}
			part, n := onTime(all, target, r.bursts[burst].from, r.bursts[burst].to)
			right += part * float64(n)
			asked += n
		}
	}
	return ratio(right, float64(asked)), asked
}

// series returns the goodput of all bursting services over time.
func (r *burstRun) series() Series {
	s := Series{Name: "right answers of bursting services", Unit: "calls/s", StepSeconds: seriesStep.Seconds()}
	from := r.full.from
	all := r.calls.calls.all
	for at := from; at.Before(r.end); at = at.Add(seriesStep) {
		sum := 0.0
		for _, service := range r.b.services {
			rate, _ := goodput(all, service, at, at.Add(seriesStep))
			sum += rate
		}
		s.Points = append(s.Points, sum)
	}
	for _, service := range r.b.services {
		i := r.bursts[service]
		s.Marks = append(s.Marks, Mark{From: i.from.Sub(from).Seconds(), To: i.to.Sub(from).Seconds(), Label: service})
	}
	return s
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

func (b *bench) backendsOf(service string) int {
	return len(slices.DeleteFunc(slices.Clone(b.backends), func(x harness.Backend) bool { return x.Service != service }))
}

func (b *bench) workersOf(pool string) int {
	n := 0
	for _, i := range b.cfg.Instances {
		if i.Pool == pool {
			n++
		}
	}
	return n
}

func (r *burstRun) debug() {
	from := r.full.from
	for _, set := range [][]sample{r.calls.calls.all, r.jobs.jobs.all} {
		by := map[string]int{}
		for _, s := range set {
			k := fmt.Sprintf("%-18s t=%3d right=%v team=%s code=%s att=%d", s.target, int(s.start.Sub(from).Seconds()), s.right, s.team, s.code, min(s.attempts, 2))
			by[k]++
		}
		for _, k := range harness.SortedKeys(by) {
			fmt.Println(k, by[k])
		}
	}
}
