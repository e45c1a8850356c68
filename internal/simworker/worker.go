package simworker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/history"
	"github.com/samphirefork/samphirefork/internal/settings"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workerlink"
)

const (
	announceInterval        = time.Second
	announceTimeout         = 800 * time.Millisecond
	retryInterval           = 50 * time.Millisecond
	leaseCheckInterval      = 50 * time.Millisecond
	maxTrackedAnnouncements = 32
)

// ErrAnnounceRefused is returned when an entry answers an announcement or a report with a
// status other than 200 OK.
var ErrAnnounceRefused = errors.New("simworker: announcement refused")

// Config holds the settings of a simulated worker.
type Config struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	// Listen is the address announced to the entries, and Entries are their addresses.
	Listen   string          `json:"listen"`
	Entries  []string        `json:"entries"`
	Capacity fleet.Resources `json:"capacity"`
	// History is the path of the event file. If it is empty, no events are recorded.
	History string `json:"history,omitempty"`
	// FailAll makes every task fail at the end of its run time.
	FailAll bool `json:"fail_all,omitempty"`
	// RebootTime is how long the worker is unavailable during a reboot.
	RebootTime settings.Duration `json:"reboot_time,omitempty"`
	// UsageLag is the delay between the start of a task and the first report of its usage.
	UsageLag settings.Duration `json:"usage_lag,omitempty"`
	// Steps, if set, makes this a worker for step jobs only.
	Steps *StepSettings `json:"steps,omitempty"`
}

// Worker is a simulated worker.
type Worker struct {
	cfg     Config
	log     zerolog.Logger
	history *history.Writer
	client  *http.Client
	wake    chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	incarnation string
	boots       int
	sequence    uint64
	// sent maps the sequence numbers of recent announcements to their send times.
	sent        map[uint64]time.Time
	entryLease  time.Time
	leaderLease time.Time
	tasks       map[string]*task
	// attempts maps a job identifier to the highest attempt seen in this incarnation.
	attempts    map[string]int
	draining    bool
	leaving     bool
	rebootUntil time.Time
	nextEntry   int
}

// New returns a worker that records its events to w. A nil w disables recording.
func New(cfg Config, w *history.Writer, log zerolog.Logger) *Worker {
	worker := &Worker{
		cfg:     cfg,
		log:     log,
		history: w,
		client:  &http.Client{Timeout: announceTimeout, Transport: &http.Transport{}},
		wake:    make(chan struct{}, 1),
	}
	worker.boot(time.Now())
	return worker
}

// boot starts a new incarnation without tasks. The caller holds w.mu or has the only
// reference to w.
func (w *Worker) boot(now time.Time) {
	w.boots++
	w.incarnation = fmt.Sprintf("%s-%d-%d", w.cfg.Instance, now.UnixNano(), w.boots)
	w.sequence = 0
	w.sent = map[uint64]time.Time{}
	w.entryLease = time.Time{}
	w.leaderLease = time.Time{}
	w.tasks = map[string]*task{}
	w.attempts = map[string]int{}
	w.draining = false
}

func (w *Worker) triggerAnnouncement() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Run announces the worker and enforces leases until ctx is cancelled. The worker then
// accepts no more tasks, and Run returns once all its tasks have ended and their reports
// have been acknowledged.
func (w *Worker) Run(ctx context.Context) {
	loop, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { w.announceLoop(loop) })
	loops.Go(func() { w.leaseLoop(loop) })
	<-ctx.Done()
	w.startLeaving()
	w.waitIdle()
	stop()
	loops.Wait()
	w.client.CloseIdleConnections()
}

func (w *Worker) startLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
	w.draining = true
	w.history.Record(history.Event{Kind: history.Leave})
	w.triggerAnnouncement()
}

func (w *Worker) waitIdle() {
	for {
		w.mu.Lock()
		idle := len(w.tasks) == 0
		w.mu.Unlock()
		if idle {
			return
		}
		time.Sleep(leaseCheckInterval)
	}
}

func (w *Worker) leaseLoop(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.enforceLeases(now)
			w.finishReboot(now)
		}
	}
}

func (w *Worker) announceLoop(ctx context.Context) {
	for {
		interval := announceInterval
		if !w.announce(ctx) {
			interval = retryInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// announce sends one announcement to the current entry and renews the leases. On failure
// it switches to the next entry and returns false.
func (w *Worker) announce(ctx context.Context) bool {
	a, entry, ok := w.nextAnnouncement(time.Now())
	if !ok {
		return true
	}
	reply, err := w.post(ctx, entry, a)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.nextEntry++
		return false
	}
	if a.Incarnation == w.incarnation {
		w.renew(a.Sequence, reply)
	}
	return true
}

func (w *Worker) nextAnnouncement(now time.Time) (workerlink.Announcement, string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.rebootUntil.IsZero() {
		return workerlink.Announcement{}, "", false
	}
	w.sequence++
	w.sent[w.sequence] = now
	delete(w.sent, w.sequence-maxTrackedAnnouncements)
	state := wire.WorkerState{
		Instance:    w.cfg.Instance,
		Incarnation: w.incarnation,
		Address:     w.cfg.Listen,
		DataCentre:  w.cfg.DataCentre,
		Rack:        w.cfg.Rack,
		Capacity:    w.cfg.Capacity,
		Leaving:     w.leaving,
		Tasks:       w.taskReports(now),
	}
	entry := w.cfg.Entries[w.nextEntry%len(w.cfg.Entries)]
	return workerlink.Announcement{WorkerState: state, Sequence: w.sequence}, entry, true
}

func (w *Worker) taskReports(now time.Time) []wire.TaskReport {
	reports := make([]wire.TaskReport, 0, len(w.tasks))
	for _, t := range w.tasks {
		reports = append(reports, wire.TaskReport{
			JobID:   t.key.JobID,
			Attempt: t.key.Attempt,
			State:   t.state,
			Usage:   w.usage(t, now),
			Result:  t.result,
			Reason:  t.reason,
		})
	}
	return reports
}

// renew extends the leases. A lease counts from the time at which the acknowledged
// announcement was sent, not from the arrival of the reply. The caller holds w.mu.
func (w *Worker) renew(sequence uint64, reply workerlink.AnnounceReply) {
	lease := time.Duration(reply.LeaseMS) * time.Millisecond
	if sent, ok := w.sent[sequence]; ok {
		w.entryLease = later(w.entryLease, sent.Add(lease))
	}
	if sent, ok := w.sent[reply.LeaderSequence]; ok {
		w.leaderLease = later(w.leaderLease, sent.Add(lease))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (w *Worker) post(ctx context.Context, entry string, a workerlink.Announcement) (workerlink.AnnounceReply, error) {
	var reply workerlink.AnnounceReply
	body, err := json.Marshal(a)
	if err != nil {
		return reply, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+workerlink.AnnouncePath, bytes.NewReader(body))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return reply, errors.Wrapf(ErrAnnounceRefused, "status %d", resp.StatusCode)
	}
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}
