package simworker

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/dispatch"
	"github.com/samphirefork/samphirefork/internal/wait"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const (
	// stepReportTimeout is the time after which the answer to a report is discarded: by then
	// the leader may have declared the worker lost.
	stepReportTimeout  = time.Second
	stepPollInterval   = 10 * time.Millisecond
	stepReportInterval = 200 * time.Millisecond
	stepStopDelay      = 50 * time.Millisecond
	stepDefaultRunTime = 200 * time.Millisecond
)

// StepSettings configures a simulated worker for step jobs.
type StepSettings struct {
	// Pool is the pool that the worker reports.
	Pool string `json:"pool"`
}

// stepSpecification is the part of a task's specification that the simulated worker reads.
type stepSpecification struct {
	// RunMS is the run time in milliseconds. If it is not positive, stepDefaultRunTime applies.
	RunMS int64 `json:"run_ms"`
	// Fail makes the task fail at the end of its run time.
	Fail bool `json:"fail"`
}

// StepWorker is a simulated worker for step jobs. It sends reports to an entry and carries
// out the orders it receives in reply.
type StepWorker struct {
	cfg    Config
	log    zerolog.Logger
	client *http.Client

	// mu guards the fields below.
	mu          sync.Mutex
	incarnation workload.WorkerIncarnation
	sequence    int64
	term        uint64
	lease       time.Time
	draining    bool
	running     map[workload.TaskRef]*stepRun
	// lastStopped maps each task to its highest run that was stopped or has ended here. A start
	// order for this or an earlier run is ignored.
	lastStopped map[workload.TaskRef]int
	// ended holds the ends that the leader has not yet acknowledged.
	ended     []dispatch.EndedTask
	lastEnd   int64
	nextEntry int
}

type stepRun struct {
	run       workload.Run
	startedAt time.Time
	runTime   time.Duration
	fail      bool
	stopAt    time.Time
}

// NewStepWorker returns a worker without tasks. cfg.Steps must be set.
func NewStepWorker(cfg Config, log zerolog.Logger) *StepWorker {
	return &StepWorker{
		cfg: cfg, log: log, client: &http.Client{Timeout: stepReportTimeout, Transport: &http.Transport{}},
		incarnation: workload.WorkerIncarnation{ID: cfg.Instance, Born: time.Now().UnixMilli()},
		running:     map[workload.TaskRef]*stepRun{}, lastStopped: map[workload.TaskRef]int{},
	}
}

// Run sends reports and simulates tasks until ctx is cancelled. The worker then drains: Run
// returns once no task is running, all ends are acknowledged and it has tried to
// deregister.
func (w *StepWorker) Run(ctx context.Context) {
	loop, stop := context.WithCancel(context.Background())
	defer stop()
	reports := make(chan time.Duration, 1)
	next := time.Now()
	for !w.finished() {
		w.drainIfCancelled(ctx)
		w.work(time.Now())
		select {
		case pause := <-reports:
			next = time.Now().Add(pause)
		default:
		}
		if !next.IsZero() && time.Now().After(next) {
			next = time.Time{}
			go func() { reports <- w.report(loop) }()
		}
		wait.For(loop, stepPollInterval)
	}
	w.deregister(loop)
	w.client.CloseIdleConnections()
}

// drainIfCancelled starts to drain once ctx is cancelled.
func (w *StepWorker) drainIfCancelled(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = w.draining || ctx.Err() != nil
}

func (w *StepWorker) finished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining && len(w.running) == 0 && len(w.ended) == 0
}

// work ends the runs that have reached their run time or stop time, and all runs if the
// lease has expired.
func (w *StepWorker) work(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		switch {
		case now.After(w.lease):
			w.end(r, workload.OutcomeLapsed)
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, workload.OutcomeStopped)
		case now.Sub(r.startedAt) >= r.runTime && r.fail:
			w.end(r, workload.OutcomeFailed)
		case now.Sub(r.startedAt) >= r.runTime:
			w.end(r, workload.OutcomeDone)
		}
	}
}

func (w *StepWorker) end(r *stepRun, how workload.Outcome) {
	delete(w.running, r.run.Task)
	w.lastStopped[r.run.Task] = max(w.lastStopped[r.run.Task], r.run.Run)
	w.lastEnd++
	w.ended = append(w.ended, dispatch.EndedTask{Run: r.run, Number: w.lastEnd, Outcome: how})
}

