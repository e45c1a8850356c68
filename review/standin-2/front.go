package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const frozenFrontCase = "frozen-front"

// attempt is one attempt of a client to hand a job in.
type attempt struct {
	job    *job
	status int
}

// frozenFront: one of the machines that serve clients stands still for a moment under heavy load,
// while the operator takes a key away with which clients hand jobs in there.
func frozenFront(w *world, trouble bool) ([]string, error) {
	const (
		clients    = 200
		freezeAt   = 3 * time.Second
		freezeFor  = 900 * time.Millisecond
		revokeAt   = freezeAt + 150*time.Millisecond
		trafficFor = 4500 * time.Millisecond
	)
	routes := []map[string]any{route("batch", queue, mainPool)}
	err := w.prepare(func() {
		w.cloud.addPool(mainPool, "a", 12)
		w.cloud.addPool(sparePool, "a", 2)
	}, routes...)
	if err != nil {
		return nil, err
	}
	w.check.quiet = true
	front := w.d.entries[0]
	url := fmt.Sprintf("http://%s:%d", front.ip, w.d.ports.front)
	start := time.Now()
	var mu sync.Mutex
	var attempts []attempt
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for time.Since(start) < trafficFor {
				j := w.newJob(queue, "job", jobStep{Count: 1, CPU: 100, MemMB: 50, EstimatedMS: 100}, 100*time.Millisecond, false)
				status := w.handIn(j, url, rotatedKey)
				mu.Lock()
				attempts = append(attempts, attempt{j, status})
				mu.Unlock()
				if status/100 != 2 {
					return
				}
			}
		})
	}
	if trouble {
		time.AfterFunc(freezeAt, func() {
			front.signal(syscall.SIGSTOP)
			w.rec.say("node_freeze of %s, 1 of 12 machines", front.name)
		})
		time.AfterFunc(freezeAt+freezeFor, func() {
			front.signal(syscall.SIGCONT)
			w.rec.say("node_freeze ends after %s", freezeFor)
		})
	}
	time.Sleep(time.Until(start.Add(revokeAt)))
	if err := w.configure(configuration(2, []string{clientKey}, routes, []map[string]any{service(mainPool, false), service(sparePool, true)})); err != nil {
		return nil, err
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
	var broken []string
	for _, a := range attempts {
		// A client whose only attempt was rejected takes it that the job never runs.
		rejected := a.status == http.StatusUnauthorized || a.status == http.StatusNotFound || a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable
		if starts := w.check.startsOf(a.job.id + ".0.0.0"); rejected && starts > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: the one attempt to hand in job %s was answered %d, and its task has started %d times; its state is %s", a.job.id, a.status, starts, w.state(a.job)))
		}
	}
	w.rec.say("%d jobs were handed in", len(attempts))
	return broken, nil
}

// handIn sends a job once with the key, and returns the status, 0 without an answer.
func (w *world) handIn(j *job, url, key string) int {
	body, err := json.Marshal(map[string]any{"specification": j.spec, "steps": []jobStep{j.step}})
	if err != nil {
		panic(err)
	}
	status, _ := call(http.MethodPost, url+j.prefix+j.id, queueHost, key, body)
	if status/100 != 2 {
		w.rec.add("client: POST %s%s with the key that is taken away, answer %d", j.prefix, j.id, status)
	}
	return status
}
