package ctl

import (
	"context"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
)

func (a *app) keyCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "key",
		ShortUsage: "samphirectl key issue|withdraw",
		ShortHelp:  "Issues and withdraws the keys of teams.",
		LongHelp: `EXAMPLES
  samphirectl key issue north
  samphirectl key withdraw 3f0c9a1b2d4e5f60`,
		FlagSet:     a.flagSet("key"),
		Exec:        requireSubcommand,
		Subcommands: []*ffcli.Command{a.keyIssueCommand(), a.keyWithdrawCommand()},
	}
}

func (a *app) keyIssueCommand() *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("key issue")
	c.register(fs)
	return &ffcli.Command{
		Name:       "issue",
		ShortUsage: "samphirectl key issue TEAM",
		ShortHelp:  "Issues a key and prints it.",
		LongHelp: `The key is printed once. The secret is not stored; repeating the command with the
same -request-id and -revision returns the same key.`,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			team, err := oneArg(args, "the name of a team")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.keyIssue(ctx, *c, team)
		},
	}
}

func (a *app) keyIssue(ctx context.Context, c changeFlags, team string) error {
	h, err := a.header(ctx, c, func(uint64) string { return "key-" + a.env.NewID() })
	if err != nil {
		return err
	}
	var issued *samphireforkv1.IssueKeyResponse
	_, err = a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		resp, err := t.rpc.IssueKey(ctx, connect.NewRequest(&samphireforkv1.IssueKeyRequest{Change: h, Team: team}))
		if err != nil {
			return nil, err
		}
		issued = resp.Msg
		return resp.Msg.GetOutcome(), nil
	})
	if issued == nil {
		return err
	}
	if perr := a.printKey(issued); perr != nil {
		return perr
	}
	return err
}

// printKey prints an issued key. It is called as soon as the key is accepted, also
// when it is not yet known to be in force.
func (a *app) printKey(issued *samphireforkv1.IssueKeyResponse) error {
	if a.format == formatJSON {
		return a.printMessage(issued)
	}
	a.printf("%s\n", issued.GetKey())
	return nil
}

func (a *app) keyWithdrawCommand() *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("key withdraw")
	c.register(fs)
	return &ffcli.Command{
		Name:       "withdraw",
		ShortUsage: "samphirectl key withdraw KEY-ID",
		ShortHelp:  "Withdraws a key and waits until no entry instance accepts it.",
		LongHelp:   "The identifier is the part of the key before the dot.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "the identifier of a key")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.keyWithdraw(ctx, *c, id)
		},
	}
}

func (a *app) keyWithdraw(ctx context.Context, c changeFlags, id string) error {
	h, err := a.header(ctx, c, a.derivedID("withdraw", id))
	if err != nil {
		return err
	}
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.WithdrawKeyRequest{Change: h, KeyId: id}
		return outcome(t.rpc.WithdrawKey(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}
