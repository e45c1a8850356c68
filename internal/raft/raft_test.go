package raft

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two leaders in a term or with a lease, lost or diverging committed
// entries, and a group that does not recover. Faults are message loss, delay,
// reordering and duplication, one-way partitions, paused members, crashes that lose
// unpersisted state, leadership transfers and membership changes.
func TestGuaranteesUnderFaults(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(150) {
			t.Run(fmt.Sprintf("%d members seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, seed, size)
				s.loss = []float64{0, 0.05, 0.2}[seed%3]
				s.stall = []float64{0.3, 0.9}[seed%2]
				spare := uint64(100)
				for i := range 600 {
					if s.rng.IntN(3) == 0 {
						s.propose(fmt.Sprint(i))
					}
					if s.rng.IntN(25) == 0 {
						s.fault(&spare)
					}
					s.step()
				}
				s.checkMatching()
				s.checkRecovery()
			})
		}
	}
}

// checkRecovery removes all faults and checks that the current members reach the same
// applied index.
func (s *simulation) checkRecovery() {
	s.heal()
	s.stepUntil("leader after the faults", 400, func() bool { return s.propose("final") })
	s.stepUntil("agreement", 1500, func() bool {
		n := s.leader()
		if n == nil || n.core.log.committed != n.core.log.last() {
			return false
		}
		for _, m := range n.core.members {
			if s.nodes[m.ID].applied != n.applied {
				return false
			}
		}
		return true
	})
	require.Positive(s.t, s.leaseTicks, "no leader ever held a lease")
	s.checkMatching()
}

// newSettledSimulation returns a simulation with a leader, and the ID of that leader.
func newSettledSimulation(t *testing.T, size int) (*simulation, uint64) {
	s := newSimulation(t, 7, size)
	s.stepUntil("leader", 200, func() bool { return s.leader() != nil })
	return s, s.leader().core.cfg.ID
}

// Guards against a leader without quorum that does not step down, and against a
// partitioned member that raises its term and forces an election when it returns.
func TestPartitions(t *testing.T) {
	s, old := newSettledSimulation(t, 3)
	term := s.nodes[old].core.term
	s.isolate(old)
	s.stepUntil("another leader", 100, func() bool { return s.leader() != nil && s.leader().core.cfg.ID != old })
	s.stepUntil("old leader steps down", 25, func() bool { return s.nodes[old].core.role != Leader })
	require.True(t, s.propose("during the partition"))
	for range 300 {
		s.step()
	}
	require.Equal(t, term, s.nodes[old].core.term, "pre-vote keeps the term")
	current := s.leader().core.term
	clear(s.cut)
	for range 100 {
		s.step()
	}
	require.Equal(t, current, s.leader().core.term, "the return causes no election")
	require.Equal(t, s.leader().applied, s.nodes[old].applied)
}

// Guards against a lease that is extended without the confirmation of a majority.
func TestLeaseEndsWithoutQuorum(t *testing.T) {
	s, id := newSettledSimulation(t, 5)
	leader := s.nodes[id].core
	s.stepUntil("contact", 50, func() bool { return s.now-leader.QuorumContact() <= 3 })
	s.isolate(id)
	cutAt := s.now
	for leader.role == Leader {
		require.LessOrEqual(t, leader.QuorumContact(), cutAt)
		s.step()
	}
	require.LessOrEqual(t, s.now-cutAt, int64(2*10+2))
}

