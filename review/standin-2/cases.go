package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	mainPool  = "huvo11a"
	sparePool = "lohu93e"
	queue     = "/puxa400/"
	lasting   = "/zizi35/"
)

// prepare sends the configuration, adds the minions and waits for them.
func (w *world) prepare(pools func(), routes ...map[string]any) error {
	w.cloud.spare = sparePool
	return w.prepareServices(pools, []map[string]any{service(mainPool, false), service(sparePool, true)}, routes)
}

// prepareFixed does the same without a spare pool, so that all machines stay in theirs.
func (w *world) prepareFixed(pools func(), routes ...map[string]any) error {
	return w.prepareServices(pools, []map[string]any{service(mainPool, false)}, routes)
}

func (w *world) prepareServices(pools func(), services, routes []map[string]any) error {
	if err := w.configure(configuration(1, []string{clientKey, rotatedKey, secondKey}, routes, services)); err != nil {
		return err
	}
	pools()
	return w.awaitMinions(mainPool)
}

// greyMinion: the one minion of a rare kind fails all that it starts for some seconds, while a task
// that lasts is at work on it. Jobs that need its kind come before, meanwhile and afterwards.
func greyMinion(w *world, trouble bool) ([]string, error) {
	err := w.prepare(func() {
		w.cloud.addPool(mainPool, "a", 11)
		w.cloud.addPool(mainPool, "b", 1)
		w.cloud.addPool(sparePool, "a", 2)
	}, route("batch", queue, mainPool), route("watch", lasting, mainPool))
	if err != nil {
		return nil, err
	}
	watch := w.newJob(lasting, "watch", jobStep{Count: 1, CPU: 2600, MemMB: 4000, EstimatedMS: 500, Requirements: "b", LongRunning: true}, 0, false)
	if !w.submit(watch) {
		return nil, fmt.Errorf("the lasting job was not accepted")
	}
	home := w.awaitRun(watch)
	if home == nil {
		return nil, fmt.Errorf("the lasting task is not at work")
	}
	const greyFrom, greyFor, trafficFor = 4 * time.Second, 6500 * time.Millisecond, 24 * time.Second
	start := time.Now()
	if trouble {
		time.AfterFunc(greyFrom, func() {
			home.set(func() { home.grey = true })
			w.rec.say("srv_grey (errors) on %s, 1 of 12 minions", home.id)
		})
		time.AfterFunc(greyFrom+greyFor, func() {
			home.set(func() { home.grey = false })
			w.rec.say("srv_grey ends")
		})
	}
	var jobs []*job
	for i := 0; time.Since(start) < trafficFor; i++ {
		for _, kind := range []string{"a", "b"} {
			j := w.newJob(queue, fmt.Sprintf("job %d %s", i, kind), jobStep{Count: 2, CPU: 1000, MemMB: 1000, EstimatedMS: 600, Requirements: kind}, 600*time.Millisecond, false)
			w.submit(j)
			jobs = append(jobs, j)
		}
		time.Sleep(700 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	return w.stuckJobs(jobs, mainPool, func(j *job, m *minion) bool { return j.step.Requirements == m.kind }), nil
}

// adviceInCut: a queue's policy allows its steps on one minion only. That minion is cut off for some
// seconds, in which jobs come.
func adviceInCut(w *world, trouble bool) ([]string, error) {
	advised := route("batch", queue, mainPool)
	advised["advice"] = map[string]any{"decisionMs": 20, "perWorkerMs": 2, "validityMs": 60000}
	w.validity = time.Minute
	var allowed *machine
	w.policy = func(_ string, m *minion) bool { return m.machine == allowed.name }
	err := w.prepareFixed(func() { allowed = w.cloud.addPool(mainPool, "a", 8)[4] }, advised)
	if err != nil {
		return nil, err
	}
	const cutFrom, cutFor, trafficFor = 4 * time.Second, 5500 * time.Millisecond, 20 * time.Second
	start := time.Now()
	if trouble {
		time.AfterFunc(cutFrom, func() {
			allowed.minion.set(func() { allowed.minion.cut = true })
			w.rec.say("node_cut (servers) of %s, 1 of 8 minions", allowed.minion.id)
		})
		time.AfterFunc(cutFrom+cutFor, func() {
			allowed.minion.set(func() { allowed.minion.cut = false })
			w.rec.say("the cut ends")
		})
	}
	var jobs []*job
	for i := 0; time.Since(start) < trafficFor; i++ {
		j := w.newJob(queue, fmt.Sprintf("job %d", i), jobStep{Count: 2, CPU: 1000, MemMB: 1000, EstimatedMS: 600}, 600*time.Millisecond, true)
		w.submit(j)
		jobs = append(jobs, j)
		time.Sleep(800 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	return w.stuckJobs(jobs, mainPool, func(_ *job, m *minion) bool { return m.machine == allowed.name }), nil
}

// adviceScaleOut: a queue's policy allows its steps on one minion only, the oldest of 30. Seven empty
// minions are added to the service.
func adviceScaleOut(w *world, trouble bool) ([]string, error) {
	advised := route("batch", queue, mainPool)
	advised["advice"] = map[string]any{"decisionMs": 20, "perWorkerMs": 2, "validityMs": 5000}
	w.validity = 5 * time.Second
	var allowed *machine
	w.policy = func(_ string, m *minion) bool { return m.machine == allowed.name }
	err := w.prepareFixed(func() {
		allowed = w.cloud.addPool(mainPool, "a", 1)[0]
		time.Sleep(2 * time.Second)
		w.cloud.addPool(mainPool, "a", 29)
	}, advised)
	if err != nil {
		return nil, err
	}
	const growFrom, trafficFor = 4 * time.Second, 20 * time.Second
	start := time.Now()
	if trouble {
		time.AfterFunc(growFrom, func() {
			w.cloud.addPool(mainPool, "a", 7)
			w.rec.say("scale_out: 7 empty minions are added to 30")
		})
	}
	var jobs []*job
	for i := 0; time.Since(start) < trafficFor; i++ {
		j := w.newJob(queue, fmt.Sprintf("job %d", i), jobStep{Count: 2, CPU: 1000, MemMB: 1000, EstimatedMS: 600}, 600*time.Millisecond, true)
		w.submit(j)
		jobs = append(jobs, j)
		time.Sleep(800 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	return w.stuckJobs(jobs, mainPool, func(_ *job, m *minion) bool { return m.machine == allowed.name }), nil
}

// crashUnderWideSteps: a minion crashes that runs two jobs of many small tasks, whose specification
// has the 4,000 bytes that the pages allow. The service has its minions in one zone.
func crashUnderWideSteps(w *world, trouble bool) ([]string, error) {
	err := w.prepare(func() {
		w.cloud.addPoolIn(zones[:1], mainPool, "a", 8)
		w.cloud.addPoolIn(zones[:1], sparePool, "a", 2)
	}, route("batch", queue, mainPool))
	if err != nil {
		return nil, err
	}
	w.check.quiet = true
	var jobs []*job
	for i := range 2 {
		j := w.newJob(queue, fmt.Sprintf("wide job %d ", i)+strings.Repeat("s", 3989), jobStep{Count: 700, CPU: 10, MemMB: 10, EstimatedMS: 12000}, 12*time.Second, false)
		w.submit(j)
		jobs = append(jobs, j)
		if w.awaitRun(j) == nil {
			return nil, fmt.Errorf("job %s does not run", j.id)
		}
		time.Sleep(time.Second)
	}
	home := w.awaitRun(jobs[0])
	if home == nil {
		return nil, fmt.Errorf("the first job has ended")
	}
	if trouble {
		w.rec.say("srv_crash of %s for 4.5 s, 1 of 8 minions; it runs %d and %d tasks of the two jobs", home.id, len(home.runsOf(jobs[0].id)), len(home.runsOf(jobs[1].id)))
		w.cloud.crash(home, 4500*time.Millisecond)
	}
	start := time.Now()
	for i := 0; time.Since(start) < 16*time.Second; i++ {
		j := w.newJob(queue, fmt.Sprintf("job %d", i), jobStep{Count: 4, CPU: 1000, MemMB: 1000, EstimatedMS: 1500}, 1500*time.Millisecond, false)
		w.submit(j)
		jobs = append(jobs, j)
		time.Sleep(800 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	broken := w.stuckJobs(jobs, mainPool, func(*job, *minion) bool { return true })
	for _, m := range w.cloud.minions(mainPool) {
		m.mu.Lock()
		w.rec.say("%s on %s: %d responses were not acceptable", m.id, m.machine, m.refusedAnswers)
		m.mu.Unlock()
	}
	return broken, nil
}

// manyEnds: the capacity of a minion shrinks while it runs many short tasks. Their ends come
// together, and it lists them 500 at a time.
func manyEnds(w *world, trouble bool) ([]string, error) {
	err := w.prepare(func() {
		w.cloud.addPool(mainPool, "a", 8)
		w.cloud.addPool(sparePool, "a", 2)
	}, route("batch", queue, mainPool))
	if err != nil {
		return nil, err
	}
	w.check.quiet = true
	j := w.newJob(queue, "many short tasks", jobStep{Count: 2000, CPU: 10, MemMB: 10, EstimatedMS: 3000}, 3*time.Second, false)
	if !w.submit(j) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	home := w.awaitRun(j)
	if home == nil {
		return nil, fmt.Errorf("the job does not run")
	}
	time.Sleep(time.Second)
	if trouble {
		home.set(func() { home.capacity.CPU /= 4 })
		w.rec.say("the capacity of %s shrinks to a quarter, 1 of 8 minions; %d of 2000 tasks run there", home.id, len(home.runsOf(j.id)))
		defer home.set(func() { home.capacity.CPU *= 4 })
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && w.state(j) != "completed"; time.Sleep(sampleTime) {
	}
	w.rec.say("the job is %s, %d starts", w.state(j), w.check.total())
	time.Sleep(time.Second)
	var broken []string
	if twice := w.check.twice(); len(twice) > 0 {
		broken = append(broken, fmt.Sprintf("TWICE: %d tasks started again after a run had ended done whose end was taken note of, such as %s", len(twice), twice[0]))
	}
	return broken, nil
}

// awaitRun waits until a task of the job runs, and returns its minion, or nil.
func (w *world) awaitRun(j *job) *minion {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(sampleTime) {
		for _, m := range w.cloud.minions(mainPool) {
			if len(m.runsOf(j.id)) > 0 {
				return m
			}
		}
	}
	return nil
}

func (c *checker) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, starts := range c.starts {
		n += starts
	}
	return n
}

// longTasks: one of twenty jobs that come within three seconds takes a hundred times as long as the
// others.
func longTasks(w *world, trouble bool) ([]string, error) {
	err := w.prepare(func() {
		w.cloud.addPool(mainPool, "a", 8)
		w.cloud.addPool(sparePool, "a", 2)
	}, route("batch", queue, mainPool))
	if err != nil {
		return nil, err
	}
	const longFrom, longFor, trafficFor = 4 * time.Second, 3 * time.Second, 12 * time.Second
	start := time.Now()
	var jobs []*job
	for during := 0; time.Since(start) < trafficFor; {
		duration := 2 * time.Second
		if at := time.Since(start); trouble && at >= longFrom && at < longFrom+longFor {
			if during%20 == 0 {
				duration *= 100
				w.rec.say("poison (long): a job of 4 tasks of %s", duration)
			}
			during++
		}
		j := w.newJob(queue, fmt.Sprintf("job %d", len(jobs)), jobStep{Count: 4, CPU: 1000, MemMB: 1000, EstimatedMS: duration.Milliseconds()}, duration, false)
		w.submit(j)
		jobs = append(jobs, j)
		time.Sleep(75 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	return w.stuckJobs(jobs, mainPool, func(*job, *minion) bool { return true }), nil
}

// wideAdvice: a job with a wide step comes to a queue whose starts need tickets, beside small jobs
// of a queue that needs none.
func wideAdvice(w *world, trouble bool) ([]string, error) {
	const advisedPrefix = "/kiwa512/"
	advised := route("advised", advisedPrefix, mainPool)
	advised["advice"] = map[string]any{"decisionMs": 20, "perWorkerMs": 2, "validityMs": 60000}
	w.validity, w.ticketBytes = time.Minute, 500
	w.policy = func(string, *minion) bool { return true }
	err := w.prepareFixed(func() { w.cloud.addPool(mainPool, "a", 8) }, route("batch", queue, mainPool), advised)
	if err != nil {
		return nil, err
	}
	w.check.quiet = true
	start := time.Now()
	var jobs []*job
	for i := 0; time.Since(start) < 16*time.Second; i++ {
		j := w.newJob(queue, fmt.Sprintf("job %d", i), jobStep{Count: 4, CPU: 500, MemMB: 1000, EstimatedMS: 1500}, 1500*time.Millisecond, false)
		w.submit(j)
		jobs = append(jobs, j)
		if trouble && i == 5 {
			large := w.newJob(advisedPrefix, "wide", jobStep{Count: 8000, CPU: 10, MemMB: 10, EstimatedMS: 2000}, 2*time.Second, true)
			w.submit(large)
			jobs = append(jobs, large)
			w.rec.say("burst: a job of 8000 tasks")
		}
		time.Sleep(800 * time.Millisecond)
	}
	w.rec.say("the traffic ends")
	return w.stuckJobs(jobs, mainPool, func(*job, *minion) bool { return true }), nil
}
