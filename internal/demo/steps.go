package demo

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	planName     = "demo-reboot"
	drainTimeout = 5 * time.Second
	// burstCalls are in flight when an entry is asked to stop.
	burstCalls = 16
)

// ErrStep is returned when a step of the scenario had no effect.
var ErrStep = errors.New("demo: step failed")

func (s *scenario) startMaintenance(ctx context.Context) error {
	pool := s.maintainedPool()
	s.say("maintenance of pool %s begins", pool)
	return s.op.StartMaintenance(ctx, planName, pool, drainTimeout)
}

// maintainedPool returns the largest pool of workers.
func (s *scenario) maintainedPool() string {
	sizes := map[string]int{}
	best := ""
	for _, name := range harness.SortedKeys(s.cfg.Instances) {
		i := s.cfg.Instances[name]
		if i.Kind != fleet.KindWorker || s.cfg.Pools[i.Pool].Spare {
			continue
		}
		sizes[i.Pool]++
		if best == "" || sizes[i.Pool] > sizes[best] {
			best = i.Pool
		}
	}
	return best
}

func (s *scenario) awaitMaintenance(ctx context.Context) error {
	deadline := time.Now().Add(planLimit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		status, err := s.op.Status(ctx)
		if err != nil {
			return err
		}
		for _, p := range status.GetPlans() {
			if p.GetName() == planName && p.GetState() == string(fleet.PlanDone) {
				s.say("maintenance done, %d instances rebooted", len(p.GetCompleted()))
				return nil
			}
		}
		wait.For(ctx, watchPeriod)
	}
	return errors.Wrap(ErrStep, "maintenance did not end")
}

func (s *scenario) killLeader(ctx context.Context) error {
	status, err := s.op.Status(ctx)
	if err != nil {
		return err
	}
	for _, store := range s.fleet.Stores {
		if store.Advertised != status.GetLeader() {
			continue
		}
		s.record.Record(history.Event{Kind: history.Killed, Target: store.Name})
		store.Kill()
		s.say("leader %s killed with SIGKILL", store.Name)
		wait.For(ctx, leaderDown)
		return store.Start()
	}
	return errors.Wrapf(ErrStep, "leader %q is none of the stores", status.GetLeader())
}

func (s *scenario) cutDataCentre(ctx context.Context) error {
	dcs := s.dataCentres()
	cut := dcs[len(dcs)-1]
	if err := s.fleet.SetFaults(ctx, s.fleet.IsolationRules(cut)...); err != nil {
		return err
	}
	s.say("data centre %s cut off", cut)
	wait.For(ctx, cutTime)
	if err := s.fleet.SetFaults(ctx); err != nil {
		return err
	}
	s.say("data centre %s reachable again", cut)
	wait.For(ctx, afterHeal)
	return nil
}

func (s *scenario) withdrawKey(ctx context.Context) error {
	team := s.teams()[len(s.keys)-1]
	if err := s.op.WithdrawKey(ctx, s.keys[team].ID); err != nil {
		return err
	}
	s.say("key of team %s withdrawn", team)
	wait.For(ctx, withdrawWait)
	return nil
}

func (s *scenario) stopEntry(ctx context.Context) error {
	entry := s.fleet.Entries[0]
	var burst sync.WaitGroup
	defer burst.Wait()
	harness.Burst(ctx, &burst, entry, s.cfg, burstCalls, s.record)
	s.record.Record(history.Event{Kind: history.Terminated, Target: entry.Name})
	s.say("entry %s asked to stop", entry.Name)
	if err := entry.Terminate(stopLimit); err != nil {
		return errors.Wrapf(err, "demo: %s", entry.Name)
	}
	return entry.Start()
}

func (s *scenario) stopBackend(ctx context.Context) error {
	backend := s.fleet.Backends[0]
	s.record.Record(history.Event{Kind: history.Terminated, Target: backend.Name})
	s.say("backend server %s asked to stop", backend.Name)
	return errors.Wrapf(backend.Terminate(stopLimit), "demo: %s", backend.Name)
}

func (s *scenario) teams() []string { return harness.SortedKeys(s.cfg.Teams) }

func (s *scenario) dataCentres() []string { return harness.SortedKeys(s.cfg.DataCentres) }
