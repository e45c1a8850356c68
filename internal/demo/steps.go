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
	// burstCalls is the number of calls of each open service that are in flight when
	// an entry receives SIGTERM.
	burstCalls = 16
)

// ErrStep is returned when the leader is none of the stores or when maintenance does
// not end within 25 s.
var ErrStep = errors.New("demo: step failed")

func (s *scenario) startMaintenance(ctx context.Context) error {
	pool := s.largestWorkerPool()
	s.progressf("maintenance of pool %s begins", pool)
	return s.op.StartMaintenance(ctx, planName, pool, drainTimeout)
}

// largestWorkerPool returns the pool with the most workers, without spare pools.
func (s *scenario) largestWorkerPool() string {
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
	deadline := time.Now().Add(maintenanceTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		status, err := s.op.Status(ctx)
		if err != nil {
			return err
		}
		for _, p := range status.GetPlans() {
			if p.GetName() == planName && p.GetState() == string(fleet.PlanDone) {
				s.progressf("maintenance done, %d instances rebooted", len(p.GetCompleted()))
				return nil
			}
		}
		wait.For(ctx, pollInterval)
	}
	return errors.Wrap(ErrStep, "maintenance did not end in time")
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
		s.progressf("leader %s killed with SIGKILL", store.Name)
		wait.For(ctx, leaderDowntime)
		return store.Start()
	}
	return errors.Wrapf(ErrStep, "leader %q is not among the stores", status.GetLeader())
}

func (s *scenario) isolateDataCentre(ctx context.Context) error {
	dcs := s.dataCentres()
	cut := dcs[len(dcs)-1]
	if err := s.fleet.SetFaults(ctx, s.fleet.IsolationRules(cut)...); err != nil {
		return err
	}
	s.progressf("data centre %s cut off", cut)
	wait.For(ctx, isolationTime)
	if err := s.fleet.SetFaults(ctx); err != nil {
		return err
	}
	s.progressf("data centre %s reachable again", cut)
	wait.For(ctx, recoveryWait)
	return nil
}

func (s *scenario) withdrawKey(ctx context.Context) error {
	team := s.teams()[len(s.keys)-1]
	if err := s.op.WithdrawKey(ctx, s.keys[team].ID); err != nil {
		return err
	}
	s.progressf("key of team %s withdrawn", team)
	wait.For(ctx, withdrawWait)
	return nil
}

func (s *scenario) stopEntry(ctx context.Context) error {
	entry := s.fleet.Entries[0]
	var burst sync.WaitGroup
	defer burst.Wait()
	harness.Burst(ctx, &burst, entry, s.cfg, burstCalls, s.record)
	s.record.Record(history.Event{Kind: history.Terminated, Target: entry.Name})
	s.progressf("entry %s asked to stop", entry.Name)
	if err := entry.Terminate(stopTimeout); err != nil {
		return errors.Wrapf(err, "demo: stop entry %s", entry.Name)
	}
	return entry.Start()
}

func (s *scenario) stopBackend(ctx context.Context) error {
	backend := s.fleet.Backends[0]
	s.record.Record(history.Event{Kind: history.Terminated, Target: backend.Name})
	s.progressf("backend server %s asked to stop", backend.Name)
	return errors.Wrapf(backend.Terminate(stopTimeout), "demo: stop backend server %s", backend.Name)
}

func (s *scenario) teams() []string { return harness.SortedKeys(s.cfg.Teams) }

func (s *scenario) dataCentres() []string { return harness.SortedKeys(s.cfg.DataCentres) }
