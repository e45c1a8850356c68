package ctl

import (
	"context"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
)

const (
	pollInterval = 500 * time.Millisecond
	// backendDrainTime is the maximum duration of a call plus the 3 s after which
	// a registration that is not renewed expires. A backend server that has been
	// draining for longer handles no more calls from the fleet.
	backendDrainTime = fleet.MaxCallTime + 3*time.Second
)

func (a *app) drainCommand() *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("drain")
	c.register(fs)
	undo := fs.Bool("undo", false, "end the drain")
	return &ffcli.Command{
		Name:       "drain",
		ShortUsage: "samphirectl drain [-undo] INSTANCE",
		ShortHelp:  "Stops new work on an instance and waits until it is empty.",
		LongHelp: `Running work is not interrupted. The command ends when no work is left on the
instance. When the time is up the drain goes on, and the exit code is 4.

EXAMPLES
  samphirectl -entry 127.0.0.1:8080 -timeout 10m drain dc1-w1
  samphirectl -entry 127.0.0.1:8080 drain -undo dc1-w1`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			instance, err := oneArg(args, "the name of an instance")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.drain(ctx, *c, instance, *undo)
		},
	}
}

func (a *app) drain(ctx context.Context, c changeFlags, instance string, undo bool) error {
	h, err := a.header(ctx, c, a.derivedID("drain", instance, strconv.FormatBool(undo)))
	if err != nil {
		return err
	}
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.DrainRequest{Change: h, Instance: instance, Undo: undo}
		return outcome(t.rpc.Drain(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	if !undo {
		if err := a.awaitDrained(ctx, instance); err != nil {
			return err
		}
	}
	return a.printOutcome(out)
}

// awaitDrained polls the status and prints each change of it until the instance
// has no work left.
func (a *app) awaitDrained(ctx context.Context, instance string) error {
	shown := ""
	for {
		st, err := a.status(ctx)
		if err != nil {
			return stillDraining(instance, err.Error())
		}
		text, drained, err := drainProgress(st, instance)
		if err != nil {
			return err
		}
		if text != shown {
			a.progress("%s: %s", instance, text)
			shown = text
		}
		if drained {
			return nil
		}
		if !wait.ForAttempt(ctx, pollInterval, minAttemptTime) {
			return stillDraining(instance, text)
		}
	}
}

func stillDraining(instance, reason string) error {
	return &Error{Exit: ExitMayHaveRun, Message: "the drain of " + instance + " was accepted and continues: " + reason}
}

// drainProgress returns a description of the drain of an instance and whether it is
// complete.
func drainProgress(st *samphireforkv1.StatusResponse, instance string) (string, bool, error) {
	for _, in := range st.GetInstances() {
		if in.GetInstance() == instance {
			text, drained := drainState(in, st.GetNowMs())
			return text, drained, nil
		}
	}
	return "", false, refusedf("instance %s is no longer declared", instance)
}

func drainState(in *samphireforkv1.InstanceState, now int64) (string, bool) {
	if in.GetPhase() == string(fleet.PhaseActive) {
		return "active, not draining", false
	}
	if in.GetRole() == string(fleet.KindBackend) {
		if now-in.GetPhaseSinceMs() >= backendDrainTime.Milliseconds() {
			return "drained", true
		}
		return "draining, calls may still run", false
	}
	switch n := in.GetTasks(); {
	case n < 0:
		return "draining, number of tasks unknown", false
	case n > 0:
		return "draining, " + strconv.FormatInt(n, 10) + " tasks left", false
	}
	return "drained", true
}

func (a *app) lostCommand() *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("lost")
	c.register(fs)
	return &ffcli.Command{
		Name:       "lost",
		ShortUsage: "samphirectl lost INSTANCE",
		ShortHelp:  "States that an instance and its tasks have stopped for good.",
		LongHelp: `Use it only when the instance is known to be off. Capacity that is counted for
its tasks is freed at once; if a task still runs, a limit may be exceeded.

EXAMPLE
  samphirectl -entry 127.0.0.1:8080 lost dc1-w1`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			instance, err := oneArg(args, "the name of an instance")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.lost(ctx, *c, instance)
		},
	}
}

func (a *app) lost(ctx context.Context, c changeFlags, instance string) error {
	h, err := a.header(ctx, c, a.derivedID("lost", instance))
	if err != nil {
		return err
	}
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.DeclareLostRequest{Change: h, Instance: instance}
		return outcome(t.rpc.DeclareLost(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}
