package workload

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Apply applies one command at cluster time now, in milliseconds. The state keeps parts
// of the command, which the caller must not use again.
func (s *State) Apply(cmd *Command, now int64) Result {
	s.now = max(s.now, now)
	switch {
	case cmd.Configure != nil:
		return s.applyConfig(cmd.Configure)
	case cmd.Submit != nil:
		return s.applySubmit(cmd.Submit)
	case cmd.Cancel != nil:
		return s.applyCancel(cmd.Cancel)
	case cmd.Progress != nil:
		s.applyProgress(cmd.Progress)
	case cmd.Wave != nil:
		return s.applyWave(cmd.Wave)
	case cmd.Evacuate != nil:
		return s.applyEvacuate(cmd.Evacuate)
	}
	return Result{}
}

// applyConfig puts the configuration in force if its version is higher than the present
// one. A lower version was delayed or repeated, and changes nothing; the same version with
// other content is refused.
func (s *State) applyConfig(c *Config) Result {
	if c.Version == s.Config.Version && c.Fingerprint != s.Config.Fingerprint {
		return Result{Refusal: RefusedVersionReused, Version: s.Config.Version}
	}
	if c.Version > s.Config.Version {
		s.SetConfig(*c)
	}
	return Result{Version: s.Config.Version}
}

func (s *State) applyWave(w *Wave) Result {
	if old, ok := s.Waves[w.Number]; ok {
		if !slices.Equal(old.Machines, w.Machines) {
			return Result{Refusal: RefusedWaveReused}
		}
		return Result{Known: true}
	}
	w.StartedAt = s.now
	w.Begun = map[string]bool{}
	w.Ordered = map[string]bool{}
	s.Waves[w.Number] = w
	return Result{}
}

func (s *State) applySubmit(c *Submit) Result {
	if c.ConfigVersion != 0 && c.ConfigVersion != s.Config.Version {
		return Result{Refusal: RefusedConfigChanged}
	}
	q, ok := s.Config.Queues[c.Queue]
	content := fingerprint(c)
	if old, known := s.Jobs[c.ID]; known {
		if !old.isRepeatedBy(c, q, content) {
			return Result{Refusal: RefusedIDReused}
		}
		return Result{Known: true}
	}
	if !ok {
		return Result{Refusal: RefusedNoQueue}
	}
	j := s.newJob(c, q, content)
	s.Jobs[j.ID] = j
	s.addActive(j)
	return Result{}
}

// newJob returns the job of a submission to queue q, which is not part of the state yet.
func (s *State) newJob(c *Submit, q Queue, content uint64) *Job {
	j := &Job{
		ID: c.ID, Queue: c.Queue, QueueKey: q.Key(), Pool: q.Pool, Team: c.Team, Specification: c.Specification,
		Fingerprint: content, Steps: c.Steps, Repetitions: c.Repetitions, FirstRunMS: c.FirstRunMS,
		IntervalMS: c.IntervalMS, State: JobQueued, AcceptedAt: s.now, MaxAttempts: q.MaxAttempts,
		Priority: q.Priority, ObjectiveMS: objectiveMS(q, c.Steps), Occurrences: map[int]*Occurrence{},
	}
	if j.Repetitions == 0 {
		s.beginOccurrence(j, 0, s.now)
	}
	return j
}

// objectiveMS returns the time within which a job with these steps should be complete.
func objectiveMS(q Queue, steps []Step) int64 {
	return q.TargetLatencyMS + int64(q.Stretch*float64(LongestChainMS(steps)))
}

// LongestChainMS returns the sum of the declared run times, in milliseconds, of the longest
// chain of dependent steps.
func LongestChainMS(steps []Step) int64 {
	ends := make([]int64, len(steps))
	longest := int64(0)
	for i, step := range steps {
		begin := int64(0)
		for _, dependency := range step.After {
			if dependency >= 0 && dependency < i {
				begin = max(begin, ends[dependency])
			}
		}
		ends[i] = begin + step.EstimatedMS
		longest = max(longest, ends[i])
	}
	return longest
}

// fingerprint returns a hash of the submission and of the names of its queue and team.
func fingerprint(c *Submit) uint64 {
	content := *c
	content.ConfigVersion = 0
	data, err := cbor.Marshal(&content)
	if err != nil {
		panic(err)
	}
	return xxhash.Sum64(data)
}

// beginOccurrence begins an occurrence of the job with all tasks waiting, unless it has
// begun.
func (s *State) beginOccurrence(j *Job, occurrence int, dueAt int64) {
	if _, ok := j.Occurrences[occurrence]; ok {
		return
	}
	o := &Occurrence{DueAt: dueAt, Steps: make([]StepProgress, len(j.Steps))}
	for i, step := range j.Steps {
		o.Steps[i] = StepProgress{Tasks: make([]Task, step.Count), waiting: step.Count}
	}
	j.Occurrences[occurrence] = o
}

func (s *State) applyCancel(c *Cancel) Result {
	j, ok := s.Jobs[c.ID]
	if !ok || !j.isIn(c) {
		return Result{Refusal: RefusedNoJob}
	}
	if !j.State.Final() {
		s.endJob(j, JobCancelled)
	}
	return Result{}
}

// endJob ends a job and stops its runs, which occupy their workers until they end.
func (s *State) endJob(j *Job, state JobState) {
	j.State = state
	j.EndedAt = s.now
	s.removeActive(j)
	for k, o := range j.Occurrences {
		for step := range o.Steps {
			for i := range o.Steps[step].Tasks {
				s.stopRun(TaskRef{Job: j.ID, Occurrence: k, Step: step, Index: i}, &o.Steps[step].Tasks[i])
			}
		}
	}
	s.dropDetails(j)
}

// stopRun moves a placed task to Stopping; it does nothing in any other phase.
func (s *State) stopRun(ref TaskRef, t *Task) {
	if t.Phase != Placed {
		return
	}
	t.Phase = Stopping
	if p := s.runs[t.Worker][ref]; p != nil {
		p.Stopping = true
	}
}

// IsOf reports whether the job is that of a submission, whatever queue and team it names.
func (j *Job) IsOf(c Submit) bool {
	c.ID, c.Queue, c.Team = j.ID, j.Queue, j.Team
	if j.AcceptedTeam != "" {
		c.Team = j.AcceptedTeam
	}
	return fingerprint(&c) == j.Fingerprint
}

// isRepeatedBy reports whether a submission to queue q repeats the one of the job. content is its
// fingerprint.
func (j *Job) isRepeatedBy(c *Submit, q Queue, content uint64) bool {
	if c.ConfigVersion == 0 {
		return j.Fingerprint == content
	}
	return j.IsKnownTo(q, c.Team) && j.IsOf(*c)
}

// isIn reports whether the job is in the queue that a cancellation names.
func (j *Job) isIn(c *Cancel) bool {
	if c.QueueKey == nil {
		return j.Queue == c.Queue
	}
	return j.QueueKey == *c.QueueKey
}
