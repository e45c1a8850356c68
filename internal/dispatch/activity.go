package dispatch

import (
	"fmt"
	"strings"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// maxLoggedTasks bounds the tasks that one log line names.
const maxLoggedTasks = 12

// activity is what the leader knows of a long-running task, by the state and the last report of
// its worker.
type activity string

const (
	// activityFull is a task that its worker reports at 100 percent.
	activityFull activity = "active"
	// activityWaiting is a task without a run, and activityStopping one whose run is to stop.
	activityWaiting  activity = "waiting"
	activityStopping activity = "stopping"
	// activityStarting is a task whose worker does not report its run at 100 percent.
	activityStarting activity = "starting"
	// activitySilent is a task whose worker has sent no recent report to this leader.
	activitySilent activity = "silent"
)

// activityOf returns the activity of a long-running task.
func (d *Dispatcher) activityOf(ref workload.TaskRef, t *workload.Task, now int64) activity {
	switch w := d.workers[t.Worker]; {
	case t.Phase == workload.Stopping:
		return activityStopping
	case t.Phase != workload.Placed:
		return activityWaiting
	case w == nil || !w.isLive(now):
		return activitySilent
	case !d.isFullyActive(ref, t, now):
		return activityStarting
	}
	return activityFull
}

// isFullyActive reports whether a recent report of the worker shows the task's current run at 100
// percent.
func (d *Dispatcher) isFullyActive(ref workload.TaskRef, t *workload.Task, now int64) bool {
	w, ok := d.workers[t.Worker]
	if !ok || !w.isLive(now) {
		return false
	}
	r, ok := w.running[ref]
	return ok && r.Run.Run == t.Run && r.Percent >= fullPace
}

// reportsLongRunning reports whether the live worker of a machine reports a long-running task of an
// active job, be it placed there or not.
func (d *Dispatcher) reportsLongRunning(s *workload.State, machine string, now int64) bool {
	w, ok := d.workerOn(machine)
	if !ok || !w.isLive(now) {
		return false
	}
	for ref := range w.running {
		if j := s.Active()[ref.Job]; j != nil && ref.Step < len(j.Steps) && j.Steps[ref.Step].LongRunning {
			return true
		}
	}
	return false
}

// otherTasks calls f for each task of the step of ref except ref itself.
func otherTasks(s *workload.State, ref workload.TaskRef, f func(workload.TaskRef, *workload.Task)) {
	j, _, ok := s.Task(ref)
	if !ok {
		return
	}
	tasks := j.Occurrences[ref.Occurrence].Steps[ref.Step].Tasks
	for i := range tasks {
		other := ref
		other.Index = i
		if other != ref {
			f(other, &tasks[i])
		}
	}
}

// describeInactive names the other tasks of a step that are not fully active, with what is known
// and the age of their worker's last report.
func (d *Dispatcher) describeInactive(s *workload.State, ref workload.TaskRef, now int64) string {
	inactive, text := 0, []string{}
	otherTasks(s, ref, func(other workload.TaskRef, t *workload.Task) {
		known := d.activityOf(other, t, now)
		if known == activityFull {
			return
		}
		if inactive++; inactive > maxLoggedTasks {
			return
		}
		line := fmt.Sprintf("%d.%d %s", other.Index, t.Run, known)
		if w := d.workers[t.Worker]; w != nil && t.Phase != workload.Waiting {
			line += fmt.Sprintf(" %d ms", now-w.lastReportAt)
		}
		text = append(text, line)
	})
	return strings.Join(text, ", ")
}

// reportAgeMS returns the time since the last report of an incarnation to this leader, or -1 if
// there was none.
func (d *Dispatcher) reportAgeMS(incarnation workload.WorkerIncarnation, now int64) int64 {
	if w, ok := d.workers[incarnation]; ok {
		return now - w.lastReportAt
	}
	return -1
}
