//go:build review3

package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// cloud is the stand-in of the platform: the list of machines, moves and upkeeps, and advice. It
// carries out each order at once and answers at once.
type cloud struct {
	f      *fleet
	server *http.Server

	// foreign is an entry of another writer in the list of machines.
	foreign map[string]any

	mu     sync.Mutex
	tokens map[string]uint64
	upkept map[string]map[int64]bool
}

func newCloud(f *fleet) *cloud {
	return &cloud{f: f, tokens: map[string]uint64{}, upkept: map[string]map[int64]bool{}}
}

func (c *cloud) serve() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-move", c.move)
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	mux.HandleFunc("POST /-/advise", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"approved": [][]string{}}) })
	c.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(c.f.listener) }()
}

func (c *cloud) close() { _ = c.server.Close() }

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	machines := []map[string]any{}
	for _, m := range c.f.minions {
		if entry := m.listed(); entry != nil {
			machines = append(machines, entry)
		}
	}
	if c.foreign != nil {
		machines = append(machines, c.foreign)
	}
	reply(w, 200, map[string]any{"machines": machines})
}

// find checks the fence of an order and returns its machine, or answers the order.
func (c *cloud) find(w http.ResponseWriter, r *http.Request, name string) *minion {
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.f.minions {
		if m.machine != name {
			continue
		}
		if token < c.tokens[name] {
			reply(w, 409, map[string]string{"reason": "fence"})
			return nil
		}
		c.tokens[name] = token
		return m
	}
	reply(w, 400, map[string]string{})
	return nil
}

func (c *cloud) move(w http.ResponseWriter, r *http.Request) {
	var order struct{ Machine, Pool string }
	_ = json.NewDecoder(r.Body).Decode(&order)
	m := c.find(w, r, order.Machine)
	if m == nil {
		return
	}
	switch {
	case m.pool() == order.Pool:
		reply(w, 200, map[string]string{})
	case !m.isUp():
		reply(w, 409, map[string]string{"reason": "busy"})
	default:
		m.crash("moved to " + order.Pool)
		m.setPool(order.Pool)
		go m.restartAfter(1500 * time.Millisecond)
		reply(w, 200, map[string]string{})
	}
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string
		Wave    int64
	}
	_ = json.NewDecoder(r.Body).Decode(&order)
	m := c.find(w, r, order.Machine)
	if m == nil {
		return
	}
	c.mu.Lock()
	done := c.upkept[order.Machine][order.Wave]
	c.mu.Unlock()
	switch {
	case done:
		reply(w, 200, map[string]string{})
	case !m.isUp():
		reply(w, 409, map[string]string{"reason": "busy"})
	default:
		c.mu.Lock()
		if c.upkept[order.Machine] == nil {
			c.upkept[order.Machine] = map[int64]bool{}
		}
		c.upkept[order.Machine][order.Wave] = true
		c.mu.Unlock()
		m.crash("upkeep")
		go m.restartAfter(2 * time.Second)
		reply(w, 200, map[string]string{})
	}
}
