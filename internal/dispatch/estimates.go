package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// halveAboveMS bounds the weight of old runs: sums are halved when the
	// declared time of a pool's runs passes it, in milliseconds.
	halveAboveMS = 200_000
	// minDeclaredMS is the declared time of ended runs from which on the ratio is used.
	minDeclaredMS = 10_000
	percent       = 100
)

// estimates learns by pool how far declared run times are off.
type estimates struct {
	pools map[string]ratio
}

type ratio struct{ declared, actual int64 }

func newEstimates() *estimates { return &estimates{pools: map[string]ratio{}} }

// record takes the run time of a task that is done.
func (e *estimates) record(pool string, declaredMS, actualMS int64) {
	r := e.pools[pool]
	r.declared += declaredMS
	r.actual += actualMS
	if r.declared > halveAboveMS {
		r.declared /= 2
		r.actual /= 2
	}
	e.pools[pool] = r
}

// scale corrects an amount of declared work.
func (e *estimates) scale(pool string, declared int64) int64 {
	r := e.pools[pool]
	if r.declared < minDeclaredMS {
		r = e.total()
	}
	if r.declared < minDeclaredMS {
		return declared
	}
	return declared * (r.actual * percent / r.declared) / percent
}

// total is the ratio over total pools, for one that has run little.
func (e *estimates) total() ratio {
	var sum ratio
	for _, r := range e.pools {
		sum.declared += r.declared
		sum.actual += r.actual
	}
	return sum
}

// jobWork is the corrected jobWork of a job that ends, in thousandths of a core times
// milliseconds.
func (e *estimates) jobWork(j *workload.Job) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if step := &j.Steps[i]; !step.LongRunning && !step.FillsIdle {
			sum += int64(step.Count) * step.Size.CPUMilli * step.EstimatedMS
		}
	}
	return e.scale(j.Pool, sum)
}
