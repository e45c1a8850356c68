package dispatch

import "github.com/samphirefork/samphirefork/internal/workload"

const (
	// halveAboveMS bounds the weight of old runs: when the declared time of a pool's runs
	// exceeds it, both sums are halved.
	halveAboveMS = 200_000
	// minDeclaredMS is the declared time of completed runs from which a ratio is used.
	minDeclaredMS = 10_000
	percent       = 100
	// maxEstimateFactor bounds the ratio of the declared and the actual run time of one
	// run. Otherwise a single absurd declaration would decide the ratio of its pool.
	maxEstimateFactor = 10
)

// estimates tracks, for each pool, the ratio of actual to declared run times.
type estimates struct {
	pools map[string]ratio
}

// ratio holds sums of run times in milliseconds.
type ratio struct{ declared, actual int64 }

func newEstimates() *estimates { return &estimates{pools: map[string]ratio{}} }

// record adds the declared and actual run time of a completed task.
func (e *estimates) record(pool string, declaredMS, actualMS int64) {
	declaredMS = min(max(declaredMS, actualMS/maxEstimateFactor), actualMS*maxEstimateFactor)
	r := e.pools[pool]
	r.declared += declaredMS
	r.actual += actualMS
	if r.declared > halveAboveMS {
		r.declared /= 2
		r.actual /= 2
	}
	e.pools[pool] = r
}

// scale corrects an amount of declared work by the ratio of its pool, or by that of all
// pools when the pool has run little.
func (e *estimates) scale(pool string, declared int64) int64 {
	r := e.pools[pool]
	if r.declared < minDeclaredMS {
		r = e.total()
	}
	if r.declared < minDeclaredMS {
		return declared
	}
	return int64(float64(declared) * float64(r.actual) / float64(r.declared))
}

// total returns the sums over all pools.
func (e *estimates) total() ratio {
	var sum ratio
	for _, r := range e.pools {
		sum.declared += r.declared
		sum.actual += r.actual
	}
	return sum
}

// jobWork returns the corrected work of those tasks of a job that end by themselves and
// don't only fill idle capacity, in millicores times milliseconds.
func (e *estimates) jobWork(j *workload.Job) int64 {
	sum := int64(0)
	for i := range j.Steps {
		if step := &j.Steps[i]; !step.LongRunning && !step.FillsIdle {
			sum += int64(step.Count) * step.WorkMilliMS()
		}
	}
	return e.scale(j.Pool, sum)
}
