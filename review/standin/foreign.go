//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// otherWriter sends one heartbeat that is not a minion's: a PUT of the fields under the id, to
// the stores in turn until one answers it.
func (w *world) otherWriter(id string, fields map[string]any) {
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	for i := range w.stores {
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/-/instances/%s", w.storeIP(i), w.control, id), bytes.NewReader(data))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := callClient.Do(req)
		if err != nil {
			w.rec.line("other writer: PUT /-/instances/%s %s: %s", id, data, err)
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		w.rec.line("other writer: PUT /-/instances/%s %s -> %d %s", id, data, resp.StatusCode, body)
		return
	}
}

// unreadableHeartbeat: another writer sends heartbeats of which bytes of the id can't be read.
func unreadableHeartbeat(w *world, trouble bool) (string, error) {
	const beats = 4
	p := w.newPlatform("spare")
	for i := range 4 {
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	if err := w.begin([]route{queue("r-1", "/plan/", "desk")}, []map[string]any{service("desk", false)}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	before := w.newJob("/plan/", false, step{Count: 4, CPU: 2000, MemMB: 2000, EstimatedMS: 500, workMS: 500})
	burst := w.newJob("/plan/", false, step{Count: 60, CPU: 8000, MemMB: 8000, EstimatedMS: 1000, workMS: 1000})
	for _, j := range []*job{before, burst} {
		if !w.submit(j, 10*time.Second) {
			return "", errSetUp
		}
	}
	if trouble {
		w.rec.line("TROUBLE: another writer sends %d heartbeats; bytes of the id in their path can't be read", beats)
		for i := range beats {
			w.otherWriter("i-5ea3%FF%FE1b", map[string]any{
				"service": "desk", "address": w.ip(200) + ":8080", "zone": "z0", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
				"machine": "m-9", "born": w.platformStart(), "sequence": i + 1, "labels": []string{"a", "r-9"}, "clockMs": 1000 + i*heartbeatMS,
				"capacity": map[string]int64{"cpu": 32000, "memMb": 65536, "gpu": 0}, "running": []any{}, "ended": []any{},
			})
			time.Sleep(heartbeatMS * time.Millisecond)
		}
	} else {
		time.Sleep(beats * heartbeatMS * time.Millisecond)
	}
	w.rec.line("end of the traffic")
	time.Sleep(finish)
	for _, j := range []*job{before, burst} {
		if state := w.state(j); state != "completed" {
			return fmt.Sprintf("%s after the end of the traffic, the state of the accepted job %s is %q; a GET gets no answer but 5xx if it is empty", finish, j.id, state), nil
		}
	}
	if version := w.readConfiguration(); version != 1 {
		return fmt.Sprintf("the configuration is read back as version %d, not 1", version), nil
	}
	return "", nil
}

// platformStart returns the Unix millisecond at which the case began.
func (w *world) platformStart() int64 { return w.rec.start.UnixMilli() }

// foreignHeartbeat: another program on a minion's machine sends one heartbeat, of a service that
// no configuration names.
func foreignHeartbeat(w *world, trouble bool) (string, error) {
	p := w.newPlatform("spare")
	for i := range 4 {
		p.add(fmt.Sprintf("m-%d", i), "desk", "a", fmt.Sprintf("r-%d", i/4), fmt.Sprintf("z%d", i%3))
	}
	var broken atomic.Value
	p.onStart = func(n *minion, task string, r *run) {
		for _, other := range p.everyMinion() {
			if other == n {
				continue
			}
			if number, ok := other.runsNow(task); ok {
				broken.CompareAndSwap(nil, fmt.Sprintf("%s run %d starts on %s while run %d is running on %s, which is up", task, r.number, n.id, number, other.id))
			}
		}
	}
	if err := w.begin([]route{queue("r-1", "/batch/", "desk")}, []map[string]any{service("desk", false)}); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	j := w.newJob("/batch/", false, step{Count: 8, CPU: 8000, MemMB: 4000, EstimatedMS: 8000, workMS: 8000})
	if !w.submit(j, 10*time.Second) {
		return "", errSetUp
	}
	for deadline := time.Now().Add(15 * time.Second); len(w.tasksRunning("desk", j)) < 8; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("the job did not start")
		}
	}
	time.Sleep(2 * time.Second)
	busy := p.machineOf(j.id)
	if trouble {
		w.rec.line("TROUBLE: another program on %s sends one heartbeat of the service inventory, which no configuration names", busy.name)
		w.otherWriter("inv-0001", map[string]any{
			"service": "inventory", "address": busy.address, "zone": busy.zone, "version": "v7", "slots": 1, "state": "ready", "coldRemainingMs": 0,
			"machine": busy.name, "born": time.Now().UnixMilli(), "sequence": 1, "labels": busy.labels, "clockMs": 100,
			"capacity": map[string]int64{"cpu": 1000, "memMb": 1024, "gpu": 0},
		})
	}
	for deadline := time.Now().Add(40 * time.Second); w.state(j) != "completed" && time.Now().Before(deadline); {
		time.Sleep(time.Second)
	}
	if b := broken.Load(); b != nil {
		return b.(string), nil
	}
	return "", nil
}

// machineOf returns a machine whose minion runs tasks of the job.
func (p *platform) machineOf(jobID string) *machine {
	for _, n := range p.everyMinion() {
		if len(n.runs(jobID)) > 0 {
			return n.m
		}
	}
	return nil
}

// everyMinion returns the present minions of all machines. It is called while a minion's lock
// is held, so it reads the machines without waiting for minions.
func (p *platform) everyMinion() []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*minion
	for _, m := range p.machines {
		if m.minion != nil {
			out = append(out, m.minion)
		}
	}
	return out
}

// runsNow returns the number of the run of a task on the minion, if there is one. It gives up
// if the minion is busy, so that two minions can't wait for each other.
func (n *minion) runsNow(task string) (int, bool) {
	for range 20 {
		if n.mu.TryLock() {
			defer n.mu.Unlock()
			r, ok := n.running[task]
			if !ok || n.dead || time.Now().After(n.lease) {
				return 0, false
			}
			return r.number, true
		}
		time.Sleep(time.Millisecond)
	}
	return 0, false
}
