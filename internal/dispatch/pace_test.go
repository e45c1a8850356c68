package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Guards against fillers that stay paused for good because the serving tasks beside them have a tail
// latency between the two thresholds without them.
func TestPausedFillersTryAgain(t *testing.T) {
	p := newPaceController()
	p.adjust(fullPace, 1000)
	require.Zero(t, p.percent)
	now := int64(1000)
	for ; p.percent == 0; now += 100 {
		require.Less(t, now, int64(1000+2*resumeIntervalMS))
		p.adjust(halvePaceAbove-10, now)
	}
	require.Equal(t, minPace, p.percent)
	require.GreaterOrEqual(t, now, int64(1000+resumeIntervalMS))
	p.adjust(halvePaceAbove+5, now+paceIntervalMS)
	require.Zero(t, p.percent, "they disturb the serving tasks")
	for end := now + 10*resumeIntervalMS; now < end; now += 100 {
		p.adjust(halvePaceAbove+5, now)
		require.Zero(t, p.percent, "the tail is too high without them")
	}
}

// Guards against a filler that stays slow for good, because the response that lifted its pace was lost.
func TestFullPaceIsRepeated(t *testing.T) {
	s := workload.NewState()
	s.Apply(&workload.Command{Configure: &workload.Config{Version: 1, Queues: map[string]workload.Queue{"q": {Name: "q", Pool: "p"}}, Pools: map[string]workload.Pool{"p": {Name: "p"}}}}, 1)
	s.Apply(&workload.Command{Submit: &workload.Submit{ID: "j", Queue: "q", Steps: []workload.Step{{Count: 1, FillsIdle: true}}}}, 1)
	run := workload.Run{Task: workload.TaskRef{Job: "j"}, Run: 1}
	w := newWorker(Report{})
	w.running[run.Task] = RunningTask{Run: run}
	require.Empty(t, w.paceOrders(s, w.delivery.budget(), 1000), "fillers start at the full pace")
	w.pace.percent, w.pace.changedAt = minPace, 2000
	require.Len(t, w.paceOrders(s, w.delivery.budget(), 2000), 1)
	w.pace.percent, w.pace.changedAt = fullPace, 5000
	require.Equal(t, []PaceOrder{{run, fullPace}}, w.paceOrders(s, w.delivery.budget(), 5000))
	require.Equal(t, []PaceOrder{{run, fullPace}}, w.paceOrders(s, w.delivery.budget(), 5400))
	require.Empty(t, w.paceOrders(s, w.delivery.budget(), 5000+paceRepeatMS))
}
