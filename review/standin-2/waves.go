package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

const upkeepTime = 2 * time.Second

// cloudWave is a wave as the platform knows it.
type cloudWave struct {
	machines map[string]bool
	// begun holds when the upkeep of each machine for the wave began.
	begun map[string]time.Time
}

func (c *cloud) upkeep(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Machine string
		Wave    int64
	}
	token, err := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&order) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := c.beginUpkeep(order.Machine, order.Wave, token)
	c.mu.Lock()
	cut := c.resets
	c.mu.Unlock()
	c.w.rec.add("platform: upkeep of %s for wave %d by %s, token %d: %d %s, connection reset in the answer: %t", order.Machine, order.Wave, r.Header.Get("Duty-Holder"), token, status, reason, cut)
	body, _ := json.Marshal(map[string]string{"reason": reason})
	if cut {
		resetInAnswer(rw, status, len(body))
		return
	}
	rw.WriteHeader(status)
	_, _ = rw.Write(body) // the caller may be gone
}

// resetInAnswer sends the head of an answer and resets the connection before the body.
func resetInAnswer(rw http.ResponseWriter, status, length int) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), length)
	time.Sleep(20 * time.Millisecond)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (c *cloud) beginUpkeep(name string, number int64, token uint64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wave := c.waves[number]
	for _, m := range c.machines {
		if m.name != name {
			continue
		}
		switch {
		case token < c.tokens[name]:
			return http.StatusConflict, "fence"
		case wave == nil || !wave.machines[name]:
			return http.StatusConflict, "wave"
		case !wave.begun[name].IsZero():
			return http.StatusOK, ""
		case m.state != "up":
			return http.StatusConflict, "busy"
		}
		c.tokens[name] = token
		wave.begun[name] = time.Now()
		if m.minion != nil {
			m.minion.end()
			m.minion = nil
		}
		m.state = "upkeep"
		time.AfterFunc(upkeepTime, func() { c.arrive(m) })
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}

// orderWave sends a wave to the stores in turn until it is acknowledged.
func (w *world) orderWave(number int64, machines []*machine, durationS, upperLimit int) error {
	wave := &cloudWave{machines: map[string]bool{}, begun: map[string]time.Time{}}
	var names []string
	for _, m := range machines {
		wave.machines[m.name] = true
		names = append(names, m.name)
	}
	w.cloud.mu.Lock()
	w.cloud.waves[number] = wave
	w.cloud.mu.Unlock()
	body, err := json.Marshal(map[string]any{"wave": number, "machines": names, "durationS": durationS, "upperLimit": upperLimit})
	if err != nil {
		return err
	}
	addresses := w.d.controlAddresses()
	for i := range 50 {
		status, _ := call(http.MethodPost, "http://"+addresses[i%len(addresses)]+"/-/wave-start", "", "", body)
		w.rec.add("operator: wave %d of %v sent, answer %d", number, names, status)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("wave %d is not acknowledged", number)
}

// waveState asks for the state of a wave, at several stores if need be.
func (w *world) waveState(number int64) string {
	addresses := w.d.controlAddresses()
	for i := range 2 * len(addresses) {
		status, data := call(http.MethodGet, fmt.Sprintf("http://%s/-/wave-get/%d", addresses[i%len(addresses)], number), "", "", nil)
		var reply struct{ State string }
		if status == http.StatusOK && json.Unmarshal(data, &reply) == nil {
			return reply.State
		}
	}
	return "no answer"
}

// notBegun returns the machines of a wave whose upkeep has not begun.
func (c *cloud) notBegun(number int64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range c.machines {
		if wave := c.waves[number]; wave.machines[m.name] && wave.begun[m.name].IsZero() {
			names = append(names, m.name)
		}
	}
	return names
}

// cutAnswers: two waves are due for the same machines, so that some orders come while a machine is
// down for the other wave. For some seconds the platform's connections are reset in their answers.
func cutAnswers(w *world, trouble bool) ([]string, error) {
	var machines []*machine
	err := w.prepare(func() {
		machines = append(machines, w.cloud.addPool(mainPool, "a", 8)[:3]...)
		machines = append(machines, w.cloud.addPool(sparePool, "a", 4)[:2]...)
	}, route("batch", queue, mainPool))
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.cloud.setResets(true)
		w.rec.say("cloud_down (reset) for 5 s")
		time.AfterFunc(5*time.Second, func() {
			w.cloud.setResets(false)
			w.rec.say("cloud_down ends")
		})
	}
	for number := range int64(2) {
		if err := w.orderWave(number+1, machines, 24, 4); err != nil {
			return nil, err
		}
	}
	var broken []string
	told := map[int64]bool{}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end) && len(told) < 2; time.Sleep(sampleTime) {
		for number := int64(1); number <= 2; number++ {
			// The platform is asked after the system: an upkeep that begins in between counts.
			if told[number] || w.waveState(number) != "completed" {
				continue
			}
			told[number] = true
			time.Sleep(time.Second)
			names := w.cloud.notBegun(number)
			w.rec.say("wave %d is said to be completed; upkeep not begun: %v", number, names)
			if len(names) > 0 {
				broken = append(broken, fmt.Sprintf("MIXED: wave %d is said to be completed, and the upkeep of %v, which stay, hasn't begun", number, names))
			}
		}
	}
	time.Sleep(10 * time.Second)
	for number := int64(1); number <= 2; number++ {
		w.rec.say("at the end wave %d is %s, upkeep not begun: %v", number, w.waveState(number), w.cloud.notBegun(number))
	}
	return broken, nil
}

func (c *cloud) setResets(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resets = on
}
