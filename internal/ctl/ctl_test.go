package ctl

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/leader"
	"github.com/samphirefork/samphirefork/internal/operator"
	"github.com/samphirefork/samphirefork/internal/operator/operatortest"
	"github.com/samphirefork/samphirefork/internal/wire"
)

const (
	token = "token of the operators"
	small = "testdata/small"
)

// bench is an entry instance in front of a stand-in leader.
type bench struct {
	lead  *operatortest.Leader
	pool  *wire.Pool
	entry string
}

func newBench(t *testing.T) bench {
	t.Helper()
	lead := operatortest.NewLeader()
	t.Cleanup(lead.Close)
	pool := wire.NewPool(operatortest.Credentials, nil)
	t.Cleanup(pool.Close)
	opts := operator.Options{Token: token, KeySecret: operatortest.Credentials.Secret, Timeout: 200 * time.Millisecond}
	path, h := operator.NewHandler(leader.NewClient(pool, []string{lead.Address()}), opts)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return bench{lead: lead, pool: pool, entry: strings.TrimPrefix(srv.URL, "http://")}
}

// result is what one run of the command line leaves behind.
type result struct {
	exit           int
	stdout, stderr string
}

func (b bench) run(t *testing.T, args ...string) result {
	t.Helper()
	vars := map[string]string{EnvEntry: b.entry, EnvToken: token, EnvOperator: "ana"}
	var out, errs bytes.Buffer
	env := Env{
		Stdout: &out,
		Stderr: &errs,
		Getenv: func(name string) string { return vars[name] },
		NewID:  func() string { return "0123456789abcdef" },
	}
	exit := Run(t.Context(), args, env)
	return result{exit: exit, stdout: out.String(), stderr: errs.String()}
}

func (b bench) ok(t *testing.T, args ...string) result {
	t.Helper()
	r := b.run(t, args...)
	require.Equal(t, ExitOK, r.exit, "%v: %s", args, r.stderr)
	return r
}

// Guards against unnoticed changes of output that scripts and people read.
func TestOutput(t *testing.T) {
	b := newBench(t)
	steps := []struct {
		golden string
		args   []string
		exit   int
	}{
		{"help", []string{"-h"}, ExitOK},
		{"help_apply", []string{"apply", "-h"}, ExitOK},
		{"help_member", []string{"member", "-h"}, ExitOK},
		{"validate", []string{"validate", "-f", small}, ExitOK},
		{"validate_faults", []string{"validate", "-f", "testdata/faults"}, ExitRefused},
		{"plan", []string{"plan", "-f", small}, ExitOK},
		{"plan_json", []string{"-o", "json", "plan", "-f", small}, ExitOK},
		{"apply", []string{"apply", "-f", small}, ExitOK},
		{"apply_again", []string{"apply", "-f", small}, ExitOK},
		{"drain_backend", []string{"drain", "dc1-b1"}, ExitOK},
		{"maintenance_start", []string{"maintenance", "start", "-plan", "march", "-pool", "general"}, ExitOK},
		{"maintenance_pause", []string{"maintenance", "pause", "march"}, ExitOK},
		{"maintenance_status", []string{"maintenance", "status", "march"}, ExitOK},
		{"maintenance_unknown", []string{"maintenance", "status", "april"}, ExitRefused},
		{"member_add", []string{"member", "add", "-id", "4", "-instance", "dc2-s1", "-data-centre", "dc2", "-address", "127.0.0.1:7002"}, ExitOK},
		{"member_bad", []string{"member", "add", "-id", "4", "-instance", "dc2-s1", "-data-centre", "dc2", "-address", "dc2-s1:7002"}, ExitRefused},
		{"lost", []string{"lost", "dc1-w1"}, ExitOK},
		{"status", []string{"status"}, ExitOK},
		{"status_json", []string{"status", "-o", "json"}, ExitOK},
		{"audit", []string{"audit", "-limit", "3"}, ExitOK},
		{"audit_bad_limit", []string{"audit", "-limit", "1001"}, ExitRefused},
	}
	g := goldie.New(t)
	for _, s := range steps {
		r := b.run(t, s.args...)
		require.Equal(t, s.exit, r.exit, "%v: %s", s.args, r.stderr)
		g.Assert(t, s.golden, []byte("--- stdout\n"+r.stdout+"--- stderr\n"+r.stderr))
	}
}

