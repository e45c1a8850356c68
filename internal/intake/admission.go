package intake

import "math"

const (
	// maxActiveJobs and maxActiveTasks bound the jobs that have not ended, and so the work of a
	// plan. Their memory is bounded by Backlog.MaxBytes.
	maxActiveJobs  = 20_000
	maxActiveTasks = 200_000
	// crowdedPercent is the part of either bound from which on each team is held to its share
	// of them.
	crowdedPercent = 75
	// minRetryMS and maxRetryMS bound the time after which a refused caller may return.
	minRetryMS = 1_000
	maxRetryMS = 30_000
	// electionRetryMS is the time after which a caller may retry when the leader has
	// changed. A change of leader takes 0.5 to 1.2 s.
	electionRetryMS = 1000
)

// RefusalReason says why a submission is refused. It is part of the log and of the answer.
type RefusalReason string

// Refusal reasons.
const (
	RefusedTooManyJobs  RefusalReason = "too many jobs are under way"
	RefusedTooManyTasks RefusalReason = "too many tasks are under way"
	RefusedTooManyBytes RefusalReason = "the jobs under way take too much memory"
	RefusedOverShare    RefusalReason = "the team has more than its share of the jobs under way"
	RefusedOutOfTurn    RefusalReason = "the room is kept for callers that were refused before"
)

// Admission is the decision on whether to accept a job.
type Admission struct {
	// RetryAfterMS is the time, in milliseconds, after which the caller may retry. It is 0
	// when the job is accepted, and positive when it is refused.
	RetryAfterMS int64
	// Reason says why the job is refused.
	Reason RefusalReason
}

// Backlog is what a decision needs to know of the jobs under way.
type Backlog struct {
	// Jobs and Tasks are those that have not ended, and Bytes about the memory that they take.
	Jobs, Tasks int
	Bytes       int64
	// MaxBytes bounds Bytes; 0 is no bound.
	MaxBytes int64
	// TeamJobs, TeamTasks and TeamBytes are those of the submitting team.
	TeamJobs, TeamTasks int
	TeamBytes           int64
	// Weight is that of the team, and Weights the sum over the teams with jobs under way or
	// refused, and this one. Both are at least 1.
	Weight, Weights int64
	// ClearMS is the time in milliseconds in which the pool of the job completes the work
	// ahead of it, or 0 if nothing runs there.
	ClearMS float64
}

// Request is what a decision needs to know of a submission.
type Request struct {
	// Tasks is the number of tasks of the job, and Bytes about the memory that it takes.
	Tasks int
	Bytes int64
	// Ahead is the number of callers within their teams' shares that were refused before this
	// one and are due back, and AheadOverShare that of callers beyond them.
	Ahead, AheadOverShare int
}

// Decide decides whether to accept a new job. A job that is already stored needs no decision.
//
// Load pattern: one team submits far more than all pools can run. Without shares it would
// fill the stores, and every other team would be refused until its jobs have ended. Callers
// that are refused return beside newcomers; without an order, whoever happens to come when a
// job ends is accepted, however long others have waited.
func Decide(b Backlog, r Request) Admission {
	reason, excess := refusal(b, r)
	if reason == "" {
		return Admission{}
	}
	ahead := r.Ahead
	if reason == RefusedOverShare {
		ahead = r.AheadOverShare
	}
	return Admission{RetryAfterMS: retryAfterMS(b, excess+ahead), Reason: reason}
}

// refusal returns why the job is refused, or "", and the number of jobs that have to end
// before it can be accepted.
func refusal(b Backlog, r Request) (RefusalReason, int) {
	freeJobs, freeTasks := maxActiveJobs-b.Jobs, maxActiveTasks-b.Tasks-r.Tasks
	freeBytes := b.MaxBytes - b.Bytes - r.Bytes
	crowded := b.isCrowded()
	switch {
	case crowded && overShare(int64(b.TeamJobs), maxActiveJobs, b):
		return RefusedOverShare, 1 + b.TeamJobs - int(shareOf(maxActiveJobs, b))
	case crowded && overShare(int64(b.TeamTasks), maxActiveTasks, b):
		return RefusedOverShare, 1
	case crowded && b.MaxBytes > 0 && overShare(b.TeamBytes, b.MaxBytes, b):
		return RefusedOverShare, 1
	case freeJobs <= 0:
		return RefusedTooManyJobs, 1 - freeJobs
	case freeTasks < 0:
		return RefusedTooManyTasks, 1 + b.Jobs*-freeTasks/max(b.Tasks, 1)
	case b.MaxBytes > 0 && freeBytes < 0:
		return RefusedTooManyBytes, 1 + int(int64(b.Jobs)*-freeBytes/max(b.Bytes, 1))
	case !crowded:
		return "", 0
	case r.Ahead >= freeJobs:
		return RefusedOutOfTurn, 1
	default:
		return "", 0
	}
}

// isCrowded reports whether teams are held to their shares of the bounds.
func (b *Backlog) isCrowded() bool {
	return b.Jobs*100 >= maxActiveJobs*crowdedPercent || b.Tasks*100 >= maxActiveTasks*crowdedPercent ||
		b.MaxBytes > 0 && b.Bytes*100 >= b.MaxBytes*crowdedPercent
}

// overShare reports whether one more would give the team more than its share of a bound. A job
// counts as one task here, so that a large job is not refused as long as its team has room.
func overShare(has, bound int64, b Backlog) bool {
	return float64(has+1) > shareOf(bound, b)
}

// shareOf returns the team's share of a bound.
func shareOf(bound int64, b Backlog) float64 {
	return float64(bound) * float64(b.Weight) / float64(b.Weights)
}

// retryAfterMS returns the time in which the given number of the jobs under way end.
func retryAfterMS(b Backlog, jobs int) int64 {
	if b.ClearMS <= 0 || b.Jobs == 0 {
		return maxRetryMS
	}
	ms := math.Ceil(b.ClearMS * float64(jobs) / float64(b.Jobs))
	return int64(min(max(ms, minRetryMS), maxRetryMS))
}
