package workload

import (
	"os"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// The files were written by 925777c, the last version that referred to queues by name and did not tell
// placed runs from started ones: a snapshot, and the commands that follow it.
func readOldFile(t *testing.T, name string, v any) {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	require.NoError(t, cbor.Unmarshal(data, v))
}

// Guards against a store that can't go on from the snapshot and log of the version before.
func TestSnapshotAndLogOfTheVersionBeforeOpen(t *testing.T) {
	s := &State{}
	readOldFile(t, "state-0.cbor", s)
	s.Rebuild()
	key := QueueKey{Host: "h", PathPrefix: "/q/"}
	require.Equal(t, 1, s.WaitingJobs(key))
	require.Equal(t, JobRunning, s.Jobs["runs"].State)
	require.EqualValues(t, 2, s.RunTimes.Records)
	var commands []*Command
	readOldFile(t, "log-0.cbor", &commands)
	for i, c := range commands {
		require.Empty(t, s.Apply(c, int64(100_000+i)).Refusal)
	}
	require.Equal(t, JobCancelled, s.Jobs["later"].State)
	require.Equal(t, JobRunning, s.Jobs["waits"].State, "a run has ended")
	require.EqualValues(t, 4, s.RunTimes.Records, "ends without the time of the start count since the placement")
	for _, id := range []string{"waits", "runs", "done"} {
		require.Equal(t, "r", s.QueueName(s.Jobs[id]))
		repeated := &Submit{ID: id, Queue: "r", Team: "a", Specification: "s", Steps: []Step{{Count: 2, EstimatedMS: 1000, Size: Resources{CPUMilli: 100}}}, ConfigVersion: 2}
		require.Equal(t, Result{Known: true}, s.Apply(&Command{Submit: repeated}, 200_000))
	}
}
