package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

var errTooLarge = errors.New("command is too large")

// fakeLog is a log that applies each command at once, with a manual clock.
type fakeLog struct {
	mu         sync.Mutex
	state      *fleet.State
	now        fleet.Time
	leadership fleet.Leadership
	changed    chan struct{}
	commands   []fleet.Command
	// failNext is the number of proposals that fail next, with errTooLarge.
	failNext int
	// beforeApply, if set, is called with each command before it is applied.
	beforeApply func(fleet.Command)
}

func (l *fakeLog) Propose(_ context.Context, cmd fleet.Command) (fleet.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leadership.Leading {
		return fleet.Result{}, fleet.ErrNotLeader
	}
	if l.failNext > 0 {
		l.failNext--
		return fleet.Result{}, errTooLarge
	}
	if l.beforeApply != nil {
		l.beforeApply(cmd)
	}
	l.commands = append(l.commands, cmd)
	cmd.Time = l.now
	res := l.state.Apply(l.state.Applied+1, cmd)
	close(l.changed)
	l.changed = make(chan struct{})
	return res, nil
}

// set calls change with the log locked.
func (l *fakeLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *fakeLog) Read(f func(*fleet.State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.state)
}

func (l *fakeLog) Leadership() fleet.Leadership {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leadership
}

func (l *fakeLog) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) Now() fleet.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// rig is a test rig: a controller on a fake log with simulated workers.
type rig struct {
	t       require.TestingT
	log     *fakeLog
	c       *Controller
	workers map[string]*wire.WorkerState
	// silent holds the workers that do not report.
	silent map[string]bool
	// orders holds all orders given so far.
	orders []wire.Order
	// lastID counts the job and request identifiers in use.
	lastID int
}

var capacity = fleet.Resources{CPUMilli: 4000, MemoryMiB: 8000}

// newRig returns a rig with pool p of n workers, two to a rack, team a with limit 100,
// and the queues normal, urgent and watch.
func newRig(t require.TestingT, n int, opts Options) *rig {
	r := &rig{
		t:       t,
		log:     &fakeLog{state: fleet.NewState(), now: 1000, leadership: fleet.Leadership{Term: 1, Leading: true}, changed: make(chan struct{})},
		workers: map[string]*wire.WorkerState{},
		silent:  map[string]bool{},
	}
	items := []fleet.ChangeItem{
		{PutDataCentre: &fleet.DataCentre{Name: "dc"}},
		{PutPool: &fleet.Pool{Name: "p", MaxUnavailable: 2}},
		{PutTeam: &fleet.Team{Name: "a", Share: 1, Limit: 100}},
		{IssueKey: &fleet.Key{ID: "ka", Team: "a", SecretSHA256: fmt.Sprintf("%064d", 1)}},
	}
	for _, class := range []fleet.JobClass{fleet.ClassNormal, fleet.ClassUrgent, fleet.ClassWatch} {
		q := fleet.Queue{Name: string(class), Pool: "p", Class: class, MaxQueuedPerTeam: 1000}
		if class == fleet.ClassWatch {
			q.OnPartition = fleet.PartitionKeep
		}
		items = append(items, fleet.ChangeItem{PutQueue: &q})
	}
	for i := range n {
		name := fmt.Sprintf("w%02d", i)
		in := fleet.Instance{Name: name, Pool: "p", DataCentre: "dc", Rack: fmt.Sprint("r", i/2), Kind: fleet.KindWorker}
		items = append(items, fleet.ChangeItem{PutInstance: &in})
		r.workers[name] = &wire.WorkerState{Instance: name, Incarnation: "1", Address: "x", Capacity: capacity}
	}
	r.change(items...)
	r.c = New(r.log, opts)
	return r
}

