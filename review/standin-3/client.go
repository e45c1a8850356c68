//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is a step of a job. realMS is what one task takes, which only minions know.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	MemMB       int64  `json:"memMb,omitempty"`
	GPU         int64  `json:"gpu,omitempty"`
	EstimatedMS int64  `json:"estimatedMs,omitempty"`
	Affinity    string `json:"affinity,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
	MayMiss     int    `json:"mayMiss,omitempty"`
	// AntiAffinity is the most tasks of the step on one minion.
	AntiAffinity int `json:"antiAffinity,omitempty"`
	realMS       int64
}

// job is a job that a client hands in, with what is known of it.
type job struct {
	id, prefix string
	steps      []step
	acceptedAt time.Time
	begun      bool
	starts     int
	ends       map[string]int
	// lastEnd is when a run of a task ended last.
	lastEnd map[string]time.Time
}

type jobBook struct {
	mu   sync.Mutex
	jobs map[string]*job
}

func newJobBook() *jobBook { return &jobBook{jobs: map[string]*job{}} }

func (b *jobBook) add(prefix string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, steps: steps, ends: map[string]int{}, lastEnd: map[string]time.Time{}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.jobs[j.id] = j
	return j
}

func (b *jobBook) step(task string) (step, bool) {
	parts := strings.Split(task, ".")
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return step{}, false
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n >= len(j.steps) {
		return step{}, false
	}
	return j.steps[n], true
}

func (b *jobBook) noteStart(task string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[strings.Split(task, ".")[0]]
	j.begun = true
	j.starts++
}

func (b *jobBook) noteEnd(task, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	j := b.jobs[strings.Split(task, ".")[0]]
	j.ends[how]++
	j.lastEnd[task] = time.Now()
}

// notBegun returns the number of the jobs that were accepted longer than the given time ago and of
// which no task has begun.
func (b *jobBook) notBegun(jobs []*job, longer time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, j := range jobs {
		if !j.begun && !j.acceptedAt.IsZero() && time.Since(j.acceptedAt) > longer {
			n++
		}
	}
	return n
}

const (
	queueHost = "pule25.example"
	teamKey   = "sjnbanfqasnmgkcuyj8p"
)

var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}

// call sends one request of a client, and records it with its answer. Status 0 is no answer.
func (f *fleet) call(entry *program, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", entry.ip, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Key", teamKey)
	req.Header.Set("Deadline-Milliseconds", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		f.rec.printf("client: %s %s at %s: no answer (%v)", method, path, entry.name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	f.rec.printf("client: %s %s at %s: %d %s", method, path, entry.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, data
}

// submit hands in a job, and repeats it at the next entry as long as there is no clear answer.
func (f *fleet) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"specification": "review", "steps": j.steps})
	if err != nil {
		panic(err)
	}
	for attempt := range 6 {
		status, _ := f.call(f.entries[attempt%len(f.entries)], http.MethodPost, j.prefix+j.id, body)
		switch {
		case status >= 200 && status < 300:
			f.jobs.mu.Lock()
			j.acceptedAt = time.Now()
			f.jobs.mu.Unlock()
			return true
		case status != 0 && status < 500:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

func (f *fleet) state(j *job) string {
	for attempt := range 3 {
		status, data := f.call(f.entries[attempt%len(f.entries)], http.MethodGet, j.prefix+j.id, nil)
		var answer struct{ State string }
		if status == 200 && json.Unmarshal(data, &answer) == nil {
			return answer.State
		}
		if status == 410 {
			return "unknown"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// waiting asks an entry how many jobs of a queue wait, or returns -1.
func (f *fleet) waiting(entry *program, prefix string) int {
	status, data := f.call(entry, http.MethodGet, prefix, nil)
	var answer struct{ Waiting *int }
	if status != 200 || json.Unmarshal(data, &answer) != nil || answer.Waiting == nil {
		return -1
	}
	return *answer.Waiting
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	maxAttempts           int
}

// configure sends a configuration until a store acknowledges it.
func (f *fleet) configure(version int, services []string, routes []route) bool {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": queueHost, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3600, "priority": 0,
			"service": r.service, "maxAttempts": r.maxAttempts, "stretch": 1.6, "anonymousAccess": false,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{"name": s, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "spare": false})
	}
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": rs, "services": ss, "limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "cugo130", "apiKeys": []string{teamKey}, "priority": 1, "weight": 40, "upperLimit": map[string]any{"cpu": 1509425, "memMb": 2115493, "gpu": 0}}},
	})
	if err != nil {
		panic(err)
	}
	for attempt := range 60 {
		s := f.stores[attempt%len(f.stores)]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s:%d/-/configuration", s.ip, controlPort), bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := httpClient.Do(req)
		status := 0
		if err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		cancel()
		f.rec.printf("operator: PUT configuration %d at %s: %d", version, s.name, status)
		if status == 200 {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