// Guards against wrong usage that is taken for a failed command, or that
// reaches the fleet.
func TestUsageErrors(t *testing.T) {
	b := newBench(t)
	for _, args := range [][]string{
		{},
		{"bogus"},
		{"member"},
		{"apply", "-x"},
		{"apply"},
		{"apply", "-f", small, "extra"},
		{"status", "-o", "xml"},
		{"status", "-timeout", "0s"},
		{"status", "-entry", "localhost:80"},
		{"drain"},
		{"drain", "-revision", "-2", "dc1-w1"},
		{"member", "promote", "0"},
		{"maintenance", "start", "-plan", "p"},
		{"job", "submit"},
	} {
		require.Equal(t, ExitUsage, b.run(t, args...).exit, "%v", args)
	}
	require.Zero(t, b.lead.Accepted())
}

// Guards against a lost reply that ends the command, or that makes the change twice.
func TestApplyResendsUntilInForce(t *testing.T) {
	b := newBench(t)
	b.lead.DropReplies(3)
	b.lead.DelayInForce(5)
	r := b.ok(t, "apply", "-f", small)
	require.Contains(t, r.stderr, "accepted as revision 1, waiting until it is in force")
	require.Contains(t, r.stdout, "revision 1 in force")
	require.Equal(t, 1, b.lead.Accepted())
}

// closeLeader ends the leader and waits until the entry has noticed: a request that
// is written to a connection whose end is not noticed yet may have been taken.
func (b bench) closeLeader(t *testing.T) {
	t.Helper()
	b.lead.Close()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := b.pool.Get(ctx, b.lead.Address())
		return err != nil
	}, 10*time.Second, time.Millisecond)
}

// Guards against exit codes that tell the caller of a script the wrong thing
// about a change.
func TestExitCodesOfFailures(t *testing.T) {
	b := newBench(t)
	b.ok(t, "apply", "-f", small)
	r := b.run(t, "drain", "-revision", "0", "dc1-w1")
	require.Equal(t, ExitConflict, r.exit)
	require.Contains(t, r.stderr, "present revision 1")

	r = b.run(t, "-token", "wrong", "status")
	require.Equal(t, ExitRefused, r.exit)

	b.lead.DropAllReplies()
	r = b.run(t, "-timeout", "2s", "drain", "dc1-w1")
	require.Equal(t, ExitMayHaveRun, r.exit)
	require.Contains(t, r.stderr, "repeat the command with -request-id drain-1-")
	require.Equal(t, 2, b.lead.Accepted())

	b.closeLeader(t)
	r = b.run(t, "-timeout", "2s", "drain", "-revision", "2", "dc1-w1")
	require.Equal(t, ExitUnavailable, r.exit, r.stderr)

	b.entry = closedAddress(t)
	r = b.run(t, "-timeout", "300ms", "drain", "-revision", "2", "dc1-w1")
	require.Equal(t, ExitUnavailable, r.exit)
}

func closedAddress(t *testing.T) string {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	return strings.TrimPrefix(srv.URL, "http://")
}

// Guards against a change that is reported as done before it is in force.
func TestAcceptedButNotInForceIsUnknown(t *testing.T) {
	b := newBench(t)
	b.lead.DelayInForce(1 << 20)
	r := b.run(t, "-timeout", "1s", "apply", "-f", small)
	require.Equal(t, ExitMayHaveRun, r.exit)
	require.Contains(t, r.stderr, "accepted as revision 1, not yet known to be in force")
}

// Guards against a refusal by one entry instance that is taken as the outcome
// of an attempt at another one, whose reply was lost.
func TestRefusalByEntryAfterLostReplyIsUnknown(t *testing.T) {
	b := newBench(t)
	b.lead.DropAllReplies()
	stranger := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(stranger.Close)
	b.entry += "," + strings.TrimPrefix(stranger.URL, "http://")
	r := b.run(t, "-timeout", "10s", "drain", "-revision", "0", "dc1-w1")
	require.Equal(t, ExitMayHaveRun, r.exit, r.stderr)
	require.Equal(t, 1, b.lead.Accepted())
}

