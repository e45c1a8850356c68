package fleet

import "slices"

// ReasonCrashes is the reason of a job that was given up because its workers crashed.
const ReasonCrashes = "workers crashed repeatedly while they ran the job"

// A job may crash each worker that runs it. Nobody reports the end of such an attempt, so
// it is told from the new incarnation of the worker. The crash ends all attempts on the
// worker; the suspects are those that were assigned last. They are split in two halves that
// run again at different times, so that further crashes narrow the suspects down.
const (
	// maxCrashes is the number of strong crashes after which a job is given up. A crash is
	// strong if there is no other suspect and the job has crashed no worker of this name.
	maxCrashes       = 3
	crashScoreStrong = 2
	crashScoreWeak   = 1
	crashScoreLimit  = maxCrashes * crashScoreStrong
	// crashSuspicionMS is the longest time between the assignment of a suspect and the
	// latest assignment to the worker.
	crashSuspicionMS = 3000
	// crashSeparationMS delays one half of the suspects. It exceeds crashSuspicionMS by
	// the time that an assignment may take.
	crashSeparationMS = 4000
	// crashAnnouncementMS is the longest time between the assignment of a suspect and the
	// announcement of the worker's next incarnation: an attempt that went on for longer did
	// not crash its worker at the start.
	crashAnnouncementMS = 30_000
)

// endAttemptsBefore ends the attempts on a worker that are not of the given incarnation,
// which has replaced theirs. If the worker crashed, the suspects among their jobs are
// charged with it.
func (s *State) endAttemptsBefore(incarnation, worker string, crashed bool) {
	var ended []*Job
	var latest Time
	for _, id := range s.AssignedTo(worker) {
		if j := s.Jobs[id]; j.WorkerIncarnation != incarnation {
			ended = append(ended, j)
			latest = max(latest, j.AssignedAt)
		}
	}
	suspect := func(j *Job) bool {
		return crashed && latest-j.AssignedAt <= crashSuspicionMS && s.Now-j.AssignedAt <= crashAnnouncementMS
	}
	suspects := 0
	for _, j := range ended {
		if suspect(j) {
			suspects++
		}
	}
	n := 0
	for _, j := range ended {
		o := lostOutcome("the worker restarted")
		if suspect(j) {
			j.chargeCrash(&o, suspects, n)
			n++
		}
		s.endAttempt(j, o)
	}
}

// chargeCrash adds a crash to the score of the n-th of its suspects, and gives the job up at
// the limit. A job that is not idempotent gets no further attempt anyway.
func (j *Job) chargeCrash(o *JobOutcome, suspects, n int) {
	if !j.Spec.Idempotent {
		return
	}
	if suspects == 1 && !slices.Contains(j.CrashedOn, j.Worker) {
		j.CrashScore += crashScoreStrong
	} else {
		j.CrashScore += crashScoreWeak
	}
	if !slices.Contains(j.CrashedOn, j.Worker) {
		j.CrashedOn = append(slices.Clone(j.CrashedOn), j.Worker)
	}
	if suspects > 1 {
		o.RetryDelayMS = int64(n%2) * crashSeparationMS
	}
	if j.CrashScore >= crashScoreLimit {
		o.Permanent = true
		o.Reason = ReasonCrashes
	}
}