// report sends one report, applies the orders in the reply, and returns the delay before
// the next report. On failure it switches to the next entry.
func (w *StepWorker) report(ctx context.Context) time.Duration {
	rep, entry := w.nextReport(time.Now())
	sent := time.Now()
	var orders dispatch.Orders
	err := w.send(ctx, http.MethodPut, entry, rep, &orders)
	if err != nil || time.Since(sent) > stepReportTimeout {
		w.log.Debug().Err(err).Str("entry", entry).Msg("step worker report failed or timed out")
		w.mu.Lock()
		w.nextEntry++
		w.mu.Unlock()
		return retryInterval
	}
	w.applyOrders(orders, sent)
	return min(max(orders.Retry, stepPollInterval), stepReportInterval)
}

func (w *StepWorker) nextReport(now time.Time) (dispatch.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	rep := dispatch.Report{
		Incarnation: w.incarnation, Machine: w.cfg.Instance, Pool: w.cfg.Steps.Pool, Address: w.cfg.Listen, DataCentre: w.cfg.DataCentre,
		Rack: w.cfg.Rack, Sequence: w.sequence, Draining: w.draining, Ended: slices.Clone(w.ended),
		Capacity: workload.Resources{
			CPUMilli: w.cfg.Capacity.CPUMilli, MemoryMiB: w.cfg.Capacity.MemoryMiB, Accelerators: w.cfg.Capacity.Accelerators,
		},
	}
	for _, r := range w.running {
		percent := 100 * now.Sub(r.startedAt) / max(r.runTime, 1)
		rep.Running = append(rep.Running, dispatch.RunningTask{Run: r.run, Percent: int(min(percent, 100))})
	}
	return rep, w.cfg.Entries[w.nextEntry%len(w.cfg.Entries)]
}

func (w *StepWorker) send(ctx context.Context, method, entry string, rep any, orders *dispatch.Orders) error {
	body, err := json.Marshal(rep)
	if err != nil {
		return errors.Wrap(err, "simworker: encode report")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+"/v1/step-workers/"+w.cfg.Instance, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "simworker: create report request")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "simworker: send report")
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read, so an error has no effect
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrAnnounceRefused, "status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(orders), "simworker: decode orders")
}

// applyOrders carries out the orders received in reply to the report sent at the given
// time. Orders of an earlier term are ignored, and without a lease no run starts.
func (w *StepWorker) applyOrders(o dispatch.Orders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Term < w.term {
		return
	}
	w.term = o.Term
	w.ended = slices.DeleteFunc(w.ended, func(e dispatch.EndedTask) bool { return e.Number <= o.AckedEnds })
	if lease := sent.Add(o.Lease); o.Lease > 0 && lease.After(w.lease) {
		w.lease = lease
	}
	for _, r := range o.Stops {
		w.stop(r)
	}
	if o.Lease == 0 {
		return
	}
	for _, s := range o.Starts {
		w.start(s)
	}
}

func (w *StepWorker) stop(r workload.Run) {
	w.lastStopped[r.Task] = max(w.lastStopped[r.Task], r.Run)
	if run, ok := w.running[r.Task]; ok && run.run.Run <= r.Run && run.stopAt.IsZero() {
		run.stopAt = time.Now().Add(stepStopDelay)
	}
}

// start starts a run, unless the run was already stopped or has ended, or a run of the same
// task is still active.
func (w *StepWorker) start(s dispatch.StartOrder) {
	_, runs := w.running[s.Task]
	if runs || s.Run.Run <= w.lastStopped[s.Task] {
		return
	}
	r := &stepRun{run: s.Run, startedAt: time.Now(), runTime: stepDefaultRunTime}
	var spec stepSpecification
	if err := json.Unmarshal([]byte(s.Specification), &spec); err == nil {
		r.fail = spec.Fail
		if spec.RunMS > 0 {
			r.runTime = time.Duration(spec.RunMS) * time.Millisecond
		}
	}
	w.running[s.Task] = r
	w.log.Debug().Str("task", s.Task.String()).Int("run", s.Run.Run).Msg("task started")
}

// deregister tells an entry that the worker has left, so that the leader need not wait for
// the lease to expire.
func (w *StepWorker) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepReportTimeout)
	defer cancel()
	entry := w.cfg.Entries[w.nextEntry%len(w.cfg.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+"/v1/step-workers/"+w.cfg.Instance, nil)
	if err != nil {
		w.log.Warn().Err(err).Msg("cannot create deregistration request")
		return
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.log.Warn().Err(err).Msg("deregistration failed; the lease has to expire")
		return
	}
	_ = resp.Body.Close() // the response has no body
}
