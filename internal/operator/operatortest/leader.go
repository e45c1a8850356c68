// Package operatortest provides a fake leader of the replicated log, with a simplified
// model of its state, for tests of the operator API and its clients.
package operatortest

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Credentials are the credentials of the fake leader. Its peers must use the same shared
// secret.
var Credentials = wire.Credentials{Instance: "test", Secret: []byte("shared secret of the test fleet")}

// Leader is a fake leader that listens on a loopback address. It is safe for concurrent
// use.
type Leader struct {
	srv *httptest.Server

	mu                sync.Mutex
	closed            bool
	conns             []*wire.Conn
	config            fleet.Config
	results           map[string]storedResult
	audit             []fleet.AuditRecord
	status            map[string]fleet.InstanceStatus
	plans             map[string]fleet.MaintenancePlan
	members           []wire.MemberInfo
	tasks             map[string]int
	repliesToDrop     int
	dropAll           bool
	repliesNotInForce int
	stalled           wire.StalledReply
	where             wire.WhereReply
	whereErr          *wire.ErrorBody
	accepted          int
}

// storedResult is the stored first result of a request identifier. content is the change in
// JSON, by which another change with the same identifier is detected.
type storedResult struct {
	content string
	result  fleet.Result
}

// NewLeader starts a fake leader with an empty configuration. The caller must close it.
func NewLeader() *Leader {
	l := &Leader{
		config:  fleet.NewState().Config,
		results: map[string]storedResult{},
		status:  map[string]fleet.InstanceStatus{},
		plans:   map[string]fleet.MaintenancePlan{},
		tasks:   map[string]int{},
		members: []wire.MemberInfo{{ID: 1, Instance: "dc1-s1", DataCentre: "dc1", Address: "127.0.0.1:7001", Match: 40}},
	}
	mux := wire.Mux{wire.TypePropose: l.handlePropose, wire.TypeStatus: l.handleStatus, wire.TypeMembership: l.handleMembership,
		wire.TypeStalled: l.handleStalled, wire.TypeWhere: l.handleWhere}
	l.srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := wire.Accept(w, r, Credentials, mux.Handle)
		if err != nil {
			return
		}
		if !l.track(conn) {
			conn.Close()
			return
		}
		<-conn.Done()
	}))
	return l
}

// Address returns the peer address of the fake leader, as host:port.
func (l *Leader) Address() string { return strings.TrimPrefix(l.srv.URL, "http://") }

// Close closes the listener and all connections.
func (l *Leader) Close() {
	l.withLock(func() { l.closed = true })
	l.closeConns()
	l.srv.Close()
}

// track registers a connection that Close must close, since the HTTP server does not
// close upgraded connections. It returns false if the fake leader is already closed.
func (l *Leader) track(conn *wire.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns = append(l.conns, conn)
	return true
}

// DropReplies makes the fake leader process the next n proposals, repeated ones included,
// but close all connections instead of replying.
func (l *Leader) DropReplies(n int) { l.withLock(func() { l.repliesToDrop = n }) }

// DropAllReplies is like DropReplies for all further proposals.
func (l *Leader) DropAllReplies() { l.withLock(func() { l.dropAll = true }) }

// DelayInForce makes the next n replies to changes report that the change is not yet in
// force.
func (l *Leader) DelayInForce(n int) { l.withLock(func() { l.repliesNotInForce = n }) }

// SetStalled sets the reply to a query of stalled work, which is filtered by queue and
// reason.
func (l *Leader) SetStalled(reply wire.StalledReply) { l.withLock(func() { l.stalled = reply }) }

func (l *Leader) handleStalled(_ context.Context, req wire.Request) (any, error) {
	var msg wire.StalledRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := wire.StalledReply{NowMS: l.stalled.NowMS}
	for _, s := range l.stalled.Stalls {
		if (msg.Queue == "" || msg.Queue == s.Queue) && (msg.Reason == "" || msg.Reason == s.Reason) && (msg.AllTeams || msg.Team == s.Team) {
			reply.Stalls = append(reply.Stalls, s)
		}
	}
	return reply, nil
}

// SetWhere sets the reply to the question where a job would go or, unless refusal is nil, the
// error.
func (l *Leader) SetWhere(reply wire.WhereReply, refusal *wire.ErrorBody) {
	l.withLock(func() { l.where, l.whereErr = reply, refusal })
}

