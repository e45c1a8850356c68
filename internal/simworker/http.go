package simworker

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

// Handler returns the HTTP interface through which the platform sends orders for tasks,
// drain and reboot. An accepted order is answered with status 204. An order for another
// incarnation, or one that arrives during a reboot, is answered with status 409.
func (w *Worker) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/tasks/:id", w.handleOrder(func(id string, o workerlink.TaskOrder) { w.startTask(id, o, time.Now()) }))
	for _, kind := range []wire.OrderKind{wire.OrderStop, wire.OrderThrottle, wire.OrderUnthrottle, wire.OrderCheckpoint, wire.OrderAck} {
		e.POST("/tasks/:id/"+string(kind), w.handleOrder(func(id string, o workerlink.TaskOrder) { w.controlTask(id, o, kind) }))
	}
	e.POST("/drain", w.handleOrder(func(string, workerlink.TaskOrder) { w.drain() }))
	e.POST("/undrain", w.handleOrder(func(string, workerlink.TaskOrder) { w.undrain() }))
	e.POST("/reboot", w.handleOrder(func(string, workerlink.TaskOrder) { w.reboot(time.Now()) }))
	return e
}

// handleOrder returns a handler that decodes an order and calls f with w.mu held. It answers
// with status 409 if the order is for another incarnation or the worker is rebooting.
func (w *Worker) handleOrder(f func(id string, o workerlink.TaskOrder)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var o workerlink.TaskOrder
		if err := c.Bind(&o); err != nil {
			return err
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		if o.Incarnation != w.incarnation || !w.rebootUntil.IsZero() {
			return c.NoContent(http.StatusConflict)
		}
		f(c.Param("id"), o)
		return c.NoContent(http.StatusNoContent)
	}
}

func (w *Worker) controlTask(id string, o workerlink.TaskOrder, kind wire.OrderKind) {
	t := w.tasks[id]
	if t == nil || t.key.Attempt != o.Attempt {
		w.controlUnknown(id, o, kind)
		return
	}
	switch kind {
	case wire.OrderAck:
		if !t.active() {
			delete(w.tasks, id)
			w.triggerAnnouncement()
		}
	case wire.OrderStop:
		if t.active() {
			w.end(t, wire.TaskStopped, "stopped by order")
		}
	case wire.OrderCheckpoint:
		if t.active() {
			w.end(t, wire.TaskCheckpointed, "checkpointed by order")
		}
	case wire.OrderThrottle, wire.OrderUnthrottle:
		w.setThrottle(t, kind == wire.OrderThrottle, time.Now())
	}
}

// controlUnknown handles an order for an attempt that this worker does not hold. A stop
// order for a newer attempt records it as not started, so that a start order for it that
// arrives later is ignored. Other orders have no effect. The caller holds w.mu.
func (w *Worker) controlUnknown(id string, o workerlink.TaskOrder, kind wire.OrderKind) {
	if kind != wire.OrderStop || o.Attempt <= w.attempts[id] {
		return
	}
	w.attempts[id] = o.Attempt
	w.tasks[id] = &task{
		key:    wire.TaskKey{JobID: id, Attempt: o.Attempt},
		state:  wire.TaskNotStarted,
		reason: "stopped before it began",
	}
	w.triggerAnnouncement()
}

func (w *Worker) drain() {
	if w.draining {
		return
	}
	w.draining = true
	w.history.Record(history.Event{Kind: history.Drain})
	w.triggerAnnouncement()
}

func (w *Worker) undrain() {
	if !w.draining || w.leaving {
		return
	}
	w.draining = false
	w.history.Record(history.Event{Kind: history.Ready})
	w.triggerAnnouncement()
}

func (w *Worker) reboot(now time.Time) {
	w.history.Record(history.Event{Kind: history.Reboot})
	for _, t := range w.tasks {
		if t.active() {
			w.end(t, wire.TaskFailed, "worker rebooted")
		}
	}
	w.rebootUntil = now.Add(w.cfg.RebootTime.Std())
}

// finishReboot starts a new incarnation once the reboot time has passed.
func (w *Worker) finishReboot(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rebootUntil.IsZero() || now.Before(w.rebootUntil) {
		return
	}
	w.rebootUntil = time.Time{}
	w.boot(now)
	w.history.Record(history.Event{Kind: history.Ready})
	w.triggerAnnouncement()
}
