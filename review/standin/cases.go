//go:build review

package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

var errSetUp = errors.New("the deployment did not come up")

// begin starts the programs, the platform and the minions, and sends the first configuration.
func (w *world) begin(routes []route, services []map[string]any) error {
	if err := w.start(); err != nil {
		return err
	}
	if err := w.platform.begin(); err != nil {
		return err
	}
	if !w.configure(1, routes, services) {
		return errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range w.entries {
			if status, _ := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/readiness", w.entryIP(i), w.readiness), "", nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.entries) {
			return nil
		}
	}
	return errSetUp
}

// tasksRunning returns the tasks of a job that run on minions that are up in a pool.
func (w *world) tasksRunning(pool string, j *job) []string {
	var tasks []string
	for _, n := range w.platform.up(pool) {
		tasks = append(tasks, n.runs(j.id)...)
	}
	slices.Sort(tasks)
	return tasks
}

// room returns the processor time that is free on the minions of a pool that may run the
// step, that are up, and whose heartbeats are acknowledged, counting only those with room
// for twice the task and without another task of its step if it has antiAffinity. It also
// returns the share of the pool's capacity that is in use, in percent.
func (w *world) room(pool string, j *job, s step, may func(*machine) bool) (minions int, usedPercent int64) {
	used, capacity := int64(0), int64(0)
	for _, n := range w.platform.up(pool) {
		n.mu.Lock()
		cpu, mem, others := int64(0), int64(0), 0
		for _, r := range n.running {
			cpu, mem = cpu+r.cpu, mem+r.mem
			if r.jobID == j.id {
				others++
			}
		}
		acked := time.Since(n.acked) < 2*time.Second
		n.mu.Unlock()
		used, capacity = used+cpu, capacity+n.m.cpu
		fits := n.m.cpu-cpu >= 2*s.CPU && n.m.mem-mem >= 2*s.MemMB
		label := s.Requirements == "" || slices.Contains(n.m.labels, s.Requirements)
		apart := s.AntiAffinity == 0 || others < s.AntiAffinity
		if acked && fits && label && apart && (may == nil || may(n.m)) {
			minions++
		}
	}
	if capacity == 0 {
		return minions, 100
	}
	return minions, used * 100 / capacity
}

