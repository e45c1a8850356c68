package fleet

import (
	"maps"
	"slices"
)

// index holds values that are derived from the exported fields of State for fast lookup.
// It is not part of a snapshot.
type index struct {
	// answered maps a request identifier to its index in Answers plus answerBase, which is
	// the number of answers removed since the index was built. The removal of the oldest
	// answer thus changes no value of the map.
	answered   map[string]int
	answerBase int
	// running and granted are the units in use by jobs and granted for calls, by team.
	running map[string]int
	granted map[string]int
	queued  map[queueTeam]int
	// unfinished counts the jobs that are not final by queue, and unfinishedByTeam by team.
	unfinished       map[string]int
	unfinishedByTeam map[string]int
	load             map[string]*workerLoad
	// queuedJobs holds the queued jobs, so that they are found without a search through
	// all retained records.
	queuedJobs map[string]*Job
	// retainedBytes is the total size of payloads and results.
	retainedBytes int
	// tombstones holds the hashes of the Tombstones.
	tombstones map[uint64]struct{}
}

type queueTeam struct{ queue, team string }

// workerLoad is the set of jobs assigned to one worker and the sum of their sizes.
type workerLoad struct {
	used Resources
	jobs map[string]struct{}
}

// rebuild computes the index from the exported fields and clears the change feed.
func (s *State) rebuild() {
	s.index = index{
		answered:         make(map[string]int, len(s.Answers)),
		running:          map[string]int{},
		granted:          map[string]int{},
		queued:           map[queueTeam]int{},
		unfinished:       map[string]int{},
		unfinishedByTeam: map[string]int{},
		load:             map[string]*workerLoad{},
		queuedJobs:       map[string]*Job{},
		tombstones:       make(map[uint64]struct{}, len(s.Tombstones)),
	}
	for i, a := range s.Answers {
		s.index.answered[a.RequestID] = i
	}
	for _, j := range s.Jobs {
		s.index.adjust(j, 1)
	}
	for _, units := range s.Grants {
		for team, n := range units {
			s.index.granted[team] += n
		}
	}
	for _, t := range s.Tombstones {
		s.index.tombstones[t.Hash] = struct{}{}
	}
	s.feed = changeFeed{oldest: s.Config.Revision}
}

// adjust adds a job to the index (sign 1) or removes it (sign -1).
func (x *index) adjust(j *Job, sign int) {
	x.retainedBytes += sign * (len(j.Spec.Payload) + len(j.Result))
	if j.State.Final() {
		return
	}
	addTo(x.unfinished, j.Queue, sign)
	addTo(x.unfinishedByTeam, j.Team, sign)
	if j.State == JobQueued {
		addTo(x.queued, queueTeam{j.Queue, j.Team}, sign)
		if sign > 0 {
			x.queuedJobs[j.ID] = j
		} else {
			delete(x.queuedJobs, j.ID)
		}
		return
	}
	addTo(x.running, j.Team, sign)
	x.adjustLoad(j, sign)
}

func (x *index) adjustLoad(j *Job, sign int) {
	l := x.load[j.Worker]
	if l == nil {
		l = &workerLoad{jobs: map[string]struct{}{}}
		x.load[j.Worker] = l
	}
	l.used = l.used.plus(j.Spec.Size, int64(sign))
	if sign > 0 {
		l.jobs[j.ID] = struct{}{}
		return
	}
	delete(l.jobs, j.ID)
	if len(l.jobs) == 0 {
		delete(x.load, j.Worker)
	}
}

func addTo[K comparable](m map[K]int, k K, n int) {
	m[k] += n
	if m[k] == 0 {
		delete(m, k)
	}
}

// update changes a job and updates the index. The change may not alter the identifier.
func (s *State) update(j *Job, change func(*Job)) {
	s.index.adjust(j, -1)
	change(j)
	s.index.adjust(j, 1)
}

func (r Resources) plus(o Resources, sign int64) Resources {
	return Resources{
		CPUMilli:     r.CPUMilli + sign*o.CPUMilli,
		MemoryMiB:    r.MemoryMiB + sign*o.MemoryMiB,
		Accelerators: r.Accelerators + sign*o.Accelerators,
	}
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources { return r.plus(o, 1) }

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources { return r.plus(o, -1) }

// Fits reports whether r is at most o in every kind.
func (r Resources) Fits(o Resources) bool {
	return r.CPUMilli <= o.CPUMilli && r.MemoryMiB <= o.MemoryMiB && r.Accelerators <= o.Accelerators
}

// Running returns the number of assigned jobs of a team; "" stands for the jobs without a
// team.
func (s *State) Running(team string) int { return s.index.running[team] }

// RunningByTeam returns the number of assigned jobs by team. The caller owns the map.
func (s *State) RunningByTeam() map[string]int { return maps.Clone(s.index.running) }

// Granted returns the units granted to all entries together for the calls of a team.
func (s *State) Granted(team string) int { return s.index.granted[team] }

// Queued returns the number of queued jobs of a team in one queue.
func (s *State) Queued(queue, team string) int { return s.index.queued[queueTeam{queue, team}] }

// QueuedOfTeam returns the number of queued jobs of a team in all queues.
func (s *State) QueuedOfTeam(team string) int {
	return s.index.unfinishedByTeam[team] - s.index.running[team]
}

// Used returns the sum of the declared sizes of the jobs assigned to a worker.
func (s *State) Used(worker string) Resources {
	if l := s.index.load[worker]; l != nil {
		return l.used
	}
	return Resources{}
}

// AssignedTo returns the identifiers of the jobs assigned to a worker, sorted.
func (s *State) AssignedTo(worker string) []string {
	l := s.index.load[worker]
	if l == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(l.jobs))
}

// EachQueued calls f for each queued job, in no particular order. f must neither change nor
// keep the job.
func (s *State) EachQueued(f func(*Job)) {
	for _, j := range s.index.queuedJobs {
		f(j)
	}
}

// EachAssigned calls f for each assigned job, in no particular order. f must neither change
// nor keep the job.
func (s *State) EachAssigned(f func(*Job)) {
	for worker := range s.index.load {
		s.EachAssignedTo(worker, f)
	}
}

// EachAssignedTo is like EachAssigned, for the jobs assigned to one worker.
func (s *State) EachAssignedTo(worker string, f func(*Job)) {
	l := s.index.load[worker]
	if l == nil {
		return
	}
	for id := range l.jobs {
		f(s.Jobs[id])
	}
}

// RetainedBytes returns the total size of the retained payloads and results in bytes.
func (s *State) RetainedBytes() int { return s.index.retainedBytes }
