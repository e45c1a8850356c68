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

type teamPool struct{ team, pool string }

type planner struct {
	Snapshot
	pools map[string]*pool
	nodes map[string]*node
	units map[string]int
	room  int
	// previous holds the earlier reservations by job.
	previous map[string]Reservation
	// started holds the latest start of a task by team and pool.
	started map[teamPool]fleet.Time
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
	p.started = map[teamPool]fleet.Time{}
	for _, t := range s.Tasks {
		if n := p.nodes[t.Worker]; n != nil {
			k := teamPool{t.Team, n.Pool}
			p.started[k] = max(p.started[k], t.StartedAt)
		}
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

// restoreReservations applies the earlier reservations of urgent jobs, whose
// workers are being cleared. The others are made again in rank order.
func (p *planner) restoreReservations() {
	if len(p.Snapshot.Reservations) == 0 {
		return
	}
	waiting := map[string]Job{}
	for _, j := range p.Jobs {
		waiting[j.ID] = j
	}
	for _, r := range p.Snapshot.Reservations {
		j, queued := waiting[r.JobID]
		n := p.nodes[r.Worker]
		if !queued || n == nil || !n.Usable || !fits(j.Size, n.Capacity) {
			continue
		}
		p.previous[r.JobID] = r
		if r.Urgent && n.reservedFor == "" {
			n.reservedFor = r.JobID
			n.reservedUrgent = true
		}
	}
}

// release ends the reservation of a job.
func (p *planner) release(j Job) {
	r, ok := p.previous[j.ID]
	if !ok {
		return
	}
	delete(p.previous, j.ID)
	if n := p.nodes[r.Worker]; n.reservedFor == j.ID {
		n.reservedFor = ""
		n.reservedUrgent = false
	}
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
		if !p.tryPlace(j, l) {
			l.misfits[j.Pool]++
			p.hold(j, l)
			p.giveUp(j, l)
		}
		l.score = p.score(l)
		heap.Fix(h, 0)
	}
}

func (p *planner) tryPlace(j Job, l *line) bool {
	pl := p.pools[j.Pool]
	if pl == nil {
		return false
	}
	if j.Class != fleet.ClassUrgent && pl.withheld(j, l.score) {
		l.misfits[j.Pool] = MaxMisfits
		return false
	}
	n := pl.best(j)
	if n == nil {
		return false
	}
	p.assign(n, j)
	return true
}

// giveUp withholds the resource kinds that a team lacks in a pool from the teams
// that are above it, once the team's jobs were tried in vain. It does so only
// while the team's work flows or has not waited long: room that is held by tasks
// without an end would otherwise stay half used.
func (p *planner) giveUp(j Job, l *line) {
	pl := p.pools[j.Pool]
	if pl == nil || p.Rank == nil || j.Class == fleet.ClassUrgent || l.misfits[j.Pool] != MaxMisfits {
		return
	}
	since, reserves := l.reserved[j.Pool]
	started, running := p.started[teamPool{j.Team, j.Pool}]
	flows := running && p.Now.Sub(started) < withholdTime
	if flows || (reserves && p.Now.Sub(since) < withholdTime) {
		pl.withhold(j, p.score(l))
	}
}

// hold notes an urgent job for preemption, or reserves room for a job that does
// not fit. The reservation of a large job counts as work of its team, since the
// other teams would otherwise leave much room empty until it starts.
func (p *planner) hold(j Job, l *line) {
	if j.Class == fleet.ClassUrgent {
		p.misfits = append(p.misfits, j)
		return
	}
	pl := p.pools[j.Pool]
	if pl == nil || l.misfits[j.Pool] > MaxMisfits || pl.reserved >= max(1, len(pl.nodes)/reservedWorkersDivisor) {
		return
	}
	n, since := p.earlier(j)
	if n == nil {
		n = pl.nearest(j)
	}
	if n == nil {
		return
	}
	p.reserve(n, j, since, false)
	pl.reserved++
	if first, ok := l.reserved[j.Pool]; !ok || since < first {
		l.reserved[j.Pool] = since
	}
	if p.Rank != nil && large(j.Size, n.Capacity) {
		p.Rank.Add(j.Team, j.Size)
	}
	if p.Now.Sub(since) >= HeadPatience {
		l.misfits[j.Pool] = MaxMisfits
	}
}

// earlier returns the worker of the job's earlier reservation, if it is still
// free of others, and the time since which the job has had one.
func (p *planner) earlier(j Job) (*node, fleet.Time) {
	r, ok := p.previous[j.ID]
	if !ok {
		return nil, p.Now
	}
	if n := p.nodes[r.Worker]; n.reservedFor == "" {
		return n, r.Since
	}
	return nil, r.Since
}

func (p *planner) reserve(n *node, j Job, since fleet.Time, urgent bool) {
	n.reservedFor = j.ID
	n.reservedUrgent = urgent
	p.plan.Reservations = append(p.plan.Reservations, Reservation{
		JobID: j.ID, Worker: n.Name, Pool: n.Pool, Since: since, Urgent: urgent,
	})
}

func (p *planner) score(l *line) float64 {
	if p.Rank == nil {
		return 0
	}
	return p.Rank.Score(l.team, l.nextSize())
}

// line is the queued work of one team, by pool.
type line struct {
	team    string
	score   float64
	jobs    []Job
	at      int
	misfits map[string]int
	// reserved holds the time of the team's oldest reservation by pool.
	reserved map[string]fleet.Time
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

// nextSize returns the size of the first job of the line, or nothing at its end.
func (l *line) nextSize() fleet.Resources {
	if l.at >= len(l.jobs) {
		return fleet.Resources{}
	}
	return l.jobs[l.at].Size
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
			l = &line{team: j.Team, misfits: map[string]int{}, reserved: map[string]fleet.Time{}}
			byTeam[j.Team] = l
			h = append(h, l)
		}
		l.jobs = append(l.jobs, j)
	}
	for _, l := range h {
		slices.SortFunc(l.jobs, before)
		l.score = p.score(l)
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
