package workload

import "strconv"

// Command is one change of the state. Exactly one field is set.
type Command struct {
	Configure *Config   `cbor:"1,keyasint,omitempty"`
	Submit    *Submit   `cbor:"2,keyasint,omitempty"`
	Cancel    *Cancel   `cbor:"3,keyasint,omitempty"`
	Progress  *Progress `cbor:"4,keyasint,omitempty"`
	Wave      *Wave     `cbor:"5,keyasint,omitempty"`
	Evacuate  *Evacuate `cbor:"6,keyasint,omitempty"`
}

// Submit submits a job. A repetition with the same ID and equal content changes nothing
// and succeeds. In JSON it is the body of a submission: ID, Queue and Team come from the
// request.
type Submit struct {
	ID            string `cbor:"1,keyasint" json:"-"`
	Queue         string `cbor:"2,keyasint" json:"-"`
	Team          string `cbor:"3,keyasint,omitempty" json:"-"`
	Specification string `cbor:"4,keyasint,omitempty" json:"specification,omitempty"`
	Steps         []Step `cbor:"5,keyasint" json:"steps"`
	Repetitions   int    `cbor:"6,keyasint,omitempty" json:"repetitions,omitempty"`
	FirstRunMS    int64  `cbor:"7,keyasint,omitempty" json:"first_run_ms,omitempty"`
	IntervalMS    int64  `cbor:"8,keyasint,omitempty" json:"interval_ms,omitempty"`
	// ConfigVersion is the version of the configuration by which Queue and Team were determined. The
	// command is refused under any other, in which the names may be those of others. It is 0 in logs of
	// earlier versions, which are not checked.
	ConfigVersion int64 `cbor:"9,keyasint,omitempty" json:"-"`
}

// Cancel cancels a job of a queue. It changes nothing if the job has ended.
type Cancel struct {
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue in logs of earlier versions, which have no QueueKey.
	Queue    string    `cbor:"2,keyasint,omitempty"`
	QueueKey *QueueKey `cbor:"3,keyasint,omitempty"`
}

// Progress is a batch of ends of runs and of the leader's decisions. They are applied in
// the order of the fields: Started, Ends, Stops, Withdrawn, Due, Cleared, Starts, Ordered, Begun,
// ForgetRunTimes, PruneBefore.
type Progress struct {
	// Started lists placed runs that their workers have reported to run.
	Started []StartedRun `cbor:"12,keyasint,omitempty"`
	Ends    []End        `cbor:"1,keyasint,omitempty"`
	Stops   []Stop       `cbor:"2,keyasint,omitempty"`
	// Inactive lists the placed runs in the steps of the stops that the leader does not know to be
	// active.
	Inactive []Run `cbor:"10,keyasint,omitempty"`
	// Withdrawn lists long-running runs that were to stop and go on.
	Withdrawn []Run           `cbor:"11,keyasint,omitempty"`
	Due       []DueOccurrence `cbor:"3,keyasint,omitempty"`
	// Cleared lists runs that have been active for long enough to show that their tasks do
	// not crash their workers.
	Cleared []Run   `cbor:"8,keyasint,omitempty"`
	Starts  []Start `cbor:"4,keyasint,omitempty"`
	// Ordered lists machines whose maintenance is about to be ordered. One on which a long-running
	// task is placed is not recorded, and its maintenance must not be ordered.
	Ordered []WaveMachine `cbor:"7,keyasint,omitempty"`
	// Begun lists machines whose maintenance has begun, or that are gone.
	Begun []WaveMachine `cbor:"5,keyasint,omitempty"`
	// PruneBefore is a cluster time; jobs that ended before it are removed. 0 removes none.
	PruneBefore int64 `cbor:"6,keyasint,omitempty"`
	// ForgetRunTimes clears the run times that were learned.
	ForgetRunTimes bool `cbor:"9,keyasint,omitempty"`
}

// Run identifies one run of a task.
type Run struct {
	Task TaskRef `cbor:"1,keyasint" json:"task"`
	Run  int     `cbor:"2,keyasint" json:"run"`
}

// StartedRun is a run that its worker has reported, and the cluster time at which it started.
type StartedRun struct {
	Run
	At int64 `cbor:"3,keyasint"`
}

// Stop stops a run. That of a long-running task changes nothing if its step has as many other
// tasks away as its InterruptionBudget.
type Stop struct {
	Run
	// Forced is true for a run that can't go on, whatever the budget: its worker exits, or it is
	// not active and makes no progress.
	Forced bool `cbor:"3,keyasint,omitempty"`
}

