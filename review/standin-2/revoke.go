package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// attempt is the one attempt of a client to hand a job in.
type attempt struct {
	job    *job
	status int
}

// leader returns the store that answers for the configuration, or nil.
func (w *world) leader() *process {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	for i, address := range w.d.controlAddresses() {
		resp, err := client.Get("http://" + address + "/-/configuration")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return w.d.stores[i]
		}
	}
	return nil
}

// revokeAtKill: the operator takes a key away, and the store that leads is killed 5 ms after the change
// was sent, or as soon as it is acknowledged. Clients hand jobs in with that key; each sends a job once, and stops when it is rejected.
// It happens twice, with a second key.
func revokeAtKill(w *world, trouble bool) ([]string, error) {
	const (
		clients   = 150
		killAfter = 5 * time.Millisecond
		killFrom  = 2 * time.Second
		killFor   = 3500 * time.Millisecond
		settle    = 6 * time.Second
	)
	routes := []map[string]any{route("batch", queue, mainPool)}
	services := []map[string]any{service(mainPool, false), service(sparePool, true)}
	err := w.prepare(func() {
		w.cloud.addPool(mainPool, "a", 12)
		w.cloud.addPool(sparePool, "a", 2)
	}, routes...)
	if err != nil {
		return nil, err
	}
	w.check.quiet = true
	var mu sync.Mutex
	var attempts []attempt
	keys := []string{rotatedKey, secondKey, clientKey}
	for episode := range 2 {
		var wg sync.WaitGroup
		for i := range clients {
			url := "http://" + w.d.frontAddresses()[i%len(zones)]
			wg.Go(func() {
				for {
					j := w.newJob(queue, "job", jobStep{Count: 1, CPU: 100, MemMB: 50, EstimatedMS: 100}, 100*time.Millisecond, false)
					status := w.handIn(j, url, keys[episode])
					mu.Lock()
					attempts = append(attempts, attempt{j, status})
					mu.Unlock()
					if status == http.StatusUnauthorized {
						return
					}
				}
			})
		}
		time.Sleep(killFrom)
		leader := w.leader()
		if leader == nil {
			return nil, fmt.Errorf("no store leads")
		}
		var once sync.Once
		kill := func() {
			once.Do(func() {
				leader.signal(syscall.SIGKILL)
				w.rec.say("after_ack_kill of %s, which leads, back after %s", leader.name, killFor)
				time.AfterFunc(killFor, func() { _ = w.d.start(leader) })
			})
		}
		if trouble {
			time.AfterFunc(killAfter, kill)
		}
		if err := w.configure(configuration(2+episode, keys[episode+1:], routes, services)); err != nil {
			return nil, err
		}
		if trouble {
			kill()
		}
		w.rec.say("revoke: a key is taken away")
		wg.Wait()
		time.Sleep(settle)
	}
	counts := map[int]int{}
	var broken []string
	for _, a := range attempts {
		counts[a.status]++
		if starts := w.check.startsOf(a.job.id + ".0.0.0"); a.status == http.StatusUnauthorized && starts > 0 {
			broken = append(broken, fmt.Sprintf("REFUSED: job %s was rejected with %d, the only attempt to hand it in, and its task has started; the job is %s", a.job.id, a.status, w.state(a.job)))
		}
	}
	w.rec.say("answers to the attempts, by status: %v", counts)
	return broken, nil
}

// handIn sends a job once with the key, and returns the status, 0 without an answer.
func (w *world) handIn(j *job, url, key string) int {
	body, err := json.Marshal(map[string]any{"specification": j.spec, "steps": []jobStep{j.step}})
	if err != nil {
		panic(err)
	}
	status, _ := call(http.MethodPost, url+j.prefix+j.id, queueHost, key, body)
	if status != http.StatusOK {
		w.rec.add("client: POST %s%s, answer %d", j.prefix, j.id, status)
	}
	return status
}
