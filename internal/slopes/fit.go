package slopes

import (
	"math"

	"github.com/pkg/errors"
)

// ErrFit is returned when a line is not determined by the points.
var ErrFit = errors.New("slopes: a fit needs three points at two or more sizes")

// minFitPoints leaves a degree of freedom for the standard error.
const minFitPoints = 3

// Line is a least squares line with the standard errors of its coefficients.
type Line struct {
	Intercept      float64 `json:"intercept"`
	InterceptError float64 `json:"intercept_standard_error"`
	Slope          float64 `json:"slope"`
	SlopeError     float64 `json:"slope_standard_error"`
	Points         int     `json:"points"`
}

// fitLine fits y = intercept + slope*x by ordinary least squares.
func fitLine(xs, ys []float64) (Line, error) {
	n := float64(len(xs))
	meanX, meanY := mean(xs), mean(ys)
	var sxx, sxy float64
	for i := range xs {
		sxx += (xs[i] - meanX) * (xs[i] - meanX)
		sxy += (xs[i] - meanX) * (ys[i] - meanY)
	}
	if len(xs) < minFitPoints || sxx == 0 {
		return Line{}, ErrFit
	}
	l := Line{Slope: sxy / sxx, Points: len(xs)}
	l.Intercept = meanY - l.Slope*meanX
	var squares float64
	for i := range xs {
		r := ys[i] - l.Intercept - l.Slope*xs[i]
		squares += r * r
	}
	variance := squares / (n - 2)
	l.SlopeError = math.Sqrt(variance / sxx)
	l.InterceptError = math.Sqrt(variance * (1/n + meanX*meanX/sxx))
	return l, nil
}

func mean(v []float64) float64 {
	var sum float64
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
