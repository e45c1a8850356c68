package integration

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/harness"
)

// volatile parts of a session: addresses, times, generated identifiers and counters.
var volatile = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`127\.0\.\d+\.\d+:\d+`), "ADDRESS"},
	{regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`), "DATE"},
	{regexp.MustCompile(`"(accepted_at_ms|assigned_at_ms|finished_at_ms|retry_after_ms)":\d+`), `"$1":N`},
	{regexp.MustCompile(`"(worker|worker_incarnation)":"[^"]*"`), `"$1":"W"`},
	{regexp.MustCompile(`\b[0-9a-f]{16,}(\.[0-9a-f]+)?\b`), "KEY"},
	{regexp.MustCompile(`\b(drain|withdraw|apply)-(\d+)-[0-9a-f]+`), "$1-$2-ID"},
	{regexp.MustCompile(`(at |after )?\b(\d+m)?\d+(\.\d+)?(ms|s)\b`), "${1}TIME"},
	{regexp.MustCompile(` +`), " "},
	{regexp.MustCompile(`(done \d true) \S+`), "$1 WORKER"},
}

// session is a transcript with its volatile parts replaced.
type session struct {
	t   *testing.T
	out bytes.Buffer
}

func (s *session) add(text string) {
	for _, v := range volatile {
		text = v.pattern.ReplaceAllString(text, v.with)
	}
	s.out.WriteString(text)
}

func (s *session) compare(name string) {
	goldie.New(s.t, goldie.WithFixtureDir("testdata")).Assert(s.t, name, s.out.Bytes())
}

// ctl runs samphirectl and adds its output and exit code.
func (s *session) ctl(e *env, args ...string) string {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(binFolder, "samphirectl"), args...)
	cmd.Env = append(cmd.Environ(), "SAMPHIRE_ENTRY="+e.fleet.Entries[0].Address, "SAMPHIRE_TOKEN="+harness.OperatorToken, "SAMPHIRE_OPERATOR=ana")
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	_ = cmd.Run()
	s.add(fmt.Sprintf("$ samphirectl %s\n%s%s[exit %d]\n\n", strings.Join(args, " "), stdout.String(), lastLine(stderr.String()), cmd.ProcessState.ExitCode()))
	return strings.TrimSpace(stdout.String())
}

// lastLine drops progress lines, whose number depends on timing.
func lastLine(text string) string {
	lines := strings.Split(strings.TrimSuffix(text, "\n"), "\n")
	if last := lines[len(lines)-1]; last != "" {
		return last + "\n"
	}
	return ""
}

// Guards against changes of what operators see and of exit codes, over a whole
// session with a real fleet.
func TestOperatorSession(t *testing.T) {
	e := start(t, func(o *harness.Options) { o.Policies = map[string]string{"poolmove": "none"} })
	s := &session{t: t}
	examples := "../../examples/carregaguia"
	s.ctl(e, "validate", "-f", examples)
	s.ctl(e, "plan", "-f", examples)
	s.ctl(e, "apply", "-f", examples)
	key := s.ctl(e, "key", "issue", "lisbon")
	s.ctl(e, "job", "submit", "-queue", "reconcile-rentals", "-key", key, "-cpu-milli", "500", "-run-time", "10ms", "-request-id", "dc1.session-1")
	s.ctl(e, "job", "get", "-wait", "20s", "-key", key, "dc1.session-1")
	s.ctl(e, "job", "cancel", "-key", key, "dc1.session-1")
	s.ctl(e, "key", "withdraw", strings.Split(key, ".")[0])
	s.ctl(e, "job", "submit", "-queue", "reconcile-rentals", "-key", key, "-cpu-milli", "500")
	s.ctl(e, "drain", "dc1-w4")
	s.ctl(e, "drain", "-undo", "dc1-w4")
	s.ctl(e, "drain", "-revision", "1", "dc2-w4")
	s.ctl(e, "drain", "no-such-instance")
	s.ctl(e, "audit", "-limit", "4")
	s.compare("operator_session")
}

