package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// whereQuery is one question where a job would go.
type whereQuery struct {
	queue, team string
	body        []byte
}

func (a *app) whereCommand() *ffcli.Command {
	fs := a.flagSet("where")
	var q whereQuery
	var step workload.Step
	fs.StringVar(&q.queue, "queue", "", "queue of the job")
	fs.StringVar(&q.team, "team", "", "team of the job; none for an open queue")
	file := fs.String("f", "", "JSON file with the steps, as steps submit takes it, instead of the flags below")
	fs.Int64Var(&step.Size.CPUMilli, "cpu-milli", 0, "processor request of a task in thousandths of a core")
	fs.Int64Var(&step.Size.MemoryMiB, "memory-mib", 0, "memory request of a task in MiB")
	runTime := fs.Duration("run-time", 0, "declared run time of a task")
	fs.IntVar(&step.Count, "count", 1, "number of tasks")
	fs.StringVar(&step.Label, "label", "", "label that the workers must have")
	return &ffcli.Command{
		Name:       "where",
		ShortUsage: "samphirectl where -queue QUEUE [-team TEAM] (-f FILE | -cpu-milli N [flags]) [-o json]",
		ShortHelp:  "Explains where a job would go now, and why, without submitting it.",
		LongHelp:   "EXAMPLES\n  samphirectl where -queue settle -team lisbon -cpu-milli 500 -memory-mib 256 -run-time 800ms -count 8",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			if q.queue == "" {
				return usage("-queue is missing")
			}
			step.EstimatedMS = runTime.Milliseconds()
			var err error
			if q.body, err = whereBody(*file, step); err != nil {
				return err
			}
			return a.showWhere(ctx, q)
		},
	}
}

// whereBody returns the job in the file or, without a file, one that consists of the step.
func whereBody(file string, step workload.Step) ([]byte, error) {
	if file != "" {
		if step.Count != 1 || step.Size != (workload.Resources{}) || step.EstimatedMS != 0 || step.Label != "" {
			return nil, usage("-f excludes the flags of a step")
		}
		return readSteps(file)
	}
	job := workload.Submit{Steps: []workload.Step{step}}
	if step.Size.CPUMilli <= 0 {
		return nil, usage("-f or -cpu-milli is missing")
	}
	if err := job.Check(); err != nil {
		return nil, usage("%v", err)
	}
	body, err := json.Marshal(job)
	return body, errors.Wrap(err, "encode the job")
}

func (a *app) showWhere(ctx context.Context, q whereQuery) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	reply, err := query(ctx, a, func(ctx context.Context, t target) (wire.WhereReply, error) { return a.requestWhere(ctx, t, q) })
	if err != nil {
		return err
	}
	if a.format == formatJSON {
		return a.printJSON(reply)
	}
	a.printWhere(reply)
	return nil
}

func (a *app) requestWhere(ctx context.Context, t target, q whereQuery) (wire.WhereReply, error) {
	var reply wire.WhereReply
	params := url.Values{"queue": {q.queue}, "team": {q.team}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, t.base+api.PathOperatorWhere+"?"+params.Encode(), bytes.NewReader(q.body))
	if err != nil {
		return reply, usage("%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+a.token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxJobAnswerBytes))
	if err != nil {
		return reply, err
	}
	if resp.StatusCode == http.StatusOK {
		return reply, errors.Wrap(json.Unmarshal(data, &reply), "decode the answer")
	}
	var refusal api.Refusal
	if json.Unmarshal(data, &refusal) == nil && refusal.Code == api.CodeBusy {
		// The entry instance has repeated the question for as long as it may.
		return reply, &Error{Exit: ExitUnavailable, Message: "busy: the leader answers another such question, retry"}
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return reply, errors.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return reply, refusedf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(data)))
}

func (a *app) printWhere(r wire.WhereReply) {
	a.printf("leader %s, applied %d, cluster time %s\n", r.Leader, r.Applied, milliseconds(r.NowMS))
	a.printf("pool %s: %d of %d tasks would start now\n", r.Pool, r.Starting, r.Tasks)
	evidence := "as declared"
	if r.ExpectedRuns > 0 {
		evidence = fmt.Sprintf("from %d finished runs", r.ExpectedRuns)
	}
	a.printf("expected run time: median %s, 0.9 quantile %s, %s\n", milliseconds(r.ExpectedMedianMS), milliseconds(r.ExpectedP90MS), evidence)
	a.printf("ahead in the pool: %d waiting tasks of %d jobs\n", r.AheadTasks, r.AheadJobs)
	if r.Starting < r.Tasks {
		a.printWhyNot(r)
	}
	if r.Refusal != "" {
		a.printf("intake: refused, %s; retry after %s\n", r.Refusal, milliseconds(r.RetryAfterMS))
	} else {
		a.printf("intake: accepted\n")
	}
	if len(r.Places) == 0 {
		return
	}
	var rows [][]string
	for _, p := range r.Places {
		rows = append(rows, []string{p.Worker, p.DataCentre, p.Rack, strconv.Itoa(p.Tasks)})
	}
	a.table([]string{"WORKER", "DATA CENTRE", "RACK", "TASKS"}, rows)
}

// printWhyNot prints why tasks would not start now and when the next one might.
func (a *app) printWhyNot(r wire.WhereReply) {
	if r.Reason == "" {
		a.printf("the others wait for the next plans\n")
	} else {
		a.printf("the others wait: %s, %s; freed when %s\n", r.Reason, r.Detail, r.Reason.Remedy())
	}
	if r.StartsInMS >= 0 {
		a.printf("the next would start in about %s\n", milliseconds(r.StartsInMS))
	} else {
		a.printf("no estimate of the start\n")
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
