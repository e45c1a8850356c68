package controller

import (
	"context"

	"github.com/samphirefork/samphirefork/internal/evacuate"
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// evacuate sets the actions that bring watch tasks out of evacuated data centres. A
// checkpointed job waits in its queue again, and placement starts it elsewhere.
func (c *Controller) evacuate(context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.log.Now()
	c.log.Read(func(s *fleet.State) {
		if len(s.Config.Evacuations) == 0 {
			return
		}
		for _, id := range evacuate.Compute(c.evacuationSnapshot(s, now)) {
			j := s.Jobs[id]
			c.setAction(j, placement.ActionCheckpoint, now)
			c.opts.Logger.Info().Str("job", id).Str("worker", j.Worker).Str("data_centre", s.Config.Instances[j.Worker].DataCentre).
				Msg("watch task leaves its evacuated data centre")
		}
	})
	return nil
}

// evacuationSnapshot returns the input of package evacuate. The caller holds mu.
func (c *Controller) evacuationSnapshot(s *fleet.State, now fleet.Time) evacuate.Snapshot {
	snap := evacuate.Snapshot{Now: now, Pools: s.Config.Pools}
	free := map[string]fleet.Resources{}
	for _, w := range c.placementWorkers(s, now) {
		if w.Usable {
			free[w.Name] = w.Capacity
		}
	}
	s.EachAssigned(func(j *fleet.Job) {
		key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
		if room, ok := free[j.Worker]; ok {
			free[j.Worker] = room.Minus(c.sizer.TaskSize(key, j.Spec.Size))
		}
		if s.Config.Queues[j.Queue].Class == fleet.ClassWatch && s.Config.Evacuated(s.Config.Instances[j.Worker].DataCentre) {
			snap.Tasks = append(snap.Tasks, c.evacuationTask(j, key))
		}
	})
	s.EachQueued(func(j *fleet.Job) {
		if q := s.Config.Queues[j.Queue]; q.Class == fleet.ClassWatch && !deadlinePassed(j, now) {
			snap.Waiting = append(snap.Waiting, evacuate.Job{Pool: q.Pool, Size: j.Spec.Size})
		}
	})
	for name, in := range s.Config.Instances {
		st := s.Status[name]
		snap.Instances = append(snap.Instances, evacuate.Instance{
			Name: name, Pool: in.Pool, Rack: in.Rack, DataCentre: in.DataCentre, Free: free[name],
			Evacuated: s.Config.Evacuated(in.DataCentre), Unavailable: st.Lost || st.Phase != fleet.PhaseActive,
		})
	}
	return snap
}

func (c *Controller) evacuationTask(j *fleet.Job, key wire.TaskKey) evacuate.Task {
	t := evacuate.Task{
		JobID: j.ID, Worker: j.Worker, Size: c.sizer.TaskSize(key, j.Spec.Size),
		Resumable: j.Spec.Idempotent || c.opts.ResumesCheckpoints,
	}
	a, ok := c.actions[j.ID]
	if ok && a.key == key && (a.kind == placement.ActionCheckpoint || a.kind == placement.ActionStop) {
		t.MovingSince = a.since
	}
	return t
}
