//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// run is a run of a task on a minion.
type run struct {
	number   int
	started  time.Time
	stopAt   time.Time
	saved    string
	cpu, mem int64
	duration time.Duration
	lasts    bool
	jobID    string
	step     int
}

// minion is one life of a machine. It follows "Running tasks" and "Service discovery" of the
// protocol.
type minion struct {
	w       *world
	m       *machine
	id      string
	service string
	client  *http.Client

	mu        sync.Mutex
	dead      bool
	born      int64
	clock     time.Time
	sequence  int64
	token     uint64
	lease     time.Time
	running   map[string]*run
	closed    map[string]int
	ended     [][]any
	lastEnd   int64
	noted     int64
	wake      chan struct{}
	cut       bool
	target    string
	turn      int
	acked     time.Time
	withLease time.Time
	// stopTakes is how long a stop takes, at most stopGraceMs.
	stopTakes time.Duration
}

func (w *world) newMinion(m *machine, service string) *minion {
	n := &minion{
		w: w, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, born: time.Now().UnixMilli(), clock: time.Now(),
		running: map[string]*run{}, closed: map[string]int{}, wake: make(chan struct{}, 1), turn: rand.IntN(len(w.stores)),
		stopTakes: stopGraceMS * 3 / 4 * time.Millisecond,
	}
	n.client = &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	w.rec.line("minion %s of %s starts on %s", n.id, service, m.name)
	go n.beats()
	go n.work()
	return n
}

// kill ends the minion at once: a crash, a move or an upkeep.
func (n *minion) kill(why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		return
	}
	n.dead = true
	for task, r := range n.running {
		n.w.rec.line("  %s run %d ends with its minion %s (%s)", task, r.number, n.id, why)
	}
	n.running = map[string]*run{}
	n.w.rec.line("minion %s ends (%s)", n.id, why)
}