func (r *rig) change(items ...fleet.ChangeItem) {
	var rev fleet.Revision
	r.log.Read(func(s *fleet.State) { rev = s.Config.Revision })
	r.lastID++
	r.propose(fleet.Command{Change: &fleet.ConfigChange{
		RequestID: fmt.Sprint("c", r.lastID), Operator: "op", ExpectedRevision: rev, Items: items,
	}})
}

func (r *rig) propose(cmd fleet.Command) {
	res, err := r.log.Propose(context.Background(), cmd)
	require.NoError(r.t, err)
	require.Nil(r.t, res.Refusal)
}

func (r *rig) submit(queue string, cpu int64, idempotent bool) string {
	r.lastID++
	id := fmt.Sprintf("j%03d", r.lastID)
	r.propose(fleet.Command{Submit: &fleet.JobSubmit{ID: id, Team: "a", KeyID: "ka", Queue: queue, Spec: fleet.JobSpec{
		Size: fleet.Resources{CPUMilli: cpu, MemoryMiB: 100}, Idempotent: idempotent, Payload: []byte("x"),
	}}})
	return id
}

func (r *rig) job(id string) fleet.Job {
	var j fleet.Job
	r.log.Read(func(s *fleet.State) { j = *s.Jobs[id] })
	return j
}

// round simulates one second: the workers report, the controller makes two passes, and
// run is called for each order to a worker.
func (r *rig) round(run func(w *wire.WorkerState, o wire.Order)) {
	rep := wire.WorkerReport{Entry: "e"}
	for _, name := range sortedKeys(r.workers) {
		if !r.silent[name] {
			w := *r.workers[name]
			w.Tasks = append([]wire.TaskReport(nil), w.Tasks...)
			rep.Workers = append(rep.Workers, w)
		}
	}
	reply, err := r.c.Report(context.Background(), rep)
	require.NoError(r.t, err)
	r.carryOut(reply.Orders, run)
	for range 2 {
		r.advance(500 * time.Millisecond)
		require.NoError(r.t, r.c.Pass(context.Background()))
		more, err := r.c.Report(context.Background(), wire.WorkerReport{Entry: "e"})
		require.NoError(r.t, err)
		r.carryOut(more.Orders, run)
	}
}

func (r *rig) advance(d time.Duration) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	r.log.now = r.log.now.Add(d)
}

func (r *rig) carryOut(orders []wire.Order, run func(*wire.WorkerState, wire.Order)) {
	r.orders = append(r.orders, orders...)
	for _, o := range orders {
		w := r.workers[o.Worker]
		if !r.silent[o.Worker] && w.Incarnation == o.Incarnation {
			run(w, o)
		}
	}
}

// obey carries out an order as a worker does whose tasks run until they are ordered to
// end.
func obey(w *wire.WorkerState, o wire.Order) {
	i := -1
	for k, t := range w.Tasks {
		if t.JobID == o.Task.JobID && t.Attempt == o.Task.Attempt {
			i = k
		}
	}
	set := func(s wire.TaskState) {
		if i < 0 {
			w.Tasks = append(w.Tasks, wire.TaskReport{JobID: o.Task.JobID, Attempt: o.Task.Attempt})
			i = len(w.Tasks) - 1
		}
		w.Tasks[i].State = s
	}
	switch o.Kind {
	case wire.OrderStart:
		if i < 0 {
			set(wire.TaskRunning)
		}
	case wire.OrderStop:
		if i < 0 {
			set(wire.TaskNotStarted)
		} else {
			set(wire.TaskStopped)
		}
	case wire.OrderThrottle:
		set(wire.TaskThrottled)
	case wire.OrderUnthrottle:
		set(wire.TaskRunning)
	case wire.OrderCheckpoint:
		set(wire.TaskCheckpointed)
	case wire.OrderAck:
		if i >= 0 {
			w.Tasks = append(w.Tasks[:i], w.Tasks[i+1:]...)
		}
	case wire.OrderReboot:
		w.Incarnation += "+"
		w.Tasks = nil
	}
}
