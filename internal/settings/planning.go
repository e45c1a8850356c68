package settings

import (
	"slices"
	"strconv"
	"strings"
)

// ChoiceError means that a text is none of the values that a setting may have.
type ChoiceError struct {
	Value   string
	Allowed []string
}

// Error implements error.
func (e *ChoiceError) Error() string {
	return strconv.Quote(e.Value) + " is none of " + strings.Join(e.Allowed, ", ")
}

// choices are the names of the values of a setting, in the order of the constants.
type choices []string

func (c choices) unmarshal(value *uint8, text []byte) error {
	i := slices.Index(c, string(text))
	if i < 0 {
		return &ChoiceError{Value: string(text), Allowed: c}
	}
	*value = uint8(i)
	return nil
}

// RunTimes is where expected run times of tasks are taken from.
type RunTimes uint8

// Sources of expected run times. RunTimesLearned is the default.
const (
	// RunTimesLearned expects run times as finished runs have shown them.
	RunTimesLearned RunTimes = iota
	// RunTimesDeclared expects the run times that submissions declare.
	RunTimesDeclared
)

var runTimesNames = choices{"learned", "declared"}

// MarshalText implements encoding.TextMarshaler.
func (r RunTimes) MarshalText() ([]byte, error) { return []byte(runTimesNames[r]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *ChoiceError.
func (r *RunTimes) UnmarshalText(text []byte) error {
	return runTimesNames.unmarshal((*uint8)(r), text)
}

// OverloadOrder is the order of the work of a pool in which more waits than has room.
type OverloadOrder uint8

// Orders under overload. OrderInTime is the default.
const (
	// OrderInTime places first what can still be finished in time.
	OrderInTime OverloadOrder = iota
	// OrderByDeadline places the earliest deadline first, as in any other pool.
	OrderByDeadline
)

var overloadOrderNames = choices{"in_time", "deadline"}

// MarshalText implements encoding.TextMarshaler.
func (o OverloadOrder) MarshalText() ([]byte, error) { return []byte(overloadOrderNames[o]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *ChoiceError.
func (o *OverloadOrder) UnmarshalText(text []byte) error {
	return overloadOrderNames.unmarshal((*uint8)(o), text)
}

// SurplusMachines is what happens to the machines that a pool does not need for its work.
type SurplusMachines uint8

// Treatments of surplus machines. SurplusEmptied is the default.
const (
	// SurplusEmptied machines get new tasks only if no other can take them, and leave.
	SurplusEmptied SurplusMachines = iota
	// SurplusKept machines are used like the others, and leave once they have been idle.
	SurplusKept
)

var surplusMachinesNames = choices{"empty", "keep"}

// MarshalText implements encoding.TextMarshaler.
func (s SurplusMachines) MarshalText() ([]byte, error) { return []byte(surplusMachinesNames[s]), nil }

// UnmarshalText implements encoding.TextUnmarshaler. The error is a *ChoiceError.
func (s *SurplusMachines) UnmarshalText(text []byte) error {
	return surplusMachinesNames.unmarshal((*uint8)(s), text)
}

// Planning selects how tasks are planned and how machines move between pools.
type Planning struct {
	RunTimes        RunTimes        `json:"run_times,omitempty"`
	OverloadOrder   OverloadOrder   `json:"overload_order,omitempty"`
	SurplusMachines SurplusMachines `json:"surplus_machines,omitempty"`
}
