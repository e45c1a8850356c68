package workload

// What the parts of a job take in the state, without their text, by measurement and rounded up.
const (
	jobBytes   = 1000
	stepBytes  = 250
	taskBytes  = 150
	afterBytes = 8
)

// Bytes returns about the memory that the job takes in the state, in bytes, with all tasks of all of
// its occurrences. Checkpoints and tickets are not counted.
func (j *Job) Bytes() int64 { return bytesOf(j.Specification, j.Steps, j.Repetitions) }

// Bytes returns about the memory that the job takes once it is accepted; see Job.Bytes.
func (c *Submit) Bytes() int64 { return bytesOf(c.Specification, c.Steps, c.Repetitions) }

func bytesOf(specification string, steps []Step, repetitions int) int64 {
	bytes, tasks := jobBytes+len(specification), 0
	for i := range steps {
		s := &steps[i]
		bytes += stepBytes + len(s.Label) + len(s.DataRack) + len(s.Image) + afterBytes*len(s.After)
		tasks += s.Count
	}
	return int64(bytes + taskBytes*tasks*max(repetitions, 1))
}
