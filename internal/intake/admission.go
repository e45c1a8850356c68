package intake

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// maxActiveJobs and maxActiveTasks bound the jobs that have not ended, and so the memory
	// of a store: a task takes about 0.3 KiB, and twice that while a snapshot is written.
	maxActiveJobs  = 20_000
	maxActiveTasks = 200_000
	// overloadRetryMS is the time after which a caller may retry when there are too many
	// jobs. At 25 jobs a second, 50 jobs end in this time.
	overloadRetryMS = 2000
	// electionRetryMS is the time after which a caller may retry when the leader has
	// changed. A change of leader takes 0.5 to 1.2 s.
	electionRetryMS = 1000
)

// Admission is the decision on whether to accept a job.
type Admission struct {
	// RetryAfterMS is the time, in milliseconds, after which the caller may retry. It is 0
	// when the job is accepted, and positive when it is refused.
	RetryAfterMS int64
	// Reason says why the job is refused.
	Reason string
}

// Admit decides whether to accept a new job. A job that is already stored needs no
// decision.
func Admit(s *workload.State) Admission {
	switch {
	case len(s.Active()) >= maxActiveJobs:
		return Admission{RetryAfterMS: overloadRetryMS, Reason: "too many jobs are under way"}
	case s.ActiveTasks() >= maxActiveTasks:
		return Admission{RetryAfterMS: overloadRetryMS, Reason: "too many tasks are under way"}
	default:
		return Admission{}
	}
}
