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
	// stepAnswerLimit is the time after which an answer is dropped: the leader may
	// have given the worker up meanwhile.
	stepAnswerLimit = time.Second
	stepWorkEvery   = 10 * time.Millisecond
	stepReportEvery = 200 * time.Millisecond
	stepStopTime    = 50 * time.Millisecond
	stepDefaultRun  = 200 * time.Millisecond
)

// StepSettings make a simulated worker run the tasks of step jobs.
type StepSettings struct {
	Pool string `json:"pool"`
}

// stepSpecification is what the simulated worker reads of a job's specification.
type stepSpecification struct {
	RunMS int64 `json:"run_ms"`
	// Fail makes the task end as failed.
	Fail bool `json:"fail"`
}

// StepWorker is a simulated worker of step jobs: it reports to an entry and carries
// out the orders that answer. All fields below mu are guarded by it.
type StepWorker struct {
	cfg    Config
	log    zerolog.Logger
	client *http.Client

	mu       sync.Mutex
	life     workload.WorkerIncarnation
	sequence int64
	term     uint64
	lease    time.Time
	draining bool
	running  map[workload.TaskRef]*stepRun
	// refused holds the highest run of each task that was stopped or ended here.
	refused   map[workload.TaskRef]int
	ended     []dispatch.EndedTask
	number    int64
	nextEntry int
}

type stepRun struct {
	run      workload.Run
	begun    time.Time
	length   time.Duration
	fail     bool
	stopping time.Time
}

// NewStepWorker returns a worker without tasks.
func NewStepWorker(cfg Config, log zerolog.Logger) *StepWorker {
	return &StepWorker{
		cfg: cfg, log: log, client: &http.Client{Timeout: stepAnswerLimit, Transport: &http.Transport{}},
		life:    workload.WorkerIncarnation{ID: cfg.Instance, Born: time.Now().UnixMilli()},
		running: map[workload.TaskRef]*stepRun{}, refused: map[workload.TaskRef]int{},
	}
}

// Run reports and works until ctx ends. It then drains: it goes on until its tasks
// are done and their ends acknowledged.
func (w *StepWorker) Run(ctx context.Context) {
	loop, stop := context.WithCancel(context.Background())
	defer stop()
	reports := make(chan time.Duration, 1)
	next := time.Now()
	for !w.finished() {
		w.noteEnd(ctx)
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
		wait.For(loop, stepWorkEvery)
	}
	w.leave(loop)
	w.client.CloseIdleConnections()
}

// noteEnd begins to drain when ctx has ended.
func (w *StepWorker) noteEnd(ctx context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = w.draining || ctx.Err() != nil
}

func (w *StepWorker) finished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.draining && len(w.running) == 0 && len(w.ended) == 0
}

// work ends what is done, stopped or without a lease.
func (w *StepWorker) work(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		switch {
		case now.After(w.lease):
			w.end(r, workload.OutcomeLapsed)
		case !r.stopping.IsZero() && now.After(r.stopping):
			w.end(r, workload.OutcomeStopped)
		case now.Sub(r.begun) >= r.length && r.fail:
			w.end(r, workload.OutcomeFailed)
		case now.Sub(r.begun) >= r.length:
			w.end(r, workload.OutcomeDone)
		}
	}
}

func (w *StepWorker) end(r *stepRun, how workload.Outcome) {
	delete(w.running, r.run.Task)
	w.refused[r.run.Task] = max(w.refused[r.run.Task], r.run.Run)
	w.number++
	w.ended = append(w.ended, dispatch.EndedTask{Run: r.run, Number: w.number, Outcome: how})
}

// report exchanges a report for orders, and returns the time until the next one.
func (w *StepWorker) report(ctx context.Context) time.Duration {
	rep, entry := w.next(time.Now())
	sent := time.Now()
	var orders dispatch.Orders
	err := w.send(ctx, http.MethodPut, entry, rep, &orders)
	if err != nil || time.Since(sent) > stepAnswerLimit {
		w.log.Debug().Err(err).Str("entry", entry).Msg("report of steps was not answered")
		w.mu.Lock()
		w.nextEntry++
		w.mu.Unlock()
		return retryInterval
	}
	w.obey(orders, sent)
	return min(max(orders.Retry, stepWorkEvery), stepReportEvery)
}

func (w *StepWorker) next(now time.Time) (dispatch.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	rep := dispatch.Report{
		Incarnation: w.life, Machine: w.cfg.Instance, Pool: w.cfg.Steps.Pool, Address: w.cfg.Listen, DataCentre: w.cfg.DataCentre,
		Rack: w.cfg.Rack, Sequence: w.sequence, Draining: w.draining, Ended: slices.Clone(w.ended),
		Capacity: workload.Resources{
			CPUMilli: w.cfg.Capacity.CPUMilli, MemoryMiB: w.cfg.Capacity.MemoryMiB, Accelerators: w.cfg.Capacity.Accelerators,
		},
	}
	for _, r := range w.running {
		percent := 100 * now.Sub(r.begun) / max(r.length, 1)
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
		return errors.Wrap(err, "simworker: report")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "simworker: report")
	}
	defer func() { _ = resp.Body.Close() }() // the answer was read
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrAnnounceRefused, "status %d", resp.StatusCode)
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(orders), "simworker: decode orders")
}

// obey carries out the orders that answer the report sent then. Orders of an
// earlier leader change nothing, and without a lease nothing starts.
func (w *StepWorker) obey(o dispatch.Orders, sent time.Time) {
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
	w.refused[r.Task] = max(w.refused[r.Task], r.Run)
	if run, ok := w.running[r.Task]; ok && run.run.Run <= r.Run && run.stopping.IsZero() {
		run.stopping = time.Now().Add(stepStopTime)
	}
}

// start begins a run, unless it is repeated, overtaken by its stop, or for a task
// that still runs.
func (w *StepWorker) start(s dispatch.StartOrder) {
	_, runs := w.running[s.Task]
	if runs || s.Run.Run <= w.refused[s.Task] {
		return
	}
	r := &stepRun{run: s.Run, begun: time.Now(), length: stepDefaultRun}
	var spec stepSpecification
	if err := json.Unmarshal([]byte(s.Specification), &spec); err == nil {
		r.fail = spec.Fail
		if spec.RunMS > 0 {
			r.length = time.Duration(spec.RunMS) * time.Millisecond
		}
	}
	w.running[s.Task] = r
	w.log.Debug().Str("task", s.Task.String()).Int("run", s.Run.Run).Msg("task starts")
}

// leave says goodbye, so that the leader need not wait for the lease.
func (w *StepWorker) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stepAnswerLimit)
	defer cancel()
	entry := w.cfg.Entries[w.nextEntry%len(w.cfg.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+entry+"/v1/step-workers/"+w.cfg.Instance, nil)
	if err != nil {
		w.log.Warn().Err(err).Msg("goodbye was not sent")
		return
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.log.Warn().Err(err).Msg("goodbye was not answered, the lease runs out by itself")
		return
	}
	_ = resp.Body.Close() // the answer has no body
}
