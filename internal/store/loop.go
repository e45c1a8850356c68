package store

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"github.com/samphirefork/samphirefork/internal/fleet"
	"github.com/samphirefork/samphirefork/internal/raft"
)

// maxBatch bounds the messages or proposals that one iteration of the loop handles.
const maxBatch = 512

// Run runs the node until ctx ends. It then transfers the leadership to another voter,
// if this store leads, and closes the node. A returned error, such as that of a failed
// disk, is final: the process must exit.
func (n *Node) Run(ctx context.Context) error {
	n.running.Add(1)
	go n.persistLoop()
	err := n.loop(ctx)
	n.failPending(fleet.ErrUncertain)
	n.view.Store(&view{term: n.core.Status().Term})
	close(n.stopped)
	n.rejectQueuedProposals()
	close(n.persistRequests)
	n.running.Wait()
	n.Close()
	return err
}

// loop handles messages, proposals and timers until ctx ends. A leader then continues
// until it no longer leads, for at most two minimum election timeouts.
func (n *Node) loop(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.Tick.Std())
	defer ticker.Stop()
	stop := ctx.Done()
	var handover <-chan time.Time
	for {
		if err := n.processReady(); err != nil {
			return err
		}
		if stop == nil && n.core.Status().Role != raft.Leader {
			return nil
		}
		select {
		case <-stop:
			stop = nil
			timer := time.NewTimer(2 * n.minElection())
			defer timer.Stop()
			handover = timer.C
			n.core.Transfer()
			if n.isOnlyVoter() {
				return nil
			}
		case <-handover:
			return nil
		case <-ticker.C:
			n.core.Tick(n.clock())
			n.checkSlowWrite()
			n.logLateMembers()
		case e := <-n.inbox:
			n.stepAll(e)
		case p := <-n.proposalsBelowLimit():
			n.proposeBatch(p)
		case ch := <-n.changes:
			n.proposeChange(ch)
		case res := <-n.persisted:
			if err := n.afterPersist(res); err != nil {
				return err
			}
		case res := <-n.snapshotSaved:
			if err := n.afterSnapshotSaved(res); err != nil {
				return err
			}
		}
	}
}

// rejectQueuedProposals refuses the proposals that the loop did not receive.
func (n *Node) rejectQueuedProposals() {
	for {
		select {
		case p := <-n.proposals:
			p.done <- outcome{err: fleet.ErrNotLeader}
		default:
			return
		}
	}
}

// isOnlyVoter reports whether there is no other voter that could become the leader.
func (n *Node) isOnlyVoter() bool {
	for _, m := range n.core.Status().Members {
		if !m.Learner && m.ID != n.cfg.ID {
			return false
		}
	}
	return true
}

// proposalsBelowLimit returns the channel of proposals, or nil while maxPending proposals
// are in the log and not applied.
func (n *Node) proposalsBelowLimit() <-chan *proposal {
	if len(n.pending) >= maxPending {
		return nil
	}
	return n.proposals
}

func (n *Node) stepAll(e envelope) {
	n.step(e)
	for range maxBatch {
		select {
		case e := <-n.inbox:
			n.step(e)
		default:
			return
		}
	}
}

func (n *Node) step(e envelope) {
	if !n.checkIncarnations(e) {
		n.metrics.refused.Inc(1)
		return
	}
	n.network.recordAddress(e.Message.From, e.Address)
	n.core.Step(n.clock(), e.Message)
}

// processReady sends messages, starts writes and applies entries as the core requires.
// At most one write is in progress.
func (n *Node) processReady() error {
	defer n.publishView()
	if n.fatal != nil {
		return n.fatal
	}
	n.network.send(n.core.Messages())
	for !n.persisting {
		rd, ok := n.core.Ready()
		if !ok {
			break
		}
		n.network.send(rd.Messages)
		if rd.MustPersist() {
			n.startPersist(rd)
			break
		}
		if err := n.completeReady(rd); err != nil {
			return err
		}
	}
	if n.incarnationsDirty && !n.persisting {
		n.startPersist(raft.Ready{})
	}
	n.updateLeadership()
	return nil
}

