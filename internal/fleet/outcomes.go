package fleet

import "slices"

// applyOutcomes verifies and applies each outcome separately.
func (s *State) applyOutcomes(c *JobOutcomes) Result {
	var res Result
	for i, o := range c.Outcomes {
		j, ok := s.Jobs[o.JobID]
		if !ok {
			res.reject(i, refusal(CodeNotFound, "no job %q", o.JobID))
			continue
		}
		if refused := checkOutcome(j, o); refused != nil {
			res.reject(i, refused)
			continue
		}
		s.endAttempt(j, o)
	}
	return res
}

// checkOutcome verifies that an outcome applies to the latest attempt and that this is
// still assigned. OutcomeDone is also accepted later, from a worker that was considered
// lost: as long as no further attempt was assigned and the job has no final state that the
// result contradicts, which is every final state except JobMayHaveRun.
func checkOutcome(j *Job, o JobOutcome) *Refusal {
	if o.Attempt != j.Attempt || j.Attempt == 0 {
		return refusal(CodeStale, "job %s is at attempt %d", j.ID, j.Attempt)
	}
	switch o.Kind {
	case OutcomeFailed, OutcomeNotStarted, OutcomeStopped, OutcomeCheckpointed, OutcomeLost:
		if j.State == JobAssigned {
			return nil
		}
	case OutcomeDone:
		if !j.State.Final() || j.State == JobMayHaveRun {
			return nil
		}
	default:
		return refusal(CodeInvalid, "unknown outcome %q", o.Kind)
	}
	return refusal(CodeStale, "job %s is %s", j.ID, j.State)
}

func (s *State) endAttempt(j *Job, o JobOutcome) {
	if o.Kind != OutcomeNotStarted {
		j.Started = true
	}
	switch o.Kind {
	case OutcomeDone:
		s.endDoneAttempt(j, o)
	case OutcomeNotStarted:
		s.endUnstartedAttempt(j, o)
	case OutcomeFailed:
		j.Reported = true
		if !slices.Contains(j.FailedOn, j.Worker) {
			j.FailedOn = append(slices.Clone(j.FailedOn), j.Worker)
		}
		s.endRunAttempt(j, o, JobFailed)
	default:
		s.endRunAttempt(j, o, JobMayHaveRun)
	}
}

func (s *State) endDoneAttempt(j *Job, o JobOutcome) {
	if len(o.Result) > MaxBlobBytes {
		s.finish(j, JobDone, "the result is too large to be kept", nil)
		return
	}
	s.finish(j, JobDone, "", o.Result)
}

func (s *State) endUnstartedAttempt(j *Job, o JobOutcome) {
	switch {
	case j.CancelRequested:
		s.finish(j, JobCancelled, "cancelled", nil)
	case o.Permanent:
		s.finish(j, JobFailed, o.reason(), nil)
	case j.Started && !j.Spec.Idempotent:
		s.finish(j, JobMayHaveRun, "the worker's reports contradict each other", nil)
	default:
		s.requeue(j, o.reason(), o.RetryDelayMS)
	}
}

// endRunAttempt ends an attempt that ran or may have run. fallback is the final state of a
// job that is neither cancelled nor failed for good and can't be attempted again.
func (s *State) endRunAttempt(j *Job, o JobOutcome, fallback JobState) {
	switch {
	case j.CancelRequested && o.Kind != OutcomeLost:
		s.finish(j, JobCancelled, "cancelled", nil)
	case j.CancelRequested:
		s.finish(j, JobMayHaveRun, o.reason(), nil)
	case o.Permanent && o.Kind == OutcomeLost && !j.Reported:
		// JobFailed would tell the caller that the job has run.
		s.finish(j, JobMayHaveRun, o.reason(), nil)
	case o.Permanent:
		s.finish(j, JobFailed, o.reason(), nil)
	case j.Spec.Idempotent:
		s.requeue(j, o.reason(), o.RetryDelayMS)
	default:
		s.finish(j, fallback, o.reason(), nil)
	}
}

func (o JobOutcome) reason() string {
	if o.Reason == "" {
		return string(o.Kind)
	}
	return o.Reason[:min(len(o.Reason), maxNameBytes)]
}

// lostOutcome returns the outcome of an attempt whose real outcome can no longer be
// determined.
func lostOutcome(reason string) JobOutcome {
	return JobOutcome{Kind: OutcomeLost, Reason: reason}
}

// endAttemptsOn ends the attempts of the selected jobs that are assigned to a worker.
func (s *State) endAttemptsOn(worker string, o JobOutcome, selected func(*Job) bool) {
	for _, id := range s.AssignedTo(worker) {
		if j := s.Jobs[id]; selected(j) {
			s.endAttempt(j, o)
		}
	}
}

// applyObserve verifies and applies each observation separately.
func (s *State) applyObserve(c *Observe) Result {
	var res Result
	for i, o := range c.Observations {
		if refused := s.checkObservation(o); refused != nil {
			res.reject(i, refused)
			continue
		}
		s.observe(o)
	}
	return res
}

func (s *State) checkObservation(o Observation) *Refusal {
	st, ok := s.Status[o.Instance]
	if !ok {
		return refusal(CodeNotFound, "no instance %q", o.Instance)
	}
	if o.Lost && o.Incarnation != "" && o.Incarnation != st.Incarnation {
		return refusal(CodeStale, "instance %s has another incarnation", o.Instance)
	}
	for _, a := range []int64{o.Capacity.CPUMilli, o.Capacity.MemoryMiB, o.Capacity.Accelerators} {
		if a < 0 || a > maxAmount {
			return refusal(CodeInvalid, "the capacity of instance %s is out of range", o.Instance)
		}
	}
	return nil
}

func (s *State) observe(o Observation) {
	st := s.Status[o.Instance]
	switch {
	case o.QuarantineMS < 0:
		st.QuarantinedUntil = 0
	case o.QuarantineMS > 0:
		st.QuarantinedUntil = s.Now + Time(min(o.QuarantineMS, dayMS))
	}
	if o.Lost {
		st.Lost = true
		s.Status[o.Instance] = st
		s.endAttemptsOn(o.Instance, lostOutcome("the worker is lost"), s.stopsAtLeaseEnd)
		return
	}
	if o.Incarnation != "" {
		s.applyAnnouncement(&st, o)
	}
	s.Status[o.Instance] = st
	for _, id := range o.Started {
		if j := s.Jobs[id]; j != nil && j.State == JobAssigned && j.Worker == o.Instance && j.WorkerIncarnation == st.Incarnation {
			j.Started = true
			j.Reported = true
		}
	}
}

// applyAnnouncement records the state that an instance reports of itself. A new incarnation
// proves that the tasks of the previous process no longer run, so it ends their attempts.
func (s *State) applyAnnouncement(st *InstanceStatus, o Observation) {
	// A worker that was lost may have been shut down, and the attempts that started last
	// may have ended with its lease. One that drains may be restarted on purpose.
	crashed := !st.Lost && st.Phase == PhaseActive
	st.Seen = true
	st.Lost = false
	st.Incarnation = o.Incarnation
	if o.Address != "" {
		st.Address = o.Address
	}
	if o.Capacity != (Resources{}) {
		st.Capacity = o.Capacity
	}
	s.endAttemptsBefore(o.Incarnation, o.Instance, crashed)
}

// stopsAtLeaseEnd reports whether a partitioned worker stops the job by the end of the
// lease of its task. Other jobs stay assigned, and their units in use. The policy is that
// of the assignment, since a later change of the queue does not reach the worker.
func (s *State) stopsAtLeaseEnd(j *Job) bool {
	return j.OnPartition != PartitionKeep
}
