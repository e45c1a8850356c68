package runtimes

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// load draws tasks of one queue: a true run time with a long tail, and a declaration that
// is off by up to the given part of it.
type load struct {
	rnd      *rand.Rand
	queue    string
	meanMS   float64
	spread   float64
	tail     float64
	declOff  float64
	requests int64
}

func (l *load) draw() (Task, int64) {
	run := l.meanMS * math.Exp(l.spread*l.rnd.NormFloat64())
	declared := run * (1 + l.declOff*(2*l.rnd.Float64()-1))
	if l.rnd.Float64() < l.tail {
		run *= 7
	}
	return Task{Queue: l.queue, DeclaredMS: int64(declared), CPUMilli: l.requests}, int64(run)
}

// meanLogError returns the mean of |log2(estimate / run time)| over tasks that are drawn
// after the table has learned from the given number of runs, for the median estimates and
// for the declared times.
func meanLogError(l *load, runs int) (learned, declared float64) {
	t := &Table{}
	for range runs {
		t.Record(l.draw())
	}
	const samples = 2000
	for range samples {
		task, run := l.draw()
		learned += math.Abs(math.Log2(float64(max(t.Estimate(task).MedianMS, 1)) / float64(run)))
		declared += math.Abs(math.Log2(float64(max(task.DeclaredMS, 1)) / float64(run)))
	}
	return learned / samples, declared / samples
}

// Declarations that are off by up to 0.9 with a tail of 7 times the run time: the learned
// median is nearer than the declaration. Accurate declarations stay as near as they are.
func TestEstimateIsNearerThanTheDeclaration(t *testing.T) {
	for _, runs := range []int{30, 300, 3000} {
		learned, declared := meanLogError(&load{rnd: rand.New(rand.NewSource(1)), queue: "q", meanMS: 680, spread: 0.5, tail: 0.03, declOff: 0.9}, runs)
		require.Less(t, learned, 0.8*declared, "%d runs", runs)
		learned, declared = meanLogError(&load{rnd: rand.New(rand.NewSource(1)), queue: "q", meanMS: 1000, spread: 0.5, declOff: 0.2}, runs)
		require.Less(t, learned, 1.25*declared, "%d runs", runs)
	}
}

// A few tasks of seven times the run time move the tail and not the median.
func TestTailMovesTheQuantileAndNotTheMedian(t *testing.T) {
	table := &Table{}
	task := Task{Queue: "q", DeclaredMS: 1000, CPUMilli: 1500}
	for i := range 200 {
		run := int64(1000)
		if i%8 == 0 {
			run = 7000
		}
		table.Record(task, run)
	}
	e := table.Estimate(task)
	require.InDelta(t, 1000, e.MedianMS, 200)
	require.Greater(t, e.P90MS, int64(5000))
	require.InDelta(t, 1750, e.MeanMS, 350)
}

// The first runs count little, and a change of the run times washes out within 3000 runs.
func TestEvidenceAndDecay(t *testing.T) {
	table := &Table{}
	task := Task{Queue: "q", DeclaredMS: 1000, CPUMilli: 1500}
	require.Equal(t, Declared(task), table.Estimate(task))
	table.Record(task, 10_000)
	require.Less(t, table.Estimate(task).MedianMS, int64(5000))
	for range 1000 {
		table.Record(task, 10_000)
	}
	require.InDelta(t, 10_000, table.Estimate(task).MedianMS, 1500)
	for range 3000 {
		table.Record(task, 500)
	}
	require.InDelta(t, 500, table.Estimate(task).MedianMS, 100)
	other := Task{Queue: "q", DeclaredMS: 60_000, CPUMilli: 1500}
	require.Less(t, table.Estimate(other).MedianMS, int64(31_000), "other declarations take the estimate of the queue")
}

// One declared run time that is far off must not decide the estimates of its queue.
func TestOneAbsurdDeclarationDoesNotDecideTheEstimate(t *testing.T) {
	table := &Table{}
	task := Task{Queue: "q", DeclaredMS: 1000, CPUMilli: 1000}
	for range 100 {
		table.Record(task, 800)
	}
	table.Record(Task{Queue: "q", DeclaredMS: maxRunTimeMS, CPUMilli: 1000}, 800)
	for _, declared := range []int64{500, 1000, 2000, 4000} {
		e := table.Estimate(Task{Queue: "q", DeclaredMS: declared, CPUMilli: 1000})
		require.Greater(t, e.MeanMS, int64(700), "declared %d", declared)
		require.Less(t, e.MeanMS, declared+400, "declared %d", declared)
	}
}

func TestAbsurdInputHasABoundedEffect(t *testing.T) {
	table := &Table{}
	for _, declared := range []int64{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		for _, run := range []int64{math.MinInt64, -1, 0, 1, maxRunTimeMS, maxRunTimeMS + 1, math.MaxInt64} {
			for _, cpu := range []int64{math.MinInt64, 0, math.MaxInt64} {
				task := Task{Queue: "q", DeclaredMS: declared, CPUMilli: cpu}
				table.Record(task, run)
				e := table.Estimate(task)
				for _, ms := range []int64{e.MedianMS, e.MeanMS, e.P90MS} {
					require.GreaterOrEqual(t, ms, int64(0))
					require.Less(t, ms, int64(1)<<62)
				}
			}
		}
	}
	require.LessOrEqual(t, len(table.Groups), maxGroups)
}

// A thousand queues with one run each don't grow the table, and replicas evict the same.
func TestTableIsBoundedAndDeterministic(t *testing.T) {
	fill := func() *Table {
		table := &Table{}
		for i := range 5000 {
			table.Record(Task{Queue: fmt.Sprint(i % 1000), DeclaredMS: int64(i), CPUMilli: 1000}, int64(1+i%777))
			table.Record(Task{Queue: "busy", DeclaredMS: 1000, CPUMilli: 1000}, 2000)
		}
		return table
	}
	a, b := fill(), fill()
	require.Equal(t, a.Groups, b.Groups)
	require.LessOrEqual(t, len(a.Groups), maxGroups)
	// A quarter octave is the resolution of a histogram.
	require.InDelta(t, 2000, a.Estimate(Task{Queue: "busy", DeclaredMS: 1000, CPUMilli: 1000}).MedianMS, 0.19*2000)

	data, err := cbor.Marshal(a)
	require.NoError(t, err)
	var decoded Table
	require.NoError(t, cbor.Unmarshal(data, &decoded))
	decoded.Rebuild()
	require.Equal(t, a, &decoded)
	require.Less(t, len(data), 256<<10)
}

func BenchmarkEstimate(b *testing.B) {
	table, l := &Table{}, &load{rnd: rand.New(rand.NewSource(1)), queue: "q", meanMS: 680, spread: 0.5, tail: 0.03, declOff: 0.9}
	for range 1000 {
		table.Record(l.draw())
	}
	task, _ := l.draw()
	b.ReportAllocs()
	for b.Loop() {
		table.Estimate(task)
	}
}

func BenchmarkRecord(b *testing.B) {
	table, l := &Table{}, &load{rnd: rand.New(rand.NewSource(1)), queue: "q", meanMS: 680, spread: 0.5, tail: 0.03, declOff: 0.9}
	for range 1000 {
		table.Record(l.draw())
	}
	task, run := l.draw()
	b.ReportAllocs()
	for b.Loop() {
		table.Record(task, run)
	}
}
