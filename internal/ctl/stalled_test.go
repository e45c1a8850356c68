package ctl

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/api"
	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
)

func stalledReply() wire.StalledReply {
	return wire.StalledReply{NowMS: 9000, Stalls: []stall.Stall{
		{Key: stall.Key{Job: "j1"}, Queue: "settle", Team: "lisbon", Tasks: 3, Reason: stall.TeamLimit, Detail: "team lisbon", SinceMS: 6500},
		{Key: stall.Key{Job: "j2", Occurrence: 4, Step: 1}, Queue: "packs", Team: "porto", Tasks: 1, Reason: stall.WorkerSilent, Detail: "worker w7", SinceMS: 1000},
	}}
}

// Guards against stalled work that is shown without its reason, its age or what would free
// it, and against filters and the token that are ignored.
func TestStalled(t *testing.T) {
	te := newTestEnv(t)
	te.fakeLeader.SetStalled(stalledReply())
	out := te.ok(t, "stalled").stdout
	for _, text := range []string{"settle", "lisbon", "2.5s", "team_limit", "its limit is raised", "packs", "8s", "worker w7"} {
		require.Contains(t, out, text)
	}
	filtered := te.ok(t, "stalled", "-reason", "worker_silent", "-queue", "packs", "-o", "json").stdout
	var list api.StalledList
	require.NoError(t, json.Unmarshal([]byte(filtered), &list))
	require.Len(t, list.Stalled, 1)
	require.Equal(t, "j2", list.Stalled[0].Job)
	require.EqualValues(t, 8000, list.Stalled[0].StalledMS)
	require.NotEmpty(t, list.Stalled[0].Remedy)
	require.Contains(t, te.ok(t, "stalled", "-queue", "none", "-o", "json").stdout, `"stalled": []`)

	require.Equal(t, ExitRefused, te.run(t, "-token", "wrong", "stalled").exit)
	require.Equal(t, ExitUsage, te.run(t, "stalled", "-reason", "bored").exit)
	require.Equal(t, ExitUsage, te.run(t, "stalled", "-watch", "-interval", "1ms").exit)
	te.closeLeader(t)
	require.Equal(t, ExitUnavailable, te.run(t, "-timeout", "1s", "stalled").exit)
}

// Guards against a watch that ends by itself or keeps showing old work.
func TestWatchRedrawsUntilItIsInterrupted(t *testing.T) {
	te := newTestEnv(t)
	te.fakeLeader.SetStalled(stalledReply())
	ctx, cancel := context.WithCancel(context.Background())
	out := &watchedOutput{after: 3, cancel: cancel}
	vars := map[string]string{EnvEntry: te.entry, EnvToken: token}
	done := make(chan int, 1)
	go func() {
		done <- Run(ctx, []string{"stalled", "-watch", "-interval", "200ms"}, Env{Stdout: out, Stderr: out, Getenv: func(name string) string { return vars[name] }, NewID: func() string { return "1" }})
	}()
	select {
	case exit := <-done:
		require.Equal(t, ExitOK, exit)
	case <-time.After(20 * time.Second):
		t.Fatal("the watch did not end")
	}
	require.GreaterOrEqual(t, strings.Count(out.text.String(), clearScreen), 3)
}

// watchedOutput collects output and cancels a context after some redraws.
type watchedOutput struct {
	text   strings.Builder
	after  int
	cancel context.CancelFunc
}

func (w *watchedOutput) Write(p []byte) (int, error) {
	if strings.Contains(string(p), clearScreen) {
		if w.after--; w.after < 0 {
			w.cancel()
		}
	}
	return w.text.Write(p)
}
