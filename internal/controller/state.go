package controller

import (
	"cmp"
	"maps"
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/poolmove"
)

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

// compareStrings is cmp.Compare for strings.
func compareStrings(a, b string) int { return cmp.Compare(a, b) }

// assignedJobs returns the jobs assigned to a worker, sorted by identifier. They must
// not be used after the read of the state has ended.
func assignedJobs(s *fleet.State, worker string) []*fleet.Job {
	var jobs []*fleet.Job
	s.EachAssignedTo(worker, func(j *fleet.Job) { jobs = append(jobs, j) })
	slices.SortFunc(jobs, func(a, b *fleet.Job) int { return compareStrings(a.ID, b.ID) })
	return jobs
}

// deadlinePassed reports whether the deadline of a job has passed.
func deadlinePassed(j *fleet.Job, now fleet.Time) bool {
	return j.Spec.DeadlineMS > 0 && now > j.AcceptedAt+fleet.Time(j.Spec.DeadlineMS)
}

// sortWorkers sorts workers by name.
func sortWorkers(workers []poolmove.Worker) {
	slices.SortFunc(workers, func(a, b poolmove.Worker) int { return compareStrings(a.Name, b.Name) })
}
