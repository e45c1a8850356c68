// Package integration runs fleets of real processes through faults and checks
// the recorded histories against the invariants of the design.
package integration

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
)

var binFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries under test, so that a test never runs old ones.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "samphire-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	build := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binFolder = dir
	return m.Run()
}

const settleTime = 3 * time.Second

// env is a running fleet under load.
type env struct {
	t      *testing.T
	ctx    context.Context
	cfg    fleet.Config
	fleet  *harness.Fleet
	op     *harness.Operator
	record *history.Writer
	path   string
	keys   map[string]harness.TeamKey

	stopLoad context.CancelFunc
	load     sync.WaitGroup
}

// start starts the example fleet, applies its declarations and issues keys.
func start(t *testing.T, change func(*harness.Options)) *env {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	cfg, err := declare.Load("../../examples/carregaguia")
	require.NoError(t, err)
	dir := t.TempDir()
	opts, err := harness.FleetOptions(cfg, binFolder, dir)
	require.NoError(t, err)
	if change != nil {
		change(&opts)
	}
	f, err := harness.Start(ctx, opts)
	require.NoError(t, err)
	t.Cleanup(func() { f.Stop(); keepLogs(t, f) })

	e := &env{t: t, ctx: ctx, cfg: cfg, fleet: f, path: filepath.Join(dir, "callers.jsonl")}
	e.record, err = history.NewWriter(e.path, "test")
	require.NoError(t, err)
	t.Cleanup(func() { _ = e.record.Close() })
	e.op = harness.NewOperator("test", harness.NewBalancer(f.Entries, 1), e.record)
	require.NoError(t, e.op.ApplyConfig(ctx, cfg))
	e.keys, err = e.op.IssueKeys(ctx, cfg)
	require.NoError(t, err)
	return e
}

// keepLogs prints the end of each process's log when the test has failed.
func keepLogs(t *testing.T, f *harness.Fleet) {
	if !t.Failed() {
		return
	}
	for _, p := range append(f.Stores, f.Entries...) {
		data, err := os.ReadFile(filepath.Join(p.Folder, "log"))
		if err == nil {
			t.Logf("log of %s:\n%s", p.Name, data[max(0, len(data)-2000):])
		}
	}
}

func (e *env) startLoad() {
	ctx, cancel := context.WithCancel(e.ctx)
	e.stopLoad = cancel
	harness.StartLoad(ctx, &e.load, e.fleet, e.cfg, e.keys, e.record)
}

// check ends the load and requires that no invariant was violated. It returns
// the rows for further conditions.
func (e *env) check() []history.Row {
	e.t.Helper()
	if e.stopLoad != nil {
		e.stopLoad()
		e.load.Wait()
	}
	e.fleet.Stop()
	events, err := history.Read(e.path)
	require.NoError(e.t, err)
	for _, path := range e.fleet.HistoryFiles() {
		more, err := history.Read(path)
		require.NoError(e.t, err)
		events = append(events, more...)
	}
	rows := history.Check(harness.CheckerFleet(e.cfg), events)
	for _, r := range rows {
		require.Zero(e.t, r.Violations, "invariant %d, %s: %v", r.Number, r.Invariant, r.Examples)
	}
	return rows
}

// leader returns the store that leads, as the entries know it.
func (e *env) leader() *harness.Process {
	e.t.Helper()
	status, err := e.op.Status(e.ctx)
	require.NoError(e.t, err)
	for _, s := range e.fleet.Stores {
		if s.Advertised == status.GetLeader() {
			return s
		}
	}
	require.FailNow(e.t, "leader is none of the stores", status.GetLeader())
	return nil
}

// term returns the term of the leader.
func (e *env) term() uint64 {
	e.t.Helper()
	status, err := e.op.Status(e.ctx)
	require.NoError(e.t, err)
	return status.GetTerm()
}

// run lets the load go on for a while; no condition depends on its length.
func (e *env) run(d time.Duration) {
	select {
	case <-time.After(d):
	case <-e.ctx.Done():
	}
}

// setTeamLimit is a small change of configuration.
func (e *env) setTeamLimit(team string, limit int64) error {
	share := int64(e.cfg.Teams[team].Share)
	put := &samphireforkv1.Team{Name: team, Share: share, Limit: limit}
	item := &samphireforkv1.ChangeItem{Item: &samphireforkv1.ChangeItem_PutTeam{PutTeam: put}}
	return e.op.Apply(e.ctx, []*samphireforkv1.ChangeItem{item})
}