// starved watches a job for a time, and reports what of it had nothing running for 3 s on end
// while two minions or more had room for it twice over and under half of the pool was in use.
// tasks are the names to watch one by one; without them the job is watched as a whole.
func (w *world) starved(pool string, j *job, s step, tasks []string, may func(*machine) bool, watch time.Duration) string {
	const bound = 3 * time.Second
	since := map[string]time.Time{}
	begin := time.Now()
	for time.Since(begin) < watch {
		running := w.tasksRunning(pool, j)
		minions, used := w.room(pool, j, s, may)
		names := tasks
		if names == nil {
			names = []string{j.id}
		}
		for _, name := range names {
			runs := len(running) > 0
			if tasks != nil {
				runs = slices.Contains(running, name)
			}
			if runs || minions < 2 || used >= 50 {
				delete(since, name)
				continue
			}
			if since[name].IsZero() {
				since[name] = time.Now()
			}
			if time.Since(since[name]) >= bound {
				return fmt.Sprintf("%s has had nothing running for %s; %d minions have room for it twice over, %d%% of the pool is in use", name, bound, minions, used)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return ""
}

func taskNames(j *job) []string {
	var out []string
	for i, s := range j.steps {
		for k := range s.Count {
			out = append(out, fmt.Sprintf("%s.0.%d.%d", j.id, i, k))
		}
	}
	return out
}

// reportMinions records which minions are answered without a lease.
func (w *world) reportMinions(pool string) {
	for _, n := range w.platform.up(pool) {
		n.mu.Lock()
		w.rec.line("minion %s on %s: last answer %s ago, last answer with holdMs %s ago, %d running", n.id, n.m.name,
			time.Since(n.acked).Round(10*time.Millisecond), time.Since(n.withLease).Round(10*time.Millisecond), len(n.running))
		n.mu.Unlock()
	}
}

// slowMoves: the platform answers slowly for some seconds while machines move into a pool.
func slowMoves(w *world, trouble bool) (string, error) {
	const (
		slowFor   = 5 * time.Second
		answersIn = 2 * time.Second
	)
	p := w.newPlatform("spare")
	for i := range 4 {
		pool := "spare"
		if i == 0 {
			pool = "desk"
		}
		p.add(fmt.Sprintf("m-%d", i), pool, "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	var slowUntil atomic.Int64
	p.answer = func(path string, _ map[string]any) bool {
		if time.Now().UnixNano() < slowUntil.Load() {
			time.Sleep(answersIn)
		}
		return true
	}
	if err := w.begin([]route{queue("r-1", "/watch/", "desk")}, []map[string]any{service("desk", false), service("spare", true)}); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	lasting := step{Count: 4, CPU: 2600, MemMB: 4000, EstimatedMS: 500, AntiAffinity: 1, LongRunning: true, MayMiss: 1}
	j := w.newJob("/watch/", false, lasting)
	if trouble {
		slowUntil.Store(time.Now().Add(slowFor).UnixNano())
		w.rec.line("TROUBLE: for %s the platform answers each call %s late", slowFor, answersIn)
	}
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	time.Sleep(slowFor + answersIn + 4*time.Second)
	w.rec.line("end of the traffic; the platform has answered at once for %s", contact)
	time.Sleep(finish)
	w.reportMinions("desk")
	broken := w.starved("desk", j, lasting, taskNames(j), nil, 8*time.Second)
	w.state(j)
	return broken, nil
}

// lostUpkeeps: the platform gives no answers for some seconds while machines begin their upkeep.
func lostUpkeeps(w *world, trouble bool) (string, error) {
	const outage = 5 * time.Second
	p := w.newPlatform("spare")
	for i := range 6 {
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	p.members[1] = map[string]bool{"m-0": true, "m-1": true}
	var lostUntil atomic.Int64
	var upkeeps atomic.Int64
	p.answer = func(path string, _ map[string]any) bool {
		if trouble && path == "/-/machine-upkeep" && upkeeps.Add(1) == 1 {
			lostUntil.Store(time.Now().Add(outage).UnixNano())
			w.rec.line("TROUBLE: for %s the platform carries out calls, but its answers are lost", outage)
		}
		return time.Now().UnixNano() >= lostUntil.Load()
	}
	if err := w.begin([]route{queue("r-1", "/watch/", "desk")}, []map[string]any{service("desk", false), service("spare", true)}); err != nil {
		return "", err
	}
	lasting := step{Count: 6, CPU: 2600, MemMB: 4000, EstimatedMS: 500, AntiAffinity: 1, LongRunning: true, MayMiss: 2}
	j := w.newJob("/watch/", false, lasting)
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); len(w.tasksRunning("desk", j)) < 6; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errSetUp
		}
	}
	time.Sleep(3 * time.Second)
	if !w.operate(http.MethodPost, "/-/wave-start", map[string]any{"wave": 1, "machines": []string{"m-0", "m-1"}, "durationS": 8, "upperLimit": 2}, 5*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(20 * time.Second); !p.waveDone(1, "m-0", "m-1"); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errors.New("the wave did not end")
		}
	}
	time.Sleep(outage + 4*time.Second)
	w.rec.line("end of the traffic; the wave is over and the platform answers")
	time.Sleep(finish)
	w.reportMinions("desk")
	broken := w.starved("desk", j, lasting, taskNames(j), nil, 8*time.Second)
	w.state(j)
	return broken, nil
}

// waveDone reports whether the machines have begun their upkeep and are up again.
func (p *platform) waveDone(wave int64, names ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range names {
		m := p.find(name)
		if !m.waves[wave] || m.state != "up" {
			return false
		}
	}
	return true
}

// staleAdvice: the minions that the advice service has approved crash and start again.
func staleAdvice(w *world, trouble bool) (string, error) {
	const downFor = 5 * time.Second
	p := w.newPlatform("spare")
	for i := range 8 {
		rack := fmt.Sprintf("r-%d", i/4)
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", rack, fmt.Sprintf("z%d", i%3))
	}
	inRack := func(m *machine) bool { return m.labels[1] == "r-0" }
	p.approves, p.validity, p.decision = inRack, time.Minute, 400*time.Millisecond
	q := queue("r-1", "/scan/", "desk")
	q["advice"] = map[string]any{"decisionMs": 200, "perWorkerMs": 25, "validityMs": 60000}
	if err := w.begin([]route{q}, []map[string]any{service("desk", false)}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	work := step{Count: 4, CPU: 4000, MemMB: 4000, EstimatedMS: 12000, workMS: 12000}
	j := w.newJob("/scan/", true, work)
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); len(w.tasksRunning("desk", j)) < 4; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errors.New("the job did not start")
		}
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.rec.line("TROUBLE: the minions of rack r-0 crash, for %s", downFor)
		p.crash(p.machines[:4], downFor)
	}
	time.Sleep(downFor + contact)
	w.rec.line("end of the traffic; the minions have been back for %s", contact)
	time.Sleep(finish)
	w.reportMinions("desk")
	if w.state(j) == "completed" {
		return "", nil
	}
	broken := w.starved("desk", j, work, nil, inRack, 8*time.Second)
	w.state(j)
	return broken, nil
}

