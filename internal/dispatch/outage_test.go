package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// firstAfterOutage returns which of two jobs starts first on a full pool after a time without
// a leader: "before" was accepted before it, "after" is one of those whose callers came back.
// silences are the reports of entries.
func firstAfterOutage(t *testing.T, silences ...time.Duration) string {
	r := newRig(1)
	d := r.dispatchers[0]
	step := workload.Step{Count: 1, Size: workload.Resources{CPUMilli: rigCPU}, EstimatedMS: 500}
	r.submit("before", step)
	r.advance(1000)
	r.term++
	r.cycle()
	r.advance(1)
	r.submit("after", step)
	for _, silent := range silences {
		d.ObserveSilence(silent)
	}
	r.advance(outageReportMS)
	r.cycle()
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.cycle()
	for ref := range r.state.Workload.RunsOn(workload.WorkerIncarnation{ID: "a", Born: a.born}) {
		return ref.Job
	}
	require.Fail(t, "nothing has started")
	return ""
}

// Guards against jobs that are late since an outage in front of jobs that can be on time. The
// baseline is the order without reports: oldest objective first, by a clock that stood still.
func TestOutageCountsForWaitingWork(t *testing.T) {
	const outage = 3600 * time.Millisecond
	require.Equal(t, "before", firstAfterOutage(t))
	require.Equal(t, "after", firstAfterOutage(t, outage+400*time.Millisecond, outage, outage+200*time.Millisecond))
	require.Equal(t, "before", firstAfterOutage(t, time.Hour, time.Hour), "few entries may have been cut off by themselves")
	require.Equal(t, "before", firstAfterOutage(t, time.Hour, time.Hour, 200*time.Millisecond), "one entry had a leader")
}

// Guards against an outage that is counted twice, or for work that was due after it.
func TestOutageIsCountedOnce(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	r.submit("before", workload.Step{Count: 1})
	due := r.state.Workload.Jobs["before"].Occurrences[0].DueAt
	r.term++
	r.advance(outageReportMS)
	for range 3 {
		for range 2 * maxOutageReports {
			d.ObserveSilence(2 * time.Second)
		}
		r.advance(outageReportMS)
		r.cycle()
		r.submit("after", workload.Step{Count: 1})
	}
	require.Equal(t, due-2000, r.state.Workload.Jobs["before"].Occurrences[0].DueAt)
	require.Greater(t, r.state.Workload.Jobs["after"].Occurrences[0].DueAt, due)
	r.propose(&workload.Command{Outage: &workload.Outage{Before: 1 << 62, LengthMS: -5}})
	require.Equal(t, due-2000, r.state.Workload.Jobs["before"].Occurrences[0].DueAt, "a negative length changes nothing")
}
