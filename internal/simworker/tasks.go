// Package simworker implements simulated workers for tests and measurements. A Worker
// announces itself to the entries of its data centre, simulates tasks with timers while it
// holds a lease, reports their usage after a delay, and supports checkpoint, throttle,
// stop, drain and reboot orders. A StepWorker runs the tasks of step jobs.
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

// throttleFactor is the factor by which throttling slows a task down and reduces its CPU
// usage.
const throttleFactor = 2

// Payload is the part of a job's payload that a simulated worker interprets.
type Payload struct {
	// RunMS is the run time in milliseconds. If it is not positive, or the payload is not
	// valid JSON, the run time declared in the job applies.
	RunMS int64 `json:"run_ms"`
	// FailOn lists the instances on which the task fails at the end of its run time; "*"
	// means all instances.
	FailOn []string `json:"fail_on,omitempty"`
	// Usage is the resource usage to report. Nil means the declared size.
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
	// remaining is the run time at full speed that remained at resumedAt.
	remaining time.Duration
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

// Result returns the result of a finished task. It contains the job identifier, so that a
// test can detect a result that belongs to another job.
func Result(jobID string) []byte {
	return []byte(fmt.Sprintf(`{"job_id":%q}`, jobID))
}

// startTask starts an attempt. It ignores the order unless its attempt is newer than every
// earlier one of the job. The attempt is reported as not started if the worker is draining, holds
// no lease from the leader, or the order has no specification. The caller holds w.mu.
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
		w.triggerAnnouncement()
		return
	}
	t.size = o.Spec.Size
	t.payload = parsePayload(*o.Spec)
	t.state = wire.TaskRunning
	t.startedAt = now
	t.resumedAt = now
	t.remaining = time.Duration(t.payload.RunMS) * time.Millisecond
	w.history.Record(history.Event{Kind: history.Start, RequestID: id, Attempt: o.Attempt})
	w.schedule(t)
	w.triggerAnnouncement()
}

func (w *Worker) schedule(t *task) {
	delay := t.remaining
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

// end moves an active task to a final state. The caller holds w.mu.
func (w *Worker) end(t *task, state wire.TaskState, reason string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state = state
	t.reason = reason
	w.history.Record(history.Event{Kind: history.Finish, RequestID: t.key.JobID, Attempt: t.key.Attempt, Detail: string(state)})
	w.triggerAnnouncement()
}

// setThrottle throttles an active task or returns it to full speed. The caller holds w.mu.
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
	t.remaining = max(t.remaining-ran, 0)
	t.resumedAt = now
	t.state = want
	w.schedule(t)
	w.triggerAnnouncement()
}

// usage returns the resource usage to report for a task. It is zero until the task has run
// for Config.UsageLag, and for a task that has ended.
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

// enforceLeases stops the tasks whose lease has expired. A task with the policy
// PartitionKeep needs only the lease from the entry, any other the lease from the leader.
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
