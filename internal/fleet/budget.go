package fleet

import "slices"

// available reports whether the availability budgets count the instance as available.
func (st InstanceStatus) available() bool {
	return st.Phase == PhaseActive && !st.Lost
}

// Unavailability holds the numbers of unavailable instances of one pool: in all, in one
// rack, and in one data centre. An instance is unavailable when it is lost or in another
// phase than PhaseActive.
type Unavailability struct {
	Pool       int
	Rack       int
	DataCentre int
}

// Unavailable returns the number of instances of a pool that are lost or in another phase
// than PhaseActive.
func (s *State) Unavailable(pool string) int {
	return unavailable(&s.Config, s.Status, Instance{Pool: pool}).Pool
}

// UnavailableInDomains counts the unavailable instances of the pool of an instance: in
// all, in the rack of the instance, and in its data centre.
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

// CheckBudget returns nil when the availability budgets allow an instance to be taken out
// of service now, and else a refusal with CodeBudget that names the exhausted budget. An
// instance that is unavailable already passes, since it is counted.
func (s *State) CheckBudget(instance string) *Refusal {
	return checkBudget(&s.Config, s.Status, instance)
}

// checkBudget implements CheckBudget for the configuration and status of a change that is
// not committed yet. The limit per rack does not apply to instances without a rack.
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

// DrainingBackends returns the names of the backend servers in another phase than
// PhaseActive, which take no new calls. The names are sorted.
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
