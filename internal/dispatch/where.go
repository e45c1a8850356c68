package dispatch

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/intake"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// MaxPreviewTasks bounds the tasks of a job that Where plans.
	MaxPreviewTasks = 400
	// previewIntervalMS is the shortest time between two previews.
	previewIntervalMS = 500
	// previewJobID sorts after the identifiers of submitted jobs, which can't contain it.
	previewJobID = "~where"
	// noEstimate is the StartsInMS of work for which there is no estimate.
	noEstimate = -1
)

// ErrPreviewBusy means that another preview is going on or has just ended. The request may be
// repeated.
var ErrPreviewBusy = errors.New("dispatch: another preview is going on, retry")

// PreviewError means that Where can't plan the job.
type PreviewError struct{ Reason string }

// Error implements error.
func (e *PreviewError) Error() string { return "dispatch: " + e.Reason }

// Where returns where the first step of the job would go if it were submitted now. It changes
// no state. The error is a NotLeaderError, a *PreviewError or ErrPreviewBusy.
func (d *Dispatcher) Where(job workload.Submit) (wire.WhereReply, error) {
	if err := checkPreview(&job); err != nil {
		return wire.WhereReply{}, err
	}
	if !d.previewing.TryLock() {
		return wire.WhereReply{}, ErrPreviewBusy
	}
	defer d.previewing.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.checkLeadership()
	if err != nil {
		return wire.WhereReply{}, err
	}
	if d.previewedAt != 0 && now-d.previewedAt < previewIntervalMS {
		return wire.WhereReply{}, ErrPreviewBusy
	}
	d.previewedAt = now
	job.ID = previewJobID
	var reply wire.WhereReply
	d.log.Read(func(s *fleet.State) {
		reply, err = d.preview(s.Workload, &job, now)
		reply.Applied = s.Applied
	})
	reply.Leader, reply.NowMS = d.log.Leadership().Leader, now
	return reply, err
}

func checkPreview(job *workload.Submit) error {
	if err := job.Check(); err != nil {
		return &PreviewError{Reason: err.Error()}
	}
	tasks := 0
	for i := range job.Steps {
		tasks += job.Steps[i].Count
	}
	switch {
	case tasks > MaxPreviewTasks:
		return &PreviewError{Reason: fmt.Sprintf("the job has %d tasks, more than %d", tasks, MaxPreviewTasks)}
	case job.Repetitions != 0:
		return &PreviewError{Reason: "a repeated job has no place before it is due"}
	}
	return nil
}

// preview plans the job on an overlay of the state. The caller holds mu.
func (d *Dispatcher) preview(s *workload.State, job *workload.Submit, now int64) (wire.WhereReply, error) {
	if _, ok := s.Config.Teams[job.Team]; job.Team != "" && !ok {
		return wire.WhereReply{}, &PreviewError{Reason: "there is no team " + job.Team}
	}
	overlay, j, ok := s.WithJob(job, now)
	if !ok {
		return wire.WhereReply{}, &PreviewError{Reason: "there is no queue " + job.Queue}
	}
	workers := d.availableWorkers(overlay, now)
	ref := taskplan.StepRef{Job: j.ID}
	plan, ahead, reached := taskplan.ComputeFor(d.planInput(overlay, workers, now), ref)
	expected := overlay.ExpectedRun(j, 0)
	admission := intake.Preview(s, s.Config.Queues[job.Queue], job, time.Now())
	reply := wire.WhereReply{
		Pool: overlay.PoolOf(j), Tasks: j.Steps[0].Count, Places: d.places(plan.Starts, j.ID),
		ExpectedMedianMS: expected.MedianMS, ExpectedP90MS: expected.P90MS, ExpectedRuns: expected.Runs,
		AheadJobs: ahead.Jobs, AheadTasks: ahead.Tasks, Refusal: string(admission.Reason), RetryAfterMS: admission.RetryAfterMS,
	}
	for _, place := range reply.Places {
		reply.Starting += place.Tasks
	}
	if reply.Starting == reply.Tasks {
		return reply, nil
	}
	if reached {
		reply.Reason, reply.Detail = d.whyNot(overlay, workers, plan, now)
	}
	reply.StartsInMS = startsInMS(overlay, workers, reply, ahead.WorkMilliMS, now)
	return reply, nil
}

