package api

import (
	"github.com/samphirefork/samphirefork/internal/wire"
	"github.com/samphirefork/samphirefork/internal/workload"
)

// StepJob is the JSON record of a job of steps. Such a job is submitted as a
// [workload.Submit], and its identifier is the request identifier of the submission.
type StepJob struct {
	ID    string            `json:"id"`
	Queue string            `json:"queue"`
	State workload.JobState `json:"state"`
	// Steps is the progress of each step while the job is unfinished.
	Steps []wire.StepCount `json:"steps,omitempty"`
}
