// Package raft is the pure core of the replicated log. It does no I/O, starts no
// goroutine and reads no clock: time is a parameter, and the caller persists and
// sends what Ready returns.
package raft

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// Errors of proposals and membership changes. None of them leaves anything in the log.
var (
	ErrNotLeader     = errors.New("raft: not the leader")
	ErrChangePending = errors.New("raft: an earlier membership change, or the first entry of the term, is not applied yet")
	ErrUnknownMember = errors.New("raft: no such member")
	ErrMemberExists  = errors.New("raft: member exists")
	ErrNotCaughtUp   = errors.New("raft: learner has not caught up")
	ErrNoQuorum      = errors.New("raft: the change would leave no majority of voters in contact")
	ErrLastVoter     = errors.New("raft: the last voter cannot be removed")
	ErrBadChange     = errors.New("raft: a membership change names exactly one action")
)

// EntryKind tells what an entry holds.
type EntryKind uint8

// Entry kinds. A leader appends an EntryNoop at the start of its term.
const (
	EntryCommand EntryKind = iota + 1
	EntryNoop
	EntryMembership
)

// Entry is one position of the log.
type Entry struct {
	Index uint64    `cbor:"1,keyasint"`
	Term  uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
	// Members is the whole membership after an EntryMembership.
	Members []Member `cbor:"5,keyasint,omitempty"`
}

// Member is one store of the group. Learners receive the log and do not vote.
type Member struct {
	ID         uint64 `cbor:"1,keyasint"`
	Instance   string `cbor:"2,keyasint"`
	DataCentre string `cbor:"3,keyasint"`
	Address    string `cbor:"4,keyasint"`
	Learner    bool   `cbor:"5,keyasint,omitempty"`
}

// Change is one membership change; exactly one field is set.
type Change struct {
	Add     *Member
	Promote uint64
	Remove  uint64
}

// HardState must be durable before a message that depends on it is sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	Vote uint64 `cbor:"2,keyasint"`
}

// Position names the last entry covered by a snapshot, with the membership there.
type Position struct {
	Index   uint64   `cbor:"1,keyasint"`
	Term    uint64   `cbor:"2,keyasint"`
	Members []Member `cbor:"3,keyasint,omitempty"`
}

// Snapshot replaces the log up to its position.
type Snapshot struct {
	Position
	Data []byte
}

// MessageKind tells how a message is handled.
type MessageKind uint8

// Message kinds.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteReply
	MsgVote
	MsgVoteReply
	MsgAppend
	MsgAppendReply
	MsgHeartbeat
	MsgHeartbeatReply
	MsgSnapshot
	MsgSnapshotReply
	MsgTimeoutNow
)

// Message is exchanged between members.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	From uint64      `cbor:"2,keyasint"`
	To   uint64      `cbor:"3,keyasint"`
	Term uint64      `cbor:"4,keyasint"`
	// Index and LogTerm name the entry before Entries, the candidate's last
	// entry, or the last entry covered by a snapshot. In replies Index is the
	// acknowledged or the rejected index.
	Index   uint64  `cbor:"5,keyasint,omitempty"`
	LogTerm uint64  `cbor:"6,keyasint,omitempty"`
	Entries []Entry `cbor:"7,keyasint,omitempty"`
	Commit  uint64  `cbor:"8,keyasint,omitempty"`
	Reject  bool    `cbor:"9,keyasint,omitempty"`
	// Hint and HintTerm bound the index at which the logs may agree.
	Hint     uint64 `cbor:"10,keyasint,omitempty"`
	HintTerm uint64 `cbor:"11,keyasint,omitempty"`
	// Sent is the leader's time when it sent the message; replies return it.
	Sent int64 `cbor:"12,keyasint,omitempty"`
	// Force marks votes of a leadership transfer, which the lease does not hinder.
	Force bool `cbor:"13,keyasint,omitempty"`
	// Offset, Total, Chunk and Members belong to snapshots.
	Offset  uint64   `cbor:"14,keyasint,omitempty"`
	Total   uint64   `cbor:"15,keyasint,omitempty"`
	Chunk   []byte   `cbor:"16,keyasint,omitempty"`
	Members []Member `cbor:"17,keyasint,omitempty"`
}

// Role is the part a member plays in its term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config describes one member. Times are in one unit that the caller chooses.
type Config struct {
	ID uint64
	// ElectionTicks is the minimum election timeout in ticks; the actual one is
	// drawn from [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// MinElectionTimeout is the minimum election timeout in the unit of Now. Both
	// limits must have passed before a member helps to elect another leader.
	MinElectionTimeout int64
	Now                int64
	Rand               *rand.Rand
	// MaxAppendBytes bounds the entries of one append, MaxInflight the appends
	// in flight to one member, ChunkBytes a part of a snapshot.
	MaxAppendBytes     int
	MaxInflight        int
	SnapshotChunkBytes int
}

// PersistedState is what a member finds on its disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot's position without a gap.
	Entries []Entry
}

// Ready is the work of the caller: send Messages at any time, make HardState,
// Snapshot and Entries durable, then send AfterPersist, apply Snapshot and
// Committed, and call Advance.
type Ready struct {
	Messages     []Message
	HardState    *HardState
	Snapshot     *Snapshot
	Entries      []Entry
	AfterPersist []Message
	Committed    []Entry
}

// MustPersist tells whether anything has to reach the disk.
func (r Ready) MustPersist() bool {
	return r.HardState != nil || r.Snapshot != nil || len(r.Entries) > 0
}

func (r Ready) empty() bool {
	return !r.MustPersist() && len(r.Messages) == 0 && len(r.AfterPersist) == 0 && len(r.Committed) == 0
}
