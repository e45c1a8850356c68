package store

import "github.com/samphirefork/samphirefork/internal/fleet"

// fleetMachine implements Machine with a fleet.State.
type fleetMachine struct{ state *fleet.State }

// NewFleetMachine returns a Machine with an empty fleet.State.
func NewFleetMachine() Machine { return &fleetMachine{state: fleet.NewState()} }

func (m *fleetMachine) Apply(index uint64, cmd fleet.Command) fleet.Result {
	return m.state.Apply(index, cmd)
}

func (m *fleetMachine) Capture() func() ([]byte, error) { return m.state.Capture() }

func (m *fleetMachine) Restore(data []byte) error {
	state, err := fleet.DecodeSnapshot(data)
	if err != nil {
		return err
	}
	m.state = state
	return nil
}

func (m *fleetMachine) State() *fleet.State { return m.state }
