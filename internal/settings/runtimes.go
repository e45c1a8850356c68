package settings

import "github.com/pkg/errors"

// RunTimes is where expected run times of tasks are taken from.
type RunTimes uint8

// Sources of expected run times. RunTimesLearned is the default.
const (
	// RunTimesLearned expects run times as finished runs have shown them.
	RunTimesLearned RunTimes = iota
	// RunTimesDeclared expects the run times that submissions declare.
	RunTimesDeclared
)

// ErrRunTimes is returned for a text that names no source of run times.
var ErrRunTimes = errors.New("expected \"learned\" or \"declared\"")

// MarshalText implements encoding.TextMarshaler.
func (r RunTimes) MarshalText() ([]byte, error) {
	if r == RunTimesDeclared {
		return []byte("declared"), nil
	}
	return []byte("learned"), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It returns ErrRunTimes for an unknown
// text.
func (r *RunTimes) UnmarshalText(text []byte) error {
	switch string(text) {
	case "learned":
		*r = RunTimesLearned
	case "declared":
		*r = RunTimesDeclared
	default:
		return errors.Wrapf(ErrRunTimes, "%q", text)
	}
	return nil
}
