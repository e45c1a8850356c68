package fleet

import "slices"

// available reports whether an instance takes work as far as budgets count.
func (st InstanceStatus) available() bool {
	return st.Phase == PhaseActive && !st.Lost
}

// Unavailability counts unavailable instances of one pool.
type Unavailability struct {
	Pool       int
	Rack       int
	DataCentre int
}

// Unavailable returns the number of instances of a pool that are lost or in
// another phase than active.
func (s *State) Unavailable(pool string) int {
	return unavailable(&s.Config, s.Status, Instance{Pool: pool}).Pool
}

// UnavailableInDomains returns the unavailable instances of the pool of the named
// instance: all, in its rack, and in its data centre.
func (s *State) UnavailableInDomains(instance string) Unavailability {
	return unavailable(&s.Config, s.Status, s.Config.Instances[instance])
}

func unavailable(c *Config, status map[string]InstanceStatus, of Instance) Unavailability {
	var u Unavailability
	for name, in := range c.Instances {
		if in.Pool != of.Pool || status[name].available() {
			continue
		}
		u.Pool++
		if in.DataCentre != of.DataCentre {
			continue
		}
		u.DataCentre++
		if in.Rack == of.Rack {
			u.Rack++
		}
	}
	return u
}

// CheckBudget returns nil when the instance may be taken out of service now, or
// the budget that forbids it.
func (s *State) CheckBudget(instance string) *Refusal {
	return checkBudget(&s.Config, s.Status, instance)
}

// checkBudget leaves out the per-rack bound for an instance without a rack. An
// instance that is already unavailable is counted already.
func checkBudget(c *Config, status map[string]InstanceStatus, instance string) *Refusal {
	if !status[instance].available() {
		return nil
	}
	in := c.Instances[instance]
	pool := c.Pools[in.Pool]
	u := unavailable(c, status, in)
	if u.Pool >= pool.MaxUnavailable {
		return refusal(CodeBudget, "pool %s has %d of %d unavailable", pool.Name, u.Pool, pool.MaxUnavailable)
	}
	if bound := pool.MaxUnavailablePerRack; bound > 0 && in.Rack != "" && u.Rack >= bound {
		return refusal(CodeBudget, "rack %s has %d of %d unavailable", in.Rack, u.Rack, bound)
	}
	if bound := pool.MaxUnavailablePerDataCentre; bound > 0 && u.DataCentre >= bound {
		return refusal(CodeBudget, "data centre %s has %d of %d unavailable", in.DataCentre, u.DataCentre, bound)
	}
	return nil
}

// DrainingBackends returns the backend server instances that take no new calls,
// sorted.
func (s *State) DrainingBackends() []string {
	var names []string
	for name, status := range s.Status {
		if status.Phase != PhaseActive && status.Phase != "" && s.Config.Instances[name].Kind == KindBackend {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
