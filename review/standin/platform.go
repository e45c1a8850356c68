//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// machine is a machine of the platform. Guarded by platform.mu.
type machine struct {
	name, pool, state, zone, address string
	labels                           []string
	cpu, mem                         int64
	minion                           *minion
	token                            uint64
	holder                           string
	waves                            map[int64]bool
}

type ticket struct {
	step, minion string
	until        time.Time
}

// platform serves the machines, their moves and upkeeps, and the advice service.
type platform struct {
	w            *world
	spare        string
	enforceFence bool
	server       *http.Server

	mu       sync.Mutex
	machines []*machine
	members  map[int64]map[string]bool
	tickets  map[string]ticket
	// approves is the queue's policy: whether a machine may run the steps.
	approves func(m *machine) bool
	validity time.Duration
	decision time.Duration
	// answer is called before a call is answered, after it was carried out. It returns false
	// if the answer is lost.
	answer func(path string, body map[string]any) bool
	// onStart is called when a minion starts a run.
	onStart func(n *minion, task string, r *run)
	// onStop is called when a minion is told to stop a run.
	onStop func(task string)
}

func (w *world) newPlatform(spare string) *platform {
	p := &platform{w: w, spare: spare, enforceFence: true, members: map[int64]map[string]bool{}, tickets: map[string]ticket{}, validity: time.Minute}
	w.platform = p
	return p
}

func (p *platform) add(name, pool, kind, rack, zone string) *machine {
	m := &machine{
		name: name, pool: pool, state: "up", zone: zone, labels: []string{kind, rack}, cpu: 32000, mem: 65536,
		address: fmt.Sprintf("%s:8080", p.w.ip(100+len(p.machines))), waves: map[int64]bool{},
	}
	p.machines = append(p.machines, m)
	return m
}

// begin starts the platform and the minions.
func (p *platform) begin() error {
	p.server = &http.Server{Addr: fmt.Sprintf("%s:%d", p.w.cloudIP(), p.w.cloudPort), Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 1)
	go func() { failed <- p.server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(100 * time.Millisecond):
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.pool != p.spare {
			m.minion = p.w.newMinion(m, m.pool)
		}
	}
	return nil
}

func (p *platform) find(name string) *machine {
	for _, m := range p.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (p *platform) serve(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	if r.Method == http.MethodPost {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return // the request was not received in full
		}
	}
	status, reply := p.carryOut(r, body)
	if p.answer != nil && !p.answer(r.URL.Path, body) {
		p.w.rec.line("platform: %s %v carried out with %d, its answer is lost", r.URL.Path, body, status)
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost {
		p.w.rec.line("platform: %s %v by %s, token %s -> %d %v", r.URL.Path, body, r.Header.Get("Duty-Holder"), r.Header.Get("Fencing-Token"), status, reply)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(reply)
}

func (p *platform) carryOut(r *http.Request, body map[string]any) (int, any) {
	switch r.URL.Path {
	case "/-/machines":
		return http.StatusOK, p.list()
	case "/-/advise":
		return p.advise(body)
	case "/-/machine-move", "/-/machine-upkeep":
		name, _ := body["machine"].(string)
		token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		holder := r.Header.Get("Duty-Holder")
		p.mu.Lock()
		defer p.mu.Unlock()
		status, reason := p.order(r.URL.Path, name, holder, token, body)
		if reason != "" {
			return status, map[string]string{"reason": reason}
		}
		return status, struct{}{}
	}
	return http.StatusNotFound, struct{}{}
}

func (p *platform) list() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	rows := []any{}
	for _, m := range p.machines {
		id := ""
		if m.minion != nil {
			id = m.minion.id
		}
		rows = append(rows, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "id": id,
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.mem, "gpu": 0},
		})
	}
	return map[string]any{"machines": rows, "nextPageToken": nil}
}

// order carries out a move or an upkeep. The caller holds mu.
func (p *platform) order(path, name, holder string, token uint64, body map[string]any) (int, string) {
	m := p.find(name)
	if m == nil {
		return http.StatusBadRequest, ""
	}
	if p.enforceFence && token < m.token {
		return http.StatusConflict, "fence"
	}
	m.token, m.holder = max(m.token, token), holder
	if path == "/-/machine-move" {
		pool, _ := body["pool"].(string)
		if m.state != "up" {
			return http.StatusConflict, "busy"
		}
		if m.pool == pool {
			return http.StatusOK, ""
		}
		p.away(m, "moving", pool, migration)
		return http.StatusOK, ""
	}
	wave := int64(body["wave"].(float64))
	if !p.members[wave][name] {
		return http.StatusConflict, "wave"
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	if m.waves[wave] {
		return http.StatusOK, "" // already done
	}
	m.waves[wave] = true
	p.away(m, "upkeep", m.pool, upkeepTime)
	return http.StatusOK, ""
}

// away takes a machine away for a time, after which it is in the pool. The caller holds mu.
func (p *platform) away(m *machine, state, pool string, duration time.Duration) {
	p.w.rec.line("machine %s: %s", m.name, state)
	m.state = state
	if m.minion != nil {
		go m.minion.kill(state)
		m.minion = nil
	}
	time.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		m.pool, m.state = pool, "up"
		if pool != p.spare {
			m.minion = p.w.newMinion(m, pool)
		}
	})
}

// crash ends the minions of the machines; new lives of them start after the duration.
func (p *platform) crash(machines []*machine, duration time.Duration) {
	// The minions are ended without the lock: one that begins a run holds its own lock and may
	// wait for this one.
	var ended []*minion
	p.mu.Lock()
	for _, m := range machines {
		m.state = "down"
		ended = append(ended, m.minion)
		m.minion = nil
	}
	p.mu.Unlock()
	for _, n := range ended {
		n.kill("crash")
	}
	time.AfterFunc(duration, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, m := range machines {
			m.state = "up"
			m.minion = p.w.newMinion(m, m.pool)
		}
	})
}

func (p *platform) advise(body map[string]any) (int, any) {
	step, _ := body["step"].(string)
	workers, _ := body["workers"].([]any)
	time.Sleep(p.decision)
	p.mu.Lock()
	defer p.mu.Unlock()
	approved := [][]string{}
	for _, id := range workers {
		for _, m := range p.machines {
			if m.minion != nil && m.minion.id == id && p.approves(m) {
				name := fmt.Sprintf("%08x", rand.Uint32())
				p.tickets[name] = ticket{step: step, minion: m.minion.id, until: time.Now().Add(p.validity)}
				approved = append(approved, []string{m.minion.id, name})
			}
		}
	}
	return http.StatusOK, map[string]any{"approved": approved, "validityMs": p.validity.Milliseconds()}
}

// ticketValid reports whether the ticket is valid for the task on this life of the minion.
func (p *platform) ticketValid(name string, n *minion, task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.tickets[name]
	return ok && t.minion == n.id && strings.HasPrefix(task, t.step+".") && time.Now().Before(t.until)
}

// up returns the minions that are up in a pool.
func (p *platform) up(pool string) []*minion {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*minion
	for _, m := range p.machines {
		if m.state == "up" && m.pool == pool && m.minion != nil {
			out = append(out, m.minion)
		}
	}
	return out
}
