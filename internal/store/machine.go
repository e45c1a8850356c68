package store

import "github.com/samphirefork/samphirefork/internal/fleet"

// Machine is the replicated state machine. The node calls it under its own
// lock; Apply must be deterministic.
type Machine interface {
	// Apply carries out a committed command.
	Apply(index uint64, cmd fleet.Command) fleet.Result
	// Capture returns a function that encodes a snapshot of the state as it is
	// now. The function may run while later commands are applied.
	Capture() func() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
	// State returns the present state, for readers.
	State() *fleet.State
}
