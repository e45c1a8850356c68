package ctl

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"os"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/workload"
)

func (a *app) stepsCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "steps",
		ShortUsage: "samphirectl steps submit|get|cancel",
		ShortHelp:  "Submits, queries and cancels jobs that consist of steps of tasks.",
		LongHelp: `The file of a job holds a specification for its tasks and the steps:
  {"specification": "...", "steps": [
    {"count": 4, "size": {"cpu_milli": 500, "memory_mib": 256}, "estimated_ms": 900},
    {"count": 1, "size": {"cpu_milli": 2000}, "after": [0], "speculative": true}]}

EXAMPLES
  samphirectl steps submit -queue settle -file job.json
  samphirectl steps get -queue settle dc1.1764812345678-9f3c
  samphirectl steps cancel -queue settle dc1.1764812345678-9f3c`,
		FlagSet: a.flagSet("steps"),
		Exec:    requireSubcommand,
		Subcommands: []*ffcli.Command{
			a.stepsSubmitCommand(),
			a.stepsJobCommand("get", "Prints the state of a job and the progress of its steps.", http.MethodGet),
			a.stepsJobCommand("cancel", "Cancels a job; its tasks are stopped.", http.MethodDelete),
		},
	}
}

func (a *app) stepsSubmitCommand() *ffcli.Command {
	fs := a.flagSet("steps submit")
	queue := fs.String("queue", "", "queue that takes the job")
	file := fs.String("file", "", "JSON file with the specification and the steps")
	key := fs.String("key", "", "key of the team; none for an open queue")
	id := fs.String("request-id", "", "identifier of the job, to repeat a submission")
	return &ffcli.Command{
		Name:       "submit",
		ShortUsage: "samphirectl steps submit -queue QUEUE -file FILE [flags]",
		ShortHelp:  "Submits a job of steps and prints its record.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if err := noArgs(args); err != nil {
				return err
			}
			body, err := readSteps(*file)
			if err != nil {
				return err
			}
			if *queue == "" {
				return usage("-queue is missing")
			}
			req := jobRequest{method: http.MethodPost, path: stepsPath(*queue, ""), key: a.orEnv(*key, EnvKey), id: *id, body: body, repeated: *id != ""}
			if req.id == "" {
				req.id = "ctl-" + a.env.NewID()
			}
			return a.runJob(ctx, req, a.printSteps)
		},
	}
}

// readSteps reads and validates the file, so that an invalid job is not sent.
func readSteps(file string) ([]byte, error) {
	if file == "" {
		return nil, usage("-file is missing")
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, refusedf("%v", err)
	}
	var job workload.Submit
	if err := json.Unmarshal(body, &job); err != nil {
		return nil, refusedf("%s: %v", file, err)
	}
	if err := job.Check(); err != nil {
		return nil, refusedf("%s: %v", file, err)
	}
	return body, nil
}

func (a *app) stepsJobCommand(name, help, method string) *ffcli.Command {
	fs := a.flagSet("steps " + name)
	queue := fs.String("queue", "", "queue of the job")
	key := fs.String("key", "", "key of the job's team")
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "samphirectl steps " + name + " -queue QUEUE ID",
		ShortHelp:  help,
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "the identifier of a job")
			if err != nil {
				return err
			}
			if *queue == "" {
				return usage("-queue is missing")
			}
			return a.runJob(ctx, jobRequest{method: method, path: stepsPath(*queue, id), key: a.orEnv(*key, EnvKey)}, a.printSteps)
		},
	}
}

func stepsPath(queue, id string) string {
	path := "/v1/queues/" + url.PathEscape(queue) + "/step-jobs"
	if id == "" {
		return path
	}
	return path + "/" + url.PathEscape(id)
}

func (a *app) printSteps(answer []byte) error {
	var job api.StepJob
	if err := json.Unmarshal(answer, &job); err != nil {
		return invalidJobAnswer(err)
	}
	if a.format == formatJSON {
		return a.printJSON(job)
	}
	a.table([]string{"JOB", "QUEUE", "STATE"}, [][]string{{job.ID, job.Queue, string(job.State)}})
	if len(job.Steps) == 0 {
		return nil
	}
	var rows [][]string
	for i, s := range job.Steps {
		rows = append(rows, []string{strconv.Itoa(i), strconv.Itoa(s.Tasks), strconv.Itoa(s.Waiting), strconv.Itoa(s.Running), strconv.Itoa(s.Done)})
	}
	a.table([]string{"STEP", "TASKS", "WAITING", "RUNNING", "DONE"}, rows)
	return nil
}
