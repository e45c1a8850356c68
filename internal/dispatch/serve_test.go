package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

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
