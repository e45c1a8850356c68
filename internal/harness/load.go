package harness

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/simworker"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	callTimeout  = 2 * time.Second
	callPause    = 40 * time.Millisecond
	jobPause     = 100 * time.Millisecond
	maxRunMS     = 400
	callAttempts = 4
	bodyBytes    = 200
)

// TeamKey is an issued key of a team and its identifier.
type TeamKey struct {
	ID  string
	Key string
}

// IssueKeys issues a key to each declared team and returns the keys by team.
func (o *Operator) IssueKeys(ctx context.Context, cfg fleet.Config) (map[string]TeamKey, error) {
	keys := map[string]TeamKey{}
	for _, team := range SortedKeys(cfg.Teams) {
		id, key, err := o.IssueKey(ctx, team)
		if err != nil {
			return nil, err
		}
		keys[team] = TeamKey{ID: id, Key: key}
	}
	return keys, nil
}

// StartLoad starts one caller for each team, which sends calls and jobs to all
// entries until ctx ends. About half of the requests are idempotent. In each data
// centre, two further callers use only the entries of that data centre: one with a
// team's key, and one without a key that calls open services. The goroutines are
// added to running.
func StartLoad(ctx context.Context, running *sync.WaitGroup, f *Fleet, cfg fleet.Config, keys map[string]TeamKey, record *history.Writer) {
	l := &loader{cfg: cfg, running: running}
	teams := SortedKeys(cfg.Teams)
	for i, team := range teams {
		seed := uint64(i + 1)
		c := NewCaller(team, keys[team].ID, keys[team].Key, NewBalancer(f.Entries, seed), record, "any")
		l.start(ctx, c, seed)
	}
	for i, dc := range SortedKeys(cfg.DataCentres) {
		team := teams[i%len(teams)]
		c := NewCaller(team, keys[team].ID, keys[team].Key, NewBalancer(f.EntriesOf(dc), uint64(i)), record, "local-"+dc)
		c.HomeDataCentre = dc
		l.start(ctx, c, uint64(100+i))
		l.startOpen(ctx, NewCaller("", "", "", c.Balancer, record, "open-"+dc), dc, uint64(200+i))
	}
}

// OpenTargets maps the name of each queue and service to whether it takes requests
// without a key.
func OpenTargets(cfg fleet.Config) map[string]bool {
	open := map[string]bool{}
	for name, q := range cfg.Queues {
		open[name] = q.Open
	}
	for name, v := range cfg.Services {
		open[name] = v.Open
	}
	return open
}

// Burst sends the given number of concurrent calls of each open service to one
// entry. It returns when all requests have been written; running is done when all
// calls have ended.
func Burst(ctx context.Context, running *sync.WaitGroup, entry *Process, cfg fleet.Config, calls int, record *history.Writer) {
	c := NewCaller("", "", "", NewBalancer([]*Process{entry}, 1), record, "burst-"+entry.Name)
	c.Open = OpenTargets(cfg)
	var sent sync.WaitGroup
	for _, service := range SortedKeys(cfg.Services) {
		if !cfg.Services[service].Open {
			continue
		}
		for range calls {
			sent.Add(1)
			running.Go(func() { c.callNotifyWritten(ctx, service, sent.Done) })
		}
	}
	sent.Wait()
}

type loader struct {
	cfg     fleet.Config
	running *sync.WaitGroup
}

func (l *loader) start(ctx context.Context, c *Caller, seed uint64) {
	c.Attempts = callAttempts
	c.Open = OpenTargets(l.cfg)
	services := SortedKeys(l.cfg.Services)
	l.running.Go(func() { l.callLoop(ctx, c, rand.New(rand.NewPCG(seed, 1)), services) })
	l.running.Go(func() { l.jobLoop(ctx, c, rand.New(rand.NewPCG(seed, 2))) })
}

// startOpen starts a caller that calls only open services. In a data centre that is
// cut off it continues to call, while callers with a key wait for retry times.
func (l *loader) startOpen(ctx context.Context, c *Caller, dataCentre string, seed uint64) {
	c.Open = OpenTargets(l.cfg)
	c.HomeDataCentre = dataCentre
	var open []string
	for _, name := range SortedKeys(l.cfg.Services) {
		if c.Open[name] {
			open = append(open, name)
		}
	}
	l.running.Go(func() { l.callLoop(ctx, c, rand.New(rand.NewPCG(seed, 1)), open) })
}

func (l *loader) callLoop(ctx context.Context, c *Caller, rng *rand.Rand, services []string) {
	for ctx.Err() == nil {
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(rng.IntN(256))
		}
		service := services[rng.IntN(len(services))]
		c.Call(context.WithoutCancel(ctx), service, body, rng.IntN(2) == 0, callTimeout)
		wait.For(ctx, callPause)
	}
}

func (l *loader) jobLoop(ctx context.Context, c *Caller, rng *rand.Rand) {
	queues := SortedKeys(l.cfg.Queues)
	for ctx.Err() == nil {
		run := 1 + rng.Int64N(maxRunMS)
		payload, _ := json.Marshal(simworker.Payload{RunMS: run})
		spec := fleet.JobSpec{
			Size:       fleet.Resources{CPUMilli: 500 + rng.Int64N(1500), MemoryMiB: 256},
			RunTimeMS:  run,
			Idempotent: rng.IntN(2) == 0,
			Payload:    payload,
		}
		c.Job(ctx, queues[rng.IntN(len(queues))], spec)
		wait.For(ctx, jobPause)
	}
}
