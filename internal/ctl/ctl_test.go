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
	token      = "token of the operators"
	smallFleet = "testdata/small"
)

// testEnv is an operators' interface of an entry instance with a fake leader.
type testEnv struct {
	fakeLeader *operatortest.Leader
	pool       *wire.Pool
	entry      string
}

func newTestEnv(t *testing.T) testEnv {
	t.Helper()
	fakeLeader := operatortest.NewLeader()
	t.Cleanup(fakeLeader.Close)
	pool := wire.NewPool(operatortest.Credentials, nil)
	t.Cleanup(pool.Close)
	opts := operator.Options{Token: token, KeySecret: operatortest.Credentials.Secret, Timeout: 200 * time.Millisecond}
	path, h := operator.NewHandler(leader.NewClient(pool, []string{fakeLeader.Address()}), opts)
	mux := http.NewServeMux()
	mux.Handle(path, h)
	mux.Handle(api.PathOperatorStalled, operator.NewStalledHandler(leader.NewClient(pool, []string{fakeLeader.Address()}), opts))
	mux.Handle(api.PathOperatorWhere, operator.NewWhereHandler(leader.NewClient(pool, []string{fakeLeader.Address()}), opts))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	return testEnv{fakeLeader: fakeLeader, pool: pool, entry: strings.TrimPrefix(srv.URL, "http://")}
}

// result holds the exit code and the output of one run.
type result struct {
	exit           int
	stdout, stderr string
}

func (te testEnv) run(t *testing.T, args ...string) result {
	t.Helper()
	vars := map[string]string{EnvEntry: te.entry, EnvToken: token, EnvOperator: "ana"}
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

func (te testEnv) ok(t *testing.T, args ...string) result {
	t.Helper()
	r := te.run(t, args...)
	require.Equal(t, ExitOK, r.exit, "%v: %s", args, r.stderr)
	return r
}

// Scripts and operators read the output, so any change of it must be deliberate.
func TestOutput(t *testing.T) {
	te := newTestEnv(t)
	steps := []struct {
		golden string
		args   []string
		exit   int
	}{
		{"help", []string{"-h"}, ExitOK},
		{"help_apply", []string{"apply", "-h"}, ExitOK},
		{"help_member", []string{"member", "-h"}, ExitOK},
		{"validate", []string{"validate", "-f", smallFleet}, ExitOK},
		{"validate_faults", []string{"validate", "-f", "testdata/faults"}, ExitRefused},
		{"plan", []string{"plan", "-f", smallFleet}, ExitOK},
		{"plan_json", []string{"-o", "json", "plan", "-f", smallFleet}, ExitOK},
		{"apply", []string{"apply", "-f", smallFleet}, ExitOK},
		{"apply_again", []string{"apply", "-f", smallFleet}, ExitOK},
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
		{"help_evacuate", []string{"evacuate", "-h"}, ExitOK},
		{"evacuate_unknown", []string{"evacuate", "start", "dc9"}, ExitRefused},
		{"evacuate_start", []string{"evacuate", "start", "dc1"}, ExitOK},
		{"evacuate_status", []string{"evacuate", "status"}, ExitOK},
		{"evacuate_status_json", []string{"evacuate", "status", "-o", "json", "dc1"}, ExitOK},
		{"evacuate_status_unknown", []string{"evacuate", "status", "dc9"}, ExitRefused},
		{"status_evacuated", []string{"status"}, ExitOK},
		{"evacuate_end", []string{"evacuate", "end", "dc1"}, ExitOK},
		{"evacuate_status_ended", []string{"evacuate", "status", "dc1"}, ExitOK},
		{"audit_bad_limit", []string{"audit", "-limit", "1001"}, ExitRefused},
	}
	g := goldie.New(t)
	for _, s := range steps {
		r := te.run(t, s.args...)
		require.Equal(t, s.exit, r.exit, "%v: %s", s.args, r.stderr)
		g.Assert(t, s.golden, []byte("--- stdout\n"+r.stdout+"--- stderr\n"+r.stderr))
	}
}

// Wrong usage must give the exit code ExitUsage, not that of a failed command, and
// must not send a change to the fleet.
func TestUsageErrors(t *testing.T) {
	te := newTestEnv(t)
	for _, args := range [][]string{
		{},
		{"bogus"},
		{"member"},
		{"apply", "-x"},
		{"apply"},
		{"apply", "-f", smallFleet, "extra"},
		{"status", "-o", "xml"},
		{"status", "-timeout", "0s"},
		{"status", "-entry", "localhost:80"},
		{"drain"},
		{"drain", "-revision", "-2", "dc1-w1"},
		{"member", "promote", "0"},
		{"maintenance", "start", "-plan", "p"},
		{"job", "submit"},
		{"evacuate"},
		{"evacuate", "start"},
		{"evacuate", "end", "dc1", "dc2"},
		{"evacuate", "status", "dc1", "dc2"},
	} {
		require.Equal(t, ExitUsage, te.run(t, args...).exit, "%v", args)
	}
	require.Zero(t, te.fakeLeader.Accepted())
}

// After a lost reply the command must send the change again, and the change must be
// made only once.
func TestApplyResendsUntilInForce(t *testing.T) {
	te := newTestEnv(t)
	te.fakeLeader.DropReplies(3)
	te.fakeLeader.DelayInForce(5)
	r := te.ok(t, "apply", "-f", smallFleet)
	require.Contains(t, r.stderr, "accepted as revision 1, waiting until it is in force")
	require.Contains(t, r.stdout, "revision 1 in force")
	require.Equal(t, 1, te.fakeLeader.Accepted())
}

// closeLeader stops the leader and waits until the entry instance has detected it. A
// request written to a connection whose end is not yet detected may have been
// received, and its outcome would be unknown.
func (te testEnv) closeLeader(t *testing.T) {
	t.Helper()
	te.fakeLeader.Close()
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := te.pool.Get(ctx, te.fakeLeader.Address())
		return err != nil
	}, 10*time.Second, time.Millisecond)
}