// send makes one request of a caller and adds the exchange.
func (s *session) send(e *env, method, path, body string, header ...string) {
	s.t.Helper()
	req, err := http.NewRequestWithContext(e.ctx, method, "http://"+e.fleet.Entries[0].Address+path, strings.NewReader(body))
	require.NoError(s.t, err)
	line := method + " " + path
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
		line += fmt.Sprintf("\n%s: %s", header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(s.t, err)
	s.add(fmt.Sprintf("%s\n\n%s\n--> %d %s\n%s\n\n", line, clip(body), resp.StatusCode, verdictHeaders(resp.Header), clip(string(data))))
}

func verdictHeaders(h http.Header) string {
	var lines []string
	for _, name := range []string{api.HeaderVerdict, api.HeaderRequestID} {
		if v := h.Get(name); v != "" {
			lines = append(lines, name+": "+v)
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, ", ")
}

func clip(text string) string {
	const limit = 400
	return text[:min(len(text), limit)]
}

// Guards against changes of verdicts, status codes and answers that callers
// depend on, over a whole session with a real fleet.
func TestCallerSession(t *testing.T) {
	e := start(t, func(o *harness.Options) { o.Policies = map[string]string{"poolmove": "none"} })
	s := &session{t: t}
	key := e.keys["lisbon"].Key
	s.send(e, "POST", "/v1/call/opening-hours", "when", api.HeaderRequestID, "dc1.a1", api.HeaderIdempotent, "true")
	s.send(e, "POST", "/v1/call/payments", "pay 5", api.HeaderRequestID, "dc1.a2", api.HeaderAttempt, "1")
	s.send(e, "POST", "/v1/call/payments", "pay 5", api.HeaderRequestID, "dc1.a2")
	s.send(e, "POST", "/v1/call/payments", "pay 5", api.HeaderRequestID, "dc1.a2", api.HeaderKey, "unknown.secret")
	s.send(e, "POST", "/v1/call/payments", "pay 5", api.HeaderRequestID, "dc1.a3", api.HeaderKey, key, api.HeaderAttempt, "1")
	s.send(e, "POST", "/v1/call/payments", "pay 5", api.HeaderRequestID, "dc1.a3", api.HeaderKey, key, api.HeaderAttempt, "2")
	s.send(e, "POST", "/v1/call/payments", "pay 6", api.HeaderRequestID, "dc1.a3", api.HeaderKey, key, api.HeaderAttempt, "2")
	s.send(e, "POST", "/v1/call/nothing", "", api.HeaderRequestID, "dc1.a4", api.HeaderKey, key)
	job := `{"size":{"cpu_milli":100},"run_time_ms":10}`
	s.send(e, "POST", "/v1/queues/reconcile-rentals/jobs", job, api.HeaderRequestID, "dc1.j1", api.HeaderKey, key)
	s.send(e, "GET", "/v1/jobs/dc1.j1?wait_ms=20000", "", api.HeaderKey, key)
	s.send(e, "POST", "/v1/queues/reconcile-rentals/jobs", job, api.HeaderRequestID, "dc1.j1", api.HeaderKey, key)
	s.send(e, "POST", "/v1/queues/reconcile-rentals/jobs", `{"size":{"cpu_milli":200}}`, api.HeaderRequestID, "dc1.j1", api.HeaderKey, key)
	s.send(e, "GET", "/v1/jobs/dc1.j1", "", api.HeaderKey, e.keys["porto"].Key)
	s.send(e, "DELETE", "/v1/jobs/dc1.j1", "", api.HeaderKey, key)
	s.send(e, "POST", "/v1/queues/kiosk-reports/jobs", `{"size":{"cpu_milli":-1}}`, api.HeaderRequestID, "dc1.j2")
	s.send(e, "POST", "/v1/queues/kiosk-reports/jobs", `{"size":`, api.HeaderRequestID, "dc1.j3")
	s.compare("caller_session")
}
