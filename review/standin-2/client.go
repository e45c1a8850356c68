package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientRetries  = 4
	queueHost      = "pule25.example"
)

var callers = &http.Client{Timeout: clientDeadline, Transport: &http.Transport{MaxIdleConnsPerHost: 300}}

// call sends a request and returns the status, 0 without a response.
func call(method, url, host, key string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	if host != "" {
		req.Host = host
	}
	if key != "" {
		req.Header.Set("Key", key)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Milliseconds", fmt.Sprint(clientDeadline.Milliseconds()))
	resp, err := callers.Do(req)
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

// The keys of the tenant, of which two can be taken away.
const (
	clientKey  = "sjnbanfqasnmgkcuyj8p"
	rotatedKey = "jbvk9m68k7b2ex5wa5xw"
	secondKey  = "w8h2ctq5mvz3k9dxe7ra"
)

// configure sends a configuration to the stores in turn until it is acknowledged.
func (w *world) configure(config map[string]any) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	addresses := w.d.controlAddresses()
	for i := range 100 {
		status, _ := call(http.MethodPut, "http://"+addresses[i%len(addresses)]+"/-/configuration", "", "", body)
		w.rec.add("operator: configuration %v sent, answer %d", config["version"], status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(min(time.Duration(20+i)*time.Millisecond, 200*time.Millisecond))
	}
	return fmt.Errorf("the configuration is not acknowledged")
}

// newJob registers a job of one step with a new identifier.
func (w *world) newJob(prefix, spec string, step jobStep, duration time.Duration, advised bool) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, spec: spec, step: step, duration: duration, advised: advised}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
	return j
}

// submit hands a job in, again at other entries without a clear answer.
func (w *world) submit(j *job) bool {
	body, err := json.Marshal(map[string]any{"specification": j.spec, "steps": []jobStep{j.step}})
	if err != nil {
		panic(err)
	}
	fronts := w.d.frontAddresses()
	first := rand.IntN(len(fronts))
	for i := range clientRetries + 1 {
		status, _ := call(http.MethodPost, "http://"+fronts[(first+i)%len(fronts)]+j.prefix+j.id, queueHost, clientKey, body)
		w.rec.add("client: POST %s%s (%d tasks), answer %d", j.prefix, j.id, j.step.Count, status)
		if status/100 == 2 {
			j.accepted = true
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job, at several entries if need be.
func (w *world) state(j *job) string {
	fronts := w.d.frontAddresses()
	first := rand.IntN(len(fronts))
	for i := range clientRetries + 1 {
		status, data := call(http.MethodGet, "http://"+fronts[(first+i)%len(fronts)]+j.prefix+j.id, queueHost, clientKey, nil)
		var reply struct{ State string }
		if status == http.StatusOK && json.Unmarshal(data, &reply) == nil {
			return reply.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": queueHost, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 3600, "priority": 0,
		"service": service, "maxAttempts": 3, "stretch": 1.6, "anonymousAccess": false,
	}
}

func service(name string, spare bool) map[string]any {
	return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": true, "spare": spare}
}

// configuration returns a configuration with one tenant, whose limit is far above what it runs.
func configuration(version int, keys []string, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "cugo130", "apiKeys": keys, "priority": 1, "weight": 40, "upperLimit": resources{CPU: 1509425, MemMB: 2115493}}},
	}
}