// Guards against votes granted within the minimum election timeout after contact with
// a leader, votes for a candidate with an older log, and two votes in one term.
func TestVotesAreRefused(t *testing.T) {
	voters := []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	log := []Entry{{Index: 1, Term: 1, Kind: EntryNoop}, {Index: 2, Term: 2, Kind: EntryNoop}}
	vote := Message{Kind: MsgVote, From: 2, To: 1, Term: 5, Index: 2, LogTerm: 2}
	with := func(change func(*Message)) Message {
		m := vote
		change(&m)
		return m
	}
	cases := []struct {
		name    string
		at      int64
		voted   uint64
		m       Message
		granted bool
	}{
		{"free vote", 20, 0, vote, true},
		{"within the minimum election timeout of a start", 9, 0, vote, false},
		{"forced by a transfer", 9, 0, with(func(m *Message) { m.Force = true }), true},
		{"shorter log", 20, 0, with(func(m *Message) { m.Index = 1 }), false},
		{"longer log of an older term", 20, 0, with(func(m *Message) { m.Index, m.LogTerm = 9, 1 }), false},
		{"voted for another in the term", 20, 3, with(func(m *Message) { m.Term = 3 }), false},
		{"voted for the same in the term", 20, 2, with(func(m *Message) { m.Term = 3 }), true},
		{"older term", 20, 0, with(func(m *Message) { m.Term = 2 }), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := PersistedState{HardState: HardState{Term: 3, Vote: c.voted}, Entries: log}
			found.Snapshot.Members = voters
			core := New(simConfig(1, 0, newSimulation(t, 1, 1).rng), found)
			core.Step(c.at, c.m)
			rd, _ := core.Ready()
			granted := false
			for _, m := range rd.AfterPersist {
				granted = granted || m.Kind == MsgVoteReply && !m.Reject
			}
			require.Equal(t, c.granted, granted)
		})
	}
}

// Guards against an acknowledgement that is sent before the state that it reports is
// durable, and an entry that is applied before it is durable.
func TestRepliesWaitForTheDisk(t *testing.T) {
	found := PersistedState{}
	found.Snapshot.Members = []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	core := New(simConfig(1, 0, newSimulation(t, 1, 1).rng), found)
	core.Step(20, Message{Kind: MsgAppend, From: 2, To: 1, Term: 1, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryNoop}}, Commit: 1})
	require.Empty(t, core.Messages())
	rd, ok := core.Ready()
	require.True(t, ok)
	require.Len(t, rd.Entries, 1)
	require.NotNil(t, rd.HardState)
	require.Len(t, rd.AfterPersist, 1)
	require.Empty(t, rd.Committed, "an entry is applied only once it is durable")
	core.Advance(rd)
	rd, _ = core.Ready()
	require.Len(t, rd.Committed, 1)
	core.Advance(rd)
	core.Step(21, Message{Kind: MsgAppend, From: 2, To: 1, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 1, Kind: EntryNoop}}})
	require.Empty(t, core.Messages(), "the term is durable, but the entry is not")
	core.Step(22, Message{Kind: MsgHeartbeat, From: 2, To: 1, Term: 1})
	require.Len(t, core.Messages(), 1, "a heartbeat does not wait for the disk")
}

// Guards against a leader that commits an entry of an earlier term as soon as a
// majority holds it. A later leader could still replace such an entry.
func TestEarlierTermsAreNotCommittedByCount(t *testing.T) {
	found := PersistedState{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 2, Kind: EntryNoop}}}
	found.Snapshot.Members = []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	core := New(simConfig(1, 0, newSimulation(t, 1, 1).rng), found)
	for now := int64(1); core.role != PreCandidate; now++ {
		core.Tick(now)
	}
	core.Step(30, Message{Kind: MsgPreVoteReply, From: 2, To: 1, Term: 3})
	core.Step(30, Message{Kind: MsgVoteReply, From: 2, To: 1, Term: 3})
	require.Equal(t, Leader, core.role)
	core.Step(31, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 3, Index: 1})
	require.Zero(t, core.Status().Committed)
	rd, _ := core.Ready()
	core.Advance(rd)
	core.Step(32, Message{Kind: MsgAppendReply, From: 2, To: 1, Term: 3, Index: 2})
	require.Equal(t, uint64(2), core.Status().Committed)
}

// Guards against membership changes that overlap, promote a learner that lacks entries
// or remove the last voter, and against a group of one member that makes no progress.
func TestMembershipRules(t *testing.T) {
	s, id := newSettledSimulation(t, 1)
	core := s.nodes[id].core
	_, err := core.ChangeMembers(Change{Remove: id})
	require.ErrorIs(t, err, ErrLastVoter)
	_, err = core.ChangeMembers(Change{})
	require.ErrorIs(t, err, ErrBadChange)
	_, err = core.ChangeMembers(Change{Add: &Member{ID: 9, Address: "9"}})
	require.NoError(t, err)
	_, err = core.ChangeMembers(Change{Promote: 9})
	require.ErrorIs(t, err, ErrChangePending)
	for range 20 {
		s.step()
	}
	_, err = core.ChangeMembers(Change{Promote: 9})
	require.ErrorIs(t, err, ErrNotCaughtUp)
	s.add(9, nil)
	s.stepUntil("promotion", 100, func() bool {
		_, err = core.ChangeMembers(Change{Promote: 9})
		return err == nil
	})
	s.stepUntil("two voters agree", 100, func() bool { return s.nodes[9].core.isVoter(9) && s.nodes[9].applied == s.nodes[id].applied })
}