// copiesApart: a minion that runs a task of a step with speculative and antiAffinity is cut off
// for some seconds and runs on.
func copiesApart(w *world, trouble bool) (string, error) {
	const cutFor = 3 * time.Second
	p := w.newPlatform("spare")
	for i := range 6 {
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	var broken atomic.Value
	p.onStart = func(n *minion, task string, r *run) {
		// The caller holds the lock of the minion.
		if j, s := w.jobOf(task); j != nil && j.steps[s].AntiAffinity > 0 {
			var beside []string
			for other, o := range n.running {
				if o.jobID == r.jobID && o.step == r.step && other != task {
					beside = append(beside, fmt.Sprintf("%s run %d", other, o.number))
				}
			}
			if len(beside) >= j.steps[s].AntiAffinity {
				broken.CompareAndSwap(nil, fmt.Sprintf("%s run %d starts on %s beside %s of the same step; antiAffinity is %d", task, r.number, n.id, strings.Join(beside, ", "), j.steps[s].AntiAffinity))
			}
		}
	}
	if err := w.begin([]route{queue("r-1", "/plan/", "desk")}, []map[string]any{service("desk", false)}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	j := w.newJob("/plan/", false, step{Count: 18, CPU: 2300, MemMB: 4200, EstimatedMS: 6000, AntiAffinity: 1, Speculative: true, workMS: 6000})
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); len(w.tasksRunning("desk", j)) < 6; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errors.New("the job did not start")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		n := p.up("desk")[0]
		w.rec.line("TROUBLE: minion %s is cut off from all stores for %s and runs on", n.id, cutFor)
		n.setCut(true)
		time.Sleep(cutFor)
		n.setCut(false)
	}
	for deadline := time.Now().Add(50 * time.Second); w.state(j) != "completed" && time.Now().Before(deadline); time.Sleep(time.Second) {
		if broken.Load() != nil {
			time.Sleep(time.Second)
			break
		}
	}
	if b := broken.Load(); b != nil {
		return b.(string), nil
	}
	return "", nil
}

// flappingMinion: one of ten minions goes down and up by turns while it runs a task of a job
// that lasts.
func flappingMinion(w *world, trouble bool) (string, error) {
	const (
		period  = 1400 * time.Millisecond
		flapFor = 6500 * time.Millisecond
		notice  = 4500 * time.Millisecond
	)
	p := w.newPlatform("spare")
	for i := range 10 {
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	lasting := step{Count: 10, CPU: 2600, MemMB: 11000, EstimatedMS: 500, AntiAffinity: 1, LongRunning: true, MayMiss: 2}
	j := w.newJob("/watch/", false, lasting)
	watch := newAvailWatch(w, j, lasting.MayMiss, notice)
	p.onStop = watch.stopped
	if err := w.begin([]route{queue("r-1", "/watch/", "desk")}, []map[string]any{service("desk", false)}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); len(w.tasksRunning("desk", j)) < lasting.Count; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errors.New("the job did not start")
		}
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	if trouble {
		w.rec.line("TROUBLE: the minion of m-0 goes down and up, period %s, for %s", period, flapFor)
	}
	for ; time.Since(begin) < flapFor; time.Sleep(period) {
		if trouble {
			p.crash(p.machines[:1], period/2)
		}
	}
	time.Sleep(contact)
	state := w.state(j)
	w.rec.line("nobody has cancelled the job, and no run of it has ended failed; its state is %q", state)
	time.Sleep(finish)
	w.state(j)
	w.rec.line("tasks of the job that run now: %d of %d", len(w.tasksRunning("desk", j)), lasting.Count)
	return watch.broken(), nil
}
