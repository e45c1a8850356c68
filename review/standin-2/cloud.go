package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// machine is a machine of the platform. Its minion is nil while there is none.
type machine struct {
	name, pool, zone, rack, kind string
	capacity                     resources
	state                        string
	minion                       *minion
}

// cloud serves the platform's list of machines, their moves, and the advice service.
type cloud struct {
	w *world

	mu       sync.Mutex
	machines []*machine
	spare    string
	tokens   map[string]uint64
	waves    map[int64]*cloudWave
	// resets is true while connections are reset in the middle of answers to orders.
	resets bool
}

func (c *cloud) add(m *machine) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.state = "up"
	c.machines = append(c.machines, m)
	if m.pool != c.spare {
		m.minion = c.w.newMinion(m)
	}
	return m
}

func (c *cloud) serve() error {
	server := &http.Server{Addr: c.w.d.servicesAddress(), ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(c.handle)}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	go func() {
		<-c.w.ctx.Done()
		_ = server.Close()
	}()
	select {
	case err := <-failed:
		return err
	case <-time.After(200 * time.Millisecond):
		return nil
	}
}

func (c *cloud) handle(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/machines":
		c.list(rw)
	case "/-/machine-move":
		c.move(rw, r)
	case "/-/machine-upkeep":
		c.upkeep(rw, r)
	case "/-/advise":
		c.advise(rw, r)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(rw http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := []map[string]any{}
	for _, m := range c.machines {
		id := ""
		if m.minion != nil {
			id = m.minion.id
		}
		entries = append(entries, map[string]any{
			"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "capacity": m.capacity, "id": id,
		})
	}
	_ = json.NewEncoder(rw).Encode(map[string]any{"machines": entries}) // the caller may be gone
}

func (c *cloud) move(rw http.ResponseWriter, r *http.Request) {
	var order struct{ Machine, Pool string }
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.carryOut(order.Machine, order.Pool, token)
	c.w.rec.add("platform: move of %s to %s by %s, token %d: %d %s", order.Machine, order.Pool, r.Header.Get("Duty-Holder"), token, status, reason)
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(map[string]string{"reason": reason}) // the caller may be gone
}

func (c *cloud) carryOut(name, pool string, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.name != name {
			continue
		}
		switch {
		case token < c.tokens[name]:
			return http.StatusConflict, "fence"
		case m.pool == pool:
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		c.tokens[name] = token
		if m.minion != nil {
			m.minion.end()
			m.minion = nil
		}
		m.pool, m.state = pool, "moving"
		time.AfterFunc(migration, func() { c.arrive(m) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// crash ends a minion without notice. Another one starts on its machine after the given time.
func (c *cloud) crash(m *minion, downFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, machine := range c.machines {
		if machine.minion == m {
			machine.minion, machine.state = nil, "down"
			m.end()
			time.AfterFunc(downFor, func() { c.arrive(machine) })
		}
	}
}

func (c *cloud) arrive(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.state = "up"
	if m.pool != c.spare && c.w.ctx.Err() == nil {
		m.minion = c.w.newMinion(m)
	}
}

// advise answers which of the named minions the queue's policy allows.
func (c *cloud) advise(rw http.ResponseWriter, r *http.Request) {
	var ask struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&ask) != nil || len(ask.Workers) > 100 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	approved, machines, allowed := [][2]string{}, []string{}, []string{}
	c.mu.Lock()
	for _, m := range c.machines {
		for _, id := range ask.Workers {
			if m.minion == nil || m.minion.id != id {
				continue
			}
			machines = append(machines, m.name)
			if c.w.policy(ask.Step, m.minion) {
				approved = append(approved, [2]string{id, c.w.issueTicket(ask.Step, m.minion)})
				allowed = append(allowed, m.name)
			}
		}
	}
	c.mu.Unlock()
	c.w.rec.add("advice: step %s asks for %v, approved %v", ask.Step, machines, allowed)
	_ = json.NewEncoder(rw).Encode(map[string]any{"approved": approved}) // the caller may be gone
}

// minions returns the minions of a pool.
func (c *cloud) minions(pool string) []*minion {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*minion
	for _, m := range c.machines {
		if m.pool == pool && m.minion != nil {
			out = append(out, m.minion)
		}
	}
	return out
}

// addPool adds n machines of a kind to a pool, in the zones by turns, each in a rack of its own zone.
func (c *cloud) addPool(pool, kind string, n int) []*machine {
	return c.addPoolIn(zones, pool, kind, n)
}

func (c *cloud) addPoolIn(zones []string, pool, kind string, n int) []*machine {
	var out []*machine
	for i := range n {
		zone := zones[i%len(zones)]
		c.mu.Lock()
		number := len(c.machines) + 1
		c.mu.Unlock()
		out = append(out, c.add(&machine{
			name: fmt.Sprintf("m-%05x", 0x0a300+number), pool: pool, zone: zone, rack: fmt.Sprintf("r%d-1", i%len(zones)), kind: kind,
			capacity: resources{CPU: 32000, MemMB: 65536},
		}))
	}
	return out
}
