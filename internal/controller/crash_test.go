package controller

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/wire"
)

// Checks that a job which crashes each worker that starts it is given up across changes of
// leader, and is reported as failed only if a worker reported it as running.
func TestJobThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for name, reports := range map[string]bool{"reported": true, "never reported": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4, Options{Seed: 1})
			r.round(obey)
			id := r.submit("normal", 1000, true)
			starts := 0
			crash := func(w *wire.WorkerState, o wire.Order) {
				if o.Kind != wire.OrderStart {
					return
				}
				starts++
				r.log.leadership.Term++
				if reports && starts > 1 {
					obey(w, o)
					return
				}
				w.Incarnation += "+"
			}
			for n := 0; n < 60 && !r.job(id).State.Final(); n++ {
				r.round(crash)
				for _, w := range r.workers {
					if len(w.Tasks) > 0 && r.job(id).Reported {
						w.Incarnation += "+"
						w.Tasks = nil
					}
				}
			}
			j := r.job(id)
			want := fleet.JobMayHaveRun
			if reports {
				want = fleet.JobFailed
			}
			require.Equal(t, want, j.State)
			require.Contains(t, j.Reason, "crashed")
			require.LessOrEqual(t, starts, 5)
		})
	}
}
