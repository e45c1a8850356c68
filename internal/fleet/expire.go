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

// ExpireDue reports whether an Expire command at the given time would cancel a queued job
// or remove the record or tombstone of a job. It reads all job records.
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

// HasOverdueJob reports whether the deadline of a queued job has passed at the given time.
// It is cheaper than ExpireDue, since it reads the queued jobs only.
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

// applyExpire cancels queued jobs whose deadline has passed and removes the records whose
// retention time is over. It sorts the jobs to remove, so that the order of the
// tombstones is the same on every replica.
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

// replaceByTombstone removes the record of a job and adds a tombstone for its identifier.
func (s *State) replaceByTombstone(id string) {
	s.index.adjust(s.Jobs[id], -1)
	delete(s.Jobs, id)
	hash := xxhash.Sum64String(id)
	s.Tombstones = append(s.Tombstones, Tombstone{Hash: hash, Since: s.Now})
	s.index.tombstones[hash] = struct{}{}
}
