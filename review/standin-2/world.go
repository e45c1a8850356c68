package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

func (r resources) minus(o resources) resources {
	return resources{r.CPU - o.CPU, r.MemMB - o.MemMB, r.GPU - o.GPU}
}

func (r resources) fits(o resources) bool {
	return r.CPU <= o.CPU && r.MemMB <= o.MemMB && r.GPU <= o.GPU
}

// jobStep is a step as a client sends it.
type jobStep struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemMB        int64  `json:"memMb"`
	EstimatedMS  int64  `json:"estimatedMs,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	MayMiss      int    `json:"mayMiss,omitempty"`
}

func (s jobStep) resources() resources { return resources{CPU: s.CPU, MemMB: s.MemMB} }

// job is a job of one step that a client has sent.
type job struct {
	id, prefix string
	spec       string
	step       jobStep
	// duration is how long each task runs.
	duration time.Duration
	// advised is true if the queue has a policy, so that starts need a ticket.
	advised  bool
	accepted bool
}

// world holds the stand-ins around the system.
type world struct {
	ctx   context.Context
	wg    sync.WaitGroup
	d     *deployment
	rec   *record
	check *checker
	cloud *cloud
	// lives is the number of lives of minions so far.
	lives int

	mu   sync.Mutex
	jobs map[string]*job
	// policy reports whether the queue's policy allows a step on a minion; nil for queues without.
	policy   func(step string, m *minion) bool
	validity time.Duration
	tickets  map[string]time.Time
	// ticketBytes is the length of a ticket, which a signature may make long.
	ticketBytes int
}

func newWorld(ctx context.Context, d *deployment, rec *record) *world {
	w := &world{ctx: ctx, d: d, rec: rec, jobs: map[string]*job{}, tickets: map[string]time.Time{}}
	w.check = &checker{w: w, starts: map[string]int{}, done: map[string]doneRun{}, at: map[string]*run{}, on: map[string]*minion{}}
	w.cloud = &cloud{w: w, tokens: map[string]uint64{}, waves: map[int64]*cloudWave{}}
	return w
}

// jobID returns the job of a task named ID.K.STEP.INDEX.
func jobID(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (w *world) jobOf(task string) *job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[jobID(task)]
}

func ticketKey(step string, m *minion, ticket string) string {
	return fmt.Sprintf("%s %s %d %s", step, m.id, m.born, ticket)
}

// issueTicket returns a ticket for the tasks of a step during this life of the minion.
func (w *world) issueTicket(step string, m *minion) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ticket := fmt.Sprintf("t%d", len(w.tickets))
	ticket += strings.Repeat("x", max(w.ticketBytes-len(ticket), 0))
	w.tickets[ticketKey(step, m, ticket)] = time.Now().Add(w.validity)
	return ticket
}

func (w *world) ticketIsValid(task string, m *minion, ticket string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	return time.Now().Before(w.tickets[ticketKey(step, m, ticket)])
}

// doneRun is the first end of a task as done.
type doneRun struct {
	run    int
	minion string
	at     time.Time
	// acknowledged is true once ackSeq has reached the end.
	acknowledged bool
}

// checker follows the runs and notes each second run of a task.
type checker struct {
	w *world

	mu     sync.Mutex
	starts map[string]int
	done   map[string]doneRun
	// at and on hold the run of each task that is at work, and its minion.
	at map[string]*run
	on map[string]*minion
	// afterDone holds the starts after an end as done, by task.
	afterDone []string
	parallel  []string
	foreign   []string
	quiet     bool
}

func (c *checker) note(format string, args ...any) {
	if !c.quiet {
		c.w.rec.add(format, args...)
	}
}

func (c *checker) ordered(m *minion, task string, number int, spec string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.w.jobOf(task)
	if j == nil || j.spec != spec {
		c.foreign = append(c.foreign, task)
		c.w.rec.add("UNASKED: %s is told to start %s run %d with a specification that nobody sent", m.id, task, number)
	}
}

func (c *checker) started(m *minion, r *run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starts[r.task]++
	c.note("%s on %s: starts %s run %d", m.id, m.machine, r.task, r.number)
	if d, ok := c.done[r.task]; ok {
		c.afterDone = append(c.afterDone, r.task)
		c.w.rec.add("second run: %s run %d starts on %s (%s), run %d ended done on %s %d ms before", r.task, r.number, m.id, m.machine, d.run, d.minion, time.Since(d.at).Milliseconds())
	}
	if other, ok := c.at[r.task]; ok && c.on[r.task] != m {
		c.parallel = append(c.parallel, r.task)
		c.w.rec.add("two runs: %s run %d starts on %s while run %d is on %s", r.task, r.number, m.id, other.number, c.on[r.task].id)
	}
	c.at[r.task], c.on[r.task] = r, m
}

func (c *checker) ended(m *minion, r *run, how string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.note("%s on %s: %s run %d ends %s", m.id, m.machine, r.task, r.number, how)
	if c.at[r.task] == r {
		delete(c.at, r.task)
		delete(c.on, r.task)
	}
	if _, ok := c.done[r.task]; how == "done" && !ok {
		c.done[r.task] = doneRun{run: r.number, minion: m.id, at: time.Now()}
	}
}

func (c *checker) acknowledged(m *minion, e end) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d, ok := c.done[e.task]; ok && d.run == e.run && d.minion == m.id && e.how == "done" {
		d.acknowledged = true
		c.done[e.task] = d
	}
}

// twice returns the tasks that started again after a run that ended done, an end that the system
// has taken note of.
func (c *checker) twice() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var tasks []string
	for _, task := range c.afterDone {
		if c.done[task].acknowledged {
			tasks = append(tasks, task)
		}
	}
	return tasks
}
