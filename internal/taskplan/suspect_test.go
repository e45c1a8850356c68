package taskplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// makeSuspect lets a worker crash under the first task of a job.
func (f *fixture) makeSuspect(job string) {
	ref := workload.TaskRef{Job: job}
	worker := workload.WorkerIncarnation{ID: "crashed"}
	f.state.Apply(&workload.Command{Progress: &workload.Progress{Starts: []workload.Start{{Task: ref, Run: 1, Worker: worker}}}}, now)
	f.state.Apply(&workload.Command{Progress: &workload.Progress{Ends: []workload.End{
		{Task: ref, Run: 1, Worker: worker, Outcome: workload.OutcomeCrashed, CrashScore: workload.CrashScoreUnreported},
	}}}, now)
}

// A task that may crash its worker must not take other tasks with it: it goes where the
// fewest tasks run, and starts with no other task.
func TestSuspectTaskRunsApart(t *testing.T) {
	f := newFixture(3, workload.Team{Name: "team"})
	service := step(1, 500)
	service.LongRunning = true
	f.submit("service", "batch", "team", now, service)
	busy := f.apply(f.plan())
	f.submit("suspect", "batch", "team", now, step(1, 500))
	f.makeSuspect("suspect")
	f.submit("other suspect", "batch", "team", now, step(1, 500))
	f.makeSuspect("other suspect")
	f.submit("good", "batch", "team", now, step(4, 500))
	p := f.plan()
	workers := map[string]string{}
	for _, s := range p.Starts {
		if s.Task.Job != "good" {
			workers[s.Task.Job] = s.Worker.ID
		}
	}
	require.Len(t, workers, 2)
	require.NotEqual(t, workers["suspect"], workers["other suspect"])
	for _, w := range workers {
		require.NotContains(t, busy, w, "a worker without long-running tasks is free")
	}
	for worker, tasks := range f.apply(p) {
		if worker == workers["suspect"] || worker == workers["other suspect"] {
			require.Equal(t, 1, tasks)
		}
	}
}

// A suspect task must still run when every worker has long-running tasks.
func TestSuspectTaskRunsBesideOthersIfNoWorkerIsFree(t *testing.T) {
	f := newFixture(1, workload.Team{Name: "team"})
	service := step(1, 500)
	service.LongRunning = true
	f.submit("service", "batch", "team", now, service)
	f.apply(f.plan())
	f.submit("suspect", "batch", "team", now, step(1, 500))
	f.makeSuspect("suspect")
	require.Len(t, f.plan().Starts, 1)
}
