package simworker

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

// Handler returns the interface of the platform for this worker: tasks, drain and reboot.
func (w *Worker) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.PUT("/tasks/:id", w.order(func(id string, o workerlink.TaskOrder) { w.startTask(id, o, time.Now()) }))
	for _, kind := range []wire.OrderKind{wire.OrderStop, wire.OrderThrottle, wire.OrderUnthrottle, wire.OrderCheckpoint, wire.OrderAck} {
		e.POST("/tasks/:id/"+string(kind), w.order(func(id string, o workerlink.TaskOrder) { w.control(id, o, kind) }))
	}
	e.POST("/drain", w.order(func(string, workerlink.TaskOrder) { w.drain() }))
	e.POST("/undrain", w.order(func(string, workerlink.TaskOrder) { w.undrain() }))
	e.POST("/reboot", w.order(func(string, workerlink.TaskOrder) { w.reboot(time.Now()) }))
	return e
}

// order decodes a request and runs f under the lock, unless the order is for
// another incarnation or the worker is rebooting.
func (w *Worker) order(f func(id string, o workerlink.TaskOrder)) echo.HandlerFunc {
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

func (w *Worker) control(id string, o workerlink.TaskOrder, kind wire.OrderKind) {
	t := w.tasks[id]
	if t == nil || t.key.Attempt != o.Attempt {
		w.controlUnknown(id, o, kind)
		return
	}
	switch kind {
	case wire.OrderAck:
		if !t.active() {
			delete(w.tasks, id)
			w.changed()
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

// controlUnknown answers a stop of an attempt that never began here. The
// attempt is marked as seen, so that a start order that arrives later is refused.
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
	w.changed()
}

func (w *Worker) drain() {
	if w.draining {
		return
	}
	w.draining = true
	w.history.Record(history.Event{Kind: history.Drain})
	w.changed()
}

func (w *Worker) undrain() {
	if !w.draining || w.leaving {
		return
	}
	w.draining = false
	w.history.Record(history.Event{Kind: history.Ready})
	w.changed()
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

// finishReboot brings the worker back as a new incarnation.
func (w *Worker) finishReboot(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.rebootUntil.IsZero() || now.Before(w.rebootUntil) {
		return
	}
	w.rebootUntil = time.Time{}
	w.boot(now)
	w.history.Record(history.Event{Kind: history.Ready})
	w.changed()
}