// places returns the workers on which tasks of the job start, in the order of the plan.
func (d *Dispatcher) places(starts []workload.Start, job string) []wire.WherePlace {
	places := []wire.WherePlace{}
	index := map[workload.WorkerIncarnation]int{}
	for _, s := range starts {
		if s.Task.Job != job {
			continue
		}
		i, known := index[s.Worker]
		if !known {
			i = len(places)
			index[s.Worker] = i
			w := d.workers[s.Worker]
			places = append(places, wire.WherePlace{Worker: s.Worker.ID, DataCentre: w.DataCentre, Rack: w.Rack})
		}
		places[i].Tasks++
	}
	return places
}

// whyNot returns why tasks of the previewed step do not start, judged on the room that the
// plan leaves.
func (d *Dispatcher) whyNot(s *workload.State, workers []taskplan.Worker, plan taskplan.Plan, now int64) (stall.Reason, string) {
	in := stall.Input{
		State: s, NowMS: now, Workers: d.stallWorkers(s, workers, now), FailedOn: d.failedOn,
		Unapproved: map[stall.Key]bool{}, Planned: map[string]workload.Resources{},
	}
	for _, ref := range plan.NeedApproval {
		in.Unapproved[stall.Key(ref)] = true
	}
	taken := map[workload.WorkerIncarnation]workload.Resources{}
	for _, start := range plan.Starts {
		j := s.Active()[start.Task.Job]
		step := &j.Steps[start.Task.Step]
		taken[start.Worker] = taken[start.Worker].Plus(step.Occupies())
		in.Planned[j.Team] = in.Planned[j.Team].Plus(step.Size)
	}
	for i := range in.Workers {
		w := &in.Workers[i]
		w.Free = w.Free.Minus(taken[w.Incarnation])
	}
	return stall.Why(in, stall.Key{Job: previewJobID})
}

// startsInMS estimates the time until the next task starts: the work ahead over the capacity
// of the pool, and at least the time until the first of its runs is expected to end. It
// returns noEstimate for a reason that the end of other work does not remove.
func startsInMS(s *workload.State, workers []taskplan.Worker, reply wire.WhereReply, aheadMilliMS, now int64) int64 {
	if reply.Reason != "" && reply.Reason != stall.NoCapacity && reply.Reason != stall.Gang {
		return noEstimate
	}
	step := &s.Active()[previewJobID].Steps[0]
	capacityMilli, firstEndMS := int64(0), int64(noEstimate)
	canHold := false
	for _, w := range workers {
		if w.Pool != reply.Pool {
			continue
		}
		capacityMilli += w.Capacity.CPUMilli
		canHold = canHold || mayHold(w, step)
		for ref, p := range s.RunsOn(w.Incarnation) {
			j := s.Active()[ref.Job]
			if j == nil || p.LongRunning {
				continue
			}
			// A run of which no report has come yet may need its whole time.
			startedAt := p.StartedAt
			if startedAt == 0 {
				startedAt = now
			}
			left := max(startedAt+s.ExpectedRun(j, ref.Step).MeanMS-now, 0)
			if firstEndMS == noEstimate || left < firstEndMS {
				firstEndMS = left
			}
		}
	}
	switch {
	case !canHold || capacityMilli == 0:
		return noEstimate
	case reply.Reason == "":
		return aheadMilliMS / capacityMilli
	case firstEndMS == noEstimate && aheadMilliMS == 0:
		return noEstimate
	}
	return max(aheadMilliMS/capacityMilli, firstEndMS)
}

// mayHold reports whether the worker could run a task of the step if it were empty.
func mayHold(w taskplan.Worker, step *workload.Step) bool {
	labelled := step.Label == ""
	for _, label := range w.Labels {
		labelled = labelled || label == step.Label
	}
	return labelled && step.Occupies().Fits(w.Capacity)
}
