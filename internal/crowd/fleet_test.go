package crowd_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/crowd"
	"github.com/samphirefork/samphirefork/internal/harness"
)

// The limits of each process, and crowds that are as large as they must be to take more than them on
// a process without limits on its clients.
const (
	memoryMiB   = 96
	descriptors = 600
	// reservedDescriptors are left for files and for connections that a process opens itself.
	reservedDescriptors = 50

	playTime  = 3 * time.Second
	clients   = 200
	bodyBytes = 1 << 20
	idle      = 1200
	headBytes = 200 << 10
	patience  = 60 * time.Second
	pause     = 50 * time.Millisecond
)

var binFolder string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// limitedScript starts a program with the limits of the test.
const limitedScript = `#!/bin/sh
ulimit -n %d
GOMEMLIMIT=%dMiB exec %s "$@"
`

// buildAndRun builds the programs under test, so that a run never uses stale binaries, and a script
// for each that starts it with lowered limits.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "samphire-crowd-bin-")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "built")+"/", "../../cmd/...").CombinedOutput(); err != nil {
		panic(string(out))
	}
	for _, kind := range []harness.Kind{harness.KindStore, harness.KindEntry, harness.KindProxy} {
		name := "samphire-" + string(kind)
		script := fmt.Sprintf(limitedScript, descriptors, memoryMiB, filepath.Join(dir, "built", name))
		if kind == harness.KindProxy {
			script = "#!/bin/sh\nexec " + filepath.Join(dir, "built", name) + ` "$@"` + "\n"
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(script), 0o700); err != nil {
			panic(err)
		}
	}
	binFolder = dir
	return m.Run()
}

// run is a fleet of one store and one entry, which are watched.
type run struct {
	t            *testing.T
	fleet        *harness.Fleet
	store, entry *harness.Process
	watches      map[*harness.Process]*crowd.Watch
}

func start(t *testing.T) *run {
	t.Helper()
	f, err := harness.Start(t.Context(), harness.Options{Bin: binFolder, Dir: t.TempDir(), DataCentres: []string{"dc1"}, Stores: []int{1}, EntriesPerDC: 1})
	require.NoError(t, err)
	t.Cleanup(f.Stop)
	r := &run{t: t, fleet: f, store: f.Stores[0], entry: f.Entries[0]}
	r.watches = map[*harness.Process]*crowd.Watch{
		r.store: crowd.NewWatch(r.store.PID(), r.store.Peer), r.entry: crowd.NewWatch(r.entry.PID(), r.entry.Address, r.entry.Peer),
	}
	return r
}

// play plays the crowd, and then checks that both processes have stayed within their limits and
// answer ordinary calls.
func (r *run) play(c crowd.Crowd) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(r.t.Context(), playTime)
	defer cancel()
	r.t.Logf("%d connections closed by the process", c.Play(ctx))
	announcement := `{"instance":"b1","incarnation":"1","service":"s","address":"127.0.0.1:9","slots":1,"connections":1}`
	r.await(http.MethodPost, "http://"+r.entry.Address+"/v1/announce/backend", announcement)
	r.await(http.MethodGet, "http://"+r.entry.Address+"/readyz", "")
	r.await(http.MethodGet, "http://"+r.store.Peer+"/readyz", "")
	for p, watch := range r.watches {
		require.True(r.t, p.Running(), "%s has ended", p.Name)
		peak := watch.Stop()
		r.t.Logf("%s: %d MiB, %d descriptors", p.Name, peak.MemoryBytes>>20, peak.Descriptors)
		require.LessOrEqual(r.t, peak.MemoryBytes, int64(memoryMiB)<<20, "memory of %s", p.Name)
		require.LessOrEqual(r.t, peak.Descriptors, descriptors-reservedDescriptors, "descriptors of %s", p.Name)
	}
}

// await repeats a call until it is answered with 200.
func (r *run) await(method, url, body string) {
	r.t.Helper()
	client := &http.Client{Timeout: 5 * time.Second}
	require.Eventually(r.t, func() bool {
		req, err := http.NewRequest(method, url, strings.NewReader(body))
		require.NoError(r.t, err)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode == http.StatusOK
	}, patience, pause, "%s %s", method, url)
}

func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Type: application/json", method, path, harness.OperatorToken)
}
