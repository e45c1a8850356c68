package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// submitWide submits a job of many small tasks with a specification.
func (r *rig) submitWide(id string, tasks int, specification string) {
	r.propose(&workload.Command{Submit: &workload.Submit{
		ID: id, Queue: rigQueue, Specification: specification,
		Steps: []workload.Step{{Count: tasks, Size: workload.Resources{CPUMilli: 1}, EstimatedMS: rigTaskMS}},
	}})
}

// runUntilEnded lets time pass until all jobs have ended, and returns false after the given time.
func (r *rig) runUntilEnded(forMS int64) bool {
	for end := r.now + forMS; r.now < end; {
		r.cycle()
		for _, w := range r.workers {
			w.heartbeat(0, false)
		}
		if len(r.state.Workload.Active()) == 0 {
			return true
		}
		r.advance(20)
	}
	return false
}

// Guards against starts that exceed the largest response together: a worker that was given the
// tasks of a crashed one got the same response for ever, and neither a lease nor any order.
func TestStartsBeyondOneResponseAreSentInTurn(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.heartbeat(0, false)
	r.submitWide("first", 700, strings.Repeat("x", workload.MaxSpecificationBytes))
	r.submitWide("second", 700, strings.Repeat("y", workload.MaxSpecificationBytes))
	r.submitWide("small", 1, "")
	require.True(t, r.runUntilEnded(10_000), "jobs have not ended")
	require.Empty(t, r.violation)
}

// Guards against a response that a slow link never carries within the time limit and that is
// repeated unchanged.
func TestResponsesShrinkOnASlowLink(t *testing.T) {
	r := newRig(1)
	a := r.addWorker("a", "r1")
	a.maxResponse = 100 << 10
	a.heartbeat(0, false)
	r.submitWide("job", 300, strings.Repeat("x", workload.MaxSpecificationBytes))
	require.True(t, r.runUntilEnded(20_000), "the job has not ended")
	require.Empty(t, r.violation)
}

// Whatever the sizes within the limits of a submission, each response arrives, no lease lapses, and
// all jobs end, also when some responses are lost.
func TestResponsesOfAnySizeArrive(t *testing.T) {
	for seed := range int64(12) {
		random := rand.New(rand.NewSource(seed))
		r := newRig(1)
		for i := range 1 + random.Intn(3) {
			r.addWorker(fmt.Sprint("w", i), "r1").heartbeat(0, false)
		}
		for i := range 1 + random.Intn(3) {
			text := []string{"", "x", "\x00", "<", "é", "\u2028"}[random.Intn(6)]
			size := random.Intn(workload.MaxSpecificationBytes + 1)
			r.submitWide(fmt.Sprintf("%016x", i), 1+random.Intn(400), strings.Repeat(text, size/max(len(text), 1)))
		}
		lostUntil := random.Intn(20)
		for step := 0; len(r.state.Workload.Active()) > 0; step++ {
			require.Less(t, step, 2000, "seed %d: jobs have not ended", seed)
			r.cycle()
			for _, w := range r.workers {
				w.heartbeat(0, step < lostUntil && random.Intn(2) == 0)
				require.Less(t, r.now-w.lastTaken, int64(2000), "seed %d: no response arrives", seed)
			}
			r.advance(20)
		}
		require.Empty(t, r.violation, "seed %d", seed)
	}
}
