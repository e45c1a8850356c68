package store

import (
	"fmt"
	"maps"
	"runtime/debug"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
)

// ApplyPanicError reports a committed command at which the state machine panicked.
type ApplyPanicError struct {
	Index uint64
	Value any
	Stack []byte
}

// Error implements error.
func (e *ApplyPanicError) Error() string {
	return fmt.Sprintf("store: applying the command at index %d panicked: %v", e.Index, e.Value)
}

// hasCommand reports whether the entry has a command for the state machine.
func hasCommand(e raft.Entry) bool { return e.Kind != raft.EntryMembership && e.Kind != raft.EntryNoop }

// applyCommand applies the command of a committed entry. An entry that can't be decoded, or at
// which the machine panics, is skipped: its result is a refusal, and the state stays as it was
// before. Whether that happens depends on nothing but the entry and the state, so all stores
// skip the same entries, also after a restart. A store that stopped instead would meet the
// entry again after each restart, like all others.
//
// The error is not nil if the state could not be restored after a panic.
func (n *Node) applyCommand(e raft.Entry) (fleet.Result, error) {
	cmd, err := n.decodeEntry(e)
	if err != nil {
		return n.skip(e, err), nil
	}
	result, err := n.applyRecovering(e.Index, cmd)
	if err == nil {
		return result, nil
	}
	n.skipped[e.Index] = true
	if err := n.rebuildState(e.Index - 1); err != nil {
		return fleet.Result{}, err
	}
	return n.skip(e, err), nil
}

// decodeEntry returns the command of an entry. The entry of this store's own proposal was
// decoded when it was proposed.
func (n *Node) decodeEntry(e raft.Entry) (fleet.Command, error) {
	if p, ok := n.pending[e.Index]; ok && p.term == e.Term {
		return p.cmd, nil
	}
	return fleet.DecodeCommand(e.Data)
}

// applyRecovering applies a command. If the machine panics, the error is an *ApplyPanicError,
// and the state may hold any part of the changes.
func (n *Node) applyRecovering(index uint64, cmd fleet.Command) (result fleet.Result, err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &ApplyPanicError{Index: index, Value: value, Stack: debug.Stack()}
		}
	}()
	return n.machine.Apply(index, cmd), nil
}

// skip logs and counts a skipped entry, and returns its result.
func (n *Node) skip(e raft.Entry, err error) fleet.Result {
	n.metrics.skipped.Inc(1)
	line := n.log.Error().Err(err).Uint64("index", e.Index).Uint64("term", e.Term).Int("bytes", len(e.Data))
	var panicked *ApplyPanicError
	if errors.As(err, &panicked) {
		line = line.Bytes("stack", panicked.Stack)
	}
	line.Msg("committed entry can't be applied and is skipped")
	return fleet.Result{Refusal: &fleet.Refusal{Code: fleet.CodeInvalid, Message: "the log skipped the command: " + err.Error()}}
}

// rebuildState sets the state to that after the entry at an index, from the newest snapshot and
// the entries that follow it.
func (n *Node) rebuildState(upTo uint64) error {
	snapshot, entries, ok := n.core.Replay(upTo)
	if !ok {
		return errors.Errorf("store: the log no longer holds the entries up to index %d", upTo)
	}
	data := snapshot.Data
	if snapshot.Index == 0 {
		data = n.initialState
	}
	if err := n.machine.Restore(data); err != nil {
		return errors.Wrap(err, "store: restore state")
	}
	for _, e := range entries {
		if !hasCommand(e) || n.skipped[e.Index] {
			continue
		}
		cmd, err := fleet.DecodeCommand(e.Data)
		if err != nil {
			continue
		}
		if _, err := n.applyRecovering(e.Index, cmd); err != nil {
			return err
		}
	}
	return nil
}

// forgetSkipped forgets the skipped entries up to an index, which a snapshot covers.
func (n *Node) forgetSkipped(upTo uint64) {
	maps.DeleteFunc(n.skipped, func(index uint64, _ bool) bool { return index <= upTo })
}
