package fleet

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	snapshotVersion = 1
	// maxElements bounds each list and map that is decoded from a snapshot or command.
	// Job records and tombstones together stay within it, so that every snapshot can be
	// restored.
	maxElements = 1 << 20
)

// Errors of DecodeSnapshot, and of EncodeCommand and DecodeCommand.
var (
	ErrSnapshot = errors.New("fleet: the snapshot is malformed")
	ErrCommand  = errors.New("fleet: the command is malformed or too large")
)

type snapshot struct {
	Version int    `cbor:"1,keyasint"`
	State   *State `cbor:"2,keyasint"`
}

var (
	encMode = newEncMode()
	decMode = newDecMode()
)

// newEncMode returns an encoder that sorts map keys, so that equal states have equal
// snapshots.
func newEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecMode() cbor.DecMode {
	opts := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  16,
	}
	mode, err := opts.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeSnapshot encodes the state as deterministic CBOR.
func (s *State) EncodeSnapshot() ([]byte, error) {
	data, err := encMode.Marshal(snapshot{Version: snapshotVersion, State: s})
	return data, errors.Wrap(err, "fleet: encode snapshot")
}

// Capture copies the state and returns a function that encodes the copy as
// EncodeSnapshot does. The function may run while later commands are applied.
func (s *State) Capture() func() ([]byte, error) {
	return s.clone().EncodeSnapshot
}

// clone copies the parts of the state that Apply modifies in place. The maps of the
// configuration, the elements of Answers and Tombstones, and the payloads and results
// of jobs are shared, since they are never modified.
func (s *State) clone() *State {
	c := &State{
		Applied: s.Applied, Now: s.Now, Config: s.Config, InForce: s.InForce,
		Status: maps.Clone(s.Status), Plans: maps.Clone(s.Plans),
		Jobs: make(map[string]*Job, len(s.Jobs)), Grants: make(map[string]map[string]int, len(s.Grants)),
		Audit: slices.Clone(s.Audit), Answers: s.Answers, Tombstones: s.Tombstones,
		Workload: s.Workload.Clone(),
	}
	jobs := make([]Job, 0, len(s.Jobs))
	for id, j := range s.Jobs {
		jobs = append(jobs, *j)
		c.Jobs[id] = &jobs[len(jobs)-1]
	}
	for entry, units := range s.Grants {
		c.Grants[entry] = maps.Clone(units)
	}
	return c
}

// DecodeSnapshot restores the state from the output of EncodeSnapshot. The change feed
// of the restored state is empty. Any error wraps ErrSnapshot.
func DecodeSnapshot(data []byte) (*State, error) {
	var snap snapshot
	if err := decMode.Unmarshal(data, &snap); err != nil {
		return nil, errors.Wrap(ErrSnapshot, err.Error())
	}
	if snap.Version != snapshotVersion || snap.State == nil {
		return nil, errors.Wrapf(ErrSnapshot, "no state, or format version %d is not supported", snap.Version)
	}
	s := snap.State
	for id, j := range s.Jobs {
		if j == nil || j.ID != id {
			return nil, errors.Wrapf(ErrSnapshot, "record of job %q is empty or has another identifier", id)
		}
	}
	s.initMaps()
	s.Workload.Rebuild()
	s.rebuild()
	return s, nil
}

// EncodeCommand encodes a command for a log entry as deterministic CBOR. Any error wraps
// ErrCommand. The encoder checks less than the decoder: text that is not UTF-8 and lists that
// are too long have an encoding that DecodeCommand refuses.
func EncodeCommand(cmd Command) ([]byte, error) {
	data, err := encMode.Marshal(cmd)
	if err != nil {
		return nil, errors.Wrap(ErrCommand, err.Error())
	}
	return data, nil
}

// DecodeCommand decodes the command of a log entry. Any error wraps ErrCommand.
func DecodeCommand(data []byte) (Command, error) {
	var cmd Command
	if err := decMode.Unmarshal(data, &cmd); err != nil {
		return cmd, errors.Wrap(ErrCommand, err.Error())
	}
	return cmd, nil
}
