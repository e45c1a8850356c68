package intake

import (
	"context"
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
}

func (l *fakeLog) Propose(_ context.Context, cmd fleet.Command) (fleet.Result, error) {
	if l.fail != nil {
		return fleet.Result{}, l.fail
	}
	return l.state.Apply(l.state.Applied+1, cmd), nil
}

func (l *fakeLog) Read(f func(*fleet.State))    { f(l.state) }
func (l *fakeLog) Leadership() fleet.Leadership { return fleet.Leadership{Leading: true} }
func (l *fakeLog) Changed() <-chan struct{}     { return nil }
func (l *fakeLog) Now() fleet.Time              { return 0 }

const jobID = "5c0e7a21d94b36f8"

func newServer() (*Server, *fakeLog) {
	log := &fakeLog{state: fleet.NewState()}
	return NewServer(log, func() {}, metrics.NewRegistry(), zerolog.Nop()), log
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
