package intake

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Guards against large jobs that arrive at the same moment, each of which finds room while the others are
// not in the state yet, and against room that is kept for those that have been applied.
func TestProposedJobsCountAsUnderWay(t *testing.T) {
	_, log := newServer()
	applyConfig(log, 1, queue)
	job := func(id string) submission {
		content := &workload.Submit{Specification: strings.Repeat("x", 4000), Steps: []workload.Step{{Count: 1}}}
		return submission{id: id, team: "a", queue: queue, content: content}
	}
	g := gate{backlogs: backlogs{maxBytes: job("").content.Bytes()}}
	first, applied := g.decide(log.state.Workload, job("first"), time.Now())
	require.Empty(t, first.Reason)
	second, nothing := g.decide(log.state.Workload, job("second"), time.Now())
	require.NotEmpty(t, second.Reason)
	require.Positive(t, second.RetryAfterMS)
	nothing()
	applied()
	require.Equal(t, teamBacklog{}, g.backlogs.proposed.all)
	require.Empty(t, g.backlogs.proposed.teams)
	third, _ := g.decide(log.state.Workload, job("third"), time.Now().Add(maxRetryMS*time.Millisecond*2))
	require.Empty(t, third.Reason)
}
