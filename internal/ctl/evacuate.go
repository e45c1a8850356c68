package ctl

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

func (a *app) evacuateCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "evacuate",
		ShortUsage: "samphirectl evacuate start|end|status",
		ShortHelp:  "Lets no new work start in a data centre, or takes it back.",
		LongHelp: `Running jobs and calls end by themselves; watch tasks move elsewhere within the
availability budgets.

EXAMPLES
  samphirectl evacuate start dc1
  samphirectl evacuate status dc1
  samphirectl evacuate end dc1`,
		FlagSet: a.flagSet("evacuate"),
		Exec:    requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.evacuateOrderCommand("start", "Lets no new work start in a data centre.", false),
			a.evacuateOrderCommand("end", "Takes a data centre back.", true),
			a.evacuateStatusCommand(),
		},
	}
}

func (a *app) evacuateOrderCommand(name, help string, end bool) *ffcli.Command {
	c := &changeFlags{}
	fs := a.flagSet("evacuate " + name)
	c.register(fs)
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirectl evacuate " + name + " DATACENTRE",
		ShortHelp:  help,
		LongHelp:   "Succeeds without effect when the data centre is in that state already.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			dataCentre, err := oneArg(args, "the name of a data centre")
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.evacuate(ctx, *c, dataCentre, end)
		},
	}
}

func (a *app) evacuate(ctx context.Context, c changeFlags, dataCentre string, end bool) error {
	h, err := a.header(ctx, c, a.derivedID("evacuate", dataCentre, strconv.FormatBool(end)))
	if err != nil {
		return err
	}
	out, err := a.change(ctx, h, func(ctx context.Context, t target, h *samphireforkv1.ChangeHeader) (*samphireforkv1.ChangeOutcome, error) {
		req := &samphireforkv1.EvacuateRequest{Change: h, DataCentre: dataCentre, End: end}
		return outcome(t.rpc.Evacuate(ctx, connect.NewRequest(req)))
	})
	if err != nil {
		return err
	}
	return a.printOutcome(out)
}

func (a *app) evacuateStatusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "samphirectl evacuate status [DATACENTRE]",
		ShortHelp:  "Shows which data centres are evacuated, since when, and the jobs that still run there.",
		FlagSet:    a.flagSet("evacuate status"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 1 {
				return usage("expected at most one argument: the name of a data centre")
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.evacuateStatus(ctx, args)
		},
	}
}

func (a *app) evacuateStatus(ctx context.Context, names []string) error {
	cfg, err := a.config(ctx)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(cfg.DataCentres))
	} else if _, ok := cfg.DataCentres[names[0]]; !ok {
		return refusedf("no data centre is named %s", names[0])
	}
	st, err := a.status(ctx)
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printMessage(evacuationsOf(st, names))
	}
	a.printEvacuations(st, names)
	return nil
}

// evacuationsOf returns the part of a status that tells of the evacuations of the named
// data centres.
func evacuationsOf(st *samphireforkv1.StatusResponse, names []string) *samphireforkv1.StatusResponse {
	out := &samphireforkv1.StatusResponse{Revision: st.GetRevision(), NowMs: st.GetNowMs()}
	for _, e := range st.GetEvacuations() {
		if slices.Contains(names, e.GetDataCentre()) {
			out.Evacuations = append(out.Evacuations, e)
		}
	}
	for _, in := range st.GetInstances() {
		if slices.Contains(names, in.GetDataCentre()) {
			out.Instances = append(out.Instances, in)
		}
	}
	return out
}

func (a *app) printEvacuations(st *samphireforkv1.StatusResponse, names []string) {
	since := evacuatedSince(st)
	var rows [][]string
	for _, name := range names {
		state, duration := "in service", "-"
		if at, ok := since[name]; ok {
			state = "evacuated"
			duration = (time.Duration(st.GetNowMs()-at) * time.Millisecond).String()
		}
		rows = append(rows, []string{name, state, duration, jobsIn(st, name)})
	}
	a.table([]string{"DATA CENTRE", "STATE", "FOR", "JOBS"}, rows)
}

// evacuatedSince returns the cluster time of the order by evacuated data centre.
func evacuatedSince(st *samphireforkv1.StatusResponse) map[string]int64 {
	since := map[string]int64{}
	for _, e := range st.GetEvacuations() {
		since[e.GetDataCentre()] = e.GetSinceMs()
	}
	return since
}

// jobsIn returns the number of jobs assigned to workers of a data centre as text, or "-"
// when the store does not report it.
func jobsIn(st *samphireforkv1.StatusResponse, dataCentre string) string {
	n := int64(0)
	for _, in := range st.GetInstances() {
		if in.GetDataCentre() != dataCentre || in.GetRole() != string(fleet.KindWorker) {
			continue
		}
		if in.GetTasks() < 0 {
			return "-"
		}
		n += in.GetTasks()
	}
	return strconv.FormatInt(n, 10)
}
