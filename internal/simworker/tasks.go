// Package simworker is a simulated worker of the platform: it announces itself
// to the entries of its data centre, runs tasks as timers under leases, reports
// usage with a lag, and can checkpoint, throttle and stop tasks, drain and reboot.
package simworker

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

// throttleFactor is how much longer throttled work takes.
const throttleFactor = 2

// Payload is the part of a job's payload that a simulated worker understands.
// Any other payload runs for the declared run time.
type Payload struct {
	RunMS int64 `json:"run_ms"`
	// FailOn lists the instances on which the task fails; "*" means all.
	FailOn []string `json:"fail_on,omitempty"`
	// Usage is what the task really uses, when it differs from the declared size.
	Usage *fleet.Resources `json:"usage,omitempty"`
}

// task is one attempt of a job on this worker.
type task struct {
	key         wire.TaskKey
	state       wire.TaskState
	onPartition fleet.PartitionPolicy
	size        fleet.Resources
	payload     Payload
	startedAt   time.Time
	// left is the run time that remained at resumedAt.
	left      time.Duration
	resumedAt time.Time
	timer     *time.Timer
	result    []byte
	reason    string
}

func (t *task) active() bool {
	return t.state == wire.TaskRunning || t.state == wire.TaskThrottled
}

func parsePayload(spec fleet.JobSpec) Payload {
	var p Payload
	if json.Unmarshal(spec.Payload, &p) != nil || p.RunMS <= 0 {
		p.RunMS = max(spec.RunTimeMS, 1)
	}
	return p
}

// Result is what a finished task returns; it names the job, so that a checker
// finds an answer that belongs to another request.
func Result(jobID string) []byte {
	return []byte(fmt.Sprintf(`{"job_id":%q}`, jobID))
}

// startTask begins an attempt. A repeated order has no further effect; an
// attempt that can't begin is reported as not started. The caller holds the lock.
func (w *Worker) startTask(id string, o workerlink.TaskOrder, now time.Time) {
	if o.Attempt <= w.attempts[id] {
		return
	}
	w.attempts[id] = o.Attempt
	t := &task{key: wire.TaskKey{JobID: id, Attempt: o.Attempt}, onPartition: o.OnPartition}
	w.tasks[id] = t
	if w.draining || !w.leaderLease.After(now) || o.Spec == nil {
		t.state = wire.TaskNotStarted
		t.reason = "worker takes no work"
		w.changed()
		return
	}
	t.size = o.Spec.Size
	t.payload = parsePayload(*o.Spec)
	t.state = wire.TaskRunning
	t.startedAt = now
	t.resumedAt = now
	t.left = time.Duration(t.payload.RunMS) * time.Millisecond
	w.history.Record(history.Event{Kind: history.Start, RequestID: id, Attempt: o.Attempt})
	w.schedule(t)
	w.changed()
}

func (w *Worker) schedule(t *task) {
	delay := t.left
	if t.state == wire.TaskThrottled {
		delay *= throttleFactor
	}
	t.timer = time.AfterFunc(delay, func() { w.complete(t) })
}

func (w *Worker) complete(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.active() || w.tasks[t.key.JobID] != t {
		return
	}
	if w.cfg.FailAll || slices.Contains(t.payload.FailOn, "*") || slices.Contains(t.payload.FailOn, w.cfg.Instance) {
		w.end(t, wire.TaskFailed, "task exited with an error")
		return
	}
	t.result = Result(t.key.JobID)
	w.end(t, wire.TaskDone, "")
}

// end moves an active task to a final state. The caller holds the lock.
func (w *Worker) end(t *task, state wire.TaskState, reason string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state = state
	t.reason = reason
	w.history.Record(history.Event{Kind: history.Finish, RequestID: t.key.JobID, Attempt: t.key.Attempt, Detail: string(state)})
	w.changed()
}

// setThrottle slows an active task down or lets it run at full speed again.
func (w *Worker) setThrottle(t *task, throttled bool, now time.Time) {
	want := wire.TaskRunning
	if throttled {
		want = wire.TaskThrottled
	}
	if !t.active() || t.state == want {
		return
	}
	t.timer.Stop()
	ran := now.Sub(t.resumedAt)
	if t.state == wire.TaskThrottled {
		ran /= throttleFactor
	}
	t.left = max(t.left-ran, 0)
	t.resumedAt = now
	t.state = want
	w.schedule(t)
	w.changed()
}

// usage is what a report says of a task: nothing until the lag has passed.
func (w *Worker) usage(t *task, now time.Time) fleet.Resources {
	if !t.active() || now.Sub(t.startedAt) < w.cfg.UsageLag.Std() {
		return fleet.Resources{}
	}
	used := t.size
	if t.payload.Usage != nil {
		used = *t.payload.Usage
	}
	if t.state == wire.TaskThrottled {
		used.CPUMilli /= throttleFactor
	}
	return used
}

// enforceLeases stops the tasks whose lease has run out.
func (w *Worker) enforceLeases(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		lease := w.leaderLease
		if t.onPartition == fleet.PartitionKeep {
			lease = w.entryLease
		}
		if t.active() && !lease.After(now) {
			w.end(t, wire.TaskStopped, "task lease ran out")
		}
	}
}
