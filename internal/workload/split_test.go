package workload

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// splitFixture returns a state with steps of all kinds, and a batch of random starts, stops and
// other elements for it.
func splitFixture(random *rand.Rand) (*State, *Progress) {
	s := newTestState()
	p := &Progress{PruneBefore: 1}
	for i := range random.Intn(200) {
		due := DueOccurrence{Job: "repeated", Occurrence: i, DueAt: int64(i)}
		p.Due = append(p.Due, due)
		p.Cleared = append(p.Cleared, Run{Task: TaskRef{Job: "none", Index: i}, Run: 1})
		p.Withdrawn = append(p.Withdrawn, Run{Task: TaskRef{Job: "none", Index: i}, Run: 1})
		p.Started = append(p.Started, StartedRun{Run: Run{Task: TaskRef{Job: "none", Index: i}, Run: 1}, At: 5})
		p.Ends = append(p.Ends, End{Task: TaskRef{Job: "none", Index: i}, Run: 1, Outcome: OutcomeDone})
	}
	s.Apply(&Command{Submit: &Submit{ID: "repeated", Queue: "q", Steps: []Step{{Count: 1}}, Repetitions: 200, IntervalMS: 1}}, 10)
	for i := range 1 + random.Intn(6) {
		id := fmt.Sprintf("%016x", i)
		step := Step{Count: 1 + random.Intn(300), Gang: random.Intn(3) == 0, LongRunning: random.Intn(3) == 0}
		submit(s, id, step)
		for index := range step.Count {
			worker := WorkerIncarnation{ID: fmt.Sprint("w", random.Intn(20)), Born: 1}
			start := Start{Task: TaskRef{Job: id, Index: index}, Run: 1, Worker: worker, Machine: "m-" + worker.ID}
			if i%2 == 0 {
				start.Ticket = strings.Repeat(worker.ID, 100)
			}
			if random.Intn(4) == 0 && !step.Gang { // runs already
				s.Apply(&Command{Progress: &Progress{Starts: []Start{start}}}, 15)
				run := Run{Task: start.Task, Run: 1}
				p.Stops = append(p.Stops, Stop{Run: run, Forced: random.Intn(2) == 0})
				if random.Intn(2) == 0 {
					p.Inactive = append(p.Inactive, run)
				}
				continue
			}
			p.Starts = append(p.Starts, start)
		}
	}
	random.Shuffle(len(p.Stops), func(i, j int) { p.Stops[i], p.Stops[j] = p.Stops[j], p.Stops[i] })
	return s, p
}

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := (cbor.EncOptions{Sort: cbor.SortCanonical}).EncMode()
	require.NoError(t, err)
	out, err := data.Marshal(v)
	require.NoError(t, err)
	return out
}

// Guards against a batch that exceeds the largest command, and against one that has another effect
// once it is split.
func TestSplitBatchesAreSmallAndHaveTheSameEffect(t *testing.T) {
	const maxBytes = 4 << 10
	for seed := range int64(50) {
		s, p := splitFixture(rand.New(rand.NewSource(seed)))
		whole := s.Clone()
		whole.Rebuild()
		batches, tooLarge := p.Split(s, maxBytes, 1<<20)
		require.Empty(t, tooLarge)
		split := &Progress{}
		for _, b := range batches {
			split.Ends, split.Due = append(split.Ends, b.Ends...), append(split.Due, b.Due...)
			split.Cleared, split.Withdrawn = append(split.Cleared, b.Cleared...), append(split.Withdrawn, b.Withdrawn...)
			// One group that belongs together may exceed the bound.
			if len(b.Stops) == 0 && (len(b.Starts) == 0 || !s.Jobs[b.Starts[0].Task.Job].Steps[0].Gang) {
				require.Less(t, len(encode(t, b)), maxBytes+512, "seed %d", seed)
			}
			s.Apply(&Command{Progress: b}, 50)
		}
		require.Equal(t, [][]any{{p.Ends, p.Due}, {p.Cleared, p.Withdrawn}}, [][]any{{split.Ends, split.Due}, {split.Cleared, split.Withdrawn}})
		whole.Apply(&Command{Progress: p}, 50)
		require.Equal(t, encode(t, whole.Jobs), encode(t, s.Jobs), "seed %d", seed)
	}
}

// Guards against a gang whose members start in two commands, and against one that keeps all other
// steps from starting since no command can hold it.
func TestGangsAreNeverSplit(t *testing.T) {
	s := newTestState()
	submit(s, "gang", Step{Count: 400, Gang: true})
	submit(s, "tasks", Step{Count: 400})
	p := &Progress{}
	for _, id := range []string{"gang", "tasks"} {
		for i := range 400 {
			p.Starts = append(p.Starts, Start{Task: TaskRef{Job: id, Index: i}, Run: 1, Worker: incarnation, Ticket: strings.Repeat("t", 500)})
		}
	}
	batches, tooLarge := p.Split(s, 4<<10, 1<<20)
	require.Empty(t, tooLarge)
	for _, b := range batches {
		members := 0
		for _, start := range b.Starts {
			if start.Task.Job == "gang" {
				members++
			}
		}
		require.Contains(t, []int{0, 400}, members)
	}
	batches, tooLarge = p.Split(s, 4<<10, 8<<10)
	require.Equal(t, []TaskRef{{Job: "gang"}}, tooLarge)
	started := 0
	for _, b := range batches {
		started += len(b.Starts)
	}
	require.Equal(t, 400, started)
}
