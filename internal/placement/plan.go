package placement

import (
	"container/heap"
	"slices"

	"github.com/samphirefork/samphirefork/internal/fleet"
)

// Compute returns the plan for a snapshot. PolicyBestFit, which an unknown policy
// means too, places the urgent jobs, preempts tasks for those that don't fit, and then
// places the other jobs. The team with the lowest score comes first at each step.
func Compute(policy Policy, s Snapshot) Plan {
	p := newPlanner(s)
	if policy == PolicyFirstFit {
		p.firstFit()
		return p.plan
	}
	p.restoreReservations()
	p.placeJobs(func(j Job) bool { return j.Class == fleet.ClassUrgent })
	p.preemptForUrgent()
	p.placeJobs(func(j Job) bool { return j.Class != fleet.ClassUrgent })
	p.unthrottleTasks()
	return p.plan
}

type teamPool struct{ team, pool string }

// planner computes one plan.
type planner struct {
	Snapshot
	pools map[string]*pool
	nodes map[string]*node
	// units counts each team's units, including the assignments of this plan.
	units           map[string]int
	assignmentsLeft int
	// previousReservations holds the valid reservations of the previous plan by job.
	previousReservations map[string]Reservation
	// lastStarts holds the time of the latest start of a running task by team and
	// pool.
	lastStarts map[teamPool]fleet.Time
	// unplacedUrgent holds the urgent jobs that did not fit, in rank order.
	unplacedUrgent []Job
	victimCount    int
	plan           Plan
}

func newPlanner(s Snapshot) *planner {
	p := &planner{Snapshot: s, units: map[string]int{}, previousReservations: map[string]Reservation{}}
	p.pools, p.nodes = buildPools(s)
	for name, t := range s.Teams {
		p.units[name] = t.Units
	}
	p.lastStarts = map[teamPool]fleet.Time{}
	for _, t := range s.Tasks {
		if n := p.nodes[t.Worker]; n != nil {
			k := teamPool{t.Team, n.Pool}
			p.lastStarts[k] = max(p.lastStarts[k], t.StartedAt)
		}
	}
	p.assignmentsLeft = s.MaxAssignments
	if p.assignmentsLeft <= 0 {
		p.assignmentsLeft = DefaultMaxAssignments
	}
	return p
}

// underLimit reports whether the team may start one more job under its upper limit.
func (p *planner) underLimit(team string) bool {
	if team == "" {
		return true
	}
	return p.units[team] < p.Teams[team].Limit
}

// assign adds an assignment to the plan and ends the job's reservation.
func (p *planner) assign(n *node, j Job) {
	p.pools[n.Pool].allocate(n, j)
	p.units[j.Team]++
	p.assignmentsLeft--
	if p.Rank != nil {
		p.Rank.Add(j.Team, j.Size)
	}
	p.plan.Assignments = append(p.plan.Assignments, fleet.Assignment{
		JobID: j.ID, Worker: n.Name, Incarnation: n.Incarnation,
	})
	p.releaseReservation(j)
}

// restoreReservations applies the previous reservations of urgent jobs, for which
// tasks are being preempted. The other reservations are made again in rank order.
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
		p.previousReservations[r.JobID] = r
		if r.Urgent && n.reservedFor == "" {
			n.reservedFor = r.JobID
			n.reservedUrgent = true
		}
	}
}

// releaseReservation ends the job's reservation, if it has one.
func (p *planner) releaseReservation(j Job) {
	r, ok := p.previousReservations[j.ID]
	if !ok {
		return
	}
	delete(p.previousReservations, j.ID)
	if n := p.nodes[r.Worker]; n.reservedFor == j.ID {
		n.reservedFor = ""
		n.reservedUrgent = false
	}
}

// placeJobs assigns the selected jobs. After each job it goes on with the team that
// has the lowest score, and it skips teams at their upper limit.
func (p *planner) placeJobs(selected func(Job) bool) {
	h := p.jobLists(selected)
	heap.Init(h)
	for h.Len() > 0 && p.assignmentsLeft > 0 {
		l := (*h)[0]
		if !p.underLimit(l.team) {
			heap.Pop(h)
			continue
		}
		j, ok := l.next()
		if !ok {
			heap.Pop(h)
			continue
		}
		if !p.tryPlace(j, l) {
			l.unplaced[j.Pool]++
			p.handleUnplaced(j, l)
			p.withholdForTeam(j, l)
		}
		l.score = p.score(l)
		heap.Fix(h, 0)
	}
}

// tryPlace assigns the job if it fits on a node and its resources are not withheld.
func (p *planner) tryPlace(j Job, l *jobList) bool {
	pl := p.pools[j.Pool]
	if pl == nil {
		return false
	}
	if j.Class != fleet.ClassUrgent && pl.withheld(j, l.score) {
		l.unplaced[j.Pool] = MaxUnplaced
		return false
	}
	n := pl.bestNode(j)
	if n == nil {
		return false
	}
	p.assign(n, j)
	return true
}

// withholdForTeam withholds the resource kinds that a team is short of in a pool from
// teams with higher scores, once MaxUnplaced of the team's jobs did not fit. It does
// so only while the team's jobs still start or have not waited long. Otherwise the
// resources next to tasks that run without end would stay partly unused.
func (p *planner) withholdForTeam(j Job, l *jobList) {
	pl := p.pools[j.Pool]
	if pl == nil || p.Rank == nil || j.Class == fleet.ClassUrgent || l.unplaced[j.Pool] != MaxUnplaced {
		return
	}
	since, reserving := l.reservedSince[j.Pool]
	started, running := p.lastStarts[teamPool{j.Team, j.Pool}]
	startedRecently := running && p.Now.Sub(started) < withholdTimeout
	if startedRecently || (reserving && p.Now.Sub(since) < withholdTimeout) {
		pl.withhold(j, p.score(l))
	}
}