// A script must be able to tell from the exit code whether a change was refused,
// conflicts, may have been carried out or was not carried out.
func TestExitCodesOfFailures(t *testing.T) {
	te := newTestEnv(t)
	te.ok(t, "apply", "-f", smallFleet)
	r := te.run(t, "drain", "-revision", "0", "dc1-w1")
	require.Equal(t, ExitConflict, r.exit)
	require.Contains(t, r.stderr, "present revision 1")

	r = te.run(t, "-token", "wrong", "status")
	require.Equal(t, ExitRefused, r.exit)

	te.fakeLeader.DropAllReplies()
	r = te.run(t, "-timeout", "2s", "drain", "dc1-w1")
	require.Equal(t, ExitMayHaveRun, r.exit)
	require.Contains(t, r.stderr, "repeat the command with -request-id drain-1-")
	require.Equal(t, 2, te.fakeLeader.Accepted())

	te.closeLeader(t)
	r = te.run(t, "-timeout", "2s", "drain", "-revision", "2", "dc1-w1")
	require.Equal(t, ExitUnavailable, r.exit, r.stderr)

	te.entry = closedAddress(t)
	r = te.run(t, "-timeout", "300ms", "drain", "-revision", "2", "dc1-w1")
	require.Equal(t, ExitUnavailable, r.exit)
}

// An evacuation whose answer was lost must be repeated with the same request identifier,
// so that it is made once, and the exit code must tell when its outcome stays open.
func TestEvacuationIsResent(t *testing.T) {
	te := newTestEnv(t)
	te.ok(t, "apply", "-f", smallFleet)
	te.fakeLeader.DropReplies(2)
	te.fakeLeader.DelayInForce(2)
	r := te.ok(t, "evacuate", "start", "dc1")
	require.Contains(t, r.stdout, "revision 2 in force")
	require.Equal(t, 2, te.fakeLeader.Accepted())
	te.fakeLeader.DropAllReplies()
	r = te.run(t, "-timeout", "2s", "evacuate", "end", "dc1")
	require.Equal(t, ExitMayHaveRun, r.exit)
	require.Contains(t, r.stderr, "repeat the command with -request-id evacuate-2-")
	require.Equal(t, 3, te.fakeLeader.Accepted())
	require.Empty(t, te.fakeLeader.Config().Evacuations)
}

