package intake

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// place returns a queue of the host h.
func place(name, prefix, pool string) workload.Queue {
	return workload.Queue{Name: name, Host: "h", PathPrefix: prefix, Pool: pool, MaxAttempts: 3}
}

// applyNames puts a configuration in force in which two teams hold the keys ka and kb.
func applyNames(log *fakeLog, version int64, teamOfA, teamOfB string, queues ...workload.Queue) {
	applyTeams(log, version, map[string]workload.Team{teamOfA: {Name: teamOfA, Keys: []string{"ka"}}, teamOfB: {Name: teamOfB, Keys: []string{"kb"}}}, queues...)
}

// applyTeams puts a configuration with these teams and queues in force.
func applyTeams(log *fakeLog, version int64, teams map[string]workload.Team, queues ...workload.Queue) {
	c := &workload.Config{
		Version: version, Queues: map[string]workload.Queue{}, Pools: map[string]workload.Pool{"p": {Name: "p"}, "p2": {Name: "p2"}}, Teams: teams,
	}
	for _, q := range queues {
		c.Queues[q.Name] = q
	}
	log.state.Workload.Apply(&workload.Command{Configure: c}, 1)
}

// Guards against an accepted job that its caller is told does not exist, can't cancel or is refused when
// it repeats it, since the operator has given its queue or team another name.
func TestCallersFindTheirJobsAfterARename(t *testing.T) {
	here, there := place("q", "/q/", "p"), place("r", "/r/", "p2")
	cases := map[string]func(log *fakeLog){
		"queue has another name": func(log *fakeLog) { applyNames(log, 2, "a", "b", place("new", "/q/", "p"), there) },
		"queues exchange names":  func(log *fakeLog) { applyNames(log, 2, "a", "b", place("r", "/q/", "p"), place("q", "/r/", "p2")) },
		"queue was away": func(log *fakeLog) {
			applyNames(log, 2, "a", "b", there)
			applyNames(log, 3, "a", "b", place("back", "/q/", "p"), there)
		},
		"name is of another here": func(log *fakeLog) { applyNames(log, 2, "a", "b", place("q", "/x/", "p2"), place("new", "/q/", "p")) },
		"team has another name":   func(log *fakeLog) { applyNames(log, 2, "new", "b", here, there) },
		"queue becomes open": func(log *fakeLog) {
			open := place("q", "/q/", "p")
			open.Open = true
			applyNames(log, 2, "a", "b", open, there)
		},
		"teams exchange names": func(log *fakeLog) { applyNames(log, 2, "b", "a", here, there) },
		"team's key was away": func(log *fakeLog) {
			applyTeams(log, 2, map[string]workload.Team{"a": {Name: "a"}, "b": {Name: "b", Keys: []string{"kb"}}}, here, there)
			applyNames(log, 3, "new", "b", here, there)
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			s, log := newServer()
			applyNames(log, 1, "a", "b", here, there)
			require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict)
			change(log)
			require.Equal(t, workload.JobQueued, call(t, s, wire.JobStatus, "/q/"+jobID, "ka").State)
			require.Equal(t, 1, call(t, s, wire.JobWaiting, "/q/", "ka").Waiting)
			require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict, "the submission is repeated")
			if name != "queue becomes open" {
				require.Equal(t, wire.VerdictNoJob, call(t, s, wire.JobStatus, "/q/"+jobID, "kb").Verdict, "another team asks")
			}
			require.NotEqual(t, wire.VerdictOK, call(t, s, wire.JobCancel, "/r/"+jobID, "ka").Verdict, "another queue is asked")
			require.Equal(t, "p", log.state.Workload.PoolOf(log.state.Workload.Jobs[jobID]))
			require.Equal(t, workload.JobCancelled, call(t, s, wire.JobCancel, "/q/"+jobID, "ka").State)
			require.Equal(t, workload.JobCancelled, log.state.Workload.Jobs[jobID].State)
		})
	}
}

// Guards against a job of a caller without a key that nobody can ask for once its queue needs one.
func TestJobsOfAnOpenQueueAreFoundOnceItNeedsAKey(t *testing.T) {
	s, log := newServer()
	open := place("q", "/q/", "p")
	open.Open = true
	applyNames(log, 1, "a", "b", open)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "").Verdict)
	applyNames(log, 2, "a", "b", place("q", "/q/", "p"))
	require.Equal(t, wire.VerdictBadKey, call(t, s, wire.JobStatus, "/q/"+jobID, "").Verdict)
	require.Equal(t, workload.JobQueued, call(t, s, wire.JobStatus, "/q/"+jobID, "ka").State)
	require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict, "the submission is repeated")
	require.Equal(t, workload.JobCancelled, call(t, s, wire.JobCancel, "/q/"+jobID, "ka").State)
}

// Guards against a call that is judged by one configuration and carried out under the next, in which the
// names of its queue and team are those of others.
func TestCallsAreCarriedOutUnderTheConfigurationThatTheyWereJudgedBy(t *testing.T) {
	exchange := func(log *fakeLog) {
		applyNames(log, 2, "b", "a", place("r", "/q/", "p"), place("q", "/r/", "p2"))
	}
	for name, op := range map[string]wire.JobOp{"submit": wire.JobSubmit, "status": wire.JobStatus, "cancel": wire.JobCancel} {
		t.Run(name, func(t *testing.T) {
			s, log := newServer()
			applyNames(log, 1, "a", "b", place("q", "/q/", "p"), place("r", "/r/", "p2"))
			if op != wire.JobSubmit {
				require.Equal(t, wire.VerdictOK, call(t, s, wire.JobSubmit, "/q/"+jobID, "ka").Verdict)
			}
			log.afterRead = func() { exchange(log) }
			require.Equal(t, wire.VerdictOK, call(t, s, op, "/q/"+jobID, "ka").Verdict)
			st := log.state.Workload
			j := st.Jobs[jobID]
			require.Equal(t, "p", st.PoolOf(j))
			require.Equal(t, "r", st.QueueName(j))
			require.Equal(t, "b", j.Team, "the team that holds ka now")
		})
	}
}
