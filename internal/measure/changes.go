package measure

import (
	"context"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	probePeriod   = 25 * time.Millisecond
	probeBefore   = 400 * time.Millisecond
	probeAfter    = 700 * time.Millisecond
	probeLimit    = 1500 * time.Millisecond
	changeSamples = 2
	storeDown     = time.Second
	inForceBound  = 7.0
	withdrawBound = 3.0
)

// probe is one call with a key through one entry.
type probe struct {
	entry    string
	sent     time.Time
	admitted bool
	code     string
}

// changeResult is one key that was issued, used through every entry, and withdrawn.
type changeResult struct {
	inForce   time.Duration
	withdrawn time.Duration
	// early is the number of entries that did not know the key in the first call
	// after the change was said to be in force.
	early  int
	probes int
}

// measureChanges issues and withdraws keys when idle, under load, and right after
// the leader was killed.
func measureChanges(ctx context.Context, b *bench) error {
	if err := b.changeCase(ctx, "idle", false); err != nil {
		return err
	}
	s := b.startSteady(ctx, "change")
	defer s.end()
	defer s.giveUp()
	wait.For(ctx, faultSettle)
	if err := b.changeCase(ctx, "under load", false); err != nil {
		return err
	}
	return b.changeCase(ctx, "leader killed, under load", true)
}

func (b *bench) changeCase(ctx context.Context, name string, kill bool) error {
	var results []changeResult
	for range changeSamples {
		r, err := b.changeOnce(ctx, kill)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	inForce, withdrawn := newTimes(), newTimes()
	early, probes := 0, 0
	for _, r := range results {
		inForce.record(r.inForce)
		withdrawn.record(r.withdrawn)
		early += r.early
		probes += r.probes
	}
	b.value(Value{Name: name + ": change in force everywhere, slowest", Unit: "s", Value: inForce.seconds(100), Samples: inForce.n(), Target: atMost(inForceBound)})
	b.value(Value{Name: name + ": entries that did not know a new key after it was in force", Unit: "entries", Value: float64(early), Samples: len(results) * len(b.fleet.Entries), Target: atMost(0)})
	b.value(Value{Name: name + ": last call admitted after the request to withdraw its key, slowest", Unit: "s", Value: withdrawn.seconds(100), Samples: probes, Target: atMost(withdrawBound)})
	return nil
}

// changeOnce issues a key, calls with it through every entry, and withdraws it.
// With kill, the leader is killed right before each of the two changes.
func (b *bench) changeOnce(ctx context.Context, kill bool) (changeResult, error) {
	var r changeResult
	team := b.teams()[0]
	restart, err := b.killFor(ctx, kill)
	if err != nil {
		return r, err
	}
	began := time.Now()
	id, key, err := b.op.IssueKey(ctx, team)
	restart()
	if err != nil {
		return r, err
	}
	r.inForce = time.Since(began)
	probing, endProbes := context.WithCancel(ctx)
	defer endProbes()
	probes := b.startProbes(probing, team, id, key)
	wait.For(ctx, probeBefore)
	if restart, err = b.killFor(ctx, kill); err != nil {
		return r, err
	}
	asked := time.Now()
	err = b.op.WithdrawKey(ctx, id)
	restart()
	if err != nil {
		return r, err
	}
	wait.For(ctx, probeAfter)
	endProbes()
	r.take(probes(), asked)
	return r, nil
}

// killFor kills the leader and returns a function that starts it again.
func (b *bench) killFor(ctx context.Context, kill bool) (func(), error) {
	if !kill {
		return func() {}, nil
	}
	store, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	store.Kill()
	return func() {
		_ = store.Start()
		wait.For(ctx, storeDown)
	}, nil
}

func (r *changeResult) take(probes []probe, asked time.Time) {
	r.probes = len(probes)
	first := map[string]probe{}
	for _, p := range probes {
		if f, ok := first[p.entry]; !ok || p.sent.Before(f.sent) {
			first[p.entry] = p
		}
		if p.admitted && p.sent.After(asked) {
			r.withdrawn = max(r.withdrawn, p.sent.Sub(asked))
		}
	}
	for _, p := range first {
		if p.code == string(api.CodeKeyUnknown) {
			r.early++
		}
	}
}

// startProbes calls a service through every entry until ctx ends. The returned
// function waits for the calls and returns them.
func (b *bench) startProbes(ctx context.Context, team, id, key string) func() []probe {
	var mu sync.Mutex
	var all []probe
	var running sync.WaitGroup
	for i, entry := range b.fleet.Entries {
		c := harness.NewCaller(team, id, key, harness.NewBalancer([]*harness.Process{entry}, 1), nil, "probe-"+id+"-"+entry.Name)
		c.AttemptTimeout = probeLimit
		service := b.services[i%len(b.services)]
		running.Go(func() {
			defer c.Close()
			for ctx.Err() == nil {
				p := probe{entry: entry.Name, sent: time.Now()}
				out := c.Call(context.WithoutCancel(ctx), service, []byte(bodyText), true, callLimit)
				p.admitted, p.code = out.Verdict == string(api.Done), out.Code
				mu.Lock()
				all = append(all, p)
				mu.Unlock()
				wait.For(ctx, probePeriod)
			}
		})
	}
	return func() []probe {
		running.Wait()
		return all
	}
}
