package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Refusal.RetryAfterMS of submissions that a full queue refuses, and of those that the
// bounds on retained bytes and records refuse. A queue has room again sooner.
const (
	retainedRetryMS = 60 * 1000
	queueRetryMS    = 1000
)

// jobContent is the part of a submission that its fingerprint covers.
type jobContent struct {
	Team, Queue string
	Spec        JobSpec
}

// applySubmit accepts a job. A repeated submission gets the present record even when its
// key was withdrawn meanwhile, since a refusal would say that the job was not run.
func (s *State) applySubmit(c *JobSubmit) Result {
	if !validName(c.ID) {
		return refuse(CodeInvalid, "a job identifier has 1 to %d bytes", maxNameBytes)
	}
	if refused := s.checkOwner(c); refused != nil {
		return Result{Refusal: refused}
	}
	hash := fingerprint(jobContent{c.Team, c.Queue, c.Spec})
	if j, ok := s.Jobs[c.ID]; ok {
		return repeatSubmission(j, hash)
	}
	if _, ok := s.index.tombstones[xxhash.Sum64String(c.ID)]; ok {
		return refuse(CodeExpired, "the record of job %s has expired", c.ID)
	}
	if refused := s.checkSubmit(c); refused != nil {
		return Result{Refusal: refused}
	}
	j := &Job{
		ID: c.ID, Team: c.Team, Queue: c.Queue, Spec: c.Spec,
		State: JobQueued, AcceptedAt: s.Now, Fingerprint: hash,
	}
	j.Spec.Payload = slices.Clone(c.Spec.Payload)
	s.Jobs[j.ID] = j
	s.index.adjust(j, 1)
	return Result{Job: j.view()}
}

func repeatSubmission(j *Job, hash uint64) Result {
	if j.Fingerprint != hash {
		return refuse(CodeRequestIDReused, "job identifier %s was used for another job", j.ID)
	}
	return Result{Job: j.view(), Resent: true}
}

// checkOwner verifies that the key of a submission belongs to its team.
func (s *State) checkOwner(c *JobSubmit) *Refusal {
	if c.Team == "" && c.KeyID == "" {
		return nil
	}
	k, ok := s.Config.Keys[c.KeyID]
	if !ok || k.Team != c.Team {
		return refusal(CodeUnauthorized, "key %q is not a key of team %q", c.KeyID, c.Team)
	}
	return nil
}

func (s *State) checkSubmit(c *JobSubmit) *Refusal {
	q, ok := s.Config.Queues[c.Queue]
	if !ok {
		return refusal(CodeNotFound, "no queue %q", c.Queue)
	}
	if !q.Open && c.Team == "" {
		return refusal(CodeUnauthorized, "queue %s needs a key", q.Name)
	}
	if s.Config.Keys[c.KeyID].Withdrawn {
		return refusal(CodeKeyWithdrawn, "key %s is withdrawn", c.KeyID)
	}
	if _, ok := s.Config.Teams[c.Team]; !ok && c.Team != "" {
		return refusal(CodeNotFound, "no team %q", c.Team)
	}
	if refused := checkSpec(&c.Spec); refused != nil {
		return refused
	}
	if s.Queued(c.Queue, c.Team) >= q.MaxQueuedPerTeam {
		refused := refusal(CodeQueueFull, "queue %s holds %d jobs of the team", q.Name, q.MaxQueuedPerTeam)
		refused.RetryAfterMS = queueRetryMS
		return refused
	}
	if len(s.Jobs)+len(s.Tombstones) >= maxElements {
		refused := refusal(CodeQueueFull, "%d job records and identifiers are retained", maxElements)
		refused.RetryAfterMS = retainedRetryMS
		return refused
	}
	if s.RetainedBytes()+len(c.Spec.Payload) > MaxRetainedBytes {
		refused := refusal(CodeQueueFull, "retained payloads and results exceed %d bytes", MaxRetainedBytes)
		refused.RetryAfterMS = retainedRetryMS
		return refused
	}
	return nil
}

func checkSpec(spec *JobSpec) *Refusal {
	amounts := []int64{
		spec.Size.CPUMilli, spec.Size.MemoryMiB, spec.Size.Accelerators, spec.RunTimeMS, spec.DeadlineMS,
	}
	for _, a := range amounts {
		if a < 0 || a > maxAmount {
			return refusal(CodeInvalid, "a size or time of the job is out of range")
		}
	}
	if len(spec.Payload) > MaxBlobBytes {
		return refusal(CodeInvalid, "the payload exceeds %d bytes", MaxBlobBytes)
	}
	return nil
}

// view returns a copy of the job without its payload, for the answer to a caller.
func (j *Job) view() *Job {
	v := *j
	v.Spec.Payload = nil
	return &v
}

// View returns a copy of a job without its payload, or nil when there is no record of it.
func (s *State) View(id string) *Job {
	if j, ok := s.Jobs[id]; ok {
		return j.view()
	}
	return nil
}

// Expired reports whether a tombstone exists for a job identifier: the job was accepted,
// and its record was removed.
func (s *State) Expired(id string) bool {
	_, ok := s.index.tombstones[xxhash.Sum64String(id)]
	return ok
}

