package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wait"
)

// maxJobAnswerBytes limits the size of a response from the callers' interface.
const maxJobAnswerBytes = 1 << 20

// jobFlags holds the flags of job submit.
type jobFlags struct {
	queue     string
	payload   string
	requestID string
	spec      fleet.JobSpec
	runTime   time.Duration
	deadline  time.Duration
}

func (j *jobFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&j.queue, "queue", "", "queue that takes the job")
	fs.StringVar(&j.payload, "payload", "", "file with the payload")
	fs.StringVar(&j.requestID, "request-id", "", "identifier of the job, to repeat a submission")
	fs.Int64Var(&j.spec.Size.CPUMilli, "cpu-milli", 0, "processors, in thousandths")
	fs.Int64Var(&j.spec.Size.MemoryMiB, "memory-mib", 0, "memory in MiB")
	fs.Int64Var(&j.spec.Size.Accelerators, "accelerators", 0, "accelerators")
	fs.BoolVar(&j.spec.Idempotent, "idempotent", false, "the job may be run again after an unknown outcome")
	fs.DurationVar(&j.runTime, "run-time", 0, "declared run time")
	fs.DurationVar(&j.deadline, "deadline", 0, "time after which the job must not be started; 0 means none")
}

func (a *app) jobCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "job",
		ShortUsage: "samphirectl job submit|get|cancel",
		ShortHelp:  "Submits, queries and cancels jobs over the callers' interface.",
		LongHelp: `EXAMPLES
  samphirectl job submit -queue settle -cpu-milli 500 -memory-mib 256 -payload order.json
  samphirectl job get -wait 20s dc1.1764812345678-9f3c
  samphirectl job cancel dc1.1764812345678-9f3c`,
		FlagSet:     a.flagSet("job"),
		Exec:        requireSubcommand,
		Subcommands: []*ffcli.Command{a.jobSubmitCommand(), a.jobGetCommand(), a.jobCancelCommand()},
	}
}

func (a *app) jobSubmitCommand() *ffcli.Command {
	j := &jobFlags{}
	fs := a.flagSet("job submit")
	key := fs.String("key", "", "key of the team; none for an open queue")
	j.register(fs)
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "samphirectl job submit -queue QUEUE [flags]",
		ShortHelp:  "Submits a job and prints its record.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			req, err := a.submission(j, *key)
			if err != nil {
				return err
			}
			return a.runJob(ctx, req, a.printJob)
		},
	}
}

// submission builds the request. Its identifier makes it safe to send again.
func (a *app) submission(j *jobFlags, key string) (jobRequest, error) {
	if j.queue == "" {
		return jobRequest{}, usage("-queue is missing")
	}
	if j.payload != "" {
		data, err := os.ReadFile(j.payload)
		if err != nil {
			return jobRequest{}, refusedf("%v", err)
		}
		j.spec.Payload = data
	}
	j.spec.RunTimeMS = j.runTime.Milliseconds()
	j.spec.DeadlineMS = j.deadline.Milliseconds()
	body, err := json.Marshal(j.spec)
	if err != nil {
		return jobRequest{}, errors.Wrap(err, "encode job specification")
	}
	repeated := j.requestID != ""
	if !repeated {
		j.requestID = "ctl-" + a.env.NewID()
	}
	path := "/v1/queues/" + url.PathEscape(j.queue) + "/jobs"
	return jobRequest{method: http.MethodPost, path: path, key: a.orEnv(key, EnvKey), id: j.requestID, body: body, repeated: repeated}, nil
}

func (a *app) jobGetCommand() *ffcli.Command {
	fs := a.flagSet("job get")
	key := fs.String("key", "", "key of the job's team")
	wait := fs.Duration("wait", 0, "time to wait until the job is final")
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "samphirectl job get [-wait 20s] ID",
		ShortHelp:  "Prints the record of a job.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "the identifier of a job")
			if err != nil {
				return err
			}
			path := "/v1/jobs/" + url.PathEscape(id) + "?wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
			return a.runJob(ctx, jobRequest{method: http.MethodGet, path: path, key: a.orEnv(*key, EnvKey), wait: *wait}, a.printJob)
		},
	}
}

func (a *app) jobCancelCommand() *ffcli.Command {
	fs := a.flagSet("job cancel")
	key := fs.String("key", "", "key of the job's team")
	return &ffcli.Command{
		Name:       "cancel",
		ShortUsage: "samphirectl job cancel ID",
		ShortHelp:  "Cancels a job and prints whether it ran.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "the identifier of a job")
			if err != nil {
				return err
			}
			path := "/v1/jobs/" + url.PathEscape(id)
			return a.runJob(ctx, jobRequest{method: http.MethodDelete, path: path, key: a.orEnv(*key, EnvKey)}, a.printCancelled)
		},
	}
}

