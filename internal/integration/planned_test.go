package integration

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
)

const (
	stopLimit = 30 * time.Second
	planLimit = 90 * time.Second
)

// Guards against requests that a graceful stop of an entry, a backend server or
// a store cuts off.
func TestPlannedStopsCutOffNothing(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	for _, p := range []int{0, 3} {
		entry := e.fleet.Entries[p]
		harness.Burst(e.ctx, &e.load, entry, e.cfg, 16, e.record)
		e.record.Record(history.Event{Kind: history.Terminated, Target: entry.Name})
		require.NoError(t, entry.Terminate(stopLimit))
		require.NoError(t, entry.Start())
		require.NoError(t, e.fleet.WaitHTTP(e.ctx, entry, "http://"+entry.Address+"/readyz"))
	}
	backend := e.fleet.Backends[0]
	e.record.Record(history.Event{Kind: history.Terminated, Target: backend.Name})
	require.NoError(t, backend.Terminate(stopLimit))
	leader := e.leader()
	require.NoError(t, leader.Terminate(stopLimit))
	require.NoError(t, leader.Start())
	e.run(settleTime)
	rows := e.check()
	require.Positive(t, rows[8].Observed, "no request was in flight at a planned stop")
}

// Guards against a wave that passes a budget, ends without having rebooted every
// instance, or costs a running job its answer.
func TestMaintenanceRebootsPoolWithinBudget(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	require.NoError(t, e.op.StartMaintenance(e.ctx, "wave", "reconcile", 10*time.Second))
	require.Eventually(t, func() bool {
		status, err := e.op.Status(e.ctx)
		if err != nil {
			return false
		}
		for _, p := range status.GetPlans() {
			if p.GetName() == "wave" && p.GetState() == string(fleet.PlanDone) {
				return true
			}
		}
		return false
	}, planLimit, 200*time.Millisecond)
	rows := e.check()
	require.GreaterOrEqual(t, rows[0].Observed, 6, "fewer drains than instances of the pool")
}

// Guards against a plan on backend servers that never sees their reboot, or that
// gives an instance to the platform while a call still runs there.
func TestMaintenanceSeesRebootOfBackendServer(t *testing.T) {
	e := start(t, nil)
	e.startLoad()
	require.NoError(t, e.op.StartMaintenance(e.ctx, "wave", "shopfront", 10*time.Second))
	name := ""
	e.await(func(status *samphireforkv1.StatusResponse) bool {
		for _, in := range status.GetInstances() {
			if in.GetPhase() == string(fleet.PhaseRebooting) {
				name = in.GetInstance()
			}
		}
		return name != ""
	})
	e.reboot(name)
	e.await(func(status *samphireforkv1.StatusResponse) bool {
		return slices.Contains(status.GetPlans()[0].GetCompleted(), name)
	})
	e.check()
}

// await waits until the status meets a condition.
func (e *env) await(cond func(*samphireforkv1.StatusResponse) bool) {
	require.Eventually(e.t, func() bool {
		status, err := e.op.Status(e.ctx)
		return err == nil && cond(status)
	}, planLimit, 200*time.Millisecond)
}

// reboot restarts a backend server as the platform does.
func (e *env) reboot(name string) {
	for _, p := range e.fleet.Backends {
		if p.Name != name {
			continue
		}
		e.record.Record(history.Event{Kind: history.Terminated, Target: name})
		require.NoError(e.t, p.Terminate(stopLimit))
		require.NoError(e.t, p.Start())
	}
}
