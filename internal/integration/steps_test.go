package integration

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/harness"
	"github.com/samphirefork/samphirefork/internal/simworker"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	stepQueue   = "narration-packs"
	stepTimeout = 60 * time.Second
)

// steps runs samphirectl steps and returns the printed record and the exit code.
func (e *env) steps(args ...string) (api.StepJob, int) {
	e.t.Helper()
	cmd := exec.CommandContext(e.ctx, filepath.Join(binFolder, "samphirectl"), append([]string{"steps"}, args...)...)
	cmd.Env = append(cmd.Environ(), "SAMPHIRE_ENTRY="+e.fleet.Entries[0].Address, "SAMPHIRE_KEY="+e.stepKey())
	out, err := cmd.Output()
	if err != nil {
		return api.StepJob{}, cmd.ProcessState.ExitCode()
	}
	var job api.StepJob
	require.NoError(e.t, json.Unmarshal(out, &job))
	return job, 0
}

// requireWhere requires that the job in the file would start now, from the command line over
// an entry instance and the leader.
func (e *env) requireWhere(file string) {
	e.t.Helper()
	cmd := exec.CommandContext(e.ctx, filepath.Join(binFolder, "samphirectl"), "where", "-o", "json", "-queue", stepQueue, "-f", file)
	cmd.Env = append(cmd.Environ(), "SAMPHIRE_ENTRY="+e.fleet.Entries[0].Address, "SAMPHIRE_TOKEN="+harness.OperatorToken)
	out, err := cmd.Output()
	require.NoError(e.t, err)
	var reply wire.WhereReply
	require.NoError(e.t, json.Unmarshal(out, &reply))
	require.Equal(e.t, 6, reply.Starting, "%s", out)
	require.NotEmpty(e.t, reply.Leader)
}

func (e *env) stepKey() string {
	return e.keys[harness.SortedKeys(e.keys)[0]].Key
}

// startStepWorkers runs simulated workers of step jobs until the test ends.
func (e *env) startStepWorkers(pool string, count int) {
	for i := range count {
		w := simworker.NewStepWorker(simworker.Config{
			Instance: "steps-" + string(rune('a'+i)), DataCentre: e.fleet.Entries[0].DataCentre, Rack: "r1",
			Entries: []string{e.fleet.Entries[0].Address, e.fleet.Entries[1].Address}, Capacity: fleet.Resources{CPUMilli: 4000, MemoryMiB: 4096},
			Steps: &simworker.StepSettings{Pool: pool},
		}, zerolog.Nop())
		ctx, stop := context.WithCancel(e.ctx)
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		e.t.Cleanup(func() { stop(); <-done })
	}
}

// Guards the product's own way for jobs of steps, from the command line over the
// callers' interface and the leader to simulated workers, also across a crash of
// the leader; and against bad input that is taken or changes something.
func TestStepJobs(t *testing.T) {
	e := start(t, nil)
	queue := e.cfg.Queues[stepQueue]
	e.startStepWorkers(queue.Pool, 2)
	file := filepath.Join(t.TempDir(), "job.json")
	write := func(v any) {
		data, err := json.Marshal(v)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(file, data, 0o600))
	}
	job := workload.Submit{Specification: `{"run_ms":400}`, Steps: []workload.Step{
		{Count: 6, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: 400},
		{Count: 2, Size: workload.Resources{CPUMilli: 1000}, EstimatedMS: 400, After: []int{0}, Speculative: true},
	}}
	write(job)
	await := func(id string, want workload.JobState) {
		t.Helper()
		require.Eventually(t, func() bool {
			record, _ := e.steps("get", "-o", "json", "-queue", stepQueue, id)
			return record.State == want
		}, stepTimeout, 200*time.Millisecond)
	}
	record, exit := e.steps("submit", "-o", "json", "-queue", stepQueue, "-file", file, "-request-id", "steps-1")
	require.Zero(t, exit)
	require.Equal(t, workload.JobQueued, record.State)
	_, exit = e.steps("submit", "-o", "json", "-queue", stepQueue, "-file", file, "-request-id", "steps-1")
	require.Zero(t, exit, "a repetition is the same job")
	e.leader().Kill()
	await("steps-1", workload.JobCompleted)
	e.requireWhere(file)

	job.Steps[0].LongRunning = true
	write(job)
	_, exit = e.steps("submit", "-o", "json", "-queue", stepQueue, "-file", file, "-request-id", "steps-1")
	require.Equal(t, 3, exit, "other content under a known identifier")
	_, exit = e.steps("submit", "-o", "json", "-queue", stepQueue, "-file", file, "-request-id", "steps-2")
	require.Zero(t, exit)
	await("steps-2", workload.JobRunning)
	_, exit = e.steps("cancel", "-o", "json", "-queue", stepQueue, "steps-2")
	require.Zero(t, exit)
	await("steps-2", workload.JobCancelled)

	job.Steps[1].After = []int{1}
	write(job)
	_, exit = e.steps("submit", "-queue", stepQueue, "-file", file)
	require.Equal(t, 1, exit, "a step that waits for itself")
	_, exit = e.steps("get", "-queue", stepQueue, "steps-3")
	require.Equal(t, 1, exit)
	url := "http://" + e.fleet.Entries[0].Address + "/v1/step-workers/steps-x"
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPut, url, nil)
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadRequest, resp.StatusCode, "an empty report")
}
