package integration

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls and jobs that start in an evacuated data centre, also after a restart
// of all stores, against work elsewhere that suffers from it, and against a data centre that
// is not used again once it is taken back.
func TestDataCentreEvacuatedUnderLoad(t *testing.T) {
	const startDelay = time.Second // for jobs that were assigned just before the order
	e := start(t, nil)
	e.startLoad()
	e.run(settleTime)
	require.NoError(t, e.op.Evacuate(e.ctx, "dc3", false))
	begunAt := time.Now().Add(startDelay).UnixNano()
	e.run(settleTime)
	for _, s := range e.fleet.Stores {
		s.Kill()
	}
	for _, s := range e.fleet.Stores {
		require.NoError(t, s.Start())
	}
	e.leader() // a change counts as accepted from its first attempt, which needs a leader
	require.NoError(t, e.op.Evacuate(e.ctx, "dc3", false))
	e.run(settleTime)
	endedAt := time.Now().UnixNano()
	status, err := e.op.Status(e.ctx)
	require.NoError(t, err)
	require.Len(t, status.GetEvacuations(), 1)
	require.NoError(t, e.op.Evacuate(e.ctx, "dc3", true))
	e.run(settleTime)
	e.check()
	require.Zero(t, e.servedBetween(begunAt, endedAt, "dc3"), "work started in the evacuated data centre")
	require.Positive(t, e.servedBetween(begunAt, endedAt, "dc1"))
	require.Positive(t, e.servedBetween(endedAt, time.Now().UnixNano(), "dc3"), "the data centre is not used again")
}
