package workload

import (
	"maps"
	"slices"
)

// Clone returns a copy of the state for a snapshot, which can be encoded while Apply
// changes s. It shares what Apply never changes in place. The copy has no indices; call
// Rebuild before using it as a state.
func (s *State) Clone() *State {
	c := &State{Config: s.Config, Format: s.Format, WithdrawnKeys: maps.Clone(s.WithdrawnKeys), Jobs: make(map[string]*Job, len(s.Jobs)), Waves: make(map[int64]*Wave, len(s.Waves)), Evacuations: maps.Clone(s.Evacuations)}
	c.RunTimes = s.RunTimes.Clone()
	for id, j := range s.Jobs {
		c.Jobs[id] = j.clone()
	}
	for number, w := range s.Waves {
		copied := *w
		copied.Begun = maps.Clone(w.Begun)
		copied.Ordered = maps.Clone(w.Ordered)
		c.Waves[number] = &copied
	}
	return c
}

func (j *Job) clone() *Job {
	copied := *j
	if j.Occurrences == nil {
		return &copied
	}
	copied.Occurrences = make(map[int]*Occurrence, len(j.Occurrences))
	for k, o := range j.Occurrences {
		steps := slices.Clone(o.Steps)
		for i := range steps {
			steps[i].Tasks = slices.Clone(steps[i].Tasks)
		}
		copied.Occurrences[k] = &Occurrence{DueAt: o.DueAt, Steps: steps}
	}
	return &copied
}
