//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// step is a step as a client sends it. workMS is how long a task takes on a sound minion.
type step struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu"`
	MemMB         int64  `json:"memMb"`
	EstimatedMS   int64  `json:"estimatedMs,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	LongRunning   bool   `json:"longRunning,omitempty"`
	MayMiss       int    `json:"mayMiss,omitempty"`
	workMS        int64
}

type job struct {
	id, path string
	steps    []step
	advice   bool
}

const callHost = "desk.example"

func (w *world) newJob(prefix string, advice bool, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), steps: steps, advice: advice}
	j.path = prefix + j.id
	w.mu.Lock()
	w.jobs[j.id] = j
	w.mu.Unlock()
	return j
}

func (w *world) jobOf(task string) (*job, int) {
	parts := strings.Split(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[parts[0]]
	if j == nil || len(parts) != 4 {
		return nil, 0
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil || n < 0 || n >= len(j.steps) {
		return nil, 0
	}
	return j, n
}

var callClient = &http.Client{Timeout: 3 * time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
	if len(via) > 2 {
		return http.ErrUseLastResponse
	}
	return nil
}}

func call(method, url, host string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	if host != "" {
		req.Host = host
		req.Header.Set("Deadline-Milliseconds", "3000")
	}
	resp, err := callClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// operate sends an order of the operator until it is acknowledged.
func (w *world) operate(method, path string, body any, within time.Duration) bool {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for i := range w.stores {
			status, _ := call(method, fmt.Sprintf("http://%s:%d%s", w.storeIP(i), w.control, path), "", data)
			if status == http.StatusOK {
				w.rec.line("operator: %s %s acknowledged", method, path)
				return true
			}
		}
	}
	w.rec.line("operator: %s %s not acknowledged within %s", method, path, within)
	return false
}

// submit hands a job in until it is accepted.
func (w *world) submit(j *job, within time.Duration) bool {
	data, err := json.Marshal(map[string]any{"specification": "job " + j.id, "steps": j.steps})
	if err != nil {
		panic(err)
	}
	for deadline, turn := time.Now().Add(within), 0; time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		status, _ := call(http.MethodPost, w.entryURL(turn)+j.path, callHost, data)
		turn++
		w.rec.line("client: POST %s -> %d", j.path, status)
		if status == http.StatusOK {
			return true
		}
	}
	return false
}

func (w *world) entryURL(turn int) string {
	return fmt.Sprintf("http://%s:%d", w.entryIP(turn%len(w.entries)), w.front)
}

// state asks for the state of a job; "" if it gets no answer.
func (w *world) state(j *job) string {
	for turn := range 2 * len(w.entries) {
		status, data := call(http.MethodGet, w.entryURL(turn)+j.path, callHost, nil)
		var reply struct {
			State string `json:"state"`
		}
		_ = json.Unmarshal(data, &reply)
		w.rec.line("client: GET %s -> %d %s", j.path, status, reply.State)
		if status == http.StatusOK {
			return reply.State
		}
		if status == http.StatusGone {
			return "unknown"
		}
	}
	return ""
}

// route and service describe a configuration.
type route map[string]any

func queue(name, prefix, service string) route {
	return route{"name": name, "host": callHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3000, "priority": 0, "service": service, "maxAttempts": 3, "stretch": 2, "anonymousAccess": true}
}

func service(name string, spare bool) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "spare": spare}
}

func (w *world) configure(version int, routes []route, services []map[string]any) bool {
	return w.operate(http.MethodPut, "/-/configuration", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": []any{},
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}, 20*time.Second)
}

// readConfiguration reads the configuration back and returns its version, or 0 if it does not
// come within the time in which the operator asks for it.
func (w *world) readConfiguration() int {
	for deadline := time.Now().Add(contact); ; time.Sleep(200 * time.Millisecond) {
		for i := range w.stores {
			status, data := call(http.MethodGet, fmt.Sprintf("http://%s:%d/-/configuration", w.storeIP(i), w.control), "", nil)
			var reply struct {
				Version int `json:"version"`
			}
			_ = json.Unmarshal(data, &reply)
			w.rec.line("operator: GET /-/configuration at %s -> %d, version %d", w.stores[i].name, status, reply.Version)
			if status == http.StatusOK {
				return reply.Version
			}
		}
		if time.Now().After(deadline) {
			return 0
		}
	}
}
