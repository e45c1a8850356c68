package controller

import (
	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/placement"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// orderKey identifies an order among those for one incarnation of a worker.
type orderKey struct {
	kind wire.OrderKind
	task wire.TaskKey
}

// sentOrder records the latest sending of an order.
type sentOrder struct {
	sentAt fleet.Time
}

// maxUndrains is the number of times that the undrain order is sent to a worker. The
// order has no visible effect, so a lost order can't be distinguished from one that
// took effect.
const maxUndrains = 3

// maxReplyBytes is the largest total size of the payloads in one reply and of the
// results in one command. It keeps both well below the maximum frame of 4 MiB.
const maxReplyBytes = 1 << 20

// orders returns the orders that are due for the workers of an entry. An order is due
// if it has not been sent yet, or had no effect within resendAfter. When this store
// doesn't lead, the error is the one of notLeader.
func (c *Controller) orders(entry string) (*wire.WorkerOrders, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l, leading := c.leading()
	if !leading {
		return nil, c.notLeader(l)
	}
	now := c.log.Now()
	reply := &wire.WorkerOrders{Term: l.Term}
	payloadRoom := maxReplyBytes
	c.log.Read(func(s *fleet.State) {
		for _, name := range sortedKeys(c.workers) {
			w := c.workers[name]
			// No process on a backend server instance takes orders.
			if w.entry != entry || !w.reportsRecently(now) || s.Config.Instances[name].Kind == fleet.KindBackend {
				continue
			}
			all := c.taskOrders(s, w, now)
			all = append(all, c.phaseOrders(s, w)...)
			reply.Orders = append(reply.Orders, w.takeDue(all, now, &payloadRoom)...)
		}
	})
	return reply, nil
}

// takeDue returns those of the orders that are due and records them as sent. Starts
// whose payload exceeds the remaining room, in bytes, are left for a later reply.
func (w *worker) takeDue(orders []wire.Order, now fleet.Time, room *int) []wire.Order {
	var due []wire.Order
	sent := make(map[orderKey]sentOrder, len(orders))
	for _, o := range orders {
		k := orderKey{o.Kind, o.Task}
		last, ok := w.sent[k]
		if ok && now.Sub(last.sentAt) < resendAfter {
			sent[k] = last
			continue
		}
		if o.Spec != nil {
			if len(o.Spec.Payload) > *room {
				continue
			}
			*room -= len(o.Spec.Payload)
		}
		sent[k] = sentOrder{sentAt: now}
		if o.Kind == wire.OrderUndrain {
			w.undrainsSent++
		}
		due = append(due, o)
	}
	w.sent = sent
	return due
}

// order returns an order for the present incarnation of the worker.
func (w *worker) order(kind wire.OrderKind, key wire.TaskKey) wire.Order {
	return wire.Order{Worker: w.state.Instance, Incarnation: w.state.Incarnation, Kind: kind, Task: key}
}

// taskOrders returns the orders for the tasks of a worker. They follow from the
// differences between the tasks that it reports and the jobs assigned to it.
func (c *Controller) taskOrders(s *fleet.State, w *worker, now fleet.Time) []wire.Order {
	var orders []wire.Order
	reported := map[wire.TaskKey]bool{}
	for _, t := range w.state.Tasks {
		key := wire.TaskKey{JobID: t.JobID, Attempt: t.Attempt}
		reported[key] = true
		if kind, ok := c.orderForReportedTask(s.Jobs[t.JobID], w, t); ok {
			orders = append(orders, w.order(kind, key))
		}
	}
	for _, j := range assignedJobs(s, w.state.Instance) {
		key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
		if j.WorkerIncarnation != w.state.Incarnation || reported[key] {
			continue
		}
		if _, seen := w.reportedAt[key]; seen || knownToHaveRun(j) {
			continue
		}
		orders = append(orders, startOrder(w, j, now))
	}
	return orders
}

// knownToHaveRun reports whether the present attempt of a job is known to have run.
// Job.Started stays set over later attempts, so it proves this of the first only.
func knownToHaveRun(j *fleet.Job) bool {
	return j.Started && j.Attempt == 1
}

// startOrder returns the order that starts an attempt which the worker has never
// reported. If the job is cancelled or past its deadline, it returns a stop: the
// worker then reports the attempt as not started, and refuses a start of it that
// arrives later.
func startOrder(w *worker, j *fleet.Job, now fleet.Time) wire.Order {
	key := wire.TaskKey{JobID: j.ID, Attempt: j.Attempt}
	if j.CancelRequested || deadlinePassed(j, now) {
		return w.order(wire.OrderStop, key)
	}
	o := w.order(wire.OrderStart, key)
	spec := j.Spec
	o.Spec = &spec
	o.OnPartition = j.OnPartition
	if o.OnPartition == "" {
		o.OnPartition = fleet.PartitionStop
	}
	return o
}

// orderForReportedTask returns the kind of order for a task that the worker reports,
// and false if there is none.
func (c *Controller) orderForReportedTask(j *fleet.Job, w *worker, t wire.TaskReport) (wire.OrderKind, bool) {
	_, final := outcomeKinds[t.State]
	if final {
		return wire.OrderAck, !c.outcomePending(j, w, t)
	}
	if j == nil || !assignedTo(j, w, t.Attempt) || j.CancelRequested {
		return wire.OrderStop, true
	}
	a, ok := c.actions[t.JobID]
	if !ok || a.key.Attempt != t.Attempt {
		return "", false
	}
	switch a.kind {
	case placement.ActionThrottle:
		return wire.OrderThrottle, t.State == wire.TaskRunning
	case placement.ActionUnthrottle:
		return wire.OrderUnthrottle, t.State == wire.TaskThrottled
	case placement.ActionCheckpoint:
		return wire.OrderCheckpoint, true
	case placement.ActionStop:
		return wire.OrderStop, true
	}
	return "", false
}

// phaseOrders returns the orders that follow from the maintenance phase of a worker.
func (c *Controller) phaseOrders(s *fleet.State, w *worker) []wire.Order {
	st := s.Status[w.state.Instance]
	switch st.Phase {
	case fleet.PhaseDraining:
		w.undrainsSent = 0
		return []wire.Order{w.order(wire.OrderDrain, wire.TaskKey{})}
	case fleet.PhaseRebooting:
		if st.RebootFrom == w.state.Incarnation {
			return []wire.Order{w.order(wire.OrderReboot, wire.TaskKey{})}
		}
	case fleet.PhaseActive:
		if w.undrainsSent < maxUndrains {
			return []wire.Order{w.order(wire.OrderUndrain, wire.TaskKey{})}
		}
	}
	return nil
}
