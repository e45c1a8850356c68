package store

import "github.com/samphirefork/samphirefork/internal/fleet"

// fleetMachine is the Machine of the fleet's state.
type fleetMachine struct{ state *fleet.State }

// NewFleetMachine returns the Machine that replicates an empty fleet.State.
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
