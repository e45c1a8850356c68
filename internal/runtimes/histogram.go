package runtimes

import "math/bits"

const (
	// A histogram has bucketsPerOctave buckets for each doubling of the value, from
	// 2^minExponent up to 2^maxExponent. Values beyond are counted in the outer buckets.
	bucketsPerOctave = 1 << octaveBits
	octaveBits       = 2
	minExponent      = 4
	maxExponent      = 27
	buckets          = (maxExponent - minExponent) * bucketsPerOctave

	// runWeight is what one run adds to its bucket. It exceeds 1 so that rare runs survive
	// several halvings.
	runWeight = 16
	// halveAt is the total weight at which all weights are halved.
	halveAt = 2048 * runWeight

	// ratioOne is the recorded value of a run that took as long as declared.
	ratioOne = 1 << 12

	percent = 100
)

// histogram counts values in buckets whose width grows with the value. Newer values count
// more than older ones.
type histogram struct {
	Weights [buckets]uint16 `cbor:"1,keyasint"`
	Total   uint32          `cbor:"2,keyasint"`
}

// bucketOf returns the bucket of a value.
func bucketOf(value int64) int {
	exponent := bits.Len64(uint64(max(value, 1))) - 1
	switch {
	case exponent < minExponent:
		return 0
	case exponent >= maxExponent:
		return buckets - 1
	}
	return (exponent-minExponent)*bucketsPerOctave + int(value>>(exponent-octaveBits))&(bucketsPerOctave-1)
}

// bounds returns the least value of a bucket and the bucket's width.
func bounds(bucket int) (low, width int64) {
	width = 1 << (bucket/bucketsPerOctave + minExponent - octaveBits)
	return (bucketsPerOctave + int64(bucket%bucketsPerOctave)) * width, width
}

func (h *histogram) add(value int64) {
	if h.Total >= halveAt {
		h.halve()
	}
	h.Weights[bucketOf(value)] += runWeight
	h.Total += runWeight
}

func (h *histogram) halve() {
	h.Total = 0
	for i := range h.Weights {
		h.Weights[i] /= 2
		h.Total += uint32(h.Weights[i])
	}
}

func (h *histogram) runs() int64 { return int64(h.Total) / runWeight }

// summary is what estimates use of a histogram.
type summary struct{ p10, median, p90, mean int64 }

// summarize returns the quantiles, interpolated within their buckets, and the mean.
func (h *histogram) summarize() summary {
	if h.Total == 0 {
		return summary{}
	}
	var s summary
	quantiles := [...]struct {
		percent int64
		value   *int64
	}{{10, &s.p10}, {50, &s.median}, {90, &s.p90}}
	next, below, sum := 0, int64(0), int64(0)
	for i, w := range h.Weights {
		if w == 0 {
			continue
		}
		weight := int64(w)
		low, width := bounds(i)
		sum += weight * (low + width/2)
		for next < len(quantiles) && (below+weight)*percent >= quantiles[next].percent*int64(h.Total) {
			*quantiles[next].value = low + width*(quantiles[next].percent*int64(h.Total)-below*percent)/(weight*percent)
			next++
		}
		below += weight
	}
	s.mean = sum / int64(h.Total)
	return s
}