// Start starts a run of a waiting task. The members of a gang start in one batch and with
// the same run number. A Start that no longer applies to the state changes nothing.
type Start struct {
	Task   TaskRef           `cbor:"1,keyasint"`
	Run    int               `cbor:"2,keyasint"`
	Worker WorkerIncarnation `cbor:"3,keyasint"`
	// Ticket proves to the worker that the advice service has approved it; empty when the
	// queue needs no approval.
	Ticket string `cbor:"4,keyasint,omitempty"`
	// Machine is the machine that the worker runs on.
	Machine string `cbor:"5,keyasint,omitempty"`
	// TicketOf is the position, from 1, of an earlier start of the batch that has the ticket; 0 when
	// Ticket holds it.
	TicketOf int `cbor:"6,keyasint,omitempty"`
}

// DueOccurrence begins an occurrence of a repeated job, which was due at cluster time
// DueAt.
type DueOccurrence struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint"`
	DueAt      int64  `cbor:"3,keyasint"`
}

// Outcome is how a run ended.
type Outcome uint8

// Outcomes. Workers report those up to OutcomeRefused. Only OutcomeFailed counts as a
// failed attempt; after any other except OutcomeDone the task just waits for its next run.
const (
	OutcomeDone Outcome = iota + 1
	OutcomeFailed
	// OutcomeStopped is a run that was told to stop.
	OutcomeStopped
	// OutcomeLapsed is a run that its worker ended because the worker's lease expired.
	OutcomeLapsed
	// OutcomeBroken and OutcomeAlone are the ends "broken" and "alone", which workers of
	// the platform report.
	OutcomeBroken
	OutcomeAlone
	// OutcomeRefused is a run that its worker refused to start, or will refuse because it was told
	// to stop it first.
	OutcomeRefused
	// OutcomeLost is a run whose worker did not report its end before the worker's lease
	// expired or its incarnation was over.
	OutcomeLost
	// OutcomeAbandoned does not end a run: its worker is silent, and the speculative task
	// may start on another worker meanwhile.
	OutcomeAbandoned
	// OutcomeCrashed is a run whose worker crashed.
	OutcomeCrashed
)

// ProvesStart reports whether only a run that has started ends in this way. The other outcomes
// are those of workers that refused the run or did not report its end.
func (o Outcome) ProvesStart() bool {
	switch o {
	case OutcomeDone, OutcomeFailed, OutcomeStopped, OutcomeLapsed, OutcomeBroken, OutcomeAlone:
		return true
	default:
		return false
	}
}

// String returns the name of the outcome, or "unknown".
func (o Outcome) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "broken", "alone", "refused", "lost", "abandoned", "crashed"}
	if int(o) < len(names) {
		return names[o]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It accepts the outcomes that workers
// report, and returns an *InvalidError for any other text.
func (o *Outcome) UnmarshalText(text []byte) error {
	for known := OutcomeDone; known <= OutcomeRefused; known++ {
		if known.String() == string(text) {
			*o = known
			return nil
		}
	}
	return &InvalidError{Field: "outcome", Reason: strconv.Quote(string(text)) + " is not known"}
}

// End ends a run of a task, and frees the task for its next run. An End of a run that is
// not on the worker changes nothing.
type End struct {
	Task       TaskRef           `cbor:"1,keyasint"`
	Run        int               `cbor:"2,keyasint"`
	Worker     WorkerIncarnation `cbor:"3,keyasint"`
	Outcome    Outcome           `cbor:"4,keyasint"`
	Checkpoint string            `cbor:"5,keyasint,omitempty"`
	// CrashScore is what the crash adds to the task's score; 0 for any other outcome.
	CrashScore int `cbor:"6,keyasint,omitempty"`
	// Timed is true when the time since StartedAt is the run time of the task, so that estimates may
	// rest on it. In logs of earlier versions StartedAt is 0, and the time since the placement counts.
	Timed bool `cbor:"7,keyasint,omitempty"`
	// StartedAt is the cluster time at which the run started; 0 when it has not, or the time is not
	// known.
	StartedAt int64 `cbor:"8,keyasint,omitempty"`
}

// WaveMachine identifies a machine of a wave.
type WaveMachine struct {
	Wave    int64  `cbor:"1,keyasint"`
	Machine string `cbor:"2,keyasint"`
}

// Refusal is the reason why a command was refused; empty when it was not. A refused
// command changes nothing.
type Refusal string

// Refusals. RefusedVersionReused, RefusedIDReused and RefusedWaveReused mean that the
// version, identifier or number was used before with other content.
const (
	RefusedVersionReused Refusal = "version_reused"
	RefusedNoQueue       Refusal = "no_such_queue"
	RefusedIDReused      Refusal = "id_reused"
	RefusedNoJob         Refusal = "no_such_job"
	RefusedWaveReused    Refusal = "wave_reused"
	// RefusedConfigChanged means that the command was determined by another configuration.
	RefusedConfigChanged Refusal = "config_changed"
)

// Result is the answer to a command.
type Result struct {
	Refusal Refusal `cbor:"1,keyasint,omitempty"`
	// Version is the version of the configuration in force after a Configure.
	Version int64 `cbor:"2,keyasint,omitempty"`
	// Known is true when the job or wave was accepted by an earlier command.
	Known bool `cbor:"3,keyasint,omitempty"`
}
