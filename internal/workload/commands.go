package workload

import "strconv"

// Command is one change of the state; exactly one field is set.
type Command struct {
	Configure *Config   `cbor:"1,keyasint,omitempty"`
	Submit    *Submit   `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel   `cbor:"3,keyasint,omitempty"`
	Progress  *Progress `cbor:"4,keyasint,omitempty"`
	Wave      *Wave     `cbor:"5,keyasint,omitempty"`
}

// Submit accepts a job. A repetition with equal content is accepted again.
type Submit struct {
	ID            string `cbor:"1,keyasint" json:"-"`
	Queue         string `cbor:"2,keyasint" json:"-"`
	Team          string `cbor:"3,keyasint,omitempty" json:"-"`
	Specification string `cbor:"4,keyasint,omitempty" json:"specification,omitempty"`
	Steps         []Step `cbor:"5,keyasint" json:"steps"`
	Repetitions   int    `cbor:"6,keyasint,omitempty" json:"repetitions,omitempty"`
	FirstRunMS    int64  `cbor:"7,keyasint,omitempty" json:"first_run_ms,omitempty"`
	IntervalMS    int64  `cbor:"8,keyasint,omitempty" json:"interval_ms,omitempty"`
}

// Cancel ends a job.
type Cancel struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
}

// Progress is a batch of what happened to tasks and of decisions on them. Ends
// are applied before stops, and stops before starts.
type Progress struct {
	Ends   []End           `cbor:"1,keyasint,omitempty"`
	Stops  []Run           `cbor:"2,keyasint,omitempty"`
	Due    []DueOccurrence `cbor:"3,keyasint,omitempty"`
	Starts []Start         `cbor:"4,keyasint,omitempty"`
	// Ordered lists machines whose maintenance is about to be ordered.
	Ordered []WaveMachine `cbor:"7,keyasint,omitempty"`
	// Begun lists machines whose maintenance has begun.
	Begun []WaveMachine `cbor:"5,keyasint,omitempty"`
	// PruneBefore removes the records of jobs that ended before this cluster time.
	PruneBefore int64 `cbor:"6,keyasint,omitempty"`
}

// Run names one run of a task.
type Run struct {
	Task TaskRef `cbor:"1,keyasint" json:"task"`
	Run  int     `cbor:"2,keyasint" json:"run"`
}

// Start begins a run. The members of a gang start in one batch with one number.
type Start struct {
	Task   TaskRef           `cbor:"1,keyasint"`
	Run    int               `cbor:"2,keyasint"`
	Worker WorkerIncarnation `cbor:"3,keyasint"`
	// Ticket shows the worker that the queue's advice approved it.
	Ticket string `cbor:"4,keyasint,omitempty"`
	// Machine is the machine of the worker.
	Machine string `cbor:"5,keyasint,omitempty"`
}

// DueOccurrence begins an occurrence of a repeated job.
type DueOccurrence struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint"`
	DueAt      int64  `cbor:"3,keyasint"`
}

// Outcome tells how a run ended.
type Outcome uint8

// Outcomes. OutcomeLost is a run whose worker's lease has run out or whose
// worker's life is over. OutcomeAbandoned is no end: the worker of a speculative
// task is silent, and the task may start elsewhere beside it.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	OutcomeStopped
	OutcomeLapsed
	OutcomeBroken
	OutcomeAlone
	OutcomeRefused
	OutcomeLost
	OutcomeAbandoned
)

// String returns the name of the outcome in logs.
func (o Outcome) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "lost", "abandoned"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// MarshalText writes the outcome by its name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the name of an outcome.
func (o *Outcome) UnmarshalText(text []byte) error {
	for known := OutcomeDone; known <= OutcomeRefused; known++ {
		if known.String() == string(text) {
			*o = known
			return nil
		}
	}
	return &InvalidError{Field: "outcome", Reason: strconv.Quote(string(text)) + " is not known"}
}

// End is the end of a run.
type End struct {
	Task       TaskRef           `cbor:"1,keyasint"`
	Run        int               `cbor:"2,keyasint"`
	Worker     WorkerIncarnation `cbor:"3,keyasint"`
	Outcome    Outcome           `cbor:"4,keyasint"`
	Checkpoint string            `cbor:"5,keyasint,omitempty"`
}

// WaveMachine names a machine of a wave.
type WaveMachine struct {
	Wave    int64  `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// Refusal is the reason why a command changed nothing.
type Refusal string

// Refusals.
const (
	RefusedVersionReused Refusal = "version_reused"
	RefusedNoQueue       Refusal = "no_such_queue"
	RefusedIDReused      Refusal = "id_reused"
	RefusedNoJob         Refusal = "no_such_job"
	RefusedWaveReused    Refusal = "wave_reused"
)

// Result is the answer to a command.
type Result struct {
	Refusal Refusal `cbor:"1,keyasint,omitempty"`
	// Version is the version in force after a Configure.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Known is true when a submitted job was accepted earlier.
	Known bool `cbor:"3,keyasint,omitempty"`
}