// work lets tasks progress, and ends them.
func (n *minion) work() {
	const tick = 5 * time.Millisecond
	for {
		time.Sleep(tick)
		n.mu.Lock()
		if n.dead {
			n.mu.Unlock()
			return
		}
		now := time.Now()
		for task, r := range n.running {
			switch {
			case now.After(n.lease):
				n.end(task, r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				n.end(task, r, "stopped")
			case !r.lasts && now.Sub(r.started) >= r.duration:
				n.end(task, r, "done")
			}
		}
		n.mu.Unlock()
	}
}

func (n *minion) end(task string, r *run, how string) {
	delete(n.running, task)
	n.closed[task] = max(n.closed[task], r.number)
	n.list(task, r.number, how, r.saved)
}

func (n *minion) list(task string, number int, how, saved string) {
	n.lastEnd++
	n.ended = append(n.ended, []any{n.lastEnd, task, number, how, saved})
	n.w.rec.line("  %s run %d ends %s on %s", task, number, how, n.id)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// setCut cuts the minion off from the core, or joins it again.
func (n *minion) setCut(cut bool) {
	n.mu.Lock()
	n.cut = cut
	n.mu.Unlock()
	n.client.CloseIdleConnections()
	n.w.rec.line("minion %s cut off: %t", n.id, cut)
}

type orders struct {
	HeartbeatAddress string              `json:"heartbeatAddress"`
	HoldMS           *int64              `json:"holdMs"`
	AckSeq           int64               `json:"ackSeq"`
	FencingToken     uint64              `json:"fencingToken"`
	Start            [][]json.RawMessage `json:"start"`
	Stop             [][]json.RawMessage `json:"stop"`
	RetryMS          *int64              `json:"retryMs"`
}

// beats sends heartbeats, one at a time.
func (n *minion) beats() {
	backoff := 50 * time.Millisecond
	for {
		n.mu.Lock()
		dead := n.dead
		n.mu.Unlock()
		if dead {
			return
		}
		wait, ok := n.beat()
		if !ok {
			wait = backoff
			backoff = min(backoff*2, time.Second)
		} else {
			backoff = 50 * time.Millisecond
		}
		select {
		case <-n.wake:
			time.Sleep(50 * time.Millisecond)
		case <-time.After(wait):
		}
	}
}

func (n *minion) report() []byte {
	running, ended := [][]any{}, [][]any{}
	for task, r := range n.running {
		percent := 100
		if !r.lasts {
			percent = min(int(time.Since(r.started)*100/r.duration), 99)
		} else if time.Since(r.started) < 500*time.Millisecond {
			percent = int(time.Since(r.started) * 100 / (500 * time.Millisecond))
		}
		running = append(running, []any{task, r.number, r.saved, percent, r.cpu})
	}
	ended = append(ended, n.ended[:min(len(n.ended), 500)]...)
	n.sequence++
	data, err := json.Marshal(map[string]any{
		"service": n.service, "address": n.m.address, "zone": n.m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]int64{"cpu": n.m.cpu, "memMb": n.m.mem, "gpu": 0}, "labels": n.m.labels, "clockMs": time.Since(n.clock).Milliseconds(),
		"machine": n.m.name, "born": n.born, "sequence": n.sequence, "running": running, "ended": ended,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (n *minion) beat() (time.Duration, bool) {
	n.mu.Lock()
	if n.cut || n.dead {
		n.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		return 0, false
	}
	body := n.report()
	target := n.target
	if target == "" {
		target = fmt.Sprintf("%s:%d", n.w.storeIP(n.turn%len(n.w.stores)), n.w.control)
		n.turn++
	}
	n.mu.Unlock()
	sent := time.Now()
	o, status, err := n.send(target, body)
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil || status < 200 || status > 299 || time.Since(sent) > time.Second || n.cut || n.dead {
		n.target = ""
		return 0, false
	}
	n.target = o.HeartbeatAddress
	if n.target == "" {
		n.target = target
	}
	n.acked = time.Now()
	n.obey(o, sent)
	if o.RetryMS != nil && *o.RetryMS > 0 {
		return time.Duration(*o.RetryMS) * time.Millisecond, true
	}
	return heartbeatMS * time.Millisecond, true
}

func (n *minion) send(target string, body []byte) (orders, int, error) {
	var o orders
	req, err := http.NewRequest(http.MethodPut, "http://"+target+"/-/instances/"+n.id, bytes.NewReader(body))
	if err != nil {
		return o, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.client.Do(req)
	if err != nil {
		return o, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return o, resp.StatusCode, err
	}
	return o, resp.StatusCode, json.Unmarshal(data, &o)
}

// obey carries out the answer to a heartbeat that was sent at the given time.
func (n *minion) obey(o orders, sent time.Time) {
	if o.FencingToken < n.token {
		return
	}
	n.token = o.FencingToken
	for len(n.ended) > 0 && n.ended[0][0].(int64) <= o.AckSeq {
		n.ended = n.ended[1:]
	}
	n.noted = max(n.noted, o.AckSeq)
	if o.HoldMS != nil {
		hold := min(time.Duration(*o.HoldMS)*time.Millisecond, maxHold)
		if until := sent.Add(hold); until.After(n.lease) {
			n.lease = until
		}
		n.withLease = time.Now()
	}
	for _, row := range o.Stop {
		task, number := taskRun(row)
		r, ok := n.running[task]
		if !ok || r.number > number {
			n.closed[task] = max(n.closed[task], number)
			continue
		}
		if r.stopAt.IsZero() {
			n.w.rec.line("  %s run %d is told to stop on %s", task, r.number, n.id)
			if n.w.platform.onStop != nil {
				n.w.platform.onStop(task)
			}
			r.stopAt = time.Now().Add(n.stopTakes)
		}
	}
	if o.HoldMS == nil {
		return
	}
	for _, row := range o.Start {
		n.startRun(row)
	}
}

func taskRun(row []json.RawMessage) (string, int) {
	var task string
	var number int
	_ = json.Unmarshal(row[0], &task)
	_ = json.Unmarshal(row[1], &number)
	return task, number
}

func (n *minion) startRun(row []json.RawMessage) {
	task, number := taskRun(row)
	if r, ok := n.running[task]; ok && r.number == number {
		return
	}
	if n.closed[task] == number {
		return // listed or noted already
	}
	ticket := ""
	if len(row) > 4 {
		_ = json.Unmarshal(row[4], &ticket)
	}
	j, step := n.w.jobOf(task)
	if j == nil {
		n.w.rec.line("  %s run %d: nobody sent this job", task, number)
		return
	}
	r := &run{number: number, started: time.Now(), jobID: j.id, step: step, cpu: j.steps[step].CPU, mem: j.steps[step].MemMB, duration: time.Duration(j.steps[step].workMS) * time.Millisecond, lasts: j.steps[step].LongRunning}
	cpu, mem := int64(0), int64(0)
	for _, other := range n.running {
		cpu, mem = cpu+other.cpu, mem+other.mem
	}
	why := ""
	if _, ok := n.running[task]; ok || number <= n.closed[task] {
		why = "not a higher run"
	} else if cpu+r.cpu > n.m.cpu || mem+r.mem > n.m.mem {
		why = "no room"
	} else if j.advice && !n.w.platform.ticketValid(ticket, n, task) {
		why = "no valid ticket"
	}
	if why != "" {
		n.closed[task] = max(n.closed[task], number)
		n.w.rec.line("  %s run %d rejected by %s: %s", task, number, n.id, why)
		n.list(task, number, "refused", "")
		return
	}
	n.running[task] = r
	n.w.rec.line("  %s run %d starts on %s (%s)", task, number, n.id, n.m.name)
	if n.w.platform.onStart != nil {
		n.w.platform.onStart(n, task, r)
	}
}

// runs returns the names of the tasks of a job that run on the minion.
func (n *minion) runs(jobID string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []string
	for task, r := range n.running {
		if r.jobID == jobID {
			out = append(out, task)
		}
	}
	return out
}