// jobRequest is one request to the callers' interface.
type jobRequest struct {
	method string
	path   string
	key    string
	id     string
	body   []byte
	wait   time.Duration
	// repeated states that an earlier command may have sent this identifier.
	repeated bool
}

func (a *app) runJob(ctx context.Context, req jobRequest, print func([]byte) error) error {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	targets, err := a.targets()
	if err != nil {
		return err
	}
	outcomeUnknown := false
	for i := 0; ; i++ {
		answer, err := req.send(ctx, targets[i%len(targets)].base, i+1)
		if err == nil {
			return print(answer)
		}
		final, mayHaveRun := classifyJobError(err)
		if final != nil {
			return final
		}
		outcomeUnknown = outcomeUnknown || (mayHaveRun && req.method != http.MethodGet)
		if !wait.ForAttempt(ctx, retryDelay, minAttemptTime) {
			return noFinalJobAnswer(outcomeUnknown, req.id, err)
		}
	}
}

// send makes one attempt. The attempt number is sent so that the entry instance can
// give the verdict not_run to a first attempt. It is omitted when an earlier command
// may have sent the same identifier.
func (req jobRequest) send(ctx context.Context, base string, attempt int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+req.wait)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, req.method, base+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, usage("%v", err)
	}
	r.Header.Set(api.HeaderContentType, "application/json")
	if req.key != "" {
		r.Header.Set(api.HeaderKey, req.key)
	}
	if req.id != "" {
		r.Header.Set(api.HeaderRequestID, req.id)
		if !req.repeated || attempt > 1 {
			r.Header.Set(api.HeaderAttempt, strconv.Itoa(attempt))
		}
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxJobAnswerBytes))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusAccepted {
		return data, nil
	}
	return nil, jobRefusal(resp.StatusCode, data)
}

// jobRefusal decodes a refusal. A response without a verdict is treated as
// may_have_run.
func jobRefusal(status int, data []byte) *api.Refusal {
	r := &api.Refusal{Status: status}
	if json.Unmarshal(data, r) != nil || r.Verdict == "" {
		return &api.Refusal{Verdict: api.MayHaveRun, Code: api.CodeOutcomeUnknown, Message: "HTTP response has no verdict", Status: status}
	}
	return r
}

// classifyJobError is classifyError for requests to the callers' interface.
func classifyJobError(err error) (final error, mayHaveRun bool) {
	var r *api.Refusal
	if !errors.As(err, &r) {
		return classifyError(err)
	}
	switch {
	case r.Verdict == api.MayHaveRun:
		return nil, true
	case r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests:
		return nil, false
	case r.Status == http.StatusConflict:
		return &Error{Exit: ExitConflict, Message: r.Error()}, false
	}
	return &Error{Exit: ExitRefused, Message: r.Error()}, false
}

func noFinalJobAnswer(outcomeUnknown bool, id string, last error) error {
	if !outcomeUnknown {
		return &Error{Exit: ExitUnavailable, Message: "unavailable; nothing was changed: " + last.Error()}
	}
	msg := "no final answer in time; the request may have been carried out: " + last.Error()
	if id != "" {
		msg += "\nrepeat the command with -request-id " + id + " to learn the outcome"
	}
	return &Error{Exit: ExitMayHaveRun, Message: msg}
}

// printJob prints a job record as JSON, or its main fields as a table.
func (a *app) printJob(answer []byte) error {
	var job fleet.Job
	if err := json.Unmarshal(answer, &job); err != nil {
		return invalidJobAnswer(err)
	}
	return a.printRecord(job)
}

func invalidJobAnswer(err error) error {
	return &Error{Exit: ExitMayHaveRun, Message: "the answer is not a job record: " + err.Error()}
}

// printCancelled prints the record and whether the job ran.
func (a *app) printCancelled(answer []byte) error {
	var reply api.CancelReply
	if err := json.Unmarshal(answer, &reply); err != nil {
		return invalidJobAnswer(err)
	}
	if a.format == formatJSON {
		return a.printJSON(reply)
	}
	if reply.Job != nil {
		if err := a.printRecord(*reply.Job); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(a.env.Stdout, "ran:", reply.Ran)
	return err
}

func (a *app) printRecord(job fleet.Job) error {
	if a.format == formatJSON {
		return a.printJSON(job)
	}
	a.table([]string{"JOB", "TEAM", "QUEUE", "STATE", "ATTEMPT", "STARTED", "WORKER", "REASON"}, [][]string{{
		job.ID, job.Team, job.Queue, string(job.State), strconv.Itoa(job.Attempt), strconv.FormatBool(job.Started), job.Worker, job.Reason,
	}})
	return nil
}