func closedAddress(t *testing.T) string {
	srv := httptest.NewServer(http.NotFoundHandler())
	srv.Close()
	return strings.TrimPrefix(srv.URL, "http://")
}

// An accepted change must not be reported as done before it is in force.
func TestAcceptedButNotInForceIsUnknown(t *testing.T) {
	te := newTestEnv(t)
	te.fakeLeader.DelayInForce(1 << 20)
	r := te.run(t, "-timeout", "1s", "apply", "-f", smallFleet)
	require.Equal(t, ExitMayHaveRun, r.exit)
	require.Contains(t, r.stderr, "accepted as revision 1, not yet known to be in force")
}

// When the reply of one entry instance was lost, a refusal by another instance must
// not be taken for the outcome of the first attempt.
func TestRefusalByEntryAfterLostReplyIsUnknown(t *testing.T) {
	te := newTestEnv(t)
	te.fakeLeader.DropAllReplies()
	otherServer := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(otherServer.Close)
	te.entry += "," + strings.TrimPrefix(otherServer.URL, "http://")
	r := te.run(t, "-timeout", "10s", "drain", "-revision", "0", "dc1-w1")
	require.Equal(t, ExitMayHaveRun, r.exit, r.stderr)
	require.Equal(t, 1, te.fakeLeader.Accepted())
}

// An entry instance that is down must not keep the command from trying the others.
func TestEntriesAreTriedInTurn(t *testing.T) {
	te := newTestEnv(t)
	te.entry = closedAddress(t) + "," + te.entry
	te.ok(t, "apply", "-f", smallFleet)
	require.Equal(t, 1, te.fakeLeader.Accepted())
}

// The drain command must not end while the worker still has tasks.
func TestDrainWaitsForTasks(t *testing.T) {
	te := newTestEnv(t)
	te.ok(t, "apply", "-f", smallFleet)
	te.fakeLeader.SetTasks("dc1-w1", 3)
	r := te.ok(t, "drain", "dc1-w1")
	// The fake leader ends one task per query; the query for the current revision ends
	// the first of the three.
	require.Contains(t, r.stderr, "dc1-w1: draining, 2 tasks left\ndc1-w1: draining, 1 tasks left\ndc1-w1: drained\n")
	r = te.ok(t, "drain", "-undo", "dc1-w1")
	require.NotContains(t, r.stderr, "drained")
}

// Repeating the issue of a key must return the same key, and a withdrawal must affect
// the named key.
func TestKeyIssueAndWithdraw(t *testing.T) {
	te := newTestEnv(t)
	first := te.ok(t, "key", "issue", "north")
	again := te.ok(t, "key", "issue", "-request-id", "key-0123456789abcdef", "-revision", "0", "north")
	require.Equal(t, first.stdout, again.stdout)
	id, _, found := strings.Cut(first.stdout, ".")
	require.True(t, found)
	te.ok(t, "key", "withdraw", id)
	require.True(t, te.fakeLeader.Config().Keys[id].Withdrawn)
	require.Equal(t, 2, te.fakeLeader.Accepted())
}

// A truncated snapshot document must fail the inspection.
func TestSnapshotSaveAndInspect(t *testing.T) {
	te := newTestEnv(t)
	te.ok(t, "apply", "-f", smallFleet)
	file := filepath.Join(t.TempDir(), "fleet.json")
	te.ok(t, "snapshot", "save", file)
	r := te.ok(t, "snapshot", "inspect", file)
	require.Contains(t, r.stdout, "revision 1, term 3, applied 40")
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, data[:len(data)/2], 0o600))
	require.Equal(t, ExitRefused, te.run(t, "snapshot", "inspect", file).exit)
}

// The exit code of a job command must agree with the verdict, and every attempt must
// carry the same request identifier.
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
			te := testEnv{entry: strings.TrimPrefix(srv.URL, "http://")}
			r := te.run(t, "-timeout", "300ms", "job", "submit", "-queue", "watch", "-key", "id.secret")
			require.Equal(t, c.exit, r.exit, r.stderr)
		})
	}
}
