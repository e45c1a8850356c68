package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

const (
	// A response acknowledges a heartbeat if it arrives within a second and is at most 4 MiB.
	answerLimit    = time.Second
	maxAnswerBytes = 4 << 20
	// endsAtOnce is the number of ends that one heartbeat lists.
	endsAtOnce = 500
	// reportDelay is the time from an end, or from the response that was outstanding, to the next
	// heartbeat.
	reportDelay = 50 * time.Millisecond
	startup     = 500 * time.Millisecond
	step        = 10 * time.Millisecond
)

// minion is one life of a minion, as PROTOCOL.md describes it.
type minion struct {
	w                                   *world
	id, machine, pool, zone, rack, kind string
	born                                int64
	client                              *http.Client
	cancel                              context.CancelFunc

	mu       sync.Mutex
	capacity resources
	up       bool
	// cut is true while nothing that the minion sends arrives, and nothing that is sent to it.
	cut bool
	// grey is true while all that the minion starts fails.
	grey       bool
	sequence   int64
	token      uint64
	leaseUntil time.Time
	target     string
	runs       map[string]*run
	// closed holds the highest run that was stopped or ended here, by task.
	closed  map[string]int
	ends    []end
	lastEnd int64
	changed chan struct{}
	// refusedAnswers counts the responses that came too late or were too large.
	refusedAnswers int
	// lapsedUpTo is the number of the last end before the lease last ran out.
	lapsedUpTo int64
}

type run struct {
	task      string
	number    int
	needs     resources
	lasting   bool
	startedAt time.Time
	duration  time.Duration
	stopAt    time.Time
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

type orders struct {
	HeartbeatAddress string              `json:"heartbeatAddress"`
	HoldMS           int64               `json:"holdMs"`
	AckSeq           int64               `json:"ackSeq"`
	FencingToken     uint64              `json:"fencingToken"`
	Start            [][]json.RawMessage `json:"start"`
	Stop             [][]json.RawMessage `json:"stop"`
	RetryMS          int64               `json:"retryMs"`
}

func (w *world) newMinion(machine *machine) *minion {
	w.lives++
	ctx, cancel := context.WithCancel(w.ctx)
	m := &minion{
		w: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+w.lives), machine: machine.name, pool: machine.pool, zone: machine.zone, rack: machine.rack, kind: machine.kind,
		born: time.Now().UnixMilli(), capacity: machine.capacity, up: true, cancel: cancel, runs: map[string]*run{}, closed: map[string]int{},
		changed: make(chan struct{}, 1),
	}
	m.client = &http.Client{
		Timeout: answerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 1},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > 2 {
				return fmt.Errorf("redirected more than twice")
			}
			return nil
		},
	}
	w.wg.Go(func() { m.work(ctx) })
	w.wg.Go(func() { m.report(ctx) })
	return m
}

// work ends the runs that are done, stopped or without a lease.
func (m *minion) work(ctx context.Context) {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m.mu.Lock()
		m.advance(time.Now())
		m.mu.Unlock()
	}
}

func (m *minion) advance(now time.Time) {
	if !m.up {
		return
	}
	if now.After(m.leaseUntil) {
		m.lapsedUpTo = m.lastEnd
	}
	var tasks []string
	for task := range m.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		r := m.runs[task]
		switch {
		case now.After(m.leaseUntil):
			m.finish(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.finish(r, "stopped")
		case !r.lasting && now.Sub(r.startedAt) >= r.duration:
			m.finish(r, "done")
		}
	}
}

func (m *minion) finish(r *run, how string) {
	delete(m.runs, r.task)
	m.addEnd(r.task, r.number, how)
	m.w.check.ended(m, r, how)
}

func (m *minion) addEnd(task string, number int, how string) {
	m.closed[task] = max(m.closed[task], number)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, task, number, how})
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// report sends heartbeats.
func (m *minion) report(ctx context.Context) {
	for ctx.Err() == nil {
		pause := m.heartbeat(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.changed:
			time.Sleep(reportDelay)
		}
		timer.Stop()
	}
}

func (m *minion) heartbeat(ctx context.Context) time.Duration {
	m.mu.Lock()
	body, target, cut := m.compose(), m.target, m.cut
	if target == "" {
		addresses := m.w.d.controlAddresses()
		target = addresses[int(m.sequence)%len(addresses)]
	}
	m.mu.Unlock()
	sent := time.Now()
	var reply orders
	var err error
	if cut {
		err = fmt.Errorf("cut off")
		m.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(answerLimit):
		}
	} else {
		reply, err = m.send(ctx, target, body)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil || m.cut || time.Since(sent) > answerLimit {
		m.target = ""
		if ctx.Err() == nil && !m.cut {
			m.refusedAnswers++
			m.w.rec.add("%s on %s: heartbeat %d at %s is not acknowledged: %v", m.id, m.machine, m.sequence, target, err)
		}
		return reportDelay
	}
	m.apply(reply, sent)
	if reply.RetryMS > 0 {
		return time.Duration(reply.RetryMS) * time.Millisecond
	}
	return heartbeatGap
}

