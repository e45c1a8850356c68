package workload

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against jobs that can't be run or that exhaust a store's memory, and against
// errors that don't name the field.
func TestCheckNamesTheField(t *testing.T) {
	cases := map[string]struct{ body, field string }{
		"no steps":             {`{}`, "steps"},
		"too many steps":       {`{"steps":[` + strings.Repeat(`{"count":1},`, MaxSteps) + `{"count":1}]}`, "steps"},
		"no tasks":             {`{"steps":[{"count":0}]}`, "steps[0].count"},
		"too many tasks":       {`{"steps":[{"count":20000},{"count":1}]}`, "steps"},
		"negative size":        {`{"steps":[{"count":1,"size":{"cpu_milli":-1}}]}`, "steps[0].size"},
		"negative number":      {`{"steps":[{"count":1,"estimated_ms":-1}]}`, "steps[0]"},
		"waits for itself":     {`{"steps":[{"count":1,"after":[0]}]}`, "steps[0].after"},
		"waits for a later":    {`{"steps":[{"count":1},{"count":1,"after":[2]}]}`, "steps[1].after"},
		"no interval":          {`{"steps":[{"count":1}],"repetitions":2}`, "repetitions"},
		"specification":        {`{"specification":"` + strings.Repeat("x", MaxSpecificationBytes+1) + `","steps":[{"count":1}]}`, "specification"},
		"negative repetitions": {`{"steps":[{"count":1}],"repetitions":-1}`, "repetitions"},
		"endless repetitions":  {`{"steps":[{"count":1}],"repetitions":1000000000,"interval_ms":1}`, "repetitions"},
		"repeated large steps": {`{"steps":[{"count":10000}],"repetitions":3,"interval_ms":1}`, "repetitions"},
		"time overflows":       {`{"steps":[{"count":1}],"repetitions":3,"interval_ms":9000000000000000000}`, "interval_ms"},
		"negative time":        {`{"steps":[{"count":1}],"repetitions":3,"interval_ms":1,"first_run_ms":-1}`, "first_run_ms"},
		"size overflows":       {`{"steps":[{"count":2,"size":{"cpu_milli":9000000000000000000}}]}`, "steps[0].size"},
		"run time overflows":   {`{"steps":[{"count":2,"estimated_ms":9000000000000000000}]}`, "steps[0].estimated_ms"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			var job Submit
			require.NoError(t, json.Unmarshal([]byte(tt.body), &job))
			var invalid *InvalidError
			require.ErrorAs(t, job.Check(), &invalid)
			require.Equal(t, tt.field, invalid.Field)
		})
	}
	var job Submit
	require.NoError(t, json.Unmarshal([]byte(`{"steps":[{"count":2},{"count":1,"after":[0]}],"repetitions":3,"interval_ms":10}`), &job))
	require.NoError(t, job.Check())
}

// Guards against callers that set the identifier, queue or team in the body of a
// submission.
func TestContentDoesNotSetTheTeam(t *testing.T) {
	var job Submit
	require.NoError(t, json.Unmarshal([]byte(`{"ID":"x","Queue":"x","Team":"x","team":"x","queue":"x","id":"x","steps":[{"count":1}]}`), &job))
	require.Empty(t, job.ID+job.Queue+job.Team)
}

// FuzzSubmit guards against submissions that pass Check and then make Apply panic or
// refuse them.
func FuzzSubmit(f *testing.F) {
	f.Add([]byte(`{"steps":[{"count":2,"gang":true},{"count":1,"after":[0],"speculative":true}],"repetitions":1,"interval_ms":5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var job Submit
		if json.Unmarshal(data, &job) != nil || job.Check() != nil {
			return
		}
		s := newTestState()
		job.ID, job.Queue = "j", "q"
		require.Empty(t, s.Apply(&Command{Submit: &job}, 10).Refusal)
		ref := TaskRef{Job: "j"}
		start(s, ref, 1)
		end(s, ref, 1, OutcomeDone)
		s.Clone().Rebuild()
	})
}
