package intake

import (
	"context"
	"fmt"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// fakeLog is a fleet.Log of one leading store that applies commands at once, or fails them
// with the error in fail.
type fakeLog struct {
	state *fleet.State
	fail  error
	// suspendedByRead makes the store lose its leadership at the next read, as a process
	// that is suspended there for some seconds.
	suspendedByRead bool
	deposed         bool
	// afterRead is called once after the next read.
	afterRead func()
	// now is the cluster time in milliseconds.
	now fleet.Time
}

func (l *fakeLog) Propose(_ context.Context, cmd fleet.Command) (fleet.Result, error) {
	if l.fail != nil {
		return fleet.Result{}, l.fail
	}
	cmd.Time = l.now
	return l.state.Apply(l.state.Applied+1, cmd), nil
}

func (l *fakeLog) Read(f func(*fleet.State)) {
	f(l.state)
	l.deposed = l.deposed || l.suspendedByRead
	if after := l.afterRead; after != nil {
		l.afterRead = nil
		after()
	}
}
func (l *fakeLog) Leadership() fleet.Leadership { return fleet.Leadership{Leading: !l.deposed} }
func (l *fakeLog) Changed() <-chan struct{}     { return nil }
func (l *fakeLog) Now() fleet.Time              { return l.now }

const jobID = "5c0e7a21d94b36f8"

func newServer() (*Server, *fakeLog) {
	log := &fakeLog{state: fleet.NewState()}
	return NewServer(log, func() {}, 0, metrics.NewRegistry(), zerolog.Nop()), log
}

func applyConfig(log *fakeLog, version int64, queues ...workload.Queue) {
	c := &workload.Config{
		Version: version, Queues: map[string]workload.Queue{}, Pools: map[string]workload.Pool{"p": {Name: "p"}},
		Teams: map[string]workload.Team{"a": {Name: "a", Keys: []string{"ka"}}, "b": {Name: "b", Keys: []string{"kb"}}},
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
	}
	log.state.Workload.Apply(&workload.Command{Configure: c}, 1)
}

// fillTasks fills the bound of tasks under way.
func fillTasks(log *fakeLog) {
	for i := range maxActiveTasks / workload.MaxTasks {
		job := workload.Submit{ID: fmt.Sprint(i), Queue: "q", Team: "a", Steps: []workload.Step{{Count: workload.MaxTasks}}}
		log.state.Workload.Apply(&workload.Command{Submit: &job}, 1)
	}
}

func call(t *testing.T, s *Server, op wire.JobOp, path, key string) wire.JobCallReply {
	t.Helper()
	c := wire.JobCall{Op: op, Host: "h", Path: path, Key: key}
	if op == wire.JobSubmit {
		c.Content = &workload.Submit{Steps: []workload.Step{{Count: 1}}}
	}
	reply, err := s.answer(context.Background(), c)
	require.NoError(t, err)
	return reply
}

var queue = workload.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p"}

// Guards against refusing a call for good before the first configuration, which may contain
// its queue.
func TestNoConfigurationIsNoAnswer(t *testing.T) {
	s, _ := newServer()
	require.Equal(t, wire.VerdictNoConfig, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict)
}

// Guards against answers by the queues and keys of an older configuration.
func TestCallsAreJudgedByTheNewestConfiguration(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobWaiting, "/q/", "ka").Verdict)
	require.Equal(t, wire.VerdictNoQueue, call(t, s, wire.JobWaiting, "/x/", "ka").Verdict)
	require.Equal(t, wire.VerdictBadKey, call(t, s, wire.JobWaiting, "/q/", "kx").Verdict)
	require.Equal(t, wire.VerdictBadKey, call(t, s, wire.JobWaiting, "/q/", "").Verdict)
	open := workload.Queue{Name: "x", Host: "h", PathPrefix: "/x/", Pool: "p", Open: true}
	longer := workload.Queue{Name: "l", Host: "h", PathPrefix: "/x/l/", Pool: "p"}
	applyConfig(log, 2, open, longer)
	require.Equal(t, wire.VerdictNoQueue, call(t, s, wire.JobWaiting, "/q/", "ka").Verdict)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobWaiting, "/x/", "").Verdict)
	require.Equal(t, wire.VerdictBadKey, call(t, s, wire.JobWaiting, "/x/l/", "").Verdict, "the longest prefix applies")
}

// Guards against a team that reads, replaces or cancels the jobs of another team.
func TestJobsBelongToTheirTeam(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	require.Equal(t, wire.VerdictNoJob, call(t, s, wire.JobStatus, "/q/"+jobID, "ka").Verdict)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict)
	require.Equal(t, workload.JobQueued, call(t, s, wire.JobStatus, "/q/"+jobID, "ka").State)
	require.Equal(t, 1, call(t, s, wire.JobWaiting, "/q/", "ka").Waiting)
	require.Equal(t, wire.VerdictNoJob, call(t, s, wire.JobCancel, "/q/"+jobID, "kb").Verdict)
	require.Equal(t, wire.VerdictConflict, call(t, s, wire.JobSubmit, "/q/"+jobID, "kb").Verdict)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobCancel, "/q/"+jobID, "ka").Verdict)
	require.Equal(t, workload.JobCancelled, call(t, s, wire.JobStatus, "/q/"+jobID, "ka").State)
}

