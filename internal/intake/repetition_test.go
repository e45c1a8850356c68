package intake

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

const cancelledID = "00000000000000cc"

// newRepetitionServer returns a server on whose state the given change comes after two calls, at 1000 ms:
// the submission of jobID, and the cancelling of the job cancelledID.
func newRepetitionServer(t *testing.T, change func(*fakeLog)) (*Server, *fakeLog) {
	t.Helper()
	s, log := newServer()
	applyConfig(log, 1, queue)
	log.now = 1000
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+cancelledID, "ka").Verdict)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobCancel, "/q/"+cancelledID, "ka").Verdict)
	log.now = 1500
	change(log)
	return s, log
}

func withoutKey(log *fakeLog) {
	c := log.state.Workload.Config
	c.Version++
	c.Teams = map[string]workload.Team{"b": {Name: "b", Keys: []string{"kb"}}}
	log.state.Workload.Apply(&workload.Command{Configure: &c}, 1500)
}

// changesBetweenAttempts are changes after which a first attempt at a call would be refused.
var changesBetweenAttempts = map[string]func(*fakeLog){
	"key is withdrawn": withoutKey,
	"key is another team's": func(log *fakeLog) {
		c := log.state.Workload.Config
		c.Version++
		c.Teams = map[string]workload.Team{"b": {Name: "b", Keys: []string{"ka"}}}
		log.state.Workload.Apply(&workload.Command{Configure: &c}, 1500)
	},
	"queue is removed": func(log *fakeLog) { applyConfig(log, 2) },
	"path is another queue": func(log *fakeLog) {
		applyConfig(log, 2, workload.Queue{Name: "r", Host: "h", PathPrefix: "/q/", Pool: "p"})
	},
	"bounds of jobs are met": fillTasks,
}

// Guards against a job that is refused and runs: the answer to a repetition, by a state in which the
// key, the queue or the room is gone, was taken for that of the first attempt.
func TestRepetitionsOfCarriedOutCallsAreNotRefused(t *testing.T) {
	for name, change := range changesBetweenAttempts {
		t.Run(name, func(t *testing.T) {
			s, _ := newRepetitionServer(t, change)
			submit := wire.JobCall{Op: wire.JobSubmit, Host: "h", Path: "/q/" + jobID, Key: "ka", RepeatedAfterMS: 600, Content: &workload.Submit{Steps: []workload.Step{{Count: 1}}}}
			reply, err := s.answerAsLeader(context.Background(), submit)
			require.NoError(t, err)
			require.Equal(t, wire.VerdictOK, reply.Verdict, "submission")
			cancel := wire.JobCall{Op: wire.JobCancel, Host: "h", Path: "/q/" + cancelledID, Key: "ka", RepeatedAfterMS: 600}
			reply, err = s.answerAsLeader(context.Background(), cancel)
			require.NoError(t, err)
			require.Equal(t, wire.VerdictOK, reply.Verdict, "cancel")
		})
	}
}

// The outcome of a call that isn't carried out yet stays open, since its first attempt may be on its
// way; only what holds for all attempts is refused. A call with a key that had gone before its first
// attempt does not get the answer of an earlier call.
func TestRepetitionsAreRefusedOnlyForGood(t *testing.T) {
	s, log := newRepetitionServer(t, withoutKey)
	content := &workload.Submit{Steps: []workload.Step{{Count: 1}}}
	verdict := func(c wire.JobCall) wire.JobVerdict {
		c.Host, c.RepeatedAfterMS = "h", max(c.RepeatedAfterMS, 600)
		reply, err := s.answerAsLeader(context.Background(), c)
		require.NoError(t, err)
		return reply.Verdict
	}
	other := "/q/00000000000000aa"
	require.Equal(t, wire.VerdictUnresolved, verdict(wire.JobCall{Op: wire.JobSubmit, Path: other, Key: "ka", Content: content}))
	require.Equal(t, wire.VerdictUnresolved, verdict(wire.JobCall{Op: wire.JobCancel, Path: "/q/" + jobID, Key: "kb"}), "another team's job")
	require.Equal(t, wire.VerdictNoJob, verdict(wire.JobCall{Op: wire.JobCancel, Path: other, Key: "kb"}))
	require.Equal(t, wire.VerdictInvalid, verdict(wire.JobCall{Op: wire.JobSubmit, Path: other, Key: "kb", Invalid: "cut short"}))
	require.Equal(t, wire.VerdictConflict, verdict(wire.JobCall{Op: wire.JobSubmit, Path: "/q/" + jobID, Key: "kb", Content: &workload.Submit{Steps: []workload.Step{{Count: 2}}}}))
	require.Equal(t, wire.VerdictBadKey, verdict(wire.JobCall{Op: wire.JobStatus, Path: "/q/" + jobID, Key: "ka"}), "a reading has no effect")
	log.now = 5000
	require.Equal(t, wire.VerdictUnresolved, verdict(wire.JobCall{Op: wire.JobSubmit, Path: "/q/" + jobID, Key: "ka", Content: content}), "the call came after the key had gone")
}

// Guards against an entry that repeats a call without saying so, and against one that passes on an open
// outcome as a refusal.
func TestEntriesMarkRepetitions(t *testing.T) {
	creds := wire.Credentials{Instance: "entry", Secret: []byte("secret of the fleet")}
	var calls, marked atomic.Int64
	answer := func(ctx context.Context, req wire.Request) (any, error) {
		if req.Type == wire.TypeLeader {
			return wire.LeaderInfo{Term: 1}, nil
		}
		var c wire.JobCall
		if err := req.Decode(&c); err != nil {
			return nil, err
		}
		if c.RepeatedAfterMS > 0 {
			marked.Add(1)
			return wire.JobCallReply{Verdict: wire.VerdictUnresolved}, nil
		}
		switch calls.Add(1) {
		case 1:
			return nil, &wire.ErrorBody{Code: wire.CodeUncertain}
		case 2:
			<-ctx.Done() // the answer is lost
			return nil, ctx.Err()
		}
		return wire.JobCallReply{Verdict: wire.VerdictBadKey}, nil
	}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, err := wire.Accept(w, r, creds, answer); err == nil {
			<-conn.Done()
		}
	}))
	t.Cleanup(srv.Close)
	pool := wire.NewPool(creds, wire.Mux{}.Handle)
	t.Cleanup(pool.Close)
	c := NewClient(pool, func() []string { return []string{strings.TrimPrefix(srv.URL, "http://")} }, zerolog.Nop())
	go func() { _ = c.Run(t.Context()) }()
	require.Eventually(t, c.Ready, 10*time.Second, time.Millisecond)
	for range 2 {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		_, err := c.Call(ctx, wire.JobCall{Op: wire.JobSubmit, Content: &workload.Submit{}})
		cancel()
		require.ErrorIs(t, err, ErrMayHaveRun)
	}
	require.EqualValues(t, 2, marked.Load())
}
