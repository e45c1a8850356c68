package store

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
)

// proposal is a command that was submitted and has no result yet. Once it is appended to the
// log, cmd is what its entry decodes to, and term that of the entry.
type proposal struct {
	cmd  fleet.Command
	term uint64
	done chan outcome
}

type outcome struct {
	result fleet.Result
	err    error
}

// Propose implements fleet.Log. Commands that arrive during a sync share the next one. It
// returns fleet.ErrNotLeader if the command was not committed, fleet.ErrUncertain if it
// may or may not be committed, and fleet.ErrCommand, wrapped, for one that can't be stored:
// it is malformed or, with ErrCommandTooLarge, exceeds the size limit.
func (n *Node) Propose(ctx context.Context, cmd fleet.Command) (fleet.Result, error) {
	p := &proposal{cmd: cmd, done: make(chan outcome, 1)}
	select {
	case <-n.stopped:
		return fleet.Result{}, fleet.ErrNotLeader
	default:
	}
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return fleet.Result{}, fleet.ErrNotLeader
	case <-n.stopped:
		return fleet.Result{}, fleet.ErrNotLeader
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
	case <-n.stopped:
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	default:
		return fleet.Result{}, fleet.ErrUncertain
	}
}

// proposeBatch appends the queued proposals to the log in one batch.
func (n *Node) proposeBatch(first *proposal) {
	batch := n.prepare(nil, first)
	for len(batch) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = n.prepare(batch, p)
			continue
		default:
		}
		break
	}
	n.append(batch)
}

// preparedProposal is a proposal and its encoded command.
type preparedProposal struct {
	p    *proposal
	data []byte
}

// prepare sets the cluster time and the wall-clock time of the command and adds it to the
// batch. It refuses the proposal if this store does not lead or can't encode it.
func (n *Node) prepare(batch []preparedProposal, p *proposal) []preparedProposal {
	if !n.leading(n.view.Load()) {
		p.done <- outcome{err: fleet.ErrNotLeader}
		return batch
	}
	p.cmd.Time = n.leadership.now(n.clock())
	p.cmd.WallUnixMS = time.Now().UnixMilli()
	data, decoded, err := encodeDecodable(p.cmd)
	if err != nil {
		n.receiveLog.Warn().Err(err).Msg("command refused, no store could apply it")
		p.done <- outcome{err: errors.Wrap(err, "store: encode command")}
		return batch
	}
	p.cmd = decoded
	return append(batch, preparedProposal{p: p, data: data})
}

// encodeDecodable returns the encoding of a command and what it decodes to, which this store
// applies later. An entry that fails to decode would fail on every store, so it must not be
// appended; the error wraps fleet.ErrCommand.
func encodeDecodable(cmd fleet.Command) ([]byte, fleet.Command, error) {
	data, err := fleet.EncodeCommand(cmd)
	if err != nil {
		return nil, fleet.Command{}, err
	}
	if len(data) > maxCommandBytes {
		return nil, fleet.Command{}, ErrCommandTooLarge
	}
	decoded, err := fleet.DecodeCommand(data)
	return data, decoded, err
}

func (n *Node) append(batch []preparedProposal) {
	if len(batch) == 0 {
		return
	}
	commands := make([][]byte, 0, len(batch))
	for _, s := range batch {
		commands = append(commands, s.data)
	}
	first, err := n.core.Propose(commands)
	term := n.core.Status().Term
	for i, s := range batch {
		if err != nil {
			s.p.done <- outcome{err: fleet.ErrNotLeader}
			continue
		}
		s.p.term = term
		n.pending[first+uint64(i)] = s.p
	}
	n.metrics.proposals.Inc(int64(len(batch)))
}

// completeProposal returns the result to the proposal at the entry's index. If the entry
// has another term, it replaced the proposal, which is therefore not committed.
func (n *Node) completeProposal(e raft.Entry, result fleet.Result) {
	p, ok := n.pending[e.Index]
	if !ok {
		return
	}
	delete(n.pending, e.Index)
	if p.term != e.Term {
		p.done <- outcome{err: fleet.ErrNotLeader}
		return
	}
	p.done <- outcome{result: result}
}

// failPending ends all pending proposals and the pending membership change with err when
// the leadership ends.
func (n *Node) failPending(err error) {
	for index, p := range n.pending {
		p.done <- outcome{err: err}
		delete(n.pending, index)
	}
	if n.change != nil {
		n.change.done <- err
		n.change = nil
	}
}
