//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stopTime   = 100 * time.Millisecond
	beatTimely = time.Second
	startupMS  = 500
	failTime   = 100 * time.Millisecond
)

// minion is the stand-in of one worker and its machine. It follows the pages: leases, fencing tokens,
// ends that are listed until they are acknowledged, and a new heartbeat 50 ms after an end.
type minion struct {
	f                       *fleet
	id, machine, rack, zone string
	capacity                amount
	guards                  bool
	// failsUntil is the time until which the minion fails all that it starts.
	failsUntil time.Time
	// onStart is called when a task has begun, without the lock.
	onStart func(m *minion, task string, run int)

	mu       sync.Mutex
	service  string
	up, gone bool
	cancel   context.CancelFunc
	born     int64
	sequence int64
	token    uint64
	lease    time.Time
	running  map[string]*running
	highest  map[string]int
	ended    []ended
	lastEnd  int64
	target   string
	wake     chan struct{}
}

type running struct {
	run     int
	began   time.Time
	lasts   bool
	fails   bool
	length  time.Duration
	stopped time.Time
	size    amount
	// pace is the share at which the task works, and worked the time it has worked at full pace.
	pace   int
	worked time.Duration
	last   time.Time
}

type ended struct {
	n    int64
	task string
	run  int
	how  string
}

type amount struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

func (f *fleet) addMinion(service, rack, zone string, guards bool) *minion {
	n := len(f.minions) + 1
	m := &minion{
		f: f, id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), machine: fmt.Sprintf("m-%04x", 0xa000+n), rack: rack, zone: zone, service: service,
		capacity: amount{CPU: 32000, MemMB: 65536}, guards: guards, wake: make(chan struct{}, 1),
	}
	f.minions = append(f.minions, m)
	return m
}

func (m *minion) pool() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.service
}

func (m *minion) setPool(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.service = service
}

func (m *minion) isUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up
}

func (m *minion) runs(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running[task] != nil
}

// listed returns the entry of the machine in the platform's list, or nil if the machine is gone for good.
func (m *minion) listed() map[string]any {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gone {
		return nil
	}
	state, id := "up", m.id
	if !m.up {
		state, id = "down", ""
	}
	return map[string]any{"machine": m.machine, "pool": m.service, "state": state, "zone": m.zone, "labels": []string{"a", m.rack}, "capacity": m.capacity, "id": id}
}

// lose takes the machine of the minion away for good, without notice.
func (m *minion) lose() {
	m.crash("lost for good")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.gone = true
}

// start begins a new life of the minion, which holds and knows nothing of before.
func (m *minion) start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	m.up, m.cancel, m.born, m.sequence, m.token, m.lease = true, cancel, time.Now().UnixMilli(), 0, 0, time.Time{}
	m.running, m.highest, m.ended, m.lastEnd, m.target = map[string]*running{}, map[string]int{}, nil, 0, ""
	m.mu.Unlock()
	m.f.rec.printf("minion %s starts", m.id)
	go m.live(ctx)
}

func (m *minion) restartAfter(d time.Duration) {
	time.Sleep(d)
	m.start()
}

// crash ends the minion and all that it runs, without notice.
func (m *minion) crash(why string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up {
		return
	}
	m.up = false
	m.cancel()
	m.f.rec.printf("minion %s goes down: %s", m.id, why)
}

func (m *minion) live(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.work(ctx)
			}
		}
	}()
	for ctx.Err() == nil {
		wait := m.beat(ctx, client)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.wake:
			time.Sleep(50 * time.Millisecond)
		}
		timer.Stop()
	}
}

// work advances the tasks, and ends all when the lease has run out.
func (m *minion) work(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	now := time.Now()
	for task, r := range m.running {
		r.worked += now.Sub(r.last) * time.Duration(r.pace) / 100
		r.last = now
		switch {
		case now.After(m.lease):
			m.end(task, "lapsed")
		case !r.stopped.IsZero() && now.After(r.stopped):
			m.end(task, "stopped")
		case r.fails && now.Sub(r.began) >= failTime:
			m.end(task, "failed")
		case !r.lasts && r.worked >= r.length:
			m.end(task, "done")
		}
	}
}

