package api

import (
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// StepJob is the record of a job of steps. The body of its submission is a
// workload.Submit, and its identifier is that of the request.
type StepJob struct {
	ID    string            `json:"id"`
	Queue string            `json:"queue"`
	State workload.JobState `json:"state"`
	// Steps is the progress of each step, while the job is under way.
	Steps []wire.StepCount `json:"steps,omitempty"`
}
