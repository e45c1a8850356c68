package intake

import (
	"sync"
	"time"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// gate decides on submissions with what the leader remembers between them. It is safe for
// concurrent use.
type gate struct {
	backlogs backlogs
	// deciding is held from a look at the jobs under way until the new one counts among them.
	deciding sync.Mutex
	// inShare and overShare hold the refused submissions of teams within and beyond their
	// share. Those beyond it take no place from others.
	inShare, overShare returnOrder
}

// submission is what the gate needs to know of a submission.
type submission struct {
	id, team string
	queue    workload.Queue
	content  *workload.Submit
}

// decide decides whether to accept a new job, and keeps the place of one that it refuses. An accepted one
// counts as a job under way until applied is called, once the state holds it or never will.
func (g *gate) decide(s *workload.State, sub submission, now time.Time) (a Admission, applied func()) {
	g.deciding.Lock()
	defer g.deciding.Unlock()
	a = g.judge(s, sub, now)
	if a.Reason != "" {
		return a, func() {}
	}
	return a, g.backlogs.proposed.add(sub)
}

// judge is decide without the count of what it accepts. The caller holds deciding.
func (g *gate) judge(s *workload.State, sub submission, now time.Time) Admission {
	b := g.backlogs.backlog(s, sub.queue, sub.team, g.inShare.teams, now)
	if !b.isCrowded() {
		return Decide(b, Request{Tasks: tasksOf(sub.content), Bytes: sub.content.Bytes()})
	}
	r := Request{Tasks: tasksOf(sub.content), Bytes: sub.content.Bytes(), Ahead: g.inShare.ahead(sub.id, now), AheadOverShare: g.overShare.ahead(sub.id, now)}
	a := Decide(b, r)
	dueAt := now.Add(time.Duration(a.RetryAfterMS) * time.Millisecond)
	switch a.Reason {
	case "":
		g.inShare.remove(sub.id)
		g.overShare.remove(sub.id)
	case RefusedOverShare:
		// Its places date from the time when it was alone and had all of the bounds.
		g.inShare.removeTeam(sub.team)
		g.overShare.refuse(sub.id, sub.team, dueAt)
	default:
		g.inShare.refuse(sub.id, sub.team, dueAt)
	}
	return a
}

// tasksOf returns the number of tasks of a submission in all of its occurrences.
func tasksOf(c *workload.Submit) int {
	tasks := 0
	for i := range c.Steps {
		tasks += c.Steps[i].Count
	}
	return tasks * max(c.Repetitions, 1)
}