// A member whose disk stalls answers heartbeats and stores nothing. The removal of another
// one must not leave committed entries on less than a majority of the voters.
func TestRemovalKeepsCommittedEntriesOnAMajority(t *testing.T) {
	s, id := newSettledSimulation(t, 3)
	leader := s.nodes[id].core
	others := slices.DeleteFunc(slices.Clone(s.ids), func(other uint64) bool { return other == id })
	stored, stalled := others[0], others[1]
	require.True(t, s.propose("x"))
	s.stepUntil("the entry is stored everywhere", 100, func() bool {
		return leader.Match(stored) == leader.log.last() && leader.Match(stalled) == leader.log.last() && leader.currentTermApplied()
	})
	s.nodes[stalled].stalls = true
	require.True(t, s.propose("y"))
	s.stepUntil("the entry is committed without the stalled member", 100, func() bool { return leader.Status().Committed == leader.log.last() })
	_, err := leader.ChangeMembers(Change{Remove: stored})
	require.ErrorIs(t, err, ErrNoQuorum)
	_, err = leader.ChangeMembers(Change{Remove: stalled})
	require.NoError(t, err)
}

// A member that joins a log without traffic must catch up: a learner that is behind is not
// promoted, and then a voter that is lost has no successor.
func TestLearnerOfAnIdleLogCatchesUp(t *testing.T) {
	s, id := newSettledSimulation(t, 3)
	for i := range 100 {
		s.propose(fmt.Sprint(i))
		s.step()
	}
	s.stepUntil("the proposals are applied", 100, func() bool {
		return s.nodes[id].core.Status().Applied == s.nodes[id].core.log.last()
	})
	_, err := s.nodes[id].core.ChangeMembers(Change{Add: &Member{ID: 9, Address: "9"}})
	require.NoError(t, err)
	s.add(9, nil)
	s.stepUntil("the learner holds the log", 100, func() bool { return s.nodes[id].core.Match(9) == s.nodes[id].core.log.last() })
}

// Guards against the removal of a live voter after the loss of another one, which
// would leave the group permanently without a quorum.
func TestRemovalKeepsAQuorum(t *testing.T) {
	s, id := newSettledSimulation(t, 3)
	others := slices.DeleteFunc(slices.Clone(s.ids), func(other uint64) bool { return other == id })
	s.isolate(others[0])
	for range 40 {
		s.step()
	}
	_, err := s.nodes[id].core.ChangeMembers(Change{Remove: others[1]})
	require.ErrorIs(t, err, ErrNoQuorum)
	_, err = s.nodes[id].core.ChangeMembers(Change{Remove: others[0]})
	require.NoError(t, err)
	s.stepUntil("a further commit", 100, func() bool { return s.propose("x") })
}

// Guards against a leader that appends its own removal: it could no longer become a
// candidate, nor vote for a member with a shorter log.
func TestLeaderDoesNotRemoveItself(t *testing.T) {
	s, id := newSettledSimulation(t, 3)
	for range 10 {
		s.step()
	}
	_, err := s.nodes[id].core.ChangeMembers(Change{Remove: id})
	require.ErrorIs(t, err, ErrNotLeader)
	s.stepUntil("removal by the next leader", 100, func() bool {
		n := s.leader()
		if n == nil || n.core.cfg.ID == id {
			return false
		}
		_, err := n.core.ChangeMembers(Change{Remove: id})
		return err == nil
	})
	s.stepUntil("a further commit", 100, func() bool { return s.propose("x") })
}

// Guards against a leadership transfer that takes an election timeout, so that a planned
// stop would interrupt the service.
func TestTransferIsImmediate(t *testing.T) {
	s, id := newSettledSimulation(t, 3)
	for range 10 {
		s.step()
	}
	s.nodes[id].core.Transfer()
	require.False(t, s.nodes[id].core.Status().Ready, "no lease during a transfer")
	s.stepUntil("next leader", 9, func() bool { return s.leader() != nil && s.leader().core.cfg.ID != id })
}
