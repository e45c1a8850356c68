package workload

import (
	"maps"
	"slices"
)

// Callers know a queue by its host and path prefix, and their team by their key. Names are the
// operator's: a configuration may give a queue or team another name, let two exchange theirs, or use one again for
// another. So jobs refer to their queue by QueueKey, and follow their team when its keys appear under
// another name.

// QueueKey identifies a queue as its callers know it: by host and path prefix, or by name on an
// interface on which queues have no host.
type QueueKey struct {
	Host       string `cbor:"1,keyasint,omitempty"`
	PathPrefix string `cbor:"2,keyasint,omitempty"`
	Name       string `cbor:"3,keyasint,omitempty"`
}

// Key returns the identity of the queue.
func (q *Queue) Key() QueueKey {
	if q.Host != "" {
		return QueueKey{Host: q.Host, PathPrefix: q.PathPrefix}
	}
	return QueueKey{Name: q.Name}
}

// String returns the host and path prefix, or the name.
func (k QueueKey) String() string { return k.Host + k.PathPrefix + k.Name }

// IsKnownTo reports whether callers of a team in queue q know the job: it is in that queue, and the team's.
// Callers without a key have no team. They know all jobs of a queue that is open now, and a queue
// that was open may have jobs of theirs, which all callers of the queue know.
func (j *Job) IsKnownTo(q Queue, team string) bool {
	return j.QueueKey == q.Key() && (q.Open || j.Team == "" || j.Team == team)
}

// SetConfig puts a configuration in force. Jobs keep the last definition of a queue that it removes,
// and follow teams that it renames.
func (s *State) SetConfig(c Config) {
	previous := s.queues
	held := s.keysHeld()
	renamed := renamedTeams(held, c.Teams)
	s.Config = c
	s.indexQueues()
	for _, j := range s.active {
		if _, ok := s.queues[j.QueueKey]; ok {
			j.RemovedQueue = nil
		} else if q, ok := previous[j.QueueKey]; ok {
			j.RemovedQueue = &q
		}
	}
	if len(renamed) > 0 {
		s.renameTeams(renamed)
	}
	s.recordWithdrawn(held)
}

// keysHeld returns the keys of each team, or the last ones that it had if all were withdrawn.
func (s *State) keysHeld() map[string][]string {
	held := maps.Clone(s.WithdrawnKeys)
	if held == nil {
		held = map[string][]string{}
	}
	for name, t := range s.Config.Teams {
		if len(t.Keys) > 0 {
			held[name] = t.Keys
		}
	}
	return held
}

// recordWithdrawn records the last keys of the teams that have jobs and no key in the present
// configuration.
func (s *State) recordWithdrawn(held map[string][]string) {
	s.WithdrawnKeys = nil
	for _, j := range s.Jobs {
		if keys, ok := held[j.Team]; ok && len(s.Config.Teams[j.Team].Keys) == 0 {
			if s.WithdrawnKeys == nil {
				s.WithdrawnKeys = map[string][]string{}
			}
			s.WithdrawnKeys[j.Team] = keys
		}
	}
}

// indexQueues computes the index of the queues in force. Two with one key are not valid.
func (s *State) indexQueues() {
	s.queues = make(map[QueueKey]Queue, len(s.Config.Queues))
	for _, name := range slices.Sorted(maps.Keys(s.Config.Queues)) {
		q := s.Config.Queues[name]
		if _, ok := s.queues[q.Key()]; !ok {
			s.queues[q.Key()] = q
		}
	}
}

// QueueOf returns the queue of the job in the present configuration or, if it was removed, its
// last definition. It returns false if neither is known.
func (s *State) QueueOf(j *Job) (Queue, bool) {
	if q, ok := s.queues[j.QueueKey]; ok {
		return q, true
	}
	if j.RemovedQueue != nil {
		return *j.RemovedQueue, true
	}
	return Queue{}, false
}

// QueueName returns the present name of the job's queue, or the last one that is known.
func (s *State) QueueName(j *Job) string {
	if q, ok := s.QueueOf(j); ok {
		return q.Name
	}
	return j.Queue
}

// PoolOf returns the pool in which the job runs: that of its queue, or the pool at acceptance if the
// queue is not known any more.
func (s *State) PoolOf(j *Job) string {
	if q, ok := s.QueueOf(j); ok {
		return q.Pool
	}
	return j.Pool
}

// MaxAttempts returns the number of failed runs of a task at which the job fails: that of its queue,
// or the one at acceptance if the queue is not known any more.
func (s *State) MaxAttempts(j *Job) int {
	if q, ok := s.QueueOf(j); ok {
		return q.MaxAttempts
	}
	return j.MaxAttempts
}

// renamedTeams returns the new names of the teams whose keys are another team's among the present
// teams, given the keys that each team had. A team keeps its name as long as it has one of its keys,
// and as long as nobody has any of them.
func renamedTeams(held map[string][]string, present map[string]Team) map[string]string {
	owners := map[string]string{}
	for name, t := range present {
		for _, key := range t.Keys {
			owners[key] = name
		}
	}
	renamed := map[string]string{}
	for name, keys := range held {
		count := map[string]int{}
		for _, key := range keys {
			if owner, ok := owners[key]; ok {
				count[owner]++
			}
		}
		if count[name] > 0 || len(count) == 0 {
			continue
		}
		best := ""
		for _, owner := range slices.Sorted(maps.Keys(count)) {
			if count[owner] > count[best] {
				best = owner
			}
		}
		renamed[name] = best
	}
	return renamed
}

// renameTeams moves the jobs of the teams to the new names.
func (s *State) renameTeams(renamed map[string]string) {
	for _, j := range s.Jobs {
		name, ok := renamed[j.Team]
		if !ok {
			continue
		}
		if j.AcceptedTeam == "" {
			j.AcceptedTeam = j.Team
		}
		j.Team = name
	}
	s.Rebuild()
}

// stateFormat is the version of the encoding of State. Format 0 refers to queues by name.
const stateFormat = 1

// migrate converts a state that an earlier version has encoded. Jobs whose queue has left the
// configuration keep its name as their key, under which callers don't find them.
func (s *State) migrate() {
	if s.Format >= stateFormat {
		return
	}
	s.Format = stateFormat
	for _, j := range s.Jobs {
		j.QueueKey = s.keyOfName(j.Queue)
	}
	s.RunTimes.RenameQueues(func(name string) string { return s.keyOfName(name).String() })
}

// keyOfName returns the key of the queue that has the name at present.
func (s *State) keyOfName(name string) QueueKey {
	if q, ok := s.Config.Queues[name]; ok {
		return q.Key()
	}
	return QueueKey{Name: name}
}
