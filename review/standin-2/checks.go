package main

import (
	"fmt"
	"time"
)

const (
	// finish is the time from the end of the traffic until jobs are asked for, and stuckFor how long
	// one must have nothing running (RULES.md, LOST).
	finish     = 14 * time.Second
	stuckFor   = 3 * time.Second
	sampleTime = 100 * time.Millisecond
)

// stuckJobs asks for the jobs finish after the end of the traffic. It returns those that are not
// known or not answered, and those that have nothing running for stuckFor although their turn has
// come, minions that they may run on have room for them twice over, and their service uses less than
// half of its capacity.
func (w *world) stuckJobs(jobs []*job, pool string, mayRun func(*job, *minion) bool) []string {
	time.Sleep(finish)
	var broken []string
	since := map[string]time.Time{}
	var open []*job
	for _, j := range jobs {
		if !j.accepted {
			continue
		}
		state := w.state(j)
		w.rec.add("client: GET %s%s, state %s", j.prefix, j.id, state)
		switch state {
		case "410", "no answer":
			broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, and the answer to GET is %s", j.id, state))
		case "queued", "running":
			if !j.step.LongRunning {
				open = append(open, j)
				since[j.id] = time.Now()
			}
		}
	}
	reported := map[string]bool{}
	for end := time.Now().Add(2 * stuckFor); time.Now().Before(end); time.Sleep(sampleTime) {
		minions := w.cloud.minions(pool)
		for _, j := range open {
			if !w.isOwed(j, minions, mayRun) {
				since[j.id] = time.Now()
			}
			if idle := time.Since(since[j.id]); idle > stuckFor && !reported[j.id] {
				reported[j.id] = true
				broken = append(broken, fmt.Sprintf("LOST: job %s was accepted, its turn has come, nothing of it runs for %.1f s, and there is room; state %s, starts of its first task %d",
					j.id, idle.Seconds(), w.state(j), w.check.startsOf(j.id+".0.0.0")))
			}
		}
	}
	return broken
}

// isOwed reports whether nothing of the job runs although there is room for it twice over, and under
// half of the service's capacity is in use. The tenant's limit is four times that capacity or more.
func (w *world) isOwed(j *job, minions []*minion, mayRun func(*job, *minion) bool) bool {
	var capacity, used int64
	room := int64(0)
	for _, m := range minions {
		if len(m.runsOf(j.id)) > 0 {
			return false
		}
		m.mu.Lock()
		free := m.free()
		capacity += m.capacity.CPU
		used += m.capacity.CPU - free.CPU
		m.mu.Unlock()
		if mayRun(j, m) {
			room += min(free.CPU/j.step.CPU, free.MemMB/max(j.step.MemMB, 1))
		}
	}
	return 2*used < capacity && room >= int64(2*j.step.Count)
}

func (c *checker) startsOf(task string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[task]
}

// awaitMinions waits until each minion of the pool has a lease.
func (w *world) awaitMinions(pool string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(sampleTime) {
		ready := true
		for _, m := range w.cloud.minions(pool) {
			m.mu.Lock()
			ready = ready && time.Now().Before(m.leaseUntil)
			m.mu.Unlock()
		}
		if ready {
			return nil
		}
	}
	return fmt.Errorf("not all minions have a lease")
}
