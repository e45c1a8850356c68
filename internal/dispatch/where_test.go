package dispatch

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/stall"
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

func previewOf(steps ...workload.Step) workload.Submit {
	return workload.Submit{Queue: rigQueue, Team: "team", Steps: steps}
}

// encodeState returns the replicated state with sorted keys.
func encodeState(t *testing.T, r *stallRig) []byte {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	require.NoError(t, err)
	data, err := mode.Marshal(r.state)
	require.NoError(t, err)
	return data
}

// startsOf returns the tasks by worker that the next plan starts of the previewed job, once
// it is submitted.
func startsOf(r *stallRig, job workload.Submit) map[string]int {
	r.submit(previewJobID, job.Steps...)
	starts := map[string]int{}
	if p, _ := r.dispatchers[0].plan(r.now); p != nil {
		for _, s := range p.Starts {
			if s.Task.Job == previewJobID {
				starts[s.Worker.ID]++
			}
		}
	}
	return starts
}

// A preview that differs from the next plan misleads operators, and one that changes the
// state would start work that nobody submitted. Replays an idle pool, a full one, one with
// earlier work, a team at its limit, a missing label, drained workers and a gang.
func TestWhereEqualsTheNextPlan(t *testing.T) {
	small := workload.Resources{CPUMilli: 1000}
	whole := workload.Resources{CPUMilli: rigCPU}
	cases := map[string]struct {
		prepare   func(r *stallRig)
		step      workload.Step
		starting  int
		reason    stall.Reason
		estimated bool
		ahead     int
	}{
		"all": {func(*stallRig) {}, workload.Step{Count: 8, Size: small, EstimatedMS: 800}, 8, "", true, 0},
		"some": {func(r *stallRig) {
			r.submit("busy", workload.Step{Count: 1, Size: whole, EstimatedMS: 5000})
			r.run(stallStepMS)
		}, workload.Step{Count: 3, Size: whole, EstimatedMS: 800}, 2, stall.NoCapacity, true, 0},
		"earlier work": {func(r *stallRig) {
			r.submit("busy", workload.Step{Count: 3, Size: whole, EstimatedMS: 5000})
			r.run(stallStepMS)
			r.submit("early", workload.Step{Count: 4, Size: whole, EstimatedMS: 800})
		}, workload.Step{Count: 2, Size: small, EstimatedMS: 800}, 0, stall.NoCapacity, true, 4},
		"team limit": {func(r *stallRig) {
			for _, id := range []string{"x", "y", "z"} {
				r.addWorker(id, "r2")
			}
			r.run(stallStepMS)
		}, workload.Step{Count: 6, Size: whole, EstimatedMS: 800}, 5, stall.TeamLimit, false, 0},
		"label": {func(*stallRig) {}, workload.Step{Count: 1, Size: small, Label: "gpu"}, 0, stall.NoCapacity, false, 0},
		"drained": {func(r *stallRig) {
			for _, w := range r.workers {
				w.draining = true
			}
			r.run(stallStepMS)
		}, workload.Step{Count: 1, Size: small}, 0, stall.HeldBack, false, 0},
		"evacuated": {func(r *stallRig) {
			for _, w := range r.workers {
				w.dataCentre = rigDataCentre
				w.restart()
			}
			r.run(stallStepMS)
			r.evacuate(rigDataCentre, false)
		}, workload.Step{Count: 1, Size: small}, 0, stall.Evacuated, false, 0},
		"gang": {func(*stallRig) {}, workload.Step{Count: 4, Size: whole, Gang: true}, 0, stall.Gang, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newStallRig(t, 3)
			c.prepare(r)
			before := encodeState(t, r)
			use := r.state.Workload.TeamUse("team")
			job := previewOf(c.step)
			reply, err := r.dispatchers[0].Where(job)
			require.NoError(t, err)
			require.Equal(t, before, encodeState(t, r))
			require.Equal(t, use, r.state.Workload.TeamUse("team"))
			require.NotContains(t, r.state.Workload.Active(), previewJobID)

			require.Equal(t, c.starting, reply.Starting)
			require.Equal(t, c.reason, reply.Reason)
			require.Equal(t, c.estimated, reply.StartsInMS >= 0)
			require.Equal(t, c.ahead, reply.AheadTasks)
			require.Equal(t, c.step.EstimatedMS, reply.ExpectedMedianMS)
			require.Equal(t, r.state.Applied, reply.Applied)
			require.Empty(t, reply.Refusal)
			places := map[string]int{}
			for _, p := range reply.Places {
				places[p.Worker] = p.Tasks
				require.NotEmpty(t, p.Rack)
			}
			require.Equal(t, startsOf(r, job), places)
		})
	}
}

