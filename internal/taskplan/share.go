package taskplan

// poolTeam identifies the work of one team in one pool.
type poolTeam struct{ pool, team string }

// markOverShare sets overShare on the candidates, and on the steps that depend on running
// ones, of teams that use at least their share of the pool. Candidates over their share are
// placed after the others of the same class and priority, which matters only when the pool
// is full: otherwise a team that submits more than the pool can run would hold up the small
// jobs of all other teams.
//
// The share is the part of the pool's processor time that corresponds to the team's
// weight among the teams that have running or waiting tasks in the pool.
func (p *planner) markOverShare(candidates, dependent []candidate) {
	active := map[poolTeam]bool{}
	for key := range p.usedMilli {
		active[key] = true
	}
	for i := range candidates {
		active[poolTeam{candidates[i].pool, candidates[i].job.Team}] = true
	}
	weights, capacities := map[string]int64{}, map[string]int64{}
	for key := range active {
		weights[key.pool] += p.weight(key.team)
	}
	for pool, workers := range p.pools {
		for _, w := range workers.all {
			capacities[pool] += w.Capacity.CPUMilli
		}
	}
	mark := func(c *candidate) {
		key := poolTeam{c.pool, c.job.Team}
		share := capacities[key.pool] * p.weight(key.team) / max(weights[key.pool], 1)
		c.overShare = p.usedMilli[key] >= share
	}
	for i := range candidates {
		mark(&candidates[i])
	}
	for i := range dependent {
		mark(&dependent[i])
	}
}

// weight returns the team's weight, which is at least 1. Jobs without a team count
// together as one team of weight 1.
func (p *planner) weight(team string) int64 {
	return max(p.in.State.Config.Teams[team].Weight, 1)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
