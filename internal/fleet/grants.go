package fleet

import (
	"maps"
	"slices"
)

// applyGrant sets the grants of an entry, all of them or none. A grant can always be
// reduced. It can be increased only as long as the running jobs and all grants of the team
// stay within its limit.
func (s *State) applyGrant(c *GrantChange) Result {
	if !validName(c.Entry) {
		return refuse(CodeInvalid, "a grant names an entry")
	}
	for _, team := range slices.Sorted(maps.Keys(c.Units)) {
		if refused := s.checkGrant(c.Entry, team, c.Units[team]); refused != nil {
			return Result{Refusal: refused}
		}
	}
	for team, units := range c.Units {
		s.setGrant(c.Entry, team, units)
	}
	return Result{Revision: s.Config.Revision}
}

func (s *State) checkGrant(entry, team string, units int) *Refusal {
	if units < 0 || units > maxAmount {
		return refusal(CodeInvalid, "the grant of team %s is out of range", team)
	}
	present := s.Grants[entry][team]
	if units <= present {
		return nil
	}
	t, ok := s.Config.Teams[team]
	if !ok {
		return refusal(CodeNotFound, "no team %q", team)
	}
	if s.Running(team)+s.Granted(team)-present+units > t.Limit {
		return refusal(CodeLimit, "team %s is at its limit of %d", team, t.Limit)
	}
	return nil
}

func (s *State) setGrant(entry, team string, units int) {
	present := s.Grants[entry][team]
	if units == present {
		return
	}
	addTo(s.index.granted, team, units-present)
	if units > 0 {
		if s.Grants[entry] == nil {
			s.Grants[entry] = map[string]int{}
		}
		s.Grants[entry][team] = units
		return
	}
	delete(s.Grants[entry], team)
	if len(s.Grants[entry]) == 0 {
		delete(s.Grants, entry)
	}
}
