package taskplan

// Ahead is the work of a pool that has an earlier place than a step and that a plan leaves
// waiting.
type Ahead struct {
	// Jobs is the number of jobs, and Tasks that of their waiting tasks.
	Jobs, Tasks int
	// WorkMilliMS is the work of these tasks by their mean run times, in thousandths of a
	// core times milliseconds. Long-running tasks are not included.
	WorkMilliMS int64
}

// ComputeFor returns the same plan as Compute, and the work ahead of the step. reached is
// false if the plan ends before the step or the step has nothing to start.
func ComputeFor(in Input, ref StepRef) (plan Plan, ahead Ahead, reached bool) {
	jobs := map[string]bool{}
	pool := ""
	if j := in.State.Active()[ref.Job]; j != nil {
		pool = in.State.PoolOf(j)
	}
	p := compute(in, func(c *candidate, waiting int) {
		reached = reached || c.ref == ref
		if reached || c.pool != pool || waiting <= 0 {
			return
		}
		jobs[c.ref.Job] = true
		ahead.Tasks += waiting
		if !c.step.LongRunning {
			ahead.WorkMilliMS += int64(waiting) * c.step.WorkMilliMS(c.expected.MeanMS)
		}
	})
	ahead.Jobs = len(jobs)
	return p.plan, ahead, reached
}