// handleUnplaced records an urgent job for preemption, or makes a reservation for
// another job that does not fit. The reservation of a large job counts as running work
// of its team. Otherwise the other teams would have to leave much of the resources
// free until it starts.
func (p *planner) handleUnplaced(j Job, l *jobList) {
	if j.Class == fleet.ClassUrgent {
		p.unplacedUrgent = append(p.unplacedUrgent, j)
		return
	}
	pl := p.pools[j.Pool]
	if pl == nil || l.unplaced[j.Pool] > MaxUnplaced || pl.reservedNodes >= max(1, len(pl.nodes)/reservedWorkersDivisor) {
		return
	}
	n, since := p.previousReservation(j)
	if n == nil {
		n = pl.leastShortNode(j)
	}
	if n == nil {
		return
	}
	p.reserve(n, j, since, false)
	pl.reservedNodes++
	if first, ok := l.reservedSince[j.Pool]; !ok || since < first {
		l.reservedSince[j.Pool] = since
	}
	if p.Rank != nil && isLarge(j.Size, n.Capacity) {
		p.Rank.Add(j.Team, j.Size)
	}
	if p.Now.Sub(since) >= BackfillWindow {
		l.unplaced[j.Pool] = MaxUnplaced
	}
}

// previousReservation returns the node of the job's previous reservation, or nil if
// the job had none or another job holds one on that node now. The time is when the
// job's reservation began, or the present time if it had none.
func (p *planner) previousReservation(j Job) (*node, fleet.Time) {
	r, ok := p.previousReservations[j.ID]
	if !ok {
		return nil, p.Now
	}
	if n := p.nodes[r.Worker]; n.reservedFor == "" {
		return n, r.Since
	}
	return nil, r.Since
}

// reserve adds a reservation to the plan.
func (p *planner) reserve(n *node, j Job, since fleet.Time, urgent bool) {
	n.reservedFor = j.ID
	n.reservedUrgent = urgent
	p.plan.Reservations = append(p.plan.Reservations, Reservation{
		JobID: j.ID, Worker: n.Name, Pool: n.Pool, Since: since, Urgent: urgent,
	})
}

// score returns the team's score including its next job.
func (p *planner) score(l *jobList) float64 {
	if p.Rank == nil {
		return 0
	}
	return p.Rank.Score(l.team, l.nextSize())
}

// jobList holds the selected queued jobs of one team in the order in which they are
// tried.
type jobList struct {
	team      string
	score     float64
	jobs      []Job
	nextIndex int
	// unplaced counts, by pool, the jobs that did not fit. At MaxUnplaced the team's
	// other jobs for the pool are skipped.
	unplaced map[string]int
	// reservedSince holds, by pool, the start of the team's oldest reservation.
	reservedSince map[string]fleet.Time
}

// next returns the next job whose pool is not skipped.
func (l *jobList) next() (Job, bool) {
	for l.nextIndex < len(l.jobs) {
		j := l.jobs[l.nextIndex]
		l.nextIndex++
		if l.unplaced[j.Pool] < MaxUnplaced {
			return j, true
		}
	}
	return Job{}, false
}

// nextSize returns the size of the next job, or zero at the end of the list.
func (l *jobList) nextSize() fleet.Resources {
	if l.nextIndex >= len(l.jobs) {
		return fleet.Resources{}
	}
	return l.jobs[l.nextIndex].Size
}

// jobListHeap implements heap.Interface; the list with the lowest score comes first.
type jobListHeap []*jobList

func (h jobListHeap) Len() int { return len(h) }
func (h jobListHeap) Less(a, b int) bool {
	if h[a].score != h[b].score {
		return h[a].score < h[b].score
	}
	return h[a].team < h[b].team
}
func (h jobListHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *jobListHeap) Push(x any)   { *h = append(*h, x.(*jobList)) }
func (h *jobListHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// jobLists returns the selected jobs by team, as lists that compareJobs orders.
func (p *planner) jobLists(selected func(Job) bool) *jobListHeap {
	byTeam := map[string]*jobList{}
	h := jobListHeap{}
	for _, j := range p.Jobs {
		if !selected(j) {
			continue
		}
		l := byTeam[j.Team]
		if l == nil {
			l = &jobList{team: j.Team, unplaced: map[string]int{}, reservedSince: map[string]fleet.Time{}}
			byTeam[j.Team] = l
			h = append(h, l)
		}
		l.jobs = append(l.jobs, j)
	}
	for _, l := range h {
		slices.SortFunc(l.jobs, compareJobs)
		l.score = p.score(l)
	}
	return &h
}

// compareJobs orders watch tasks before other jobs, and then jobs by the time of
// acceptance and by identifier.
func compareJobs(a, b Job) int {
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

// firstFit places jobs in the order of submission on the first worker with enough free
// resources.
func (p *planner) firstFit() {
	jobs := slices.Clone(p.Jobs)
	slices.SortStableFunc(jobs, func(a, b Job) int { return int(a.AcceptedAt - b.AcceptedAt) })
	for _, j := range jobs {
		pl := p.pools[j.Pool]
		if p.assignmentsLeft == 0 || pl == nil || !p.underLimit(j.Team) {
			continue
		}
		avoid := pl.canAvoidFailedWorkers(j)
		for _, n := range pl.nodes {
			if n.Usable && fits(j.Size, n.free) && !(avoid && slices.Contains(j.Avoid, n.Name)) {
				p.assign(n, j)
				break
			}
		}
	}
}