// Guards against accepting invalid job identifiers and invalid bodies.
func TestBadCallsAreRefused(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	for _, id := range []string{"5c0e", jobID + "0", "5c0e7a21d94b36fg"} {
		require.Equal(t, wire.VerdictNoJob, call(t, s, wire.JobSubmit, "/q/"+id, "ka").Verdict)
	}
	reply, err := s.answer(context.Background(), wire.JobCall{Op: wire.JobSubmit, Host: "h", Path: "/q/" + jobID, Key: "ka", Invalid: "cut short"})
	require.NoError(t, err)
	require.Equal(t, wire.VerdictInvalid, reply.Verdict)
}

// Guards against the answer "not run" when the job may be stored.
func TestUncertainSubmissionIsNoRefusal(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	log.fail = fleet.ErrUncertain
	_, err := s.answer(context.Background(), wire.JobCall{Op: wire.JobSubmit, Host: "h", Path: "/q/" + jobID, Key: "ka", Content: &workload.Submit{Steps: []workload.Step{{Count: 1}}}})
	var body *wire.ErrorBody
	require.ErrorAs(t, s.asWireError(err), &body)
	require.Equal(t, wire.CodeUncertain, body.Code)
	require.False(t, notRun(&wire.ErrorBody{Code: wire.CodeUncertain}))
}

// Guards against a store that is suspended after it has checked that it leads: when it
// resumes, another one has accepted, cancelled and ended jobs and withdrawn keys, and its own
// state is old.
func TestSuspendedStoreGivesNoAnswerFromItsState(t *testing.T) {
	for _, op := range []wire.JobOp{wire.JobStatus, wire.JobWaiting, wire.JobCancel, wire.JobSubmit} {
		s, log := newServer()
		applyConfig(log, 1, queue)
		log.suspendedByRead = true
		c := wire.JobCall{Op: op, Host: "h", Path: "/q/" + jobID, Key: "ka"}
		if op == wire.JobWaiting {
			c.Path = "/q/"
		}
		if op == wire.JobSubmit {
			c.Key = "unknown"
		}
		_, err := s.answerAsLeader(context.Background(), c)
		require.ErrorIs(t, err, fleet.ErrNotLeader, op)
	}
}

// Guards against the answer "not accepted" to a repeated submission whose first attempt
// timed out and is still in the log, so that it may be committed afterwards.
func TestOverloadDoesNotRefuseAnUnresolvedSubmission(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	submit := wire.JobCall{Op: wire.JobSubmit, Host: "h", Path: "/q/" + jobID, Key: "ka", Content: &workload.Submit{Steps: []workload.Step{{Count: 1}}}}
	log.fail = fleet.ErrUncertain
	_, err := s.answerAsLeader(context.Background(), submit)
	require.ErrorIs(t, err, fleet.ErrUncertain)
	log.fail = nil
	fillTasks(log)
	_, err = s.answerAsLeader(context.Background(), submit)
	require.ErrorIs(t, err, fleet.ErrUncertain)
	submit.Path = "/q/" + jobID[1:] + "0"
	reply, err := s.answerAsLeader(context.Background(), submit)
	require.NoError(t, err)
	require.Equal(t, wire.VerdictOverloaded, reply.Verdict, "the tasks under way are bounded")
	require.Positive(t, reply.RetryAfterMS)
}

// Guards against the answer "not accepted" to one of two attempts at a time, of which the other
// was accepted before the bounds were reached and is committed while this one is judged.
func TestOverloadDoesNotRefuseAnAttemptBesideAnAcceptedOne(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	submit := wire.JobCall{Op: wire.JobSubmit, Queue: "q", Team: "a", Job: jobID, Content: &workload.Submit{Steps: []workload.Step{{Count: 1}}}}
	var second error
	// The first read finds the queue, and the second one decides.
	log.afterRead = func() {
		log.afterRead = func() {
			fillTasks(log)
			_, second = s.answerAsLeader(context.Background(), submit)
		}
	}
	first, err := s.answerAsLeader(context.Background(), submit)
	require.NoError(t, err)
	require.Equal(t, wire.VerdictOK, first.Verdict)
	require.ErrorIs(t, second, fleet.ErrUncertain)
}

// Guards against a submission of an entry that did not check it: applied, it would end the
// process of every store.
func TestContentIsCheckedBeforeItIsProposed(t *testing.T) {
	s, log := newServer()
	applyConfig(log, 1, queue)
	for _, step := range []workload.Step{{Count: -1}, {Count: 1, After: []int{0}}, {Count: 1, Size: workload.Resources{CPUMilli: -1}}} {
		reply, err := s.answerAsLeader(context.Background(), wire.JobCall{Op: wire.JobSubmit, Host: "h", Path: "/q/" + jobID, Key: "ka", Content: &workload.Submit{Steps: []workload.Step{step}}})
		require.NoError(t, err)
		require.Equal(t, wire.VerdictInvalid, reply.Verdict)
	}
	require.Empty(t, log.state.Workload.Jobs)
}
