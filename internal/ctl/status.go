package ctl

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/peterbourgon/ff/v3/ffcli"

	samphireforkv1 "github.com/samphirefork/samphirefork/gen/samphirefork/v1"
	"github.com/samphirefork/samphirefork/internal/fleet"
)

func (a *app) statusCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "status",
		ShortUsage: "samphirectl status [-o json]",
		ShortHelp:  "Shows the leader, members, entry instances, instances, plans, evacuations and jobs.",
		LongHelp:   "EXAMPLE\n  samphirectl -entry 127.0.0.1:8080 status",
		FlagSet:    a.flagSet("status"),
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			st, err := a.status(ctx)
			if err != nil {
				return err
			}
			return a.printStatus(st)
		},
	}
}

func (a *app) status(ctx context.Context) (*samphireforkv1.StatusResponse, error) {
	resp, err := query(ctx, a, func(ctx context.Context, t target) (*connect.Response[samphireforkv1.StatusResponse], error) {
		return t.rpc.Status(ctx, connect.NewRequest(&samphireforkv1.StatusRequest{}))
	})
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

func (a *app) printStatus(st *samphireforkv1.StatusResponse) error {
	if a.format == formatJSON {
		return a.printMessage(st)
	}
	a.printf("leader %s, term %d, applied %d, revision %d\n", st.GetLeader(), st.GetTerm(), st.GetApplied(), st.GetRevision())
	a.printf("jobs: %s\n", formatCounts(st.GetJobs()))
	a.printf("running by team: %s\n\n", formatCounts(st.GetUsage()))
	a.printMembers(st.GetMembers())
	a.printf("\n")
	var entries [][]string
	for _, e := range st.GetEntries() {
		entries = append(entries, []string{e.GetInstance(), e.GetDataCentre(), e.GetPeerAddress()})
	}
	a.table([]string{"ENTRY", "DATA CENTRE", "ADDRESS"}, entries)
	a.printf("\n")
	a.printInstances(st)
	if len(st.GetPlans()) > 0 {
		a.printf("\n")
		a.printPlans(st.GetPlans())
	}
	if len(st.GetEvacuations()) > 0 {
		a.printf("\n")
		a.printEvacuations(st, slices.Sorted(maps.Keys(evacuatedSince(st))))
	}
	return nil
}

func (a *app) printInstances(st *samphireforkv1.StatusResponse) {
	since := evacuatedSince(st)
	var rows [][]string
	for _, in := range st.GetInstances() {
		_, evacuated := since[in.GetDataCentre()]
		rows = append(rows, []string{in.GetInstance(), in.GetRole(), in.GetPool(), in.GetDataCentre(), in.GetPhase(), tasks(in), remarks(in, st.GetNowMs(), evacuated)})
	}
	a.table([]string{"INSTANCE", "ROLE", "POOL", "DATA CENTRE", "PHASE", "TASKS", "REMARKS"}, rows)
}

func tasks(in *samphireforkv1.InstanceState) string {
	if in.GetRole() != string(fleet.KindWorker) || in.GetTasks() < 0 {
		return "-"
	}
	return strconv.FormatInt(in.GetTasks(), 10)
}

func remarks(in *samphireforkv1.InstanceState, now int64, evacuated bool) string {
	var out []string
	if in.GetPlan() != "" {
		out = append(out, "plan "+in.GetPlan())
	}
	if in.GetLost() {
		out = append(out, "lost")
	}
	if !in.GetSeen() {
		out = append(out, "not seen")
	}
	if in.GetQuarantinedUntilMs() > now {
		out = append(out, "quarantined")
	}
	if evacuated {
		out = append(out, "evacuated")
	}
	return strings.Join(out, ", ")
}

func (a *app) printPlans(plans []*samphireforkv1.MaintenancePlan) {
	var rows [][]string
	for _, p := range plans {
		done := fmt.Sprintf("%d of %d", len(p.GetCompleted()), p.GetInstances())
		rows = append(rows, []string{p.GetName(), p.GetPool(), p.GetState(), done, p.GetWaitingFor()})
	}
	a.table([]string{"PLAN", "POOL", "STATE", "COMPLETED", "WAITING FOR"}, rows)
}

// formatCounts formats a map as text, sorted by key.
func formatCounts(m map[string]int64) string {
	if len(m) == 0 {
		return "none"
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		out = append(out, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(out, ", ")
}

func (a *app) auditCommand() *ffcli.Command {
	fs := a.flagSet("audit")
	limit := fs.Int("limit", 50, "largest number of records, 1 to 1000")
	return &ffcli.Command{
		Name:       "audit",
		ShortUsage: "samphirectl audit [-limit N] [-o json]",
		ShortHelp:  "Lists accepted changes, newest first: who, what, and when in force.",
		LongHelp:   "EXAMPLE\n  samphirectl -entry 127.0.0.1:8080 audit -limit 10",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(ctx)
			defer cancel()
			return a.audit(ctx, *limit)
		},
	}
}

func (a *app) audit(ctx context.Context, limit int) error {
	resp, err := query(ctx, a, func(ctx context.Context, t target) (*connect.Response[samphireforkv1.AuditResponse], error) {
		return t.rpc.Audit(ctx, connect.NewRequest(&samphireforkv1.AuditRequest{Limit: int32(limit)}))
	})
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printMessage(resp.Msg)
	}
	var rows [][]string
	for _, r := range resp.Msg.GetRecords() {
		rows = append(rows, auditRow(r))
	}
	a.table([]string{"REVISION", "FROM", "OPERATOR", "ACCEPTED (UTC)", "IN FORCE AFTER", "REQUEST ID", "CHANGES"}, rows)
	return nil
}

func auditRow(r *samphireforkv1.AuditRecord) []string {
	inForce := "not yet known"
	if r.GetInForceAtMs() > 0 {
		inForce = (time.Duration(r.GetInForceAtMs()-r.GetAtMs()) * time.Millisecond).String()
	}
	return []string{
		strconv.FormatUint(r.GetRevision(), 10),
		strconv.FormatUint(r.GetFrom(), 10),
		r.GetOperator(),
		time.UnixMilli(r.GetWallUnixMs()).UTC().Format("2006-01-02 15:04:05"),
		inForce,
		r.GetRequestId(),
		strings.Join(r.GetSummary(), "; "),
	}
}
