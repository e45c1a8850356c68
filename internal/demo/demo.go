// Package demo runs a small fleet of real processes under load, injects faults,
// carries out maintenance, and checks the recorded history against the ten
// invariants.
package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	runTimeout = 55 * time.Second

	warmUp             = 2 * time.Second
	leaderDowntime     = 2 * time.Second
	isolationTime      = 5 * time.Second
	recoveryWait       = 2 * time.Second
	withdrawWait       = 5 * time.Second
	maintenanceTimeout = 25 * time.Second
	stopTimeout        = 15 * time.Second
	pollInterval       = 500 * time.Millisecond
)

// ErrViolation is returned when an invariant was violated, or when no event of the
// run tested it.
var ErrViolation = errors.New("demo: an invariant was violated or never observed")

// Options names the folders of the binaries, of the example declarations and of the
// files of the run, and the writer for progress and results.
type Options struct {
	Bin      string
	Examples string
	Dir      string
	Out      io.Writer
}

// scenario is one run of the demo.
type scenario struct {
	opts     Options
	cfg      fleet.Config
	fleet    *harness.Fleet
	op       *harness.Operator
	balancer *harness.Balancer
	record   *history.Writer
	keys     map[string]harness.TeamKey
	began    time.Time
}

// Run starts the fleet, runs the steps of the scenario under load, and prints a row
// for each invariant. It returns ErrViolation when an invariant was violated or never
// observed, ErrStep when a step had no effect, or the error that ended the run. The
// run is limited to 55 s. All processes of the fleet have exited when Run returns.
func Run(ctx context.Context, opts Options) error {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	s := &scenario{opts: opts, keys: map[string]harness.TeamKey{}, began: time.Now()}
	var err error
	if s.cfg, err = declare.Load(opts.Examples); err != nil {
		return err
	}
	if s.record, err = history.NewWriter(filepath.Join(opts.Dir, "callers.jsonl"), "driver"); err != nil {
		return err
	}
	defer func() { _ = s.record.Close() }()
	if err := s.start(ctx); err != nil {
		return err
	}
	defer s.fleet.Stop()
	if err := s.runSteps(ctx); err != nil {
		return err
	}
	s.fleet.Stop()
	return s.checkHistory()
}

func (s *scenario) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.opts.Out, "%5.1fs  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) start(ctx context.Context) error {
	options, err := harness.FleetOptions(s.cfg, s.opts.Bin, s.opts.Dir)
	if err != nil {
		return err
	}
	s.progressf("starting %d data centres, %d backend servers, %d workers", len(options.DataCentres), len(options.Backends), len(options.Workers))
	if s.fleet, err = harness.Start(ctx, options); err != nil {
		return err
	}
	s.balancer = harness.NewBalancer(s.fleet.Entries, 1)
	s.op = harness.NewOperator("demo", s.balancer, s.record)
	return nil
}

func (s *scenario) runSteps(ctx context.Context) error {
	if err := s.applyDeclarations(ctx); err != nil {
		return err
	}
	load, stopLoad := context.WithCancel(ctx)
	var running sync.WaitGroup
	harness.StartLoad(load, &running, s.fleet, s.cfg, s.keys, s.record)
	s.recordRevisions(load, &running)
	wait.For(ctx, warmUp)
	for _, step := range []func(context.Context) error{
		s.startMaintenance, s.killLeader, s.isolateDataCentre, s.withdrawKey, s.stopEntry, s.stopBackend, s.awaitMaintenance,
	} {
		if err := step(ctx); err != nil {
			stopLoad()
			running.Wait()
			return err
		}
	}
	stopLoad()
	running.Wait()
	return nil
}

// applyDeclarations applies the example declarations with samphirectl and issues a
// key to each team.
func (s *scenario) applyDeclarations(ctx context.Context) error {
	ctl := exec.CommandContext(ctx, filepath.Join(s.opts.Bin, "samphirectl"),
		"apply", "-entry", s.fleet.Entries[0].Address, "-token", harness.OperatorToken, "-f", s.opts.Examples)
	out, err := ctl.CombinedOutput()
	if err != nil {
		return errors.Wrapf(err, "demo: samphirectl apply: %s", out)
	}
	s.progressf("declarations applied")
	if s.keys, err = s.op.IssueKeys(ctx, s.cfg); err != nil {
		return err
	}
	s.progressf("%d keys issued", len(s.keys))
	return nil
}

// recordRevisions polls every entry until ctx ends and records the configuration
// revision that it reports.
func (s *scenario) recordRevisions(ctx context.Context, running *sync.WaitGroup) {
	for _, e := range s.fleet.Entries {
		op := harness.NewOperator("watch-"+e.Name, harness.NewBalancer([]*harness.Process{e}, 1), s.record)
		running.Go(func() {
			for ctx.Err() == nil {
				status, err := op.Status(ctx)
				if err == nil {
					s.record.Record(history.Event{Kind: history.RevisionSeen, Entry: e.Name, Revision: status.GetRevision()})
				}
				wait.For(ctx, pollInterval)
			}
		})
	}
}

// checkHistory checks the recorded history against the invariants and prints the
// results.
func (s *scenario) checkHistory() error {
	events, err := history.Read(filepath.Join(s.opts.Dir, "callers.jsonl"))
	if err != nil {
		return err
	}
	for _, path := range s.fleet.HistoryFiles() {
		more, err := history.Read(path)
		if err != nil {
			return err
		}
		events = append(events, more...)
	}
	rows := history.Check(harness.CheckerFleet(s.cfg), events)
	good := printRows(s.opts.Out, rows)
	s.progressf("%d events recorded", len(events))
	if !good {
		return ErrViolation
	}
	return nil
}

func printRows(out io.Writer, rows []history.Row) bool {
	allPassed := true
	_, _ = fmt.Fprintf(out, "\n%2s  %-72s %9s %10s\n", "", "invariant", "observed", "violations")
	for _, r := range rows {
		_, _ = fmt.Fprintf(out, "%2d  %-72s %9d %10d\n", r.Number, r.Invariant, r.Observed, r.Violations)
		for _, example := range r.Examples {
			_, _ = fmt.Fprintf(out, "      %s\n", example)
		}
		allPassed = allPassed && r.Violations == 0 && r.Observed > 0
	}
	_, _ = fmt.Fprintln(out)
	return allPassed
}

// TempDir creates a temporary folder for the files of a run and returns its path.
// The caller removes it.
func TempDir() (string, error) {
	dir, err := os.MkdirTemp("", "samphire-demo-")
	return dir, errors.Wrap(err, "demo: create temporary folder")
}
