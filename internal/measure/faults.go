package measure

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	steadyCalls  = 100.0
	steadyJobs   = 15.0
	steadyJobCPU = 1000
	steadyJobRun = 100 * time.Millisecond
	steadyGiveUp = 6 * time.Second
	// steadyAttempts is more than a caller can make before it gives up.
	steadyAttempts = 1000
	faultBefore    = 200 * time.Millisecond
	faultObserved  = 4 * time.Second
	frozenFor      = 3500 * time.Millisecond
	cutFor         = 3500 * time.Millisecond
	faultSettle    = time.Second
)

// ErrNoLeader is returned when the leader is none of the stores.
var ErrNoLeader = errors.New("measure: no leader found")

// steady is a load of calls and jobs at constant rates.
type steady struct {
	calls, jobs *load
	// stop ends the sending, and giveUp also the requests that are under way.
	stop, giveUp context.CancelFunc
}

// startSteady starts the load; half of the requests are idempotent.
func (b *bench) startSteady(ctx context.Context, name string) *steady {
	callTimeout, jobTimeout := 3*callLimit, 3*time.Second
	s := &steady{
		calls: b.newLoad(b.steadyCallers(name+"-call", callTimeout), 50),
		jobs:  b.newLoad(b.steadyCallers(name+"-job", jobTimeout), 51),
	}
	ctx, s.giveUp = context.WithCancel(ctx)
	loading, stop := context.WithCancel(ctx)
	s.stop = stop
	n := 0
	s.calls.running.Go(func() {
		s.calls.at(loading, steadyCalls, time.Hour, func() {
			n++
			s.calls.call(ctx, b.services[n%len(b.services)], n%2 == 0, steadyGiveUp)
		})
	})
	m := 0
	s.jobs.running.Go(func() {
		s.jobs.at(loading, steadyJobs, time.Hour, func() {
			m++
			shape := jobShape{cpuMilli: steadyJobCPU, run: steadyJobRun, idempotent: m%2 == 0}
			s.jobs.job(ctx, []string{b.normal, b.light}[m%2], shape, steadyGiveUp)
		})
	})
	return s
}

// steadyCallers returns recorded callers that send again until they give up.
func (b *bench) steadyCallers(name string, attemptTimeout time.Duration) []*harness.Caller {
	out := b.callers(name)
	for _, c := range out {
		c.Record = b.record
		c.Attempts = steadyAttempts
		c.AttemptTimeout = attemptTimeout
		c.StopOnFinalRefusal = true
	}
	return out
}

// end stops the load and waits for the requests that are under way.
func (s *steady) end() {
	s.stop()
	s.calls.close()
	s.jobs.close()
	s.giveUp()
}

func (b *bench) leader(ctx context.Context) (*harness.Process, error) {
	status, err := b.op.Status(ctx)
	if err != nil {
		return nil, err
	}
	for _, store := range b.fleet.Stores {
		if store.Advertised == status.GetLeader() {
			return store, nil
		}
	}
	return nil, ErrNoLeader
}

// measureFaults kills and freezes the leader and cuts a data centre off, one
// after the other under a steady load.
func measureFaults(ctx context.Context, b *bench) error {
	s := b.startSteady(ctx, "steady")
	wait.For(ctx, faultSettle)
	windows := map[string]interval{}
	names := []string{"no fault", "leader killed", "leader frozen", "data centre cut"}
	steps := []func(context.Context) error{b.noFault, b.killLeader, b.freezeLeader, b.cutOne}
	for i, step := range steps {
		began := time.Now().Add(-faultBefore)
		if err := step(ctx); err != nil {
			s.stop()
			return errors.Wrap(err, names[i])
		}
		wait.For(ctx, time.Until(began.Add(faultObserved)))
		windows[names[i]] = interval{began, time.Now()}
		wait.For(ctx, faultSettle)
	}
	s.end()
	for _, name := range names {
		b.reportFault(name, "calls", windows[name], s.calls.calls.all)
		b.reportFault(name, "jobs", windows[name], s.jobs.jobs.all)
	}
	return nil
}

func (b *bench) noFault(context.Context) error { return nil }

func (b *bench) killLeader(ctx context.Context) error {
	store, err := b.leader(ctx)
	if err != nil {
		return err
	}
	store.Kill()
	wait.For(ctx, frozenFor)
	return store.Start()
}

func (b *bench) freezeLeader(ctx context.Context) error {
	store, err := b.leader(ctx)
	if err != nil {
		return err
	}
	if err := store.Pause(); err != nil {
		return err
	}
	wait.For(ctx, frozenFor)
	return store.Resume()
}

func (b *bench) cutOne(ctx context.Context) error {
	dcs := harness.SortedKeys(b.cfg.DataCentres)
	if err := b.fleet.SetFaults(ctx, b.fleet.IsolationRules(dcs[len(dcs)-1])...); err != nil {
		return err
	}
	wait.For(ctx, cutFor)
	return b.fleet.SetFaults(ctx)
}

// reportFault adds the distribution of the time to the right answer of the
// requests that began in a window.
func (b *bench) reportFault(fault, kind string, w interval, all []sample) {
	hist := newTimes()
	asked := 0
	for _, s := range all {
		if s.start.Before(w.from) || s.start.After(w.to) {
			continue
		}
		asked++
		if s.right {
			hist.record(s.took())
		}
	}
	name := fault + ": time to the right answer of " + kind + ", "
	for _, p := range []struct {
		label string
		at    float64
	}{{"median", 50}, {"90%", 90}, {"99%", 99}, {"largest", 100}} {
		b.value(Value{Name: name + p.label, Unit: "s", Value: hist.seconds(p.at), Samples: hist.n()})
	}
	b.value(Value{Name: fault + ": " + kind + " answered right before their caller gave up", Unit: "part", Value: ratio(float64(hist.n()), float64(asked)), Samples: asked})
	gap := longestGap(all, w.from, w.to)
	b.value(Value{Name: fault + ": longest time without a right answer of " + kind, Unit: "s", Value: gap.Seconds(), Samples: hist.n()})
}
