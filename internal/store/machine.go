package store

import "github.com/samphirefork/samphirefork/internal/fleet"

// Machine is the replicated state machine. The node calls it under its own
// lock; Apply must be deterministic.
type Machine interface {
	// Apply carries out a committed command.
	Apply(index uint64, cmd fleet.Command) fleet.Result
	// Encode returns a snapshot of the state.
	Encode() ([]byte, error)
	// Restore replaces the state by a snapshot.
	Restore(data []byte) error
	// State returns the present state, for readers.
	State() *fleet.State
}
