package dispatch

import (
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/samphirefork/samphirefork/internal/workload"
)

// Bounds of what a report may hold. What a report names is committed to the log and sent to
// other processes, in messages of bounded size.
const (
	maxNameBytes       = 256
	MaxLabels          = 64
	maxCheckpointBytes = 64 << 10
	// maxTicketBytes bounds a ticket. A command and the state hold one for each approved worker.
	maxTicketBytes = 1 << 10
)

// InvalidReportError reports a field that is missing or not valid, of a report or of an entry in
// the list of machines. The report or entry was not processed.
type InvalidReportError struct {
	// Field is the JSON path of the field.
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidReportError) Error() string { return "dispatch: " + e.Field + ": " + e.Reason }

func invalidReport(field, format string, args ...any) error {
	return &InvalidReportError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate returns an *InvalidReportError for a report that no worker sends: it lacks the
// worker, the pool or the sequence, has text that is not UTF-8 or too long, a name with control
// characters, or an amount that is negative or too large.
func (r *Report) Validate() error {
	switch {
	case r.Incarnation.ID == "":
		return invalidReport("life.id", "is missing")
	case r.Pool == "":
		return invalidReport("pool", "is missing")
	case r.Sequence <= 0:
		return invalidReport("sequence", "is not positive")
	case len(r.Labels) > MaxLabels:
		return invalidReport("labels", "has more than %d elements", MaxLabels)
	}
	for _, name := range [...]struct{ field, text string }{
		{"life.id", r.Incarnation.ID}, {"machine", r.Machine}, {"pool", r.Pool}, {"address", r.Address},
		{"data_centre", r.DataCentre}, {"rack", r.Rack},
	} {
		if reason := nameFault(name.text); reason != "" {
			return invalidReport(name.field, "%s", reason)
		}
	}
	for i, label := range r.Labels {
		if reason := nameFault(label); reason != "" {
			return invalidReport(fmt.Sprintf("labels[%d]", i), "%s", reason)
		}
	}
	if err := checkCapacity(r.Capacity); err != nil {
		return err
	}
	return r.validateRuns()
}

func (r *Report) validateRuns() error {
	for i := range r.Running {
		if reason := runFault(r.Running[i].Run, r.Running[i].Checkpoint); reason != "" {
			return invalidReport(fmt.Sprintf("running[%d]", i), "%s", reason)
		}
	}
	for i := range r.Ended {
		if reason := runFault(r.Ended[i].Run, r.Ended[i].Checkpoint); reason != "" {
			return invalidReport(fmt.Sprintf("ended[%d]", i), "%s", reason)
		}
	}
	return nil
}

// runFault returns the reason why a run of a report is not valid, or "".
func runFault(run workload.Run, checkpoint string) string {
	if reason := nameFault(run.Task.Job); reason != "" {
		return "task " + reason
	}
	if reason := textFault(checkpoint, maxCheckpointBytes); reason != "" {
		return "checkpoint " + reason
	}
	return ""
}

// nameFault returns the reason why a text can't be a name, or "". A name of a worker or machine
// has no control characters: a report with one comes from another writer.
func nameFault(text string) string {
	if strings.ContainsFunc(text, unicode.IsControl) {
		return "has a control character"
	}
	return textFault(text, maxNameBytes)
}

// textFault returns the reason why a text can't be committed, or "".
func textFault(text string, maxBytes int) string {
	switch {
	case len(text) > maxBytes:
		return fmt.Sprintf("has more than %d bytes", maxBytes)
	case !utf8.ValidString(text):
		return "is not UTF-8"
	default:
		return ""
	}
}

// Validate returns an *InvalidReportError for a machine that can't be used: it has text that is
// not UTF-8 or too long, a name with control characters, or an amount that is negative or too
// large.
func (m *MachineInfo) Validate() error {
	for _, text := range append([]string{m.Name, m.Pool, m.Rack, m.DataCentre, m.Worker}, m.Labels...) {
		if reason := nameFault(text); reason != "" {
			return invalidReport("machine", "%s", reason)
		}
	}
	return checkCapacity(m.Capacity)
}

// checkCapacity bounds a capacity as requests are bounded, so that no sum over the workers
// overflows.
func checkCapacity(c workload.Resources) error {
	if c.CPUMilli < 0 || c.MemoryMiB < 0 || c.Accelerators < 0 {
		return invalidReport("capacity", "has a negative amount")
	}
	if !c.Fits(workload.Resources{CPUMilli: workload.MaxCPUMilli, MemoryMiB: workload.MaxMemoryMiB, Accelerators: workload.MaxAccelerators}) {
		return invalidReport("capacity", "is more than %d milli-cores, %d MiB or %d accelerators", workload.MaxCPUMilli, workload.MaxMemoryMiB, workload.MaxAccelerators)
	}
	return nil
}