// overdue reports whether the job has a deadline that has passed.
func (j *Job) overdue(now Time) bool {
	return j.Spec.DeadlineMS > 0 && now > j.AcceptedAt+Time(j.Spec.DeadlineMS)
}

// applyCancel cancels a queued job at once and requests the worker to stop an assigned one.
// A final job stays as it is.
func (s *State) applyCancel(c *JobCancel) Result {
	j, ok := s.Jobs[c.ID]
	if !ok {
		if s.Expired(c.ID) {
			return refuse(CodeExpired, "the record of job %s has expired", c.ID)
		}
		return refuse(CodeNotFound, "no job %q", c.ID)
	}
	if j.Team != "" && j.Team != c.Team {
		return refuse(CodeUnauthorized, "job %s belongs to another team", c.ID)
	}
	switch j.State {
	case JobQueued:
		s.finish(j, JobCancelled, "cancelled", nil)
	case JobAssigned:
		j.CancelRequested = true
	}
	return Result{Job: j.view()}
}

// finish makes a job final and drops its payload.
func (s *State) finish(j *Job, state JobState, reason string, result []byte) {
	s.update(j, func(j *Job) {
		j.State = state
		j.Reason = reason
		j.FinishedAt = s.Now
		j.RetryNotBefore = 0
		j.NotRun = !j.Started
		j.Spec.Payload = nil
		j.Result = slices.Clone(result)
	})
}

// requeue returns a job to its queue. It is not assigned before the delay has passed.
func (s *State) requeue(j *Job, reason string, delayMS int64) {
	s.update(j, func(j *Job) {
		j.State = JobQueued
		j.Reason = reason
		j.RetryNotBefore = 0
		if delayMS > 0 {
			j.RetryNotBefore = s.Now + Time(min(delayMS, dayMS))
		}
	})
}

// applyAssign verifies and applies each assignment separately.
func (s *State) applyAssign(c *JobAssign) Result {
	var res Result
	for i, a := range c.Assignments {
		if refused := s.CheckAssignment(a); refused != nil {
			res.reject(i, refused)
			continue
		}
		s.update(s.Jobs[a.JobID], func(j *Job) {
			j.State = JobAssigned
			j.Attempt++
			j.Worker = a.Worker
			j.WorkerIncarnation = a.Incarnation
			j.AssignedAt = s.Now
			j.OnPartition = s.Config.Queues[j.Queue].OnPartition
			j.RetryNotBefore = 0
			j.Reason = ""
		})
	}
	return res
}

// CheckAssignment returns nil when the assignment would be accepted in the present state,
// and else the refusal.
func (s *State) CheckAssignment(a Assignment) *Refusal {
	j, ok := s.Jobs[a.JobID]
	if !ok {
		return refusal(CodeNotFound, "no job %q", a.JobID)
	}
	if j.State != JobQueued || j.overdue(s.Now) {
		return refusal(CodeStale, "job %s is not waiting", j.ID)
	}
	if j.Started && !j.Spec.Idempotent {
		return refusal(CodeStale, "job %s may have run and is not idempotent", j.ID)
	}
	if j.RetryNotBefore > s.Now {
		return refusal(CodeStale, "job %s waits for its retry time", j.ID)
	}
	if refused := s.checkWorker(a, j); refused != nil {
		return refused
	}
	return s.checkLimit(j.Team)
}

func (s *State) checkWorker(a Assignment, j *Job) *Refusal {
	in, ok := s.Config.Instances[a.Worker]
	if !ok || in.Kind != KindWorker {
		return refusal(CodeNotFound, "no worker %q", a.Worker)
	}
	st := s.Status[a.Worker]
	if !st.Seen || st.Incarnation != a.Incarnation {
		return refusal(CodeStale, "worker %s has another incarnation", a.Worker)
	}
	if !st.available() || st.QuarantinedUntil > s.Now {
		return refusal(CodeStale, "worker %s takes no new jobs", a.Worker)
	}
	if in.Pool != s.Config.Queues[j.Queue].Pool {
		return refusal(CodeStale, "worker %s is in pool %s", a.Worker, in.Pool)
	}
	if s.Config.Evacuated(in.DataCentre) {
		return refusal(CodeStale, "worker %s is in the evacuated data centre %s", a.Worker, in.DataCentre)
	}
	if !s.Used(a.Worker).Plus(j.Spec.Size).Fits(st.Capacity.overcommitted()) {
		return refusal(CodeStale, "worker %s has no room for job %s", a.Worker, j.ID)
	}
	return nil
}

// MaxOvercommit is the largest ratio of the declared sizes of the jobs on a worker to its
// processors and memory. Jobs may use far less than they declare, and the leader places
// them by observed use. Accelerators are not overcommitted.
const MaxOvercommit = 2

func (r Resources) overcommitted() Resources {
	r.CPUMilli *= MaxOvercommit
	r.MemoryMiB *= MaxOvercommit
	return r
}

// checkLimit verifies that a team may run one more job. Jobs of open queues that were
// submitted without a key have no team, and no limit applies to them.
func (s *State) checkLimit(team string) *Refusal {
	if team == "" {
		return nil
	}
	limit := s.Config.Teams[team].Limit
	if s.Running(team)+s.Granted(team)+1 > limit {
		return refusal(CodeLimit, "team %s is at its limit of %d", team, limit)
	}
	return nil
}
