package placement

import (
	"container/heap"
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Compute returns the plan for a snapshot. An unknown policy means PolicyBestFit.
func Compute(policy Policy, s Snapshot) Plan {
	p := newPlanner(s)
	if policy == PolicyFirstFit {
		p.firstFit()
		return p.plan
	}
	p.restoreReservations()
	p.place(func(j Job) bool { return j.Class == fleet.ClassUrgent })
	p.preemptForUrgent()
	p.place(func(j Job) bool { return j.Class != fleet.ClassUrgent })
	p.liftThrottles()
	return p.plan
}

type planner struct {
	Snapshot
	pools map[string]*pool
	nodes map[string]*node
	units map[string]int
	room  int
	// previous holds the earlier reservations by job.
	previous map[string]Reservation
	// misfits holds the urgent jobs that found no room, in order.
	misfits []Job
	victims int
	plan    Plan
}

func newPlanner(s Snapshot) *planner {
	p := &planner{Snapshot: s, units: map[string]int{}, previous: map[string]Reservation{}}
	p.pools, p.nodes = buildPools(s)
	for name, t := range s.Teams {
		p.units[name] = t.Units
	}
	p.room = s.MaxAssignments
	if p.room <= 0 {
		p.room = DefaultMaxAssignments
	}
	return p
}

// allowed reports whether one more job of the team stays within its upper limit.
func (p *planner) allowed(team string) bool {
	if team == "" {
		return true
	}
	return p.units[team] < p.Teams[team].Limit
}

func (p *planner) assign(n *node, j Job) {
	p.pools[n.Pool].take(n, j)
	p.units[j.Team]++
	p.room--
	if p.Rank != nil {
		p.Rank.Add(j.Team, j.Size)
	}
	p.plan.Assignments = append(p.plan.Assignments, fleet.Assignment{
		JobID: j.ID, Worker: n.Name, Incarnation: n.Incarnation,
	})
	p.release(j)
}

// restoreReservations applies the earlier reservations whose job still waits and
// whose worker can still run it.
func (p *planner) restoreReservations() {
	waiting := map[string]Job{}
	if len(p.Snapshot.Reservations) > 0 {
		for _, j := range p.Jobs {
			waiting[j.ID] = j
		}
	}
	for _, r := range p.Snapshot.Reservations {
		j, queued := waiting[r.JobID]
		n := p.nodes[r.Worker]
		if !queued || n == nil || !n.Usable || !fits(j.Size, n.Capacity) || n.reservedFor != "" {
			continue
		}
		p.previous[r.JobID] = r
		n.reservedFor = r.JobID
		n.reservedUrgent = r.Urgent
		p.pools[n.Pool].reserved++
	}
}

// release ends the reservation of a job that is placed.
func (p *planner) release(j Job) {
	r, ok := p.previous[j.ID]
	if !ok {
		return
	}
	delete(p.previous, j.ID)
	n := p.nodes[r.Worker]
	n.reservedFor = ""
	p.pools[n.Pool].reserved--
}

// renew keeps an earlier reservation in the plan, and reports whether there is one.
func (p *planner) renew(j Job) bool {
	r, ok := p.previous[j.ID]
	if ok {
		p.plan.Reservations = append(p.plan.Reservations, r)
	}
	return ok
}

// place assigns the jobs that the filter selects, team by team in rank order.
func (p *planner) place(selected func(Job) bool) {
	h := p.lines(selected)
	heap.Init(h)
	for h.Len() > 0 && p.room > 0 {
		l := (*h)[0]
		if !p.allowed(l.team) {
			heap.Pop(h)
			continue
		}
		j, ok := l.next()
		if !ok {
			heap.Pop(h)
			continue
		}
		if !p.tryPlace(j) {
			l.misfit(j)
			p.hold(j, l)
			continue
		}
		l.score = p.score(l.team)
		heap.Fix(h, 0)
	}
}

func (p *planner) tryPlace(j Job) bool {
	pl := p.pools[j.Pool]
	if pl == nil {
		return false
	}
	n := pl.best(j)
	if n == nil {
		return false
	}
	p.assign(n, j)
	return true
}

// hold notes an urgent job for preemption, or reserves room for the first job of
// a team and pool that does not fit, so that smaller jobs don't starve it.
func (p *planner) hold(j Job, l *line) {
	if j.Class == fleet.ClassUrgent {
		p.misfits = append(p.misfits, j)
		return
	}
	if p.renew(j) || l.misfits[j.Pool] > 1 {
		return
	}
	pl := p.pools[j.Pool]
	if pl == nil || pl.reserved >= max(1, len(pl.nodes)/reservedWorkersDivisor) {
		return
	}
	n := pl.nearest(j)
	if n == nil {
		return
	}
	p.reserve(n, j, false)
}

func (p *planner) reserve(n *node, j Job, urgent bool) {
	n.reservedFor = j.ID
	n.reservedUrgent = urgent
	p.pools[n.Pool].reserved++
	p.plan.Reservations = append(p.plan.Reservations, Reservation{
		JobID: j.ID, Worker: n.Name, Pool: n.Pool, Since: p.Now, Urgent: urgent,
	})
}

func (p *planner) score(team string) float64 {
	if p.Rank == nil {
		return 0
	}
	return p.Rank.Score(team)
}

// line is the queued work of one team, by pool.
type line struct {
	team    string
	score   float64
	jobs    []Job
	at      int
	misfits map[string]int
}

// next returns the first job of the line whose pool is not given up.
func (l *line) next() (Job, bool) {
	for l.at < len(l.jobs) {
		j := l.jobs[l.at]
		l.at++
		if l.misfits[j.Pool] < MaxMisfits {
			return j, true
		}
	}
	return Job{}, false
}

func (l *line) misfit(j Job) {
	l.misfits[j.Pool]++
}

type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }
func (h lineHeap) Less(a, b int) bool {
	if h[a].score != h[b].score {
		return h[a].score < h[b].score
	}
	return h[a].team < h[b].team
}
func (h lineHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *lineHeap) Push(x any)   { *h = append(*h, x.(*line)) }
func (h *lineHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// lines groups the selected jobs by team: watch tasks first, then by acceptance.
func (p *planner) lines(selected func(Job) bool) *lineHeap {
	byTeam := map[string]*line{}
	h := lineHeap{}
	for _, j := range p.Jobs {
		if !selected(j) {
			continue
		}
		l := byTeam[j.Team]
		if l == nil {
			l = &line{team: j.Team, score: p.score(j.Team), misfits: map[string]int{}}
			byTeam[j.Team] = l
			h = append(h, l)
		}
		l.jobs = append(l.jobs, j)
	}
	for _, l := range h {
		slices.SortFunc(l.jobs, before)
	}
	return &h
}

func before(a, b Job) int {
	if (a.Class == fleet.ClassWatch) != (b.Class == fleet.ClassWatch) {
		if a.Class == fleet.ClassWatch {
			return -1
		}
		return 1
	}
	if a.AcceptedAt != b.AcceptedAt {
		return int(a.AcceptedAt - b.AcceptedAt)
	}
	return compare(a.ID, b.ID)
}

// firstFit takes jobs in submission order and the first worker with room.
func (p *planner) firstFit() {
	jobs := slices.Clone(p.Jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.AcceptedAt - b.AcceptedAt) })
	for _, j := range jobs {
		pl := p.pools[j.Pool]
		if p.room == 0 || pl == nil || !p.allowed(j.Team) {
			continue
		}
		avoid := pl.avoidable(j)
		for _, n := range pl.nodes {
			if n.Usable && fits(j.Size, n.free) && !(avoid && slices.Contains(j.Avoid, n.Name)) {
				p.assign(n, j)
				break
			}
		}
	}
}