// handleWhere fills in the number of tasks and, as the pool, the queue of the request.
func (l *Leader) handleWhere(_ context.Context, req wire.Request) (any, error) {
	var msg wire.WhereRequest
	if err := req.Decode(&msg); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.whereErr != nil {
		return nil, l.whereErr
	}
	reply := l.where
	reply.Pool, reply.Tasks = msg.Job.Queue+"-"+msg.Job.Team, msg.Job.Steps[0].Count
	return reply, nil
}

// SetTasks sets the number of jobs assigned to a worker. Each status query then reduces
// it by one, until it is 0.
func (l *Leader) SetTasks(worker string, n int) { l.withLock(func() { l.tasks[worker] = n }) }

// Accepted returns the number of changes that were carried out. Repeated requests and
// refused changes do not count.
func (l *Leader) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Config returns the configuration. Its Keys map is a copy; the other maps are shared with
// the fake leader.
func (l *Leader) Config() fleet.Config {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.config
	c.Keys = maps.Clone(c.Keys)
	return c
}

func (l *Leader) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *Leader) closeConns() {
	l.mu.Lock()
	conns := l.conns
	l.conns = nil
	l.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

func (l *Leader) handlePropose(ctx context.Context, req wire.Request) (any, error) {
	var p wire.ProposeRequest
	if err := req.Decode(&p); err != nil {
		return nil, err
	}
	l.mu.Lock()
	reply := l.decide(*p.Command.Change)
	drop := l.dropAll || l.repliesToDrop > 0
	l.repliesToDrop = max(l.repliesToDrop-1, 0)
	l.mu.Unlock()
	if drop {
		// closeConns runs in its own goroutine because closing a connection waits for its
		// handlers, of which this is one.
		go l.closeConns()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, nil
}

func (l *Leader) decide(c fleet.ConfigChange) wire.ProposeReply {
	raw, _ := json.Marshal(c)
	a, known := l.results[c.RequestID]
	switch {
	case known && a.content != string(raw):
		return refusalReply(fleet.Refusal{Code: fleet.CodeRequestIDReused, Message: "the identifier belongs to another change"})
	case known:
		a.result.Resent = true
	default:
		a = storedResult{content: string(raw), result: l.apply(c)}
		l.results[c.RequestID] = a
	}
	reply := wire.ProposeReply{Result: a.result, InForce: a.result.Refusal == nil && l.repliesNotInForce == 0}
	l.repliesNotInForce = max(l.repliesNotInForce-1, 0)
	if reply.InForce {
		reply.InForceAt = 61_000
		l.audit[0].InForceAt = reply.InForceAt
	}
	return reply
}

func refusalReply(r fleet.Refusal) wire.ProposeReply {
	return wire.ProposeReply{Result: fleet.Result{Refusal: &r}}
}

func (l *Leader) apply(c fleet.ConfigChange) fleet.Result {
	if c.ExpectedRevision != l.config.Revision {
		return fleet.Result{Refusal: &fleet.Refusal{
			Code:            fleet.CodeRevisionConflict,
			Message:         "the configuration has changed",
			PresentRevision: l.config.Revision,
		}}
	}
	for _, it := range c.Items {
		if refused := l.checkItem(it); refused != nil {
			return fleet.Result{Refusal: refused}
		}
	}
	for _, it := range c.Items {
		l.applyItem(it)
	}
	record := fleet.AuditRecord{From: l.config.Revision, RequestID: c.RequestID, Operator: c.Operator, At: 60_000, WallUnixMS: 1_764_806_400_000}
	record.Summary = []string{"change"}
	l.config.Revision++
	record.Revision = l.config.Revision
	l.audit = append([]fleet.AuditRecord{record}, l.audit...)
	l.accepted++
	return fleet.Result{Revision: l.config.Revision}
}

// checkItem refuses an item that names an unknown data centre.
func (l *Leader) checkItem(it fleet.ChangeItem) *fleet.Refusal {
	if it.Evacuate == nil {
		return nil
	}
	if _, ok := l.config.DataCentres[it.Evacuate.DataCentre]; !ok {
		return &fleet.Refusal{Code: fleet.CodeNotFound, Message: "no such data centre"}
	}
	return nil
}

func (l *Leader) applyItem(it fleet.ChangeItem) {
	switch {
	case it.PutDataCentre != nil:
		l.config.DataCentres[it.PutDataCentre.Name] = *it.PutDataCentre
	case it.PutInstance != nil:
		l.config.Instances[it.PutInstance.Name] = *it.PutInstance
	case it.PutPool != nil:
		l.config.Pools[it.PutPool.Name] = *it.PutPool
	case it.PutTeam != nil:
		l.config.Teams[it.PutTeam.Name] = *it.PutTeam
	case it.PutQueue != nil:
		l.config.Queues[it.PutQueue.Name] = *it.PutQueue
	case it.PutService != nil:
		l.config.Services[it.PutService.Name] = *it.PutService
	case it.IssueKey != nil:
		l.config.Keys[it.IssueKey.ID] = *it.IssueKey
	case it.WithdrawKey != "":
		key := l.config.Keys[it.WithdrawKey]
		key.Withdrawn = true
		l.config.Keys[it.WithdrawKey] = key
	case it.Drain != nil:
		l.status[it.Drain.Instance] = drainStatus(*it.Drain)
	case it.StartPlan != nil:
		l.plans[it.StartPlan.Name] = *it.StartPlan
	case it.SetPlanState != nil:
		plan := l.plans[it.SetPlanState.Plan]
		plan.State = it.SetPlanState.State
		l.plans[it.SetPlanState.Plan] = plan
	case it.Evacuate != nil && it.Evacuate.End:
		delete(l.config.Evacuations, it.Evacuate.DataCentre)
	case it.Evacuate != nil:
		if l.config.Evacuations == nil {
			l.config.Evacuations = map[string]fleet.Evacuation{}
		}
		l.config.Evacuations[it.Evacuate.DataCentre] = fleet.Evacuation{DataCentre: it.Evacuate.DataCentre, Since: 60_000}
	}
}

func drainStatus(d fleet.DrainRequest) fleet.InstanceStatus {
	if d.Undo {
		return fleet.InstanceStatus{Phase: fleet.PhaseActive, Seen: true}
	}
	return fleet.InstanceStatus{Phase: fleet.PhaseDraining, PhaseSince: 60_000, Seen: true}
}

func (l *Leader) handleStatus(_ context.Context, req wire.Request) (any, error) {
	var q wire.StatusRequest
	if err := req.Decode(&q); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := wire.StatusReply{
		Leader:   "dc1-s1",
		Term:     3,
		Applied:  40,
		Members:  append([]wire.MemberInfo(nil), l.members...),
		Config:   copyConfig(l.config),
		Status:   maps.Clone(l.status),
		Plans:    maps.Clone(l.plans),
		Audit:    append([]fleet.AuditRecord(nil), l.audit[:min(len(l.audit), q.AuditLimit)]...),
		Entries:  []wire.EntryInfo{{Instance: "dc1-e1", DataCentre: "dc1", PeerAddress: "127.0.0.1:7101"}},
		Jobs:     map[fleet.JobState]int{fleet.JobQueued: 2, fleet.JobDone: 5},
		Usage:    map[string]int{"lisbon": 1},
		Now:      75_000,
		Revision: l.config.Revision,
		Tasks:    maps.Clone(l.tasks),
	}
	for worker, n := range l.tasks {
		l.tasks[worker] = max(n-1, 0)
	}
	return reply, nil
}

func copyConfig(c fleet.Config) *fleet.Config {
	c.DataCentres = maps.Clone(c.DataCentres)
	c.Instances = maps.Clone(c.Instances)
	c.Pools = maps.Clone(c.Pools)
	c.Teams = maps.Clone(c.Teams)
	c.Queues = maps.Clone(c.Queues)
	c.Services = maps.Clone(c.Services)
	c.Keys = maps.Clone(c.Keys)
	c.Evacuations = maps.Clone(c.Evacuations)
	return &c
}

func (l *Leader) handleMembership(_ context.Context, req wire.Request) (any, error) {
	var m wire.MembershipChange
	if err := req.Decode(&m); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Add != nil {
		l.members = append(l.members, *m.Add)
	}
	return struct{}{}, nil
}
