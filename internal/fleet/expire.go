package fleet

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	jobRetentionMS       = dayMS
	tombstoneRetentionMS = dayMS
	planRetentionMS      = 30 * dayMS
)

// ExpireDue reports whether an Expire command at the given time would end a
// waiting job or remove a record.
func (s *State) ExpireDue(now Time) bool {
	if len(s.Tombstones) > 0 && s.Tombstones[0].Since+tombstoneRetentionMS <= now {
		return true
	}
	for _, j := range s.Jobs {
		if j.State == JobQueued && j.overdue(now) || j.retentionExpired(now) {
			return true
		}
	}
	return false
}

// HasOverdueJob reports whether the deadline of a waiting job has passed. It costs less
// than ExpireDue, since it reads the waiting jobs alone.
func (s *State) HasOverdueJob(now Time) bool {
	for _, j := range s.index.queuedJobs {
		if j.overdue(now) {
			return true
		}
	}
	return false
}

func (j *Job) retentionExpired(now Time) bool {
	return j.State.Final() && j.FinishedAt+jobRetentionMS <= now
}

// applyExpire ends waiting jobs whose deadline has passed and removes old records.
func (s *State) applyExpire() Result {
	s.removeExpiredTombstones()
	var old []string
	for id, j := range s.Jobs {
		if j.State == JobQueued && j.overdue(s.Now) {
			s.finish(j, JobCancelled, "the deadline has passed", nil)
		}
		if j.retentionExpired(s.Now) {
			old = append(old, id)
		}
	}
	slices.SortFunc(old, strings.Compare)
	for _, id := range old {
		s.replaceByTombstone(id)
	}
	for name, p := range s.Plans {
		if p.State.final() && p.FinishedAt+planRetentionMS <= s.Now {
			delete(s.Plans, name)
		}
	}
	return Result{}
}

func (s *State) removeExpiredTombstones() {
	n := 0
	for n < len(s.Tombstones) && s.Tombstones[n].Since+tombstoneRetentionMS <= s.Now {
		delete(s.index.tombstones, s.Tombstones[n].Hash)
		n++
	}
	s.Tombstones = s.Tombstones[n:]
}

// replaceByTombstone replaces the record of a job by a tombstone.
func (s *State) replaceByTombstone(id string) {
	s.index.adjust(s.Jobs[id], -1)
	delete(s.Jobs, id)
	hash := xxhash.Sum64String(id)
	s.Tombstones = append(s.Tombstones, Tombstone{Hash: hash, Since: s.Now})
	s.index.tombstones[hash] = struct{}{}
}