func (m *minion) compose() []byte {
	m.sequence++
	running, ended := [][]any{}, [][]any{}
	for _, r := range m.runs {
		percent := 0
		switch elapsed := time.Since(r.startedAt); {
		case r.lasting && elapsed >= startup:
			percent = 100
		case !r.lasting:
			percent = min(int(elapsed*100/r.duration), 99)
		}
		running = append(running, []any{r.task, r.number, "", percent, r.needs.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), endsAtOnce)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	if n := len(ended); n > 0 {
		m.w.rec.add("%s on %s: heartbeat %d: capacity %d, %d running, lists %d of %d ends, %v to %v", m.id, m.machine, m.sequence, m.capacity.CPU, len(running), n, len(m.ends), ended[0][:4], ended[n-1][:4])
	}
	data, err := json.Marshal(map[string]any{
		"service": m.pool, "address": "127.0.0.1:9", "zone": m.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "machine": m.machine,
		"capacity": m.capacity, "labels": []string{m.kind, m.rack}, "clockMs": time.Now().UnixMilli() - m.born, "born": m.born, "sequence": m.sequence,
		"running": running, "ended": ended,
	})
	if err != nil {
		panic(err)
	}
	return data
}

func (m *minion) send(ctx context.Context, target string, body []byte) (orders, error) {
	var reply orders
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+target+"/-/instances/"+m.id, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	switch {
	case err != nil:
		return reply, err
	case len(data) > maxAnswerBytes:
		return reply, fmt.Errorf("the response has more than %d bytes", maxAnswerBytes)
	case resp.StatusCode/100 != 2:
		return reply, fmt.Errorf("status %d", resp.StatusCode)
	}
	return reply, json.Unmarshal(data, &reply)
}

// apply carries out the response to a heartbeat.
func (m *minion) apply(o orders, sent time.Time) {
	if !m.up || o.FencingToken < m.token {
		return
	}
	m.token = o.FencingToken
	m.target = o.HeartbeatAddress
	for len(m.ends) > 0 && m.ends[0].number <= o.AckSeq {
		if m.ends[0].number > m.lapsedUpTo {
			m.w.check.acknowledged(m, m.ends[0])
		}
		m.ends = m.ends[1:]
	}
	hold := min(time.Duration(o.HoldMS)*time.Millisecond, maxHold)
	if until := sent.Add(hold); hold > 0 && until.After(m.leaseUntil) {
		m.leaseUntil = until
	}
	if len(o.Start)+len(o.Stop) > 0 {
		m.w.rec.add("%s on %s: response to heartbeat %d: ackSeq %d, holdMs %d, start %s, stop %s", m.id, m.machine, m.sequence, o.AckSeq, o.HoldMS, describe(o.Start), describe(o.Stop))
	}
	for _, row := range o.Stop {
		task, number, _, _ := decodeOrder(row)
		m.closed[task] = max(m.closed[task], number)
		if r, ok := m.runs[task]; ok && r.number <= number && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopGrace / 2)
			m.w.rec.add("%s on %s: told to stop %s run %d", m.id, m.machine, task, number)
		}
	}
	if hold == 0 {
		return
	}
	for _, row := range o.Start {
		task, number, spec, ticket := decodeOrder(row)
		m.start(task, number, spec, ticket)
	}
}

// describe names the first and the last of the orders.
func describe(rows [][]json.RawMessage) string {
	if len(rows) == 0 {
		return "nothing"
	}
	first, firstRun, _, _ := decodeOrder(rows[0])
	last, lastRun, _, _ := decodeOrder(rows[len(rows)-1])
	return fmt.Sprintf("%d tasks, %s run %d to %s run %d", len(rows), first, firstRun, last, lastRun)
}

func decodeOrder(row []json.RawMessage) (task string, number int, spec, ticket string) {
	fields := []any{&task, &number, &spec, new(string), &ticket}
	for i := range min(len(row), len(fields)) {
		if err := json.Unmarshal(row[i], fields[i]); err != nil {
			panic(fmt.Sprintf("order %s: %s", row[i], err))
		}
	}
	return task, number, spec, ticket
}

func (m *minion) start(task string, number int, spec, ticket string) {
	if r, ok := m.runs[task]; ok && r.number == number {
		return
	}
	job := m.w.jobOf(task)
	reason := ""
	switch {
	case number <= m.closed[task]:
		reason = "the run ended or was stopped here"
	case job == nil:
		reason = "nobody sent its job"
	case m.runs[task] != nil:
		reason = "another run is here"
	case !job.step.resources().fits(m.free()):
		reason = "no room"
	case job.advised && !m.w.ticketIsValid(task, m, ticket):
		reason = "no valid ticket"
	}
	m.w.check.ordered(m, task, number, spec)
	if reason != "" {
		m.addEnd(task, number, "refused")
		m.w.rec.add("%s on %s: refuses %s run %d: %s", m.id, m.machine, task, number, reason)
		return
	}
	r := &run{task: task, number: number, needs: job.step.resources(), lasting: job.step.LongRunning, startedAt: time.Now(), duration: job.duration}
	m.w.check.started(m, r)
	if m.grey {
		m.addEnd(task, number, "failed")
		m.w.check.ended(m, r, "failed")
		return
	}
	m.runs[task] = r
}

func (m *minion) free() resources {
	free := m.capacity
	for _, r := range m.runs {
		free = free.minus(r.needs)
	}
	return free
}

// runsOf returns the tasks of a job that run here.
func (m *minion) runsOf(job string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var tasks []string
	for task := range m.runs {
		if jobID(task) == job {
			tasks = append(tasks, task)
		}
	}
	slices.Sort(tasks)
	return tasks
}

// end ends the minion and all that it runs, as an order of the platform does.
func (m *minion) end() {
	m.mu.Lock()
	m.up = false
	for _, r := range m.runs {
		m.w.check.ended(m, r, "gone with its minion")
	}
	m.runs = map[string]*run{}
	m.mu.Unlock()
	m.cancel()
}

func (m *minion) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}
