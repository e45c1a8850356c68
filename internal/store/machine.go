package store

import "github.com/samphirefork/samphirefork/internal/fleet"

// Machine is the replicated state machine. Node never calls Apply or Restore concurrently
// with another method. Apply must be deterministic.
type Machine interface {
	// Apply applies the committed command at an index of the log and returns its result.
	Apply(index uint64, cmd fleet.Command) fleet.Result
	// Capture returns a function that encodes a snapshot of the current state. The function
	// may run concurrently with later calls of Apply.
	Capture() func() ([]byte, error)
	// Restore replaces the state with the one in a snapshot.
	Restore(data []byte) error
	// State returns the current state. Callers must not change it.
	State() *fleet.State
}