// Guards against an entry instance that is down and hides those that work.
func TestEntriesAreTriedInTurn(t *testing.T) {
	b := newBench(t)
	b.entry = closedAddress(t) + "," + b.entry
	b.ok(t, "apply", "-f", small)
	require.Equal(t, 1, b.lead.Accepted())
}

// Guards against a drain that ends while tasks are still on the worker.
func TestDrainWaitsForTasks(t *testing.T) {
	b := newBench(t)
	b.ok(t, "apply", "-f", small)
	b.lead.SetTasks("dc1-w1", 3)
	r := b.ok(t, "drain", "dc1-w1")
	// The query for the present revision takes the first of the three tasks.
	require.Contains(t, r.stderr, "dc1-w1: draining, 2 tasks left\ndc1-w1: draining, 1 tasks left\ndc1-w1: drained\n")
	r = b.ok(t, "drain", "-undo", "dc1-w1")
	require.NotContains(t, r.stderr, "drained")
}

// Guards against a repeated key issue that yields another key, and against a
// withdrawal of the wrong key.
func TestKeyIssueAndWithdraw(t *testing.T) {
	b := newBench(t)
	first := b.ok(t, "key", "issue", "north")
	again := b.ok(t, "key", "issue", "-request-id", "key-0123456789abcdef", "-revision", "0", "north")
	require.Equal(t, first.stdout, again.stdout)
	id, _, found := strings.Cut(first.stdout, ".")
	require.True(t, found)
	b.ok(t, "key", "withdraw", id)
	require.True(t, b.lead.Config().Keys[id].Withdrawn)
	require.Equal(t, 2, b.lead.Accepted())
}

// Guards against a damaged document that passes the inspection.
func TestSnapshotSaveAndInspect(t *testing.T) {
	b := newBench(t)
	b.ok(t, "apply", "-f", small)
	file := filepath.Join(t.TempDir(), "fleet.json")
	b.ok(t, "snapshot", "save", file)
	r := b.ok(t, "snapshot", "inspect", file)
	require.Contains(t, r.stdout, "revision 1, term 3, applied 40")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, data[:len(data)/2], 0o600))
	require.Equal(t, ExitRefused, b.run(t, "snapshot", "inspect", file).exit)
}

// Guards against an exit code of a job command that contradicts the verdict,
// and against a resend under another identifier.
func TestJobVerdicts(t *testing.T) {
	const record = `{"id":"ctl-0123456789abcdef","team":"north","queue":"watch","state":"queued"}`
	cases := map[string]struct {
		status int
		body   string
		exit   int
	}{
		"accepted":        {http.StatusAccepted, record, ExitOK},
		"refused":         {http.StatusForbidden, `{"verdict":"not_run","code":"key_withdrawn","message":"m"}`, ExitRefused},
		"reused":          {http.StatusConflict, `{"verdict":"not_run","code":"request_id_reused","message":"m"}`, ExitConflict},
		"no quorum":       {http.StatusServiceUnavailable, `{"verdict":"not_run","code":"no_quorum","message":"m"}`, ExitUnavailable},
		"may have run":    {http.StatusGatewayTimeout, `{"verdict":"may_have_run","code":"timeout","message":"m"}`, ExitMayHaveRun},
		"without verdict": {http.StatusBadGateway, "<html>", ExitMayHaveRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(api.HeaderRequestID) != "ctl-0123456789abcdef" || r.Header.Get(api.HeaderKey) != "id.secret" {
					w.WriteHeader(http.StatusTeapot)
					return
				}
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			t.Cleanup(srv.Close)
			b := bench{entry: strings.TrimPrefix(srv.URL, "http://")}
			r := b.run(t, "-timeout", "300ms", "job", "submit", "-queue", "watch", "-key", "id.secret")
			require.Equal(t, c.exit, r.exit, r.stderr)
		})
	}
}
