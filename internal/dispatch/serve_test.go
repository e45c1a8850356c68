package dispatch

import (
	"context"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/taskplan"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// The product's own interface for step workers must not change unnoticed: a golden report
// and golden orders pin its names.
func TestReportsAndOrdersOfTheOwnInterface(t *testing.T) {
	const report = `{"life":{"id":"w1","born":7},"machine":"m1","pool":"batch","capacity":{"cpu_milli":4000},"sequence":3,
		"running":[{"task":{"job":"j","occurrence":0,"step":1,"index":2},"run":4,"percent":50,"checkpoint":"c"}],
		"ended":[{"task":{"job":"j","occurrence":0,"step":0,"index":0},"run":1,"number":9,"outcome":"done"}]}`
	var rep Report
	require.NoError(t, json.Unmarshal([]byte(report), &rep))
	require.Empty(t, rep.validate("w1"))
	require.Equal(t, workload.Run{Task: workload.TaskRef{Job: "j", Step: 1, Index: 2}, Run: 4}, rep.Running[0].Run)
	require.Equal(t, workload.OutcomeDone, rep.Ended[0].Outcome)
	again, err := json.Marshal(rep)
	require.NoError(t, err)
	require.JSONEq(t, report, string(again))

	orders, err := json.Marshal(Orders{Term: 2, Lease: rigLease, AckedEnds: 9, Starts: []StartOrder{{Run: rep.Running[0].Run, Specification: "s"}}})
	require.NoError(t, err)
	require.JSONEq(t, `{"term":2,"lease_ns":10000000000,"acked_ends":9,"retry_ns":0,
		"starts":[{"task":{"job":"j","occurrence":0,"step":1,"index":2},"run":4,"specification":"s"}]}`, string(orders))
}

// Reports that name another worker, no pool, or an impossible sequence or capacity must be
// refused with the name of the field.
func TestInvalidReportsAreRefusedByField(t *testing.T) {
	valid := func() Report {
		return Report{Incarnation: workload.WorkerIncarnation{ID: "w1"}, Pool: "batch", Sequence: 1}
	}
	cases := map[string]struct {
		change func(*Report)
		field  string
	}{
		"another worker":    {func(r *Report) { r.Incarnation.ID = "w2" }, "life.id"},
		"no pool":           {func(r *Report) { r.Pool = "" }, "pool"},
		"no sequence":       {func(r *Report) { r.Sequence = 0 }, "sequence"},
		"negative capacity": {func(r *Report) { r.Capacity.CPUMilli = -1 }, "capacity"},
		"absurd capacity":   {func(r *Report) { r.Capacity.MemoryMiB = math.MaxInt64 }, "capacity"},
		"unreadable name":   {func(r *Report) { r.Machine = "m\xff" }, "machine"},
		"unreadable label":  {func(r *Report) { r.Labels = []string{"a", "\xff"} }, "labels[1]"},
		"long name":         {func(r *Report) { r.Address = strings.Repeat("a", 1000) }, "address"},
		"unreadable task":   {func(r *Report) { r.Running = make([]RunningTask, 2); r.Running[1].Task.Job = "\xff" }, "running[1]"},
		"long checkpoint":   {func(r *Report) { r.Ended = []EndedTask{{Checkpoint: strings.Repeat("c", 1<<20)}} }, "ended[0]"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			rep := valid()
			require.Empty(t, rep.validate("w1"))
			tt.change(&rep)
			require.Contains(t, rep.validate("w1"), tt.field)
		})
	}
	var rep Report
	require.Error(t, json.Unmarshal([]byte(`{"ended":[{"outcome":"vanished"}]}`), &rep))
}

// Guards against ends with large checkpoints in one command that exceeds what the log takes:
// it would be refused in each cycle, and no task would start any more.
func TestEndsWithLargeCheckpointsAreSplit(t *testing.T) {
	large := make([]workload.End, 100)
	for i := range large {
		large[i].Checkpoint = strings.Repeat("c", maxCheckpointBytes)
	}
	for name, ends := range map[string][]workload.End{"large": large, "many": make([]workload.End, 3*maxEndsPerCommand), "one": large[:1], "none": nil} {
		recorded := 0
		for rest := ends; len(rest) > 0; {
			batch := firstEnds(rest)
			require.NotEmpty(t, batch, name)
			require.LessOrEqual(t, len(batch), maxEndsPerCommand, name)
			data, err := fleet.EncodeCommand(fleet.Command{Workload: &workload.Command{Progress: &workload.Progress{Ends: batch}}})
			require.NoError(t, err)
			require.LessOrEqual(t, len(data), 2<<20, name)
			rest = rest[len(batch):]
			recorded += len(batch)
		}
		require.Len(t, ends, recorded, name)
	}
}

type oddAdvisor struct{}

func (oddAdvisor) Approve(_ context.Context, _ taskplan.StepRef, workers []workload.WorkerIncarnation) (map[workload.WorkerIncarnation]string, error) {
	return map[workload.WorkerIncarnation]string{workers[0]: strings.Repeat("t", 1<<20), {ID: "other"}: "ticket", {ID: "odd"}: "\xff"}, nil
}

// Guards against tickets that no command can carry: each start with one would be refused.
func TestOddTicketsAreIgnored(t *testing.T) {
	r := newRig(1)
	d := r.dispatchers[0]
	d.advisor = oddAdvisor{}
	ref := taskplan.StepRef{Job: "job"}
	d.fetchAdvice(ref, []workload.WorkerIncarnation{{ID: "w"}}, 1000, r.now, d.approvals)
	require.Equal(t, map[workload.WorkerIncarnation]ticket{{ID: "other"}: {"ticket", r.now + 1000}}, d.approvals.steps[ref].tickets)
}
