package ctl

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
)

const defaultDrainTimeout = 5 * time.Minute

func (a *app) maintenanceCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "maintenance",
		ShortUsage: "samphirectl maintenance start|pause|resume|abort|status",
		ShortHelp:  "Reboots the instances of a pool in waves, within the availability budgets.",
		LongHelp: `EXAMPLES
  samphirectl maintenance start -plan march -pool general -drain-timeout 10m
  samphirectl maintenance status march
  samphirectl maintenance pause march`,
		FlagSet: a.flagSet("maintenance"),
		Exec:    requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.maintenanceStartCommand(),
			a.maintenanceStateCommand("pause", "Takes no further instance.", samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_PAUSE),
			a.maintenanceStateCommand("resume", "Goes on with a paused plan.", samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_RESUME),
			a.maintenanceStateCommand("abort", "Ends a plan.", samphireforkv1.MaintenanceAction_MAINTENANCE_ACTION_ABORT),
			a.maintenanceStatusCommand(),
		},
	}
}

func (a *app) maintenanceStartCommand() *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("maintenance start")
	c.register(fs)
	plan := fs.String("plan", "", "name of the new plan")
	pool := fs.String("pool", "", "pool whose instances are rebooted")
	drain := fs.Duration("drain-timeout", defaultDrainTimeout, "time that a drain may take")
	return &ffcli.Command{
		Name:       "start",
		ShortUsage: "samphirectl maintenance start -plan PLAN -pool POOL [-drain-timeout 5m]",
		ShortHelp:  "Starts a plan.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if *plan == "" || *pool == "" {
				return usage("-plan and -pool are required")
			}
			req := &samphireforkv1.StartMaintenanceRequest{Plan: *plan, Pool: *pool, DrainTimeoutMs: drain.Milliseconds()}
			return a.maintenanceStart(ctx, *c, req)
		},
	}
}

func (a *app) maintenanceStart(ctx context.Context, c changeFlags, req *samphireforkv1.StartMaintenanceRequest) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	h, err := a.header(ctx, c, a.derivedID("maintenance", "start", req.GetPlan(), req.GetPool(), drainTimeoutText(req)))
	if err != nil {
		return err
	}
	req.Change = h
	out, err := a.change(ctx, h, func(ctx context.Context, t target, _ *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		return outcome(t.rpc.StartMaintenance(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}

func drainTimeoutText(req *samphireforkv1.StartMaintenanceRequest) string {
	return (time.Duration(req.GetDrainTimeoutMs()) * time.Millisecond).String()
}

func (a *app) maintenanceStateCommand(name, help string, action samphireforkv1.MaintenanceAction) *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("maintenance " + name)
	c.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirectl maintenance " + name + " PLAN",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			plan, err := oneArg(args, "the name of a plan")
			if err != nil {
				return err
			}
			return a.maintenanceState(ctx, *c, name, plan, action)
		},
	}
}

func (a *app) maintenanceState(ctx context.Context, c changeFlags, verb, plan string, action samphireforkv1.MaintenanceAction) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	h, err := a.header(ctx, c, a.derivedID("maintenance", verb, plan))
	if err != nil {
		return err
	}
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.SetMaintenanceStateRequest{Change: h, Plan: plan, Action: action}
		return outcome(t.rpc.SetMaintenanceState(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}

func (a *app) maintenanceStatusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "samphirectl maintenance status [PLAN]",
		ShortHelp:  "Shows plans, their progress and what they wait for.",
		FlagSet:    a.flagSet("maintenance status"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return usage("expected at most one argument: the name of a plan")
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			st, err := a.status(ctx)
			if err != nil {
				return err
			}
			return a.maintenanceStatus(st, args)
		},
	}
}

func (a *app) maintenanceStatus(st *samphireforkv1.StatusResponse, names []string) error {
	shown := &samphireforkv1.StatusResponse{Revision: st.GetRevision(), NowMs: st.GetNowMs()}
	for _, p := range st.GetPlans() {
		if len(names) == 0 || p.GetName() == names[0] {
			shown.Plans = append(shown.Plans, p)
		}
	}
	if len(names) > 0 && len(shown.Plans) == 0 {
		return refusedf("no plan is named %s", names[0])
	}
	if a.format == formatJSON {
		return a.printMessage(shown)
	}
	a.printPlans(shown.GetPlans())
	return nil
}
