package ctl

import (
	"context"
	"strconv"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
)

func (a *app) memberCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "member",
		ShortUsage: "samphirectl member list|add|promote|remove",
		ShortHelp:  "Lists and changes the members of the replicated log.",
		LongHelp: `A store that lost its disk joins under a new identifier: add it as a learner,
promote it when it has caught up, then remove the old member.

EXAMPLES
  samphirectl member list
  samphirectl member add -id 4 -instance dc1-s1 -data-centre dc1 -address 10.0.1.5:7000
  samphirectl member promote 4
  samphirectl member remove 1`,
		FlagSet: a.flagSet("member"),
		Exec:    requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.memberListCommand(),
			a.memberAddCommand(),
			a.memberIDCommand("promote", "Makes a learner a voter.", func(id uint64) *samphireforkv1.MembershipRequest {
				return &samphireforkv1.MembershipRequest{Action: &samphireforkv1.MembershipRequest_Promote{Promote: id}}
			}),
			a.memberIDCommand("remove", "Removes a member.", func(id uint64) *samphireforkv1.MembershipRequest {
				return &samphireforkv1.MembershipRequest{Action: &samphireforkv1.MembershipRequest_Remove{Remove: id}}
			}),
		},
	}
}

func (a *app) memberListCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "list",
		ShortUsage: "samphirectl member list",
		ShortHelp:  "Lists the members.",
		FlagSet:    a.flagSet("member list"),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			list := &samphireforkv1.MembershipRequest_List{List: &samphireforkv1.ListMembers{}}
			return a.membership(ctx, &samphireforkv1.MembershipRequest{Action: list}, query)
		},
	}
}

func (a *app) memberAddCommand() *ffcli.Command {
	m := &samphireforkv1.Member{}
	fs := a.flagSet("member add")
	fs.Uint64Var(&m.Id, "id", 0, "identifier that no member ever had")
	fs.StringVar(&m.Instance, "instance", "", "name of the instance")
	fs.StringVar(&m.DataCentre, "data-centre", "", "data centre of the instance")
	fs.StringVar(&m.Address, "address", "", "peer address, an IP address and a port")
	return &ffcli.Command{
		Name:       "add",
		ShortUsage: "samphirectl member add -id ID -instance NAME -data-centre NAME -address ADDRESS",
		ShortHelp:  "Adds a learner.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			add := &samphireforkv1.MembershipRequest_AddLearner{AddLearner: m}
			return a.membership(ctx, &samphireforkv1.MembershipRequest{Action: add}, call)
		},
	}
}

func (a *app) memberIDCommand(name, help string, request func(id uint64) *samphireforkv1.MembershipRequest) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirectl member " + name + " ID",
		ShortHelp:  help,
		FlagSet:    a.flagSet("member " + name),
		Exec: func(ctx context.Context, args []string) error {
			text, err := oneArg(args, "the identifier of a member")
			if err != nil {
				return err
			}
			id, err := strconv.ParseUint(text, 10, 64)
			if err != nil || id == 0 {
				return usage("%q is not a member identifier: expected an integer above 0", text)
			}
			return a.membership(ctx, request(id), call)
		},
	}
}

// membershipCallFunc is the type of call and query for membership requests.
type membershipCallFunc func(context.Context, *app, attemptFunc[*samphireforkv1.MembershipResponse]) (*samphireforkv1.MembershipResponse, error)

func (a *app) membership(ctx context.Context, req *samphireforkv1.MembershipRequest, do membershipCallFunc) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	resp, err := do(ctx, a, func(ctx context.Context, t target) (*samphireforkv1.MembershipResponse, error) {
		resp, err := t.rpc.Membership(ctx, connect.NewRequest(req))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printMessage(resp)
	}
	a.printMembers(resp.GetMembers())
	return nil
}

func (a *app) printMembers(members []*samphireforkv1.Member) {
	var rows [][]string
	for _, m := range members {
		role := "voter"
		if m.GetLearner() {
			role = "learner"
		}
		rows = append(rows, []string{strconv.FormatUint(m.GetId(), 10), m.GetInstance(), m.GetDataCentre(), m.GetAddress(), role, strconv.FormatUint(m.GetMatch(), 10)})
	}
	a.table([]string{"MEMBER", "INSTANCE", "DATA CENTRE", "ADDRESS", "ROLE", "MATCH"}, rows)
}
