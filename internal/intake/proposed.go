package intake

import "sync"

// proposed holds what the submissions take that were accepted and are not in the state yet. Load pattern:
// hundreds of large jobs arrive at the same moment; judged by the state alone, each would find room.
// It is safe for concurrent use.
type proposed struct {
	mu    sync.Mutex
	teams map[string]teamBacklog
	all   teamBacklog
}

// add counts a submission until remove is called.
func (p *proposed) add(sub submission) (remove func()) {
	size := teamBacklog{jobs: 1, tasks: tasksOf(sub.content), bytes: sub.content.Bytes()}
	p.change(sub.team, size)
	return func() { p.change(sub.team, teamBacklog{jobs: -size.jobs, tasks: -size.tasks, bytes: -size.bytes}) }
}

func (p *proposed) change(team string, by teamBacklog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.teams == nil {
		p.teams = map[string]teamBacklog{}
	}
	p.all = p.all.plus(by)
	if p.teams[team] = p.teams[team].plus(by); p.teams[team] == (teamBacklog{}) {
		delete(p.teams, team)
	}
}

// of returns what the submissions of all teams take, and of the team.
func (p *proposed) of(team string) (all, ofTeam teamBacklog) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.all, p.teams[team]
}

func (t teamBacklog) plus(other teamBacklog) teamBacklog {
	return teamBacklog{jobs: t.jobs + other.jobs, tasks: t.tasks + other.tasks, bytes: t.bytes + other.bytes}
}
