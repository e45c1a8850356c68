package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func whereReply() wire.WhereReply {
	return wire.WhereReply{
		Leader: "dc1-s1", Applied: 40, NowMS: 75_000, Starting: 3, ExpectedMedianMS: 820, ExpectedP90MS: 1400, ExpectedRuns: 57,
		Places:    []wire.WherePlace{{Worker: "w1", DataCentre: "dc1", Rack: "r1", Tasks: 2}, {Worker: "w2", DataCentre: "dc2", Rack: "r7", Tasks: 1}},
		AheadJobs: 2, AheadTasks: 9, Reason: stall.NoCapacity, Detail: "500 milli-cores and 256 MiB a task", StartsInMS: 640,
	}
}

// Operators and scripts read the answer, so any change of it must be deliberate. Guards against
// a job that is not the one of the flags, and against exit codes that differ from those of
// other queries.
func TestWhere(t *testing.T) {
	te := newTestEnv(t)
	refused := wire.WhereReply{Leader: "dc1-s1", NowMS: 1000, Reason: stall.TeamLimit, Detail: "team lisbon", StartsInMS: -1,
		Refusal: "too many jobs are under way", RetryAfterMS: 3000}
	file := filepath.Join(t.TempDir(), "job.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"steps": [{"count": 5, "size": {"cpu_milli": 500}}]}`), 0o600))
	flags := []string{"where", "-queue", "settle", "-team", "lisbon", "-cpu-milli", "500", "-memory-mib", "256", "-run-time", "800ms", "-count", "8"}
	g := goldie.New(t)
	te.fakeLeader.SetWhere(whereReply(), nil)
	g.Assert(t, "where", []byte(te.ok(t, flags...).stdout))
	out := te.ok(t, append(flags, "-o", "json")...).stdout
	g.Assert(t, "where_json", []byte(out))
	var reply wire.WhereReply
	require.NoError(t, json.Unmarshal([]byte(out), &reply))
	require.Equal(t, 8, reply.Tasks)
	te.fakeLeader.SetWhere(refused, nil)
	g.Assert(t, "where_refused", []byte(te.ok(t, "where", "-queue", "settle", "-f", file).stdout))

	require.Equal(t, ExitUsage, te.run(t, "where", "-cpu-milli", "500").exit)
	require.Equal(t, ExitUsage, te.run(t, "where", "-queue", "settle").exit)
	require.Equal(t, ExitUsage, te.run(t, append(flags, "-f", file)...).exit)
	require.Equal(t, ExitRefused, te.run(t, append([]string{"-token", "wrong"}, flags...)...).exit)
	te.fakeLeader.SetWhere(refused, &wire.ErrorBody{Code: wire.CodeBadMessage, Message: "there is no queue settle"})
	r := te.run(t, flags...)
	require.Equal(t, ExitRefused, r.exit)
	require.Contains(t, r.stderr, "there is no queue settle")
	te.fakeLeader.SetWhere(refused, &wire.ErrorBody{Code: wire.CodeBusy})
	r = te.run(t, append([]string{"-timeout", "1s"}, flags...)...)
	require.Equal(t, ExitUnavailable, r.exit)
	require.Contains(t, r.stderr, "busy: ")
	te.closeLeader(t)
	require.Equal(t, ExitUnavailable, te.run(t, append([]string{"-timeout", "1s"}, flags...)...).exit)
}
