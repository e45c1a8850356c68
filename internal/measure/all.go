package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/backendsim"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/simworker"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	waveJobs      = 60
	waveDelay     = 200 * time.Millisecond
	watchPeriod   = 500 * time.Millisecond
	allPause      = 600 * time.Millisecond
	withdrawnTime = 3500 * time.Millisecond
	stopLimit     = 15 * time.Second
	burstCalls    = 16
	allPlan       = "measured-faults"
)

// mixedFaults are the faults of one backend server.
var mixedFaults = backendsim.Faults{LateShare: 0.2, LateMS: 600, CrossedShare: 0.1, TruncatedShare: 0.1}

// allFaults is the state of the part with all faults together.
type allFaults struct {
	*bench
	cut      string
	leader   *harness.Process
	frozen   *harness.Process
	stopped  *harness.Process
	majority *harness.Operator
	// withdrawn is the team whose key is withdrawn.
	withdrawn string
	running   sync.WaitGroup
}

// measureAll lets all faults overlap and checks the recorded history.
func measureAll(ctx context.Context, b *bench) error {
	began := time.Now()
	f := b.planFaults()
	loading, stop := context.WithCancel(ctx)
	defer stop()
	harness.StartLoad(loading, &f.running, b.fleet, b.cfg, b.keys, b.record)
	f.watch(loading)
	s := b.startSteady(ctx, "all")
	err := f.play(ctx)
	w := interval{began, time.Now()}
	s.end()
	stop()
	f.running.Wait()
	if err != nil {
		return err
	}
	b.awaitIdle()
	for _, l := range []*samples{s.calls.calls, s.jobs.jobs} {
		l.all = slices.DeleteFunc(l.all, func(x sample) bool { return x.team == f.withdrawn })
	}
	b.reportFault("all faults", "calls", w, s.calls.calls.all)
	b.reportFault("all faults", "jobs", w, s.jobs.jobs.all)
	return b.judge(began)
}

func (b *bench) planFaults() *allFaults {
	dcs := harness.SortedKeys(b.cfg.DataCentres)
	f := &allFaults{bench: b, cut: dcs[len(dcs)-1], withdrawn: b.teams()[len(b.teams())-1]}
	var reachable []*harness.Process
	for _, e := range b.fleet.Entries {
		switch {
		case e.DataCentre == f.cut:
		case f.stopped == nil:
			f.stopped = e
			reachable = append(reachable, e)
		case f.frozen == nil:
			f.frozen = e
		default:
			reachable = append(reachable, e)
		}
	}
	f.majority = harness.NewOperator("majority", harness.NewBalancer(reachable, seed), b.record)
	return f
}

// play lets the faults begin one after the other, each while earlier ones last.
func (f *allFaults) play(ctx context.Context) error {
	steps := []func(context.Context) error{
		f.breakBackend, f.breakWorker, f.maintain, f.killLeader, f.freezeEntry, f.cancelWave,
		f.cutOff, f.restartLeader, f.withdraw, f.thawEntry, f.heal, f.stopBoth,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
		wait.For(ctx, allPause)
	}
	return ctx.Err()
}

// watch records the configuration revision that each entry shows.
func (f *allFaults) watch(ctx context.Context) {
	for _, e := range f.fleet.Entries {
		op := harness.NewOperator("watch-"+e.Name, harness.NewBalancer([]*harness.Process{e}, 1), f.record)
		f.running.Go(func() {
			for ctx.Err() == nil {
				status, err := op.Status(ctx)
				if err == nil {
					f.record.Record(history.Event{Kind: history.RevisionSeen, Entry: e.Name, Revision: status.GetRevision()})
				}
				wait.For(ctx, watchPeriod)
			}
		})
	}
}

func (f *allFaults) breakBackend(ctx context.Context) error {
	body, err := json.Marshal(mixedFaults)
	if err != nil {
		return errors.Wrap(err, "measure: faults")
	}
	broken := f.fleet.Backends[len(f.fleet.Backends)-1]
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+broken.Address+"/faults", bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "measure: faults")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "measure: faults")
	}
	return resp.Body.Close()
}

