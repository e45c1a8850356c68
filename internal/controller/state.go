package controller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/poolmove"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func compareText(a, b string) int { return cmp.Compare(a, b) }

// jobsByWorker groups the assigned jobs by worker. The jobs must not be kept
// beyond the read of the state.
func jobsByWorker(s *fleet.State) map[string][]*fleet.Job {
	byWorker := map[string][]*fleet.Job{}
	for _, j := range s.Jobs {
		if j.State == fleet.JobAssigned {
			byWorker[j.Worker] = append(byWorker[j.Worker], j)
		}
	}
	return byWorker
}

// queuedJobs returns the waiting jobs, in no order.
func queuedJobs(s *fleet.State) []*fleet.Job {
	var jobs []*fleet.Job
	for _, j := range s.Jobs {
		if j.State == fleet.JobQueued {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// late reports whether the deadline of a job has passed.
func late(j *fleet.Job, now fleet.Time) bool {
	return j.Spec.DeadlineMS > 0 && now > j.AcceptedAt+fleet.Time(j.Spec.DeadlineMS)
}

func sortWorkers(workers []poolmove.Worker) {
	slices.SortFunc(workers, func(a, b poolmove.Worker) int { return compareText(a.Name, b.Name) })
}