// Previews must be refused at once when they are invalid, too large or too frequent, or when
// the store does not lead.
func TestWhereIsBounded(t *testing.T) {
	r := newStallRig(t, 1)
	d := r.dispatchers[0]
	step := workload.Step{Count: MaxPreviewTasks + 1, Size: workload.Resources{CPUMilli: 1}}
	var invalid *PreviewError
	_, err := d.Where(previewOf(step))
	require.ErrorAs(t, err, &invalid)
	step.Count = 1
	for _, job := range []workload.Submit{{Queue: "none", Steps: []workload.Step{step}}, {Queue: rigQueue, Team: "none", Steps: []workload.Step{step}}, previewOf()} {
		r.advance(previewIntervalMS)
		_, err = d.Where(job)
		require.ErrorAs(t, err, &invalid)
	}
	r.advance(previewIntervalMS)
	_, err = d.Where(previewOf(step))
	require.NoError(t, err)
	_, err = d.Where(previewOf(step))
	require.ErrorIs(t, err, ErrPreviewBusy)
	r.elect(1)
	var notLeader *NotLeaderError
	_, err = d.Where(previewOf(step))
	require.ErrorAs(t, err, &notLeader)
	var body *wire.ErrorBody
	require.ErrorAs(t, toWireError(err), &body)
	require.Equal(t, wire.CodeNotLeader, body.Code)
}

// Clients of the leader repeat a busy request, go on to the leader, and give up on an invalid
// one: each error must have its code.
func TestWhereErrorsHaveTheirCodes(t *testing.T) {
	r := newStallRig(t, 1)
	serve := func(job workload.Submit) wire.ErrorCode {
		req, err := wire.NewRequest(wire.TypeWhere, "entry", wire.WhereRequest{Job: job})
		require.NoError(t, err)
		_, err = WorkerHandler{r.dispatchers[0]}.serveWhere(t.Context(), req)
		var body *wire.ErrorBody
		if err == nil || !errors.As(err, &body) {
			require.NoError(t, err)
			return ""
		}
		return body.Code
	}
	job := previewOf(workload.Step{Count: 1, Size: workload.Resources{CPUMilli: 1}})
	require.Equal(t, wire.CodeBadMessage, serve(previewOf()))
	require.Empty(t, serve(job))
	require.Equal(t, wire.CodeBusy, serve(job))
	r.elect(1)
	require.Equal(t, wire.CodeNotLeader, serve(job))
}

// BenchmarkWhere measures a preview beside full pools with work waiting.
func BenchmarkWhere(b *testing.B) {
	f := newSizeFixture(b, 350, sizeTasksPerNode*350+5000)
	for range sizeTasksPerNode*350/maxStartsPerCycle + 1 {
		f.r.cycle()
	}
	job := workload.Submit{Queue: sizePool(0), Steps: []workload.Step{{Count: MaxPreviewTasks, Size: workload.Resources{CPUMilli: sizeTaskCPU}}}}
	for b.Loop() {
		f.d.previewedAt = 0
		_, err := f.d.Where(job)
		require.NoError(b, err)
	}
}