// breakWorker restarts a worker of the main pool that then fails every task.
func (f *allFaults) breakWorker(context.Context) error {
	for _, w := range f.fleet.Workers {
		if f.cfg.Instances[w.Name].Pool != f.main {
			continue
		}
		data, err := os.ReadFile(filepath.Join(w.Folder, "settings.json"))
		if err != nil {
			return errors.Wrap(err, "measure: worker")
		}
		var cfg simworker.Config
		if err := json.Unmarshal(data, &cfg); err != nil {
			return errors.Wrap(err, "measure: worker")
		}
		cfg.FailAll = true
		f.record.Record(history.Event{Kind: history.Killed, Target: w.Name})
		w.Kill()
		if err := w.Configure(cfg); err != nil {
			return err
		}
		return w.Start()
	}
	return nil
}

func (f *allFaults) maintain(ctx context.Context) error {
	return f.op.StartMaintenance(ctx, allPlan, f.second, drainTimeout)
}

func (f *allFaults) killLeader(ctx context.Context) error {
	var err error
	if f.leader, err = f.bench.leader(ctx); err != nil {
		return err
	}
	f.record.Record(history.Event{Kind: history.Killed, Target: f.leader.Name})
	f.leader.Kill()
	return nil
}

func (f *allFaults) restartLeader(context.Context) error { return f.leader.Start() }

func (f *allFaults) freezeEntry(context.Context) error { return f.frozen.Pause() }

func (f *allFaults) thawEntry(context.Context) error { return f.frozen.Resume() }

// cancelWave submits jobs and cancels all of them shortly afterwards.
func (f *allFaults) cancelWave(ctx context.Context) error {
	callers := f.callers("wave")
	for _, c := range callers {
		c.Record = f.record
		c.Attempts = attempts
		c.AttemptTimeout = 3 * time.Second
	}
	for i := range waveJobs {
		c := callers[i%len(callers)]
		id := c.NextID()
		f.running.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, steadyGiveUp)
			defer cancel()
			c.JobWithID(ctx, id, f.normal, jobShape{cpuMilli: burstJobCPU, run: burstJobRun, idempotent: i%2 == 0}.spec())
		})
		f.running.Go(func() {
			wait.For(ctx, waveDelay)
			c.Cancel(ctx, id)
		})
	}
	return nil
}

func (f *allFaults) cutOff(ctx context.Context) error {
	return f.fleet.SetFaults(ctx, f.fleet.IsolationRules(f.cut)...)
}

func (f *allFaults) heal(ctx context.Context) error { return f.fleet.SetFaults(ctx) }

// withdraw withdraws a key while a data centre is cut off.
func (f *allFaults) withdraw(ctx context.Context) error {
	if err := f.majority.WithdrawKey(ctx, f.keys[f.withdrawn].ID); err != nil {
		return err
	}
	wait.For(ctx, withdrawnTime)
	return nil
}

// stopBoth stops a backend server and an entry by plan.
func (f *allFaults) stopBoth(ctx context.Context) error {
	backend := make(chan error, 1)
	go func() { backend <- f.stopBackend() }()
	err := f.stopEntry(ctx)
	if other := <-backend; err == nil {
		err = other
	}
	return err
}

func (f *allFaults) stopBackend() error {
	b := f.fleet.Backends[0]
	f.record.Record(history.Event{Kind: history.Terminated, Target: b.Name})
	return errors.Wrap(b.Terminate(stopLimit), b.Name)
}

func (f *allFaults) stopEntry(ctx context.Context) error {
	var burst sync.WaitGroup
	defer burst.Wait()
	harness.Burst(ctx, &burst, f.stopped, f.cfg, burstCalls, f.record)
	f.record.Record(history.Event{Kind: history.Terminated, Target: f.stopped.Name})
	return errors.Wrap(f.stopped.Terminate(stopLimit), f.stopped.Name)
}

// judge checks what was recorded since a time against the ten invariants.
func (b *bench) judge(began time.Time) error {
	b.fleet.Stop()
	var events []history.Event
	for _, path := range append(b.fleet.HistoryFiles(), b.path) {
		more, err := history.Read(path)
		if err != nil {
			return err
		}
		events = append(events, more...)
	}
	events = slices.DeleteFunc(events, func(e history.Event) bool { return e.UnixNS < began.UnixNano() })
	b.run.Invariants = history.Check(harness.CheckerFleet(b.cfg), events)
	observed, violations := 0, 0
	for _, row := range b.run.Invariants {
		observed += row.Observed
		violations += row.Violations
	}
	b.value(Value{Name: "violations of the ten invariants", Unit: "violations", Value: float64(violations), Samples: observed, Target: atMost(0)})
	return nil
}