func (m *minion) end(task, how string) {
	r := m.running[task]
	delete(m.running, task)
	m.lastEnd++
	m.ended = append(m.ended, ended{m.lastEnd, task, r.run, how})
	m.highest[task] = max(m.highest[task], r.run)
	m.f.rec.printf("minion %s: %s run %d ended %s", m.id, task, r.run, how)
	m.f.jobs.noteEnd(task, how)
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (r *running) percent() int {
	if r.lasts {
		return min(100, int(r.worked.Milliseconds()*100/startupMS))
	}
	return min(99, int(r.worked*100/max(r.length, 1)))
}

func (m *minion) report() ([]byte, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	list := [][]any{}
	for task, r := range m.running {
		list = append(list, []any{task, r.run, "", r.percent(), 0})
	}
	ends := [][]any{}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	data, err := json.Marshal(map[string]any{
		"service": m.service, "address": "127.0.0.1:8080", "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"machine": m.machine, "capacity": m.capacity, "labels": []string{"a", m.rack}, "clockMs": time.Now().UnixMilli() - m.born, "sequence": m.sequence, "born": m.born,
		"running": list, "ended": ends,
	})
	if err != nil {
		panic(err)
	}
	target := m.target
	if target == "" {
		target = fmt.Sprintf("%s:%d", m.f.stores[int(m.sequence)%len(m.f.stores)].ip, controlPort)
	}
	return data, target
}

type orders struct {
	HeartbeatAddress string              `json:"heartbeatAddress"`
	HoldMS           int64               `json:"holdMs"`
	AckSeq           int64               `json:"ackSeq"`
	FencingToken     uint64              `json:"fencingToken"`
	Start            [][]json.RawMessage `json:"start"`
	Stop             [][]json.RawMessage `json:"stop"`
	Pace             [][]json.RawMessage `json:"pace"`
	RetryMS          int64               `json:"retryMs"`
}

// beat sends one heartbeat and carries out the answer. It returns the time until the next one.
func (m *minion) beat(ctx context.Context, client *http.Client) time.Duration {
	body, target := m.report()
	sent := time.Now()
	call, cancel := context.WithTimeout(ctx, beatTimely)
	defer cancel()
	failed := func() time.Duration {
		m.mu.Lock()
		m.target = ""
		m.mu.Unlock()
		return 50 * time.Millisecond
	}
	req, err := http.NewRequestWithContext(call, http.MethodPut, "http://"+target+"/-/instances/"+m.id, bytes.NewReader(body))
	if err != nil {
		return failed()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return failed()
	}
	defer resp.Body.Close()
	var o orders
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&o) != nil || time.Since(sent) > beatTimely {
		return failed()
	}
	begun := m.apply(ctx, o, sent)
	for _, task := range begun {
		if m.onStart != nil {
			m.onStart(m, task.name, task.run)
		}
	}
	if o.RetryMS > 0 {
		return time.Duration(o.RetryMS) * time.Millisecond
	}
	return 1500 * time.Millisecond
}

type begun struct {
	name string
	run  int
}

func (m *minion) apply(ctx context.Context, o orders, sent time.Time) []begun {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil || o.FencingToken < m.token {
		return nil
	}
	m.token = o.FencingToken
	if o.HeartbeatAddress != "" {
		m.target = o.HeartbeatAddress
	}
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.n > o.AckSeq {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	if until := sent.Add(time.Duration(o.HoldMS) * time.Millisecond); o.HoldMS > 0 && until.After(m.lease) {
		m.lease = until
	}
	for _, row := range o.Stop {
		task, run := text(row[0]), number(row[1])
		m.highest[task] = max(m.highest[task], run)
		if r := m.running[task]; r != nil && r.run <= run && r.stopped.IsZero() {
			r.stopped = time.Now().Add(stopTime)
		}
	}
	for _, row := range o.Pace {
		if r := m.running[text(row[0])]; r != nil && r.run == number(row[1]) {
			r.pace = number(row[2])
		}
	}
	if o.HoldMS == 0 {
		return nil
	}
	var out []begun
	for _, row := range o.Start {
		task, run := text(row[0]), number(row[1])
		if m.begin(task, run) {
			out = append(out, begun{task, run})
		}
	}
	return out
}

// begin starts a run, unless it is refused or was started before.
func (m *minion) begin(task string, run int) bool {
	if m.running[task] != nil || run <= m.highest[task] {
		return false
	}
	step, known := m.f.jobs.step(task)
	if !known {
		m.f.rec.printf("minion %s: start of %s run %d, which nobody sent", m.id, task, run)
		return false
	}
	size := amount{CPU: step.CPU, MemMB: step.MemMB, GPU: step.GPU}
	used := size
	for _, r := range m.running {
		used.CPU, used.MemMB = used.CPU+r.size.CPU, used.MemMB+r.size.MemMB
	}
	r := &running{run: run, began: time.Now(), last: time.Now(), lasts: step.LongRunning, length: time.Duration(step.realMS) * time.Millisecond, size: size, pace: 100, fails: time.Now().Before(m.failsUntil)}
	m.running[task] = r
	if m.guards && (used.CPU > m.capacity.CPU || used.MemMB > m.capacity.MemMB) {
		m.end(task, "refused")
		return false
	}
	m.f.rec.printf("minion %s: %s run %d begins", m.id, task, run)
	m.f.jobs.noteStart(task)
	return true
}

func text(raw json.RawMessage) string {
	var s string
	_ = json.Unmarshal(raw, &s)
	return s
}

func number(raw json.RawMessage) int {
	n, _ := strconv.Atoi(strings.TrimSpace(string(raw)))
	return n
}

// runningOn returns the number of tasks that each of the minions runs, by machine.
func runningOn(minions []*minion) []int {
	var counts []int
	for _, m := range minions {
		m.mu.Lock()
		n := 0
		if m.up {
			n = len(m.running)
		}
		m.mu.Unlock()
		counts = append(counts, n)
	}
	sort.Ints(counts)
	return counts
}
