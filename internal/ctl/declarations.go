package ctl

import (
	"context"
	"flag"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/declare"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/operator/schema"
)

// declarationFlags holds the flags of the commands that read declarations.
type declarationFlags struct {
	path      string
	keepPools bool
}

func (d *declarationFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&d.path, "f", "", "folder of declarations, or one file")
}

func (d *declarationFlags) registerKeepPools(fs *flag.FlagSet) {
	fs.BoolVar(&d.keepPools, "keep-pools", false, "leave present instances in their present pools")
}

func (a *app) validateCommand() *ffcli.Command {
	d := &declarationFlags{}
	fs := a.flagSet("validate")
	d.register(fs)
	return &ffcli.Command{
		Name:       "validate",
		ShortUsage: "samphirectl validate -f PATH",
		ShortHelp:  "Checks declarations without a fleet.",
		LongHelp: `All faults are printed, each with file, line and field. When PATH holds no JSON
files, each of its sub-folders is checked as a fleet of its own.

EXAMPLE
  samphirectl validate -f examples`,
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			return a.validate(d.path)
		},
	}
}

func (a *app) validate(path string) error {
	if path == "" {
		return usage("-f is missing")
	}
	folders, err := declare.FleetPaths(path)
	if err != nil {
		return refusedf("%v", err)
	}
	var errs declare.Errors
	for _, folder := range folders {
		cfg, err := declare.Load(folder)
		var loadErrs declare.Errors
		switch {
		case errors.As(err, &loadErrs):
			errs = append(errs, loadErrs...)
		case err != nil:
			return refusedf("%v", err)
		default:
			a.printf("%s: valid: %s\n", folder, summariseConfig(cfg))
		}
	}
	if len(errs) > 0 {
		return refusedf("%d faults in the declarations\n%v", len(errs), errs)
	}
	return nil
}

func (a *app) planCommand() *ffcli.Command {
	d := &declarationFlags{}
	fs := a.flagSet("plan")
	d.register(fs)
	d.registerKeepPools(fs)
	return &ffcli.Command{
		Name:       "plan",
		ShortUsage: "samphirectl plan -f PATH [-keep-pools]",
		ShortHelp:  "Shows what apply would change.",
		LongHelp: `Lines begin with + for a new entity, ~ for a changed one and - for a deleted one.

EXAMPLE
  samphirectl -entry 127.0.0.1:8080 plan -f examples/khovd`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			current, items, err := a.diff(ctx, d)
			if err != nil {
				return err
			}
			return a.printPlan(current, items)
		},
	}
}

func (a *app) applyCommand() *ffcli.Command {
	d, c := &declarationFlags{}, &changeFlags{}
	fs := a.flagSet("apply")
	d.register(fs)
	d.registerKeepPools(fs)
	c.register(fs)
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "samphirectl apply -f PATH [-keep-pools]",
		ShortHelp:  "Makes the fleet's configuration equal to the declarations.",
		LongHelp: `All changes are made at once or not at all. Keys are left alone. The request
identifier is derived from the revision and the content, so running the same
command again after a lost answer does not make the change twice.

EXAMPLE
  samphirectl -entry 127.0.0.1:8080,127.0.0.1:8081 apply -f examples/carregaguia`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.apply(ctx, d, *c)
		},
	}
}

func (a *app) apply(ctx context.Context, d *declarationFlags, c changeFlags) error {
	current, items, err := a.diff(ctx, d)
	if err != nil {
		return err
	}
	if len(items) == 0 {
		return a.printPlan(current, items)
	}
	if c.revision == currentRevision {
		c.revision = int64(current.Revision)
	}
	msgs, content, err := encodeItems(items)
	if err != nil {
		return refusedf("%v", err)
	}
	h, err := a.header(ctx, c, a.derivedID("apply", content))
	if err != nil {
		return err
	}
	a.progress("applying %d changes to revision %d", len(items), c.revision)
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.ApplyRequest{Change: h, Items: msgs}
		return outcome(t.rpc.Apply(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}

// encodeItems converts the items to messages. It also returns their deterministic
// encoding, from which the request identifier is derived.
func encodeItems(items []fleet.ChangeItem) ([]*samphireforkv1.ChangeItem, string, error) {
	msgs := make([]*samphireforkv1.ChangeItem, 0, len(items))
	for _, it := range items {
		msg, err := schema.FromItem(it)
		if err != nil {
			return nil, "", err
		}
		msgs = append(msgs, msg)
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(&samphireforkv1.ApplyRequest{Items: msgs})
	return msgs, string(raw), errors.Wrap(err, "encode items")
}

// diff loads the declarations and returns the current configuration of the fleet
// and the changes that make it equal to them.
func (a *app) diff(ctx context.Context, d *declarationFlags) (fleet.Config, []fleet.ChangeItem, error) {
	var current fleet.Config
	if d.path == "" {
		return current, nil, usage("-f is missing")
	}
	desired, err := declare.Load(d.path)
	if err != nil {
		return current, nil, refusedf("%v", err)
	}
	current, err = a.config(ctx)
	if err != nil {
		return current, nil, err
	}
	if d.keepPools {
		desired = declare.KeepPools(current, desired)
	}
	return current, declare.Diff(current, desired), nil
}

func (a *app) config(ctx context.Context) (fleet.Config, error) {
	resp, err := query(ctx, a, func(ctx context.Context, t target) (*connect.Response[samphireforkv1.GetConfigResponse], error) {
		return t.rpc.GetConfig(ctx, connect.NewRequest(&samphireforkv1.GetConfigRequest{}))
	})
	if err != nil {
		return fleet.Config{}, err
	}
	return schema.ToConfig(resp.Msg.GetConfig()), nil
}
