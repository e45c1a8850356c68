// Package measure runs fleets of real processes at a small scale and measures
// them against the targets of the design, with the present policies and with the
// baselines in the same run.
package measure

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Names of the parts, in the order in which they run.
const (
	PartBurst       = "burst"
	PartJobs        = "jobs"
	PartMaintenance = "maintenance"
	PartShare       = "share"
	PartUrgent      = "urgent"
	PartFaults      = "faults"
	PartChanges     = "changes"
	PartAll         = "all"
)

// Names of the sets of policies.
const (
	PoliciesPresent  = "present"
	PoliciesBaseline = "baseline"
)

// ErrPart is returned for an unknown part or deployment.
var ErrPart = errors.New("measure: unknown part or deployment")

// Options select what is measured and where the results go.
type Options struct {
	// Bin is the folder of the binaries, Examples that of the deployments'
	// declarations, Dir that of the processes' files, and Docs that of the results.
	Bin, Examples, Dir, Docs string
	// Only names the part to run, and Deployment the deployment; empty runs all.
	Only, Deployment string
	Out              io.Writer
}

// part measures one aspect of a running fleet.
type part struct {
	name string
	// baseline is true when the part is also measured with the baseline policies.
	baseline bool
	run      func(context.Context, *bench) error
}

func parts() []part {
	return []part{
		{PartBurst, true, measureBurst},
		{PartJobs, true, measureJobs},
		{PartShare, true, measureShare},
		{PartUrgent, true, measureUrgent},
		{PartMaintenance, true, measureMaintenance},
		{PartFaults, false, measureFaults},
		{PartChanges, false, measureChanges},
		{PartAll, false, measureAll},
	}
}

// policySets returns the fleet settings of each set of policies.
func policySets() map[string]map[string]string {
	return map[string]map[string]string{
		PoliciesPresent: nil,
		PoliciesBaseline: {
			"admission": "fifo", "share": "equal", "placement": "first_fit",
			"maintenance": "one_at_a_time", "poolmove": "none", "retry": "immediate",
		},
	}
}

// Run measures and writes the results.
func Run(ctx context.Context, opts Options) error {
	selected, err := selectParts(opts.Only)
	if err != nil {
		return err
	}
	report := &Report{Began: time.Now().UTC()}
	all := deployments()
	runs := make([][]*FleetRun, len(all))
	failed := make([]error, len(all))
	var running sync.WaitGroup
	for i, d := range all {
		if opts.Deployment != "" && opts.Deployment != d.name {
			continue
		}
		running.Go(func() { runs[i], failed[i] = runDeployment(ctx, opts, d, selected) })
	}
	running.Wait()
	for i := range all {
		if failed[i] != nil {
			return failed[i]
		}
		report.Runs = append(report.Runs, runs[i]...)
	}
	report.Seconds = time.Since(report.Began).Seconds()
	return report.write(opts)
}

// runDeployment measures one deployment with the present policies and then with
// the baselines.
func runDeployment(ctx context.Context, opts Options, d deployment, selected []part) ([]*FleetRun, error) {
	var runs []*FleetRun
	for _, policies := range []string{PoliciesPresent, PoliciesBaseline} {
		run, err := runFleet(ctx, opts, d, policies, selected)
		if err != nil {
			return nil, errors.Wrapf(err, "%s, %s policies", d.name, policies)
		}
		if run != nil {
			runs = append(runs, run)
		}
	}
	return runs, nil
}

func selectParts(only string) ([]part, error) {
	if only == "" {
		return parts(), nil
	}
	for _, p := range parts() {
		if p.name == only {
			return []part{p}, nil
		}
	}
	return nil, errors.Wrap(ErrPart, only)
}

// runFleet starts one fleet and runs the parts on it. It returns nil when there is
// nothing to run.
func runFleet(ctx context.Context, opts Options, d deployment, policies string, selected []part) (*FleetRun, error) {
	baseline := policies == PoliciesBaseline
	todo := slices.DeleteFunc(slices.Clone(selected), func(p part) bool { return baseline && !p.baseline })
	if len(todo) == 0 {
		return nil, nil
	}
	dir := filepath.Join(opts.Dir, d.name+"-"+policies)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "measure: folder")
	}
	b, err := startBench(ctx, opts, d, policies, dir)
	if err != nil {
		return nil, err
	}
	defer b.stop()
	for _, p := range todo {
		b.part = p.name
		began := time.Now()
		if err := p.run(ctx, b); err != nil {
			return nil, errors.Wrap(err, p.name)
		}
		_, _ = fmt.Fprintf(opts.Out, "%-12s %-9s %-12s %5.1f s\n", d.name, policies, p.name, time.Since(began).Seconds())
	}
	return b.run, nil
}
