package measure

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestTime = 60 * time.Second
	timeDigits  = 3
)

// times is a distribution of durations.
type times struct {
	hist *hdrhistogram.Histogram
}

func newTimes() *times {
	return &times{hist: hdrhistogram.New(1, longestTime.Microseconds(), timeDigits)}
}

// record adds a duration; one beyond the longest counts as the longest.
func (t *times) record(d time.Duration) {
	_ = t.hist.RecordValue(min(max(d, time.Microsecond), longestTime).Microseconds())
}

func (t *times) n() int { return int(t.hist.TotalCount()) }

// seconds returns a percentile; 100 is the largest.
func (t *times) seconds(percentile float64) float64 {
	if t.n() == 0 {
		return 0
	}
	return float64(t.hist.ValueAtPercentile(percentile)) / float64(time.Second/time.Microsecond)
}

func sortTimes(all []time.Time) {
	slices.SortFunc(all, func(a, b time.Time) int { return a.Compare(b) })
}
