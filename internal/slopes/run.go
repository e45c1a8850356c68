package slopes

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	attempts     = 2
	seenInterval = 200 * time.Millisecond
	seenTimeout  = 15 * time.Second
)

// Typed failures of a measurement.
var (
	ErrLeaderChanged = errors.New("slopes: the leader changed during the measurement")
	ErrUnknown       = errors.New("slopes: no such dimension")
	ErrUnseen        = errors.New("slopes: the leader has not heard of all workers")
)

// Options tell what to measure.
type Options struct {
	Bin string
	// Only names one dimension; empty measures all.
	Only string
	// Settle is the time before the first window.
	Settle  time.Duration
	Window  time.Duration
	Windows int
	Out     io.Writer
}

// Run measures the chosen dimensions. After the end of ctx it returns what was
// measured together with the error.
func Run(ctx context.Context, opts Options) (Report, error) {
	report, err := newReport(opts)
	if err != nil {
		return report, err
	}
	found := false
	for _, d := range Dimensions() {
		if opts.Only != "" && opts.Only != d.Name {
			continue
		}
		found = true
		points, err := opts.dimension(ctx, d)
		report.Points = append(report.Points, points...)
		if err != nil {
			report.fit()
			return report, errors.Wrapf(err, "slopes: %s", d.Name)
		}
	}
	if !found {
		return report, errors.Wrap(ErrUnknown, opts.Only)
	}
	report.fit()
	return report, nil
}

func (o Options) dimension(ctx context.Context, d Dimension) ([]Point, error) {
	var points []Point
	for _, size := range d.Sizes {
		more, err := o.repeat(ctx, d, size)
		if err != nil {
			return points, errors.Wrapf(err, "size %g", size)
		}
		points = append(points, more...)
		for _, s := range summarise(more) {
			_, _ = fmt.Fprintln(o.Out, s)
		}
	}
	return points, nil
}

// repeat measures one size again when the leader changed meanwhile.
func (o Options) repeat(ctx context.Context, d Dimension, size float64) (points []Point, err error) {
	for range attempts {
		points, err = o.point(ctx, d, size)
		if !errors.Is(err, ErrLeaderChanged) {
			return points, err
		}
	}
	return points, err
}

// point starts a fleet of one size and measures it.
func (o Options) point(ctx context.Context, d Dimension, size float64) ([]Point, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "samphire-slopes-")
	if err != nil {
		return nil, errors.Wrap(err, "slopes: folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	spec := d.Spec(size)
	f, err := harness.Start(ctx, spec.options(o.Bin, dir))
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	r := &run{opts: o, spec: spec, fleet: f, op: harness.NewOperator(operatorName, harness.NewBalancer(f.Entries, 1), nil)}
	return r.measure(ctx, d, size)
}

// run is one fleet under measurement.
type run struct {
	opts  Options
	spec  Spec
	fleet *harness.Fleet
	op    *harness.Operator
	load  *load
}

func (r *run) measure(ctx context.Context, d Dimension, size float64) (points []Point, err error) {
	if err := r.op.ApplyConfig(ctx, r.spec.config()); err != nil {
		return nil, err
	}
	config, err := r.op.Config(ctx)
	if err != nil {
		return nil, err
	}
	c := newChanger(r.fleet.Entries[0].Address, config.GetRevision())
	keys, err := c.issueKeys(ctx, r.spec.Teams)
	if err != nil {
		return nil, err
	}
	instances, err := startSims(r.spec, r.fleet)
	defer func() {
		if stopped := instances.stop(); err == nil {
			err = stopped
		}
	}()
	if err != nil {
		return nil, err
	}
	if err := r.awaitSeen(ctx); err != nil {
		return nil, err
	}
	r.load = startLoad(r.spec, r.fleet, c, keys)
	defer r.load.stop()
	if !wait.For(ctx, r.opts.Settle) {
		return nil, ctx.Err()
	}
	return r.windows(ctx, d, size)
}

// awaitSeen waits until the leader has heard of every worker.
func (r *run) awaitSeen(ctx context.Context) error {
	deadline := time.Now().Add(seenTimeout)
	for time.Now().Before(deadline) {
		status, err := r.op.Status(ctx)
		if err != nil {
			return err
		}
		seen := 0
		for _, i := range status.GetInstances() {
			if i.GetSeen() {
				seen++
			}
		}
		if seen >= r.spec.Workers {
			return nil
		}
		if !wait.For(ctx, seenInterval) {
			return ctx.Err()
		}
	}
	return ErrUnseen
}

// windows measures several windows in a row under one leader.
func (r *run) windows(ctx context.Context, d Dimension, size float64) ([]Point, error) {
	leader, err := r.leader(ctx)
	if err != nil {
		return nil, err
	}
	var points []Point
	for range r.opts.Windows {
		more, err := r.window(ctx, d, size, leader)
		if err != nil {
			return nil, err
		}
		points = append(points, more...)
	}
	after, err := r.leader(ctx)
	if err == nil && after != leader {
		err = ErrLeaderChanged
	}
	return points, err
}

func (r *run) leader(ctx context.Context) (string, error) {
	status, err := r.op.Status(ctx)
	return status.GetLeader(), err
}

func (r *run) window(ctx context.Context, d Dimension, size float64, leader string) ([]Point, error) {
	processes := slices.Concat(r.fleet.Stores, r.fleet.Entries)
	before, err := readAll(processes)
	if err != nil {
		return nil, err
	}
	began, done, failed := time.Now(), r.load.done.Load(), r.load.failed.Load()
	if !wait.For(ctx, r.opts.Window) {
		return nil, ctx.Err()
	}
	rate := float64(r.load.done.Load()-done) / time.Since(began).Seconds()
	failures := r.load.failed.Load() - failed
	after, err := readAll(processes)
	if err != nil {
		return nil, err
	}
	var points []Point
	for i, p := range processes {
		point := newPoint(d, size, roleOf(p, leader), p.Name, between(before[i], after[i]))
		point.DonePerSecond, point.Failed = rate, failures
		if d.Rate {
			point.Size = rate
		}
		points = append(points, point)
	}
	return points, nil
}

func readAll(processes []*harness.Process) ([]sample, error) {
	out := make([]sample, len(processes))
	for i, p := range processes {
		var err error
		if out[i], err = readSample(p.PID()); err != nil {
			return nil, errors.Wrap(err, p.Name)
		}
	}
	return out, nil
}
