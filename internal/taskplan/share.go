package taskplan

// poolTeam names a team's work in a pool.
type poolTeam struct{ pool, team string }

// markShares marks the candidates of teams that use their share of a pool or more.
// The order matters only when the pool is full.
//
// Load pattern: one team hands in more than the pool holds, and jobs of the others
// wait behind all of it though they need little.
func (p *planner) markShares(candidates []candidate) {
	active := map[poolTeam]bool{}
	for key := range p.used {
		active[key] = true
	}
	for i := range candidates {
		active[poolTeam{candidates[i].pool, candidates[i].job.Team}] = true
	}
	weights, room := map[string]int64{}, map[string]int64{}
	for key := range active {
		weights[key.pool] += p.weight(key.team)
	}
	for pool, rooms := range p.rooms {
		for _, r := range rooms {
			room[pool] += r.Capacity.CPUMilli
		}
	}
	for i := range candidates {
		key := poolTeam{candidates[i].pool, candidates[i].job.Team}
		share := room[key.pool] * p.weight(key.team) / max(weights[key.pool], 1)
		candidates[i].overShare = p.used[key] >= share
	}
}

// weight is the team's share relative to the others; callers without a team count
// as one of weight 1.
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