// startPersist passes what must become durable to persistLoop.
func (n *Node) startPersist(rd raft.Ready) {
	req := persistRequest{ready: rd, trimTo: n.trimTo}
	if n.incarnationsDirty {
		req.peerIncarnations = maps.Clone(n.peerIncarnations)
	}
	n.persisting = true
	n.persistStarted = n.clock()
	n.trimTo = 0
	n.incarnationsDirty = false
	n.persistRequests <- req
}

// checkSlowWrite transfers the leadership if a write has been in progress for at
// least the minimum election timeout, since nothing is applied here until it ends. Every
// store logs a slow write once, because a store that can't write still answers
// heartbeats.
func (n *Node) checkSlowWrite() {
	pending := time.Duration(n.clock() - n.persistStarted)
	if !n.persisting || pending < n.minElection() {
		return
	}
	if !n.slowWriteLogged {
		n.slowWriteLogged = true
		n.log.Warn().Dur("pending", pending).Msg("disk does not finish a write")
	}
	if n.core.Status().Role == raft.Leader {
		n.log.Warn().Dur("pending", pending).Msg("disk does not finish a write; transferring leadership")
		n.core.Transfer()
	}
}

// logLateMembers logs on the leader when a member begins or ceases to answer later than the
// minimum election timeout. Such a member does not count for the leader's lease.
func (n *Node) logLateMembers() {
	st := n.core.Status()
	if st.Role != raft.Leader {
		clear(n.lateMembers)
		return
	}
	for _, m := range st.Members {
		silentMS := n.silenceMS(st, m.ID)
		late := silentMS >= n.minElection().Milliseconds()
		if late == n.lateMembers[m.ID] {
			continue
		}
		n.lateMembers[m.ID] = late
		n.receiveLog.Info().Uint64("member", m.ID).Str("address", m.Address).Bool("late", late).Int64("silent_ms", silentMS).
			Uint64("match", n.core.Match(m.ID)).Uint64("last", n.core.Match(n.cfg.ID)).Msg("lateness of a member of the log changed")
	}
}

func (n *Node) afterPersist(res persistResult) error {
	n.persisting = false
	if n.slowWriteLogged {
		n.slowWriteLogged = false
		n.log.Info().Dur("took", res.took).Msg("disk finished a long write")
	}
	if res.err != nil {
		return errors.Wrap(res.err, "store: write to disk")
	}
	n.metrics.syncs.Update(res.took)
	return n.completeReady(res.ready)
}

// completeReady sends, restores and applies what had to wait until rd was durable.
func (n *Node) completeReady(rd raft.Ready) error {
	n.network.send(rd.AfterPersist)
	if rd.Snapshot != nil {
		if err := n.installSnapshot(*rd.Snapshot); err != nil {
			return err
		}
	}
	if err := n.applyAll(rd.Committed); err != nil {
		return err
	}
	n.core.Advance(rd)
	n.snapshotIfDue()
	return nil
}

func (n *Node) installSnapshot(s raft.Snapshot) error {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	if err := n.machine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "store: restore snapshot")
	}
	n.applied, n.snapshotIndex, n.bytesSinceSnapshot = s.Index, s.Index, 0
	n.forgetSkipped(s.Index)
	n.notifyChanged()
	return nil
}

func (n *Node) applyAll(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	for _, e := range entries {
		if err := n.apply(e); err != nil {
			return err
		}
	}
	n.metrics.applied.Inc(int64(len(entries)))
	n.notifyChanged()
	return nil
}

func (n *Node) apply(e raft.Entry) error {
	n.applied = e.Index
	n.bytesSinceSnapshot += len(e.Data)
	if e.Kind == raft.EntryMembership {
		n.completeChange(e)
	}
	if !hasCommand(e) {
		return nil
	}
	result, err := n.applyCommand(e)
	if err != nil {
		return err
	}
	n.completeProposal(e, result)
	return nil
}

// notifyChanged wakes the callers that wait on Changed. The caller holds stateMu.
func (n *Node) notifyChanged() {
	close(n.changed)
	n.changed = make(chan struct{})
}
